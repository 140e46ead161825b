// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibHttp/Address.h>
#include <charconv>

namespace Spurtide {

std::optional<Address> parse_address(std::string_view text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return {};
    auto const digits = text.substr(colon + 1);
    int port = 0;
    auto const [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (error != std::errc {} || end != digits.data() + digits.size() || port < 0 || port > 65535)
        return {};
    return Address { std::string(text.substr(0, colon)), port };
}

}
