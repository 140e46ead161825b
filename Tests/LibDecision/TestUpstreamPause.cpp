// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/UpstreamLimitTable.h>
#include <LibDecision/UpstreamPause.h>
#include <Tests/Support/VirtualClock.h>
#include <catch2/catch.hpp>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

constexpr std::int64_t END = 3000;

/// Sends as many requests as may be sent until the given time; returns how many that were.
int send_until(UpstreamPause& pause, std::int64_t milliseconds_since_start)
{
    int sent = 0;
    for (std::int64_t now = 0; now <= milliseconds_since_start; ++now) {
        while (pause.time_left(at_milliseconds(now)) == Duration::zero() && !pause.is_over(at_milliseconds(now))) {
            pause.note_sent(at_milliseconds(now));
            ++sent;
        }
    }
    return sent;
}

UpstreamPause pause_until(std::int64_t end)
{
    UpstreamPause pause;
    pause.extend(at_milliseconds(end));
    return pause;
}

}

TEST_CASE("Nothing is sent within a pause, and twice as much with each step after it", "[upstream-pause]")
{
    struct Case {
        std::int64_t until;
        int sent;
    };
    auto const given = GENERATE(Case { END - 1, 0 }, Case { END, 1 }, Case { END + 99, 1 }, Case { END + 100, 2 }, Case { END + 200, 4 }, Case { END + 300, 8 }, Case { END + 700, 128 });
    auto pause = pause_until(END);
    CAPTURE(given.until);
    CHECK(send_until(pause, given.until) == given.sent);
}

TEST_CASE("A pause is over after its slow start, whatever was sent", "[upstream-pause]")
{
    auto pause = pause_until(END);
    CHECK_FALSE(pause.is_over(at_milliseconds(END + 799)));
    CHECK(pause.is_over(at_milliseconds(END + 800)));
    for (int i = 0; i < 1000; ++i)
        pause.note_sent(at_milliseconds(END));
    CHECK(pause.time_left(at_milliseconds(END)) == milliseconds(800));
    CHECK(pause.time_left(at_milliseconds(END + 800)) == Duration::zero());
}

TEST_CASE("The longest of several pauses counts, and the slow start begins again with a new one", "[upstream-pause]")
{
    auto pause = pause_until(END);
    pause.extend(at_milliseconds(END - 1000));
    CHECK(pause.time_left(at_milliseconds(0)) == milliseconds(END));
    CHECK(send_until(pause, END + 300) == 8);
    pause.extend(at_milliseconds(END + 2000));
    CHECK(pause.time_left(at_milliseconds(END + 300)) == milliseconds(1700));
    CHECK(send_until(pause, END + 2000) == 1);
}

TEST_CASE("Callers that are refused are told times at which as many may be sent", "[upstream-pause]")
{
    auto pause = pause_until(END);
    std::vector<std::int64_t> told;
    for (int i = 0; i < 6; ++i)
        told.push_back(to_milliseconds(pause.assign_retry(at_milliseconds(1000))));
    CHECK(told == std::vector<std::int64_t> { 2000, 2100, 2200, 2200, 2300, 2300 });
    // One that is refused within the slow start comes after those.
    pause.note_sent(at_milliseconds(END));
    CHECK(to_milliseconds(pause.assign_retry(at_milliseconds(END))) == 300);
}

TEST_CASE("A pause holds for the incarnation that requested it", "[upstream-pause]")
{
    UpstreamLimitTable table;
    auto const now = at_milliseconds(0);
    table.note_pause({ "a", 1000 }, seconds(3), now);
    table.note_pause({ "b", 0 }, seconds(1), now);
    CHECK(table.pause_of("a", 1000, now));
    CHECK_FALSE(table.pause_of("a", 2000, now));
    CHECK(table.pause_of("a", 0, now));
    CHECK(table.paused_upstreams(now) == 2);
    table.note_pause({ "a", 2000 }, seconds(1), now);
    CHECK_FALSE(table.pause_of("a", 1000, now));
    REQUIRE(table.pause_of("a", 2000, now));
    CHECK(table.pause_of("a", 2000, now)->time_left(now) == seconds(1));
}

// Guards against a pause that is forgotten while the entry is gone from the registry for a moment.
TEST_CASE("A pause outlasts the entry of its upstream and is forgotten after its end", "[upstream-pause][platform-down]")
{
    UpstreamLimitTable table;
    table.note_pause({ "a", 0 }, seconds(3), at_milliseconds(0));
    table.retain([](auto) { return false; });
    CHECK(table.pause_of("a", 0, at_milliseconds(2000)));
    CHECK_FALSE(table.pause_of("a", 0, at_milliseconds(4000)));
    table.forget_ended_pauses(at_milliseconds(4000));
    CHECK(table.paused_upstreams(at_milliseconds(0)) == 0);
}
