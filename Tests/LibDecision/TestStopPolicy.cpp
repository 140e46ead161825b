// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/StopPolicy.h>
#include <catch2/catch.hpp>

using namespace Spurtide;

TEST_CASE("A stopping VM takes only what will be over before it ends", "[planned-stop]")
{
    struct Case {
        RouteKind kind;
        std::int64_t longest;
        std::int64_t left;
        bool taken;
    };
    auto const given = GENERATE(
        Case { RouteKind::Stream, 14'000, 7600, true }, Case { RouteKind::Stream, 14'000, 5100, true }, Case { RouteKind::Stream, 14'000, 5000, false }, Case { RouteKind::Stream, 14'000, 100, false },
        Case { RouteKind::NotRepeatable, 1500, 1500, true }, Case { RouteKind::NotRepeatable, 1500, 1499, false }, Case { RouteKind::Repeatable, 400, 500, true }, Case { RouteKind::Repeatable, 400, 0, false });
    CAPTURE(static_cast<int>(given.kind), given.longest, given.left);
    REQUIRE(may_begin_before_stop(given.kind, milliseconds(given.longest), { milliseconds(given.left), milliseconds(7600) }) == given.taken);
}
