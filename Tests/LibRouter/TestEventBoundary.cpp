// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibRouter/StreamingRequestHandler.h>
#include <catch2/catch.hpp>

using namespace Spurtide;

TEST_CASE("Streams are cut at the ends of events whatever the pieces", "[whole]")
{
    std::string const stream = "id: 1\ndata: a\n\nid:2\ndata: b\n\nid: 3\ndata: c\n\n";
    auto const piece = GENERATE(std::size_t { 1 }, std::size_t { 3 }, std::size_t { 100 });
    EventBoundary boundary;
    std::string relayed;
    for (std::size_t at = 0; at < stream.size(); at += piece) {
        auto const part = boundary.take(std::string_view(stream).substr(at, piece));
        REQUIRE((part.empty() || part.ends_with("\n\n")));
        relayed += part;
    }
    REQUIRE(relayed == stream);
    REQUIRE(boundary.event_count() == 3);
    REQUIRE(boundary.last_identifier() == "3");
    REQUIRE(boundary.rest().empty());
}

TEST_CASE("The torn beginning of an event is not put before the stream that goes on", "[whole][kill]")
{
    EventBoundary boundary;
    REQUIRE(boundary.take("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
    boundary.drop_broken_event();
    REQUIRE(boundary.take("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
    REQUIRE(boundary.last_identifier() == "2");
    REQUIRE(boundary.event_count() == 2);
}

TEST_CASE("Data that looks like an id is not one")
{
    EventBoundary boundary;
    REQUIRE_FALSE(boundary.take("id: 7\ndata: paid: 9\n\n").empty());
    REQUIRE(boundary.last_identifier() == "7");
}
