// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <cstdlib>

/// Aborts when an invariant of this program is broken. Never used for what comes in from outside.
#define VERIFY(expression) (static_cast<bool>(expression) ? static_cast<void>(0) : std::abort())

#define VERIFY_NOT_REACHED() std::abort()
