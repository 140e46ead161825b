// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <string>
#include <string_view>

namespace Spurtide {

/// The lines that differ between two texts, with - and + before them; empty where they are the same.
std::string line_difference(std::string_view before, std::string_view after);

}
