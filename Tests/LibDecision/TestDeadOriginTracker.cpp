// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/DeadOriginTracker.h>
#include <catch2/catch.hpp>

using namespace Spurtide;

TEST_CASE("An origin is dead once it has been missing for the whole grace period", "[held][kill]")
{
    DeadOriginTracker missing;
    std::set<std::string> live { "a" };
    auto const gone = [&](std::set<std::string> const& origins, std::int64_t time) {
        return missing.take_dead(
            origins, [&](auto const& origin) { return live.contains(origin); }, seconds(2), MonotonicTime(milliseconds(time)));
    };
    CHECK(gone({ "a", "b" }, 0).empty());
    CHECK(gone({ "a", "b" }, 1999).empty());
    SECTION("it stays missing")
    {
        CHECK(gone({ "a", "b" }, 2000) == std::vector<std::string> { "b" });
        // Reported once. If the origin still holds grants, its grace period restarts.
        CHECK(gone({ "a", "b" }, 2001).empty());
    }
    SECTION("its announcement was delayed")
    {
        live.insert("b");
        CHECK(gone({ "a", "b" }, 2000).empty());
        live.erase("b");
        CHECK(gone({ "a", "b" }, 2500).empty());
        CHECK(gone({ "a", "b" }, 4499).empty());
        CHECK(gone({ "a", "b" }, 4500) == std::vector<std::string> { "b" });
    }
    SECTION("it holds no grants for a while")
    {
        CHECK(gone({ "a" }, 1999).empty());
        CHECK(gone({ "a", "b" }, 2500).empty());
    }
}
