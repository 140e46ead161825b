// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibPlatform/PlatformError.h>
#include <array>

namespace Spurtide {

std::string_view to_string(PlatformError error)
{
    constexpr std::array<std::string_view, 7> NAMES = { "unreachable", "in_doubt", "unavailable", "conflict", "not_found", "malformed", "history_gone" };
    return NAMES.at(static_cast<std::size_t>(error));
}

}
