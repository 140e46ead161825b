// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibWire/WireUpstreamLimits.h>
#include <catch2/catch.hpp>
#include <limits>

using namespace Spurtide;

namespace {

MonotonicTime at(std::int64_t milliseconds_since) { return MonotonicTime(milliseconds(milliseconds_since)); }

}

TEST_CASE("What is known of an upstream's limit is the same on the other VM, whose clock is another", "[upstream-limit]")
{
    UpstreamLimitTable here;
    UpstreamLimitTable there;
    here.merge("i-1", { 5.3, at(1000) });
    wire::UpstreamLimitStatement message;
    write_statement("i-1", here, at(1500), message);
    CHECK(take_statement(message, there, at(70'000)) == UpstreamLimitTable::Change::InForce);
    CHECK(there.rate_of("i-1") == 5.3);
    CHECK(there.statement_of("i-1")->as_of == at(69'500));
    here.merge("i-1", { {}, at(1600) });
    write_statement("i-1", here, at(1700), message);
    CHECK(take_statement(message, there, at(70'200)) == UpstreamLimitTable::Change::InForce);
    CHECK_FALSE(there.rate_of("i-1"));
}

// Guards against a statement that cannot be recognised when it is told again.
TEST_CASE("Another VM hears who received a statement, and in which order", "[upstream-limit]")
{
    UpstreamLimitTable here;
    UpstreamLimitTable there;
    here.merge("i-1", { 5.3, at(1000), ~0ULL, 9 });
    wire::UpstreamLimitStatement message;
    write_statement("i-1", here, at(1500), message);
    take_statement(message, there, at(70'000));
    CHECK(there.statement_of("i-1")->origin == ~0ULL);
    CHECK(there.statement_of("i-1")->sequence == 9);
}

TEST_CASE("A statement about a limit that makes no sense changes nothing", "[upstream-limit]")
{
    UpstreamLimitTable book;
    wire::UpstreamLimitStatement message;
    message.set_upstream("i-1");
    CHECK(take_statement(message, book, at(1000)) == UpstreamLimitTable::Change::None);
    message.set_kind(wire::UPSTREAM_LIMIT_NAMED);
    for (double const rate : { -1.0, std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<double>::infinity() }) {
        message.set_rate(rate);
        CHECK(take_statement(message, book, at(1000)) == UpstreamLimitTable::Change::None);
    }
    // A time that has not come yet counts as now.
    message.set_rate(2);
    message.set_age_microseconds(-5);
    CHECK(take_statement(message, book, at(1000)) == UpstreamLimitTable::Change::InForce);
    CHECK(book.statement_of("i-1")->as_of == at(1000));
}
