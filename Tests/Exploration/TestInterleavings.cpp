// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <Tests/Exploration/World.h>
#include <catch2/catch.hpp>
#include <cstdlib>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

constexpr std::uint64_t SEEDS = 60;

struct Totals {
    int runs = 0;
    int broken = 0;
    int finished = 0;
    int others = 0;
    Duration longest_orphan {};
};

Totals explore(WorldFaults const& faults)
{
    Totals totals;
    for (std::uint64_t seed = 1; seed <= SEEDS; ++seed) {
        auto const verdict = World(faults, seed).run();
        ++totals.runs;
        totals.finished += verdict.finished;
        totals.others += verdict.refused + verdict.failed + verdict.cancelled;
        totals.longest_orphan = std::max(totals.longest_orphan, verdict.longest_orphan);
        totals.broken += verdict.broken.empty() ? 0 : 1;
        for (auto const& text : verdict.broken)
            UNSCOPED_INFO("seed " << seed << ": " << text);
    }
    return totals;
}

WorldFaults lossy()
{
    WorldFaults faults;
    faults.drop = 0.05;
    faults.duplicate = 0.05;
    faults.longest_delay = milliseconds(120);
    return faults;
}

void check_holds(WorldFaults const& faults)
{
    auto const totals = explore(faults);
    UNSCOPED_INFO("longest time held for nobody: " << to_milliseconds(totals.longest_orphan) << " ms, finished " << totals.finished << ", others " << totals.others);
    CHECK(totals.broken == 0);
    CHECK(totals.finished > 0);
}

}

TEST_CASE("Promises hold without faults", "[held][twice][not-run][whole]")
{
    check_holds({});
}

TEST_CASE("Promises hold when messages are lost, doubled, late and crossed", "[held][twice][not-run][whole][cut][answer-lost]")
{
    check_holds(lossy());
}

TEST_CASE("Promises hold when entries are killed", "[held][twice][not-run][whole][kill]")
{
    auto faults = lossy();
    faults.entry_crashes = 2;
    check_holds(faults);
}

TEST_CASE("Promises hold when entries freeze and wake", "[held][twice][not-run][whole][freeze][lapsed-lease]")
{
    auto faults = lossy();
    faults.entry_pauses = 2;
    check_holds(faults);
}

TEST_CASE("Promises hold when keepers change, with and without two at once", "[held][twice][not-run][whole][kill][cut]")
{
    auto faults = lossy();
    faults.keeper_changes = 3;
    check_holds(faults);
    faults.keeper_overlap = seconds(3);
    check_holds(faults);
}

TEST_CASE("Promises hold when engines die and transfers stall", "[held][twice][not-run][whole][kill][stalled-transfer]")
{
    auto faults = lossy();
    faults.engine_crashes = 2;
    faults.stalled_transfers = 5;
    check_holds(faults);
}

TEST_CASE("Promises hold when callers leave at any moment", "[held][twice][not-run][whole][caller-cancel]")
{
    auto faults = lossy();
    faults.callers_leave = 0.6;
    check_holds(faults);
}

TEST_CASE("Promises hold under pairs of faults and under all at once", "[held][twice][not-run][whole][pairs]")
{
    auto both = lossy();
    both.entry_crashes = 1;
    both.keeper_changes = 2;
    check_holds(both);
    auto other = lossy();
    other.entry_pauses = 1;
    other.engine_crashes = 1;
    other.callers_leave = 0.3;
    check_holds(other);
    auto all = lossy();
    all.entry_crashes = 1;
    all.entry_pauses = 1;
    all.keeper_changes = 2;
    all.keeper_overlap = seconds(1);
    all.engine_crashes = 1;
    all.stalled_transfers = 3;
    all.callers_leave = 0.3;
    check_holds(all);
}

TEST_CASE("Without the reaper, memory stays held for nobody", "[red]")
{
    auto faults = lossy();
    faults.entry_crashes = 2;
    faults.without_reaper = true;
    CHECK(explore(faults).broken > 0);
}

TEST_CASE("Without vanishing, a lost release takes a slot for ever", "[red]")
{
    auto faults = lossy();
    faults.without_vanishing = true;
    CHECK(explore(faults).broken > 0);
}

TEST_CASE("The same seed gives the same verdict", "[repeatable]")
{
    auto faults = lossy();
    faults.entry_crashes = 1;
    faults.keeper_changes = 2;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        auto const first = World(faults, seed).run();
        auto const second = World(faults, seed).run();
        CHECK(first.broken == second.broken);
        CHECK(first.finished == second.finished);
        CHECK(first.longest_orphan == second.longest_orphan);
    }
}
