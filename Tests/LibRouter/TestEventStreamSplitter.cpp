// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibRouter/EventStreamSplitter.h>
#include <catch2/catch.hpp>

using namespace Spurtide;

TEST_CASE("Streams are split at event boundaries for any chunk size", "[whole]")
{
    std::string const stream = "id: 1\ndata: a\n\nid:2\ndata: b\n\nid: 3\ndata: c\n\n";
    auto const piece = GENERATE(std::size_t { 1 }, std::size_t { 3 }, std::size_t { 100 });
    EventStreamSplitter splitter;
    std::string relayed;
    for (std::size_t at = 0; at < stream.size(); at += piece) {
        auto const whole_events = splitter.append(std::string_view(stream).substr(at, piece));
        REQUIRE((whole_events.empty() || whole_events.ends_with("\n\n")));
        relayed += whole_events;
    }
    REQUIRE(relayed == stream);
    REQUIRE(splitter.event_count() == 3);
    REQUIRE(splitter.last_identifier() == "3");
    REQUIRE(splitter.take_remainder().empty());
}

TEST_CASE("A partial event is dropped before the stream is resumed", "[whole][kill]")
{
    EventStreamSplitter splitter;
    REQUIRE(splitter.append("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
    splitter.discard_partial_event();
    REQUIRE(splitter.append("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
    REQUIRE(splitter.last_identifier() == "2");
    REQUIRE(splitter.event_count() == 2);
}

TEST_CASE("Data that looks like an id field is not parsed as one")
{
    EventStreamSplitter splitter;
    REQUIRE_FALSE(splitter.append("id: 7\ndata: paid: 9\n\n").empty());
    REQUIRE(splitter.last_identifier() == "7");
}

// Guards against an event without end: all bytes received before were searched again for each piece.
TEST_CASE("The size of a partial event is known, and no byte of it is searched twice", "[endless]")
{
    EventStreamSplitter splitter;
    REQUIRE(splitter.append("id: 1\ndata: a\n\nid: 2\n") == "id: 1\ndata: a\n\n");
    REQUIRE(splitter.partial_event_size() == 6);
    REQUIRE(splitter.append("data: b\n").empty());
    REQUIRE(splitter.partial_event_size() == 14);
    // The boundary begins with the last byte of the piece before.
    REQUIRE(splitter.append("\nid: 3") == "id: 2\ndata: b\n\n");
    REQUIRE(splitter.partial_event_size() == 5);
    // Bytes that were passed on belong to the event all the same.
    REQUIRE(splitter.take_remainder() == "id: 3");
    REQUIRE(splitter.append("\ndata").empty());
    REQUIRE(splitter.partial_event_size() == 10);
    splitter.discard_partial_event();
    REQUIRE(splitter.partial_event_size() == 0);
    // 64 MiB in pieces of 1 KiB; a second search of what came before would take minutes.
    std::string const piece(1024, 'x');
    for (int i = 0; i < 64 * 1024; ++i)
        REQUIRE(splitter.append(piece).empty());
    REQUIRE(splitter.partial_event_size() == 64UL * 1024 * 1024);
}

// Guards against sound streams that were taken for an event without end: those with the other line ends, and those whose pieces
// end between the two line ends and are passed on as they come.
TEST_CASE("Events end at an empty line, whatever its line ends and the pieces it comes in", "[whole][endless]")
{
    std::string const line_end = GENERATE("\n", "\r\n");
    bool const passes_on = GENERATE(false, true);
    auto const piece = GENERATE(std::size_t { 1 }, std::size_t { 2 }, std::size_t { 3 }, std::size_t { 100 });
    CAPTURE(line_end, passes_on, piece);
    std::string const one = "id: 7" + line_end + "data: a" + line_end + line_end;
    std::string stream;
    for (int i = 0; i < 10; ++i)
        stream += one;
    EventStreamSplitter splitter;
    std::string relayed;
    for (std::size_t at = 0; at < stream.size(); at += piece) {
        relayed += splitter.append(std::string_view(stream).substr(at, piece));
        if (passes_on)
            relayed += splitter.take_remainder();
        REQUIRE(splitter.partial_event_size() < one.size());
    }
    CHECK(relayed == stream);
    CHECK(splitter.event_count() == 10);
    CHECK(splitter.partial_event_size() == 0);
    CHECK_FALSE(splitter.is_inside_event());
    // Empty lines between events belong to the next one.
    CHECK(splitter.append("\n\n").empty());
    CHECK_FALSE(splitter.is_inside_event());
    CHECK(splitter.append(one) == "\n\n" + one);
    CHECK(splitter.event_count() == 11);
}
