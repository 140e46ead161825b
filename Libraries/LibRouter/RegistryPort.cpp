// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibRouter/RegistryPort.h>
#include <array>

namespace Spurtide {

std::string_view to_string(ConfigurationFault::Kind kind)
{
    constexpr std::array<std::string_view, 5> NAMES = { "not_readable", "missing", "wrong_type", "out_of_range", "duplicate" };
    return NAMES.at(static_cast<std::size_t>(kind));
}

}
