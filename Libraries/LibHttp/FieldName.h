// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <algorithm>
#include <string_view>

namespace Spurtide {

/// Whether a text may be the name of a header field: letters, digits and a few marks, without blanks and control bytes.
inline bool is_field_name(std::string_view text)
{
    constexpr std::string_view MARKS = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::all_of(text.begin(), text.end(), [&](char character) {
        bool const is_letter = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
        return is_letter || (character >= '0' && character <= '9') || MARKS.find(character) != std::string_view::npos;
    });
}

}
