// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Spurtide {

/// An IP address and port, as settings write it: HOST:PORT.
struct Address {
    std::string host;
    int port = 0;

    std::string to_string() const { return this->host + ":" + std::to_string(this->port); }
};

/// Empty where the text is not HOST:PORT with a port from 0 to 65535.
std::optional<Address> parse_address(std::string_view text);

}
