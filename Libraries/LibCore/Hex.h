// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <span>
#include <string>
#include <string_view>

namespace Spurtide {

constexpr std::string_view HEX_DIGITS = "0123456789abcdef";

/// Two digits a byte, lower case.
inline std::string to_hex(std::span<unsigned char const> bytes)
{
    std::string text;
    text.reserve(bytes.size() * 2);
    for (auto const byte : bytes) {
        text.push_back(HEX_DIGITS[byte >> 4U]);
        text.push_back(HEX_DIGITS[byte & 0xFU]);
    }
    return text;
}

}
