// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/ReachabilityTracker.h>
#include <algorithm>
#include <catch2/catch.hpp>

using namespace Spurtide;

namespace {

MonotonicTime at(std::int64_t time) { return MonotonicTime(milliseconds(time)); }

std::vector<UpstreamLocation> const s_upstreams { { "a1", "a" }, { "a2", "a" }, { "b1", "b" }, { "b2", "b" }, { "b3", "b" } };

bool contains(std::vector<std::string> const& list, std::string_view name) { return std::find(list.begin(), list.end(), name) != list.end(); }

}

TEST_CASE("An upstream that does not respond is probed, one that responds is not", "[cut]")
{
    ReachabilityTracker tracker({}, "a");
    tracker.note_sent("a1", "a", at(0));
    CHECK(tracker.due_probes(at(299)).empty());
    CHECK(tracker.due_probes(at(300)) == std::vector<std::string> { "a1" });
    SECTION("once per interval")
    {
        tracker.note_probe("a1", at(300));
        CHECK(tracker.due_probes(at(599)).empty());
        CHECK(contains(tracker.due_probes(at(600)), "a1"));
    }
    SECTION("a partial response counts")
    {
        tracker.note_response("a1", at(290));
        CHECK(tracker.due_probes(at(300)).empty());
        CHECK(contains(tracker.due_probes(at(590)), "a1"));
    }
    SECTION("no requests in flight")
    {
        tracker.note_finished("a1");
        CHECK(tracker.due_probes(at(10'000)).empty());
    }
    CHECK(tracker.is_reachable("a1", "a", at(300)));
}

TEST_CASE("An unreachable upstream receives nothing until a probe succeeds", "[cut][kill]")
{
    ReachabilityTracker tracker({}, "a");
    tracker.note_unreachable("a1", "a", at(0));
    CHECK_FALSE(tracker.is_reachable("a1", "a", at(1)));
    CHECK(tracker.is_reachable("a2", "a", at(1)));
    CHECK(tracker.due_probes(at(299)).empty());
    CHECK(tracker.due_probes(at(300)) == std::vector<std::string> { "a1" });
    tracker.note_reached("a1", "a", at(310));
    CHECK(tracker.is_reachable("a1", "a", at(310)));
}

TEST_CASE("A data centre counts as cut off if several upstreams are unreachable and none responds", "[cut]")
{
    ReachabilityTracker tracker({}, "a");
    tracker.note_sent("b3", "b", at(0));
    tracker.note_response("b3", at(0));
    tracker.note_unreachable("b1", "b", at(100));
    CHECK(tracker.is_reachable("b3", "b", at(1000)));
    tracker.note_unreachable("b2", "b", at(150));
    // An upstream of the data centre responded recently, so only two upstreams are unreachable, not the data centre.
    CHECK(tracker.is_reachable("b3", "b", at(299)));
    CHECK_FALSE(tracker.is_reachable("b3", "b", at(300)));
    CHECK(tracker.is_cut_off("b", at(300)));
    SECTION("another upstream of it is probed and detects that the partition is over")
    {
        CHECK(contains(tracker.due_probes(at(460)), "b3"));
        tracker.note_reached("b3", "b", at(470));
        CHECK(tracker.is_reachable("b3", "b", at(480)));
        CHECK_FALSE(tracker.is_reachable("b1", "b", at(480)));
    }
    SECTION("the own data centre is never cut off")
    {
        tracker.note_unreachable("a1", "a", at(300));
        tracker.note_unreachable("a2", "a", at(300));
        tracker.note_unreachable("a3", "a", at(300));
        CHECK(tracker.is_reachable("a4", "a", at(1000)));
    }
}

TEST_CASE("While the data centre is isolated only its own upstreams are reachable, and any that responds", "[cut]")
{
    using Isolation = ReachabilityTracker::Isolation;
    ReachabilityTracker tracker({}, "a");
    tracker.note_reached("b1", "b", at(50));
    tracker.set_isolation(Isolation::OwnDataCentre, at(100));
    CHECK(tracker.is_reachable("a1", "a", at(100)));
    CHECK_FALSE(tracker.is_reachable("b1", "b", at(100)));
    CHECK_FALSE(tracker.is_reachable("c1", "c", at(100)));
    CHECK(tracker.is_any_cut_off(at(100)));
    // Each of the other data centres is probed, and any upstream that responds makes its data centre reachable.
    CHECK(tracker.due_partition_probes(s_upstreams, at(100)).size() >= 1);
    tracker.note_reached("b1", "b", at(200));
    tracker.set_isolation(Isolation::OwnDataCentre, at(250));
    CHECK(tracker.is_reachable("b1", "b", at(300)));
    CHECK_FALSE(tracker.is_reachable("c1", "c", at(300)));
    tracker.set_isolation(Isolation::None, at(400));
    CHECK(tracker.is_reachable("c1", "c", at(400)));
    CHECK_FALSE(tracker.is_any_cut_off(at(400)));
}

TEST_CASE("Upstreams that left are forgotten once no requests to them are in flight")
{
    ReachabilityTracker tracker({}, "a");
    tracker.note_unreachable("b1", "b", at(0));
    tracker.note_unreachable("b2", "b", at(0));
    tracker.retain([](auto identity) { return identity == "b2" || identity == "b3"; });
    CHECK(tracker.is_reachable("b1", "b", at(1000)));
    CHECK_FALSE(tracker.is_cut_off("b", at(1000)));
    CHECK_FALSE(tracker.is_any_cut_off(at(1000)));
    // The upstream that left no longer counts, and a single unreachable upstream does not make a partition.
    tracker.note_unreachable("b2", "b", at(1000));
    CHECK_FALSE(tracker.is_cut_off("b", at(2000)));
    tracker.note_unreachable("b3", "b", at(1000));
    CHECK(tracker.is_any_cut_off(at(2000)));
    CHECK(tracker.due_partition_probes(s_upstreams, at(2000)) == std::vector<std::string> { "b1" });
}
