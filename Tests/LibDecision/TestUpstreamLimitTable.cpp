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
    UpstreamLimitTable book;
    CHECK(book.take("i-1", { 5.3, at(100) }) == Change::InForce);
    CHECK(book.rate_of("i-1") == 5.3);
    // Sent before the limit was received, so the response may predate it.
    CHECK(book.take("i-1", { {}, at(90) }) == Change::None);
    CHECK(book.rate_of("i-1") == 5.3);
    CHECK(book.take("i-1", { {}, at(110) }) == Change::InForce);
    CHECK_FALSE(book.rate_of("i-1"));
    CHECK(book.size() == 0);
}

TEST_CASE("The newest limit is in force, in whatever order limits arrive", "[upstream-limit]")
{
    UpstreamLimitTable book;
    book.take("i-1", { 5.3, at(100) });
    CHECK(book.take("i-1", { 2.5, at(200) }) == Change::InForce);
    CHECK(book.take("i-1", { 5.3, at(150) }) == Change::None);
    CHECK(book.rate_of("i-1") == 2.5);
    CHECK(book.take("i-1", { 2.5, at(300) }) == Change::None);
    CHECK(book.statement_of("i-1")->as_of == at(300));
}

TEST_CASE("Nothing is stored for upstreams that never stated a limit", "[upstream-limit]")
{
    UpstreamLimitTable book;
    CHECK(book.take("i-1", { {}, at(100) }) == Change::None);
    CHECK_FALSE(book.statement_of("i-1"));
    book.take("i-2", { 0.0, at(100) });
    CHECK(book.size() == 1);
    book.retain([](std::string_view) { return false; });
    CHECK(book.size() == 0);
}

TEST_CASE("Tables with limits of the same upstreams have the same digest, whatever the limits are", "[upstream-limit]")
{
    UpstreamLimitTable one;
    UpstreamLimitTable other;
    CHECK(one.digest() == 0);
    one.take("i-1", { 5.3, at(100) });
    one.take("i-2", { 1.0, at(100) });
    other.take("i-2", { 2.0, at(200) });
    CHECK(one.digest() != other.digest());
    other.take("i-1", { 5.0, at(300) });
    CHECK(one.digest() == other.digest());
    one.take("i-1", { {}, at(400) });
    CHECK(one.digest() != other.digest());
    one.take("i-2", { {}, at(400) });
    CHECK(one.digest() == 0);
}
