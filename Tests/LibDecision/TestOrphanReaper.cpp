// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/OrphanReaper.h>
#include <Tests/Support/VirtualClock.h>
#include <catch2/catch.hpp>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

HeldWork work(HeldWork::Reader reader = HeldWork::Reader::None)
{
    return { "r1", "entry-1", "a", reader };
}

bool alive(std::string_view) { return true; }
bool dead(std::string_view) { return false; }

}

TEST_CASE("Requests of a live origin are queried and cancelled only if disowned", "[held][cut]")
{
    OrphanReaper reaper({ seconds(4), seconds(1), seconds(1) });
    std::vector const held = { work() };
    CHECK(reaper.observe("d0", held, alive, at_milliseconds(0)).questions.empty());
    auto findings = reaper.observe("d0", held, alive, at_milliseconds(1000));
    REQUIRE(findings.questions.size() == 1);
    CHECK(findings.questions.front().origin == "entry-1");
    for (int second = 2; second < 100; ++second)
        CHECK(reaper.observe("d0", held, alive, at_milliseconds(second * 1000)).cancellations.empty());
    reaper.note_disowned("d0", "r1");
    findings = reaper.observe("d0", held, alive, at_milliseconds(100'000));
    REQUIRE(findings.cancellations.size() == 1);
    CHECK(findings.cancellations.front().reason == "disowned");
}

TEST_CASE("Requests of a dead origin are cancelled after the grace period, unless a reader is attached", "[held][kill]")
{
    OrphanReaper reaper({ seconds(4), seconds(1), seconds(1) });
    std::vector const orphan = { work() };
    std::vector const read = { work(HeldWork::Reader::Attached) };
    CHECK(reaper.observe("d0", orphan, dead, at_milliseconds(0)).cancellations.empty());
    CHECK(reaper.observe("d0", orphan, dead, at_milliseconds(3900)).cancellations.empty());
    CHECK(reaper.observe("d0", read, dead, at_milliseconds(3950)).cancellations.empty());
    CHECK(reaper.observe("d0", orphan, dead, at_milliseconds(4100)).cancellations.empty());
    CHECK(reaper.observe("d0", orphan, dead, at_milliseconds(8000)).cancellations.empty());
    CHECK(reaper.observe("d0", orphan, dead, at_milliseconds(8100)).cancellations.size() == 1);
}

TEST_CASE("An origin that recovers in time keeps its requests", "[held][freeze][lapsed-lease]")
{
    OrphanReaper reaper({ seconds(4), seconds(1), seconds(1) });
    std::vector const held = { work() };
    reaper.observe("d0", held, dead, at_milliseconds(0));
    reaper.observe("d0", held, alive, at_milliseconds(3000));
    CHECK(reaper.observe("d0", held, dead, at_milliseconds(5000)).cancellations.empty());
    CHECK(reaper.observe("d0", held, dead, at_milliseconds(8900)).cancellations.empty());
    CHECK(reaper.observe("d0", held, dead, at_milliseconds(9000)).cancellations.size() == 1);
}

TEST_CASE("A failed cancellation is repeated, and requests that ended are forgotten", "[held][answer-lost]")
{
    OrphanReaper reaper({ seconds(4), seconds(1), seconds(1) });
    std::vector const held = { work() };
    reaper.observe("d0", held, dead, at_milliseconds(0));
    CHECK(reaper.observe("d0", held, dead, at_milliseconds(4000)).cancellations.size() == 1);
    CHECK(reaper.observe("d0", held, dead, at_milliseconds(4250)).cancellations.size() == 1);
    reaper.observe("d0", {}, dead, at_milliseconds(4500));
    CHECK(reaper.observe("d0", held, dead, at_milliseconds(4750)).cancellations.empty());
}
