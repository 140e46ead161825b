// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/UpstreamLimitTable.h>
#include <catch2/catch.hpp>

using namespace Spurtide;

namespace {

using Change = UpstreamLimitTable::Change;

MonotonicTime at(std::int64_t milliseconds_since) { return MonotonicTime(milliseconds(milliseconds_since)); }

}

TEST_CASE("A limit holds until the response to a later request states none", "[upstream-limit]")
{
    UpstreamLimitTable table;
    CHECK(table.merge("i-1", { 5.3, at(100) }) == Change::InForce);
    CHECK(table.rate_of("i-1") == 5.3);
    // Sent before the limit was received, so the response may predate it.
    CHECK(table.merge("i-1", { {}, at(90) }) == Change::None);
    CHECK(table.rate_of("i-1") == 5.3);
    CHECK(table.merge("i-1", { {}, at(110) }) == Change::InForce);
    CHECK_FALSE(table.rate_of("i-1"));
    CHECK(table.size() == 0);
}

TEST_CASE("The newest limit is in force, in whatever order limits arrive", "[upstream-limit]")
{
    UpstreamLimitTable table;
    table.merge("i-1", { 5.3, at(100) });
    CHECK(table.merge("i-1", { 2.5, at(200) }) == Change::InForce);
    CHECK(table.merge("i-1", { 5.3, at(150) }) == Change::None);
    CHECK(table.rate_of("i-1") == 2.5);
    CHECK(table.merge("i-1", { 2.5, at(300) }) == Change::None);
    CHECK(table.statement_of("i-1")->as_of == at(300));
}

// Guards against a limit that a message repeats, and that looks newer than its end because the message took long.
TEST_CASE("A limit that is told again after its end does not come back, however long it was on the way", "[upstream-limit]")
{
    constexpr std::uint64_t ONE = 1;
    constexpr std::uint64_t OTHER = 2;
    UpstreamLimitTable table;
    table.merge("i-1", { 5.3, at(100), ONE, 7 });
    SECTION("its end was stated to another VM")
    {
        CHECK(table.merge("i-1", { {}, at(120), OTHER, 3 }) == Change::InForce);
        CHECK(table.merge("i-1", { 5.3, at(150), ONE, 7 }) == Change::None);
        CHECK_FALSE(table.rate_of("i-1"));
        // Its next statement is another one.
        CHECK(table.merge("i-1", { 5.3, at(160), ONE, 8 }) == Change::InForce);
    }
    SECTION("its end was stated to the same VM, and arrives sooner")
    {
        CHECK(table.merge("i-1", { {}, at(90), ONE, 8 }) == Change::InForce);
        CHECK(table.merge("i-1", { 5.3, at(150), ONE, 7 }) == Change::None);
        CHECK_FALSE(table.rate_of("i-1"));
    }
    SECTION("it was older than another VM's from the start")
    {
        table.merge("i-1", { 2.5, at(200), OTHER, 3 });
        CHECK(table.merge("i-1", { 5.3, at(190), ONE, 8 }) == Change::None);
        CHECK(table.merge("i-1", { {}, at(210), OTHER, 4 }) == Change::InForce);
        CHECK(table.merge("i-1", { 5.3, at(230), ONE, 8 }) == Change::None);
        CHECK_FALSE(table.rate_of("i-1"));
    }
}

TEST_CASE("Nothing is stored for upstreams that never stated a limit", "[upstream-limit]")
{
    UpstreamLimitTable table;
    CHECK(table.merge("i-1", { {}, at(100) }) == Change::None);
    CHECK_FALSE(table.statement_of("i-1"));
    table.merge("i-2", { 0.0, at(100) });
    CHECK(table.size() == 1);
    table.retain([](std::string_view) { return false; });
    CHECK(table.size() == 0);
}

TEST_CASE("Tables with limits of the same upstreams have the same digest, whatever the limits are", "[upstream-limit]")
{
    UpstreamLimitTable one;
    UpstreamLimitTable other;
    CHECK(one.digest() == 0);
    one.merge("i-1", { 5.3, at(100) });
    one.merge("i-2", { 1.0, at(100) });
    other.merge("i-2", { 2.0, at(200) });
    CHECK(one.digest() != other.digest());
    other.merge("i-1", { 5.0, at(300) });
    CHECK(one.digest() == other.digest());
    one.merge("i-1", { {}, at(400) });
    CHECK(one.digest() != other.digest());
    one.merge("i-2", { {}, at(400) });
    CHECK(one.digest() == 0);
}
