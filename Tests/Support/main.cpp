// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
