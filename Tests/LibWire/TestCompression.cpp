// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibWire/Compression.h>
#include <catch2/catch.hpp>

using namespace Spurtide;

TEST_CASE("A text comes back as it was, and one that repeats itself is short on the way", "[config]")
{
    std::string text;
    for (int i = 0; i < 1500; ++i)
        text += R"({"route":"r-)" + std::to_string(i * 7919 % 100'000) + R"(","service":"quotations","timeout_ms":1500,"priority":2},)";
    auto const bytes = compress_text(text);
    CHECK(bytes.size() * 8 < text.size());
    auto const back = decompress_text(bytes, text.size(), text.size());
    REQUIRE_FALSE(back.is_error());
    CHECK(back.value() == text);
    CHECK(decompress_text(compress_text(""), 0, 10).value().empty());
}

TEST_CASE("Bytes that are no compressed text of that length are typed errors")
{
    std::string const text = "the configuration, the configuration, the configuration";
    auto const bytes = compress_text(text);
    struct Row {
        std::string name;
        std::string bytes;
        std::size_t length;
        std::size_t longest;
        CompressionError error;
    };
    auto damaged = bytes;
    damaged[damaged.size() / 2] = static_cast<char>(damaged[damaged.size() / 2] ^ 0x55);
    auto const row = GENERATE_COPY(values<Row>({
        { "nothing", "", text.size(), 1000, CompressionError::Damaged },
        { "no compressed text", "the configuration", 17, 1000, CompressionError::Damaged },
        { "damaged", damaged, text.size(), 1000, CompressionError::Damaged },
        { "cut off", bytes.substr(0, bytes.size() - 5), text.size(), 1000, CompressionError::Damaged },
        { "longer than told", bytes, text.size() - 1, 1000, CompressionError::Damaged },
        { "shorter than told", bytes, text.size() + 1, 1000, CompressionError::Damaged },
        { "longer than allowed", bytes, text.size(), text.size() - 1, CompressionError::TooLong },
    }));
    CAPTURE(row.name);
    auto const result = decompress_text(row.bytes, row.length, row.longest);
    REQUIRE(result.is_error());
    CHECK(result.error() == row.error);
}
