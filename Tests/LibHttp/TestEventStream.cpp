// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibHttp/Address.h>
#include <LibHttp/EventStream.h>
#include <catch2/catch.hpp>
#include <random>
#include <vector>

using namespace Spurtide;

TEST_CASE("Events are the same however their bytes are cut")
{
    std::string const text = ": comment\r\n\r\nid: 1\ndata: a\n\nevent: token\ndata: {\"x\":1}\ndata: second\n\nid: 7\r\nevent: end\r\ndata:\r\n\r\nretry: 5\n\n";
    std::mt19937 random(3);
    for (int round = 0; round < 200; ++round) {
        std::vector<std::string> events;
        EventStreamParser parser([&](StreamEvent const& event) {
            events.push_back(event.identifier + "|" + event.name + "|" + event.data);
            return true;
        });
        for (std::size_t start = 0; start < text.size();) {
            auto const length = std::min<std::size_t>(1 + random() % 9, text.size() - start);
            REQUIRE(parser.feed(std::string_view(text).substr(start, length)));
            start += length;
        }
        REQUIRE(events == std::vector<std::string> { "1||a", "|token|{\"x\":1}\nsecond", "7|end|", "||" });
    }
}

TEST_CASE("A stream without line ends is refused before it fills the memory")
{
    EventStreamParser parser([](StreamEvent const&) { return true; });
    std::string const block(600'000, 'x');
    CHECK(parser.feed(block));
    CHECK_FALSE(parser.feed(block));
}

TEST_CASE("What is formatted is parsed back")
{
    StreamEvent seen;
    EventStreamParser parser([&](StreamEvent const& event) {
        seen = event;
        return true;
    });
    parser.feed(format_event({ "w/e/3", "token", "text: with colon" }));
    CHECK(seen.identifier == "w/e/3");
    CHECK(seen.name == "token");
    CHECK(seen.data == "text: with colon");
}

TEST_CASE("Addresses are host and port")
{
    CHECK(parse_address("127.0.0.1:80")->port == 80);
    for (auto const* text : { "", ":80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536", "127.0.0.1:-1", "127.0.0.1:8x" }) {
        CAPTURE(text);
        CHECK_FALSE(parse_address(text));
    }
}
