// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Verify.h>
#include <LibWire/Compression.h>
#include <array>
#include <zlib.h>

namespace Spurtide {

std::string_view to_string(CompressionError error)
{
    constexpr std::array<std::string_view, 2> NAMES = { "damaged", "too_long" };
    return NAMES.at(static_cast<std::size_t>(error));
}

std::string compress_text(std::string_view text)
{
    auto length = compressBound(text.size());
    std::string bytes(length, '\0');
    // The fastest level: processor time is scarcer than bytes inside a data centre.
    auto const result = compress2(reinterpret_cast<Bytef*>(bytes.data()), &length, reinterpret_cast<Bytef const*>(text.data()), text.size(), Z_BEST_SPEED);
    VERIFY(result == Z_OK);
    bytes.resize(length);
    return bytes;
}

Result<std::string, CompressionError> decompress_text(std::string_view bytes, std::size_t length, std::size_t longest)
{
    if (length > longest)
        return Failure { CompressionError::TooLong };
    // One byte more shows a text that is longer than was told.
    std::string text(length + 1, '\0');
    auto got = static_cast<uLongf>(text.size());
    auto const result = uncompress(reinterpret_cast<Bytef*>(text.data()), &got, reinterpret_cast<Bytef const*>(bytes.data()), bytes.size());
    if (result != Z_OK || got != length)
        return Failure { CompressionError::Damaged };
    text.resize(got);
    return text;
}

}
