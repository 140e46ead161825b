// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Result.h>
#include <cstddef>
#include <string>
#include <string_view>

namespace Spurtide {

enum class CompressionError {
    /// The bytes are no compressed text, or not of the length that was told.
    Damaged,
    /// The text would be longer than allowed.
    TooLong,
};

std::string_view to_string(CompressionError error);

/// A text in zlib's format. Configurations repeat their names in each route and become a tenth as long.
std::string compress_text(std::string_view text);

/// The text again. Its length is told beside it; no more memory than the longest one takes is used.
Result<std::string, CompressionError> decompress_text(std::string_view bytes, std::size_t length, std::size_t longest);

}
