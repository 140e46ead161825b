// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibConfiguration/Configuration.h>
#include <Services/ConfigServer/ConfigurationStore.h>
#include <Services/EntryServer/CompletionRequest.h>
#include <Services/EntryServer/RequestIdentifier.h>
#include <catch2/catch.hpp>
#include <random>

using namespace Spurtide;

namespace {

/// Changes a few bytes of a text: replaced, left out, doubled or cut off.
std::string damaged(std::string text, std::mt19937& random)
{
    auto const changes = 1 + random() % 4;
    for (std::size_t i = 0; i < changes && !text.empty(); ++i) {
        auto const position = random() % text.size();
        switch (random() % 5) {
        case 0:
            text[position] = static_cast<char>(random());
            break;
        case 1:
            text.erase(position, 1 + random() % 5);
            break;
        case 2:
            text.insert(position, text.substr(position, random() % 20));
            break;
        case 3:
            text.resize(position);
            break;
        default:
            text.insert(position, std::string(1 + random() % 3, "{}[]\",:0-9e"[random() % 11]));
            break;
        }
    }
    return text;
}

}

TEST_CASE("Damaged bodies of callers are read or refused with their faults named", "[fuzz]")
{
    std::mt19937 random(2026);
    std::string const completion = R"({"model": "llm", "prompt": "Price of lime?", "max_tokens": 5, "stream": true, "stream_options": {"include_usage": true}})";
    std::string const chat = R"({"model": "llm", "messages": [{"role": "user", "content": "Price of lime?"}], "n": 1})";
    int refused = 0;
    for (int i = 0; i < 20'000; ++i) {
        auto const format = i % 2 == 0 ? AnswerFormat::Completion : AnswerFormat::Chat;
        auto const read = read_completion_request(damaged(i % 2 == 0 ? completion : chat, random), format);
        if (read.is_error()) {
            ++refused;
            REQUIRE_FALSE(read.error().faults.empty());
            REQUIRE_FALSE(read.error().describe().empty());
        } else {
            REQUIRE_FALSE(read.value().model.empty());
        }
    }
    CHECK(refused > 5000);
}

TEST_CASE("Damaged configurations and rows are read or refused", "[fuzz]")
{
    std::mt19937 random(7);
    std::string const fleet = R"({"models": [{"name": "llm"}], "pools": [{"role": "decode", "model": "llm", "engines": [{"name": "e", "data_centre": "dc", "address": "127.0.0.1:1"}]}], "accounts": []})";
    GenerationRow row;
    row.entries.push_back({ 7, "ana", "id", std::string(64, 'a'), 5 });
    for (int i = 0; i < 10'000; ++i) {
        auto const read = read_configuration(damaged(fleet, random), "fuzz");
        if (read.is_error())
            REQUIRE_FALSE(read.error().faults.empty());
        auto const row_read = GenerationRow::read(damaged(row.write(), random));
        if (!row_read.is_error())
            REQUIRE(row_read.value().entries.size() <= 2);
    }
}

TEST_CASE("Event ids come back as they were written, and nothing else is one", "[fuzz]")
{
    StreamPosition const position { "01a2-b.1", "decode-1", 42 };
    auto const text = position.to_string();
    REQUIRE(parse_stream_position(text)->work == position.work);
    REQUIRE(parse_stream_position(text)->offset == 42);
    for (auto const* bad : { "", "/", "a/b", "a/b/", "a/b/-1", "a/b/1x", "a//1", "a/../1/2", "a b/c/1", "a/b/99999999999999999999" }) {
        CAPTURE(bad);
        CHECK_FALSE(parse_stream_position(bad));
    }
    std::mt19937 random(5);
    for (int i = 0; i < 20'000; ++i) {
        auto const parsed = parse_stream_position(damaged(text, random));
        if (parsed)
            REQUIRE(parsed->offset >= 0);
    }
}
