// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/ReachabilityTracker.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

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
    // Another data centre responds, so only the upstreams of this one are probed further.
    tracker.note_reached("a1", "a", at(1900));
    CHECK(tracker.due_partition_probes(s_upstreams, at(2000)) == std::vector<std::string> { "b1" });
}

TEST_CASE("A VM counts as partitioned if several upstreams are unreachable and probes of others stay unanswered", "[partitioned-vm]")
{
    ReachabilityTracker tracker({}, "a");
    tracker.note_reached("a1", "a", at(0));
    tracker.note_unreachable("a1", "a", at(400));
    CHECK_FALSE(tracker.may_be_partitioned(at(2000)));
    tracker.note_unreachable("b1", "b", at(500));
    CHECK(tracker.may_be_partitioned(at(500)));
    // Each data centre is probed, also the own one.
    auto const probes = tracker.due_partition_probes(s_upstreams, at(500));
    CHECK(contains(probes, "a2"));
    CHECK((contains(probes, "b2") || contains(probes, "b3")));
    CHECK_FALSE(tracker.is_partitioned(at(849)));
    CHECK(tracker.is_partitioned(at(850)));
    SECTION("until an upstream responds")
    {
        tracker.note_reached("a2", "a", at(900));
        CHECK_FALSE(tracker.is_partitioned(at(900)));
        CHECK_FALSE(tracker.may_be_partitioned(at(5000)));
        // The upstreams that are still unreachable are reported again, but those that respond come first.
        tracker.note_unreachable("b1", "b", at(1000));
        CHECK_FALSE(tracker.may_be_partitioned(at(1199)));
        tracker.note_reached("a2", "a", at(1250));
        CHECK_FALSE(tracker.is_partitioned(at(1600)));
    }
}

// Guards against partitioned VMs that do not notice since their requests go to a single upstream.
TEST_CASE("After one upstream became unreachable others are probed until one of them is reached", "[partitioned-vm]")
{
    ReachabilityTracker tracker({}, "a");
    tracker.note_reached("a2", "a", at(0));
    CHECK_FALSE(tracker.needs_partition_probes(at(900)));
    CHECK(tracker.due_partition_probes(s_upstreams, at(900)).empty());
    tracker.note_unreachable("a1", "a", at(1000));
    CHECK(tracker.needs_partition_probes(at(1000)));
    auto const probes = tracker.due_partition_probes(s_upstreams, at(1000));
    REQUIRE(probes.size() == 1);
    CHECK_FALSE(contains(probes, "a1"));
    CHECK_FALSE(tracker.may_be_partitioned(at(1000)));
    tracker.note_probe(probes.front(), at(1000));
    auto const data_centre = probes.front().substr(0, 1);
    SECTION("the upstream is at fault if one is reached")
    {
        tracker.note_reached(probes.front(), data_centre, at(1005));
        // The upstream that stays unreachable is no new failure.
        for (std::int64_t time = 1300; time < 5000; time += 300) {
            tracker.note_unreachable("a1", "a", at(time));
            CHECK_FALSE(tracker.needs_partition_probes(at(time)));
            CHECK(tracker.due_partition_probes(s_upstreams, at(time)).empty());
        }
    }
    SECTION("the VM may be partitioned if another one is not")
    {
        tracker.note_unreachable(probes.front(), data_centre, at(1005));
        CHECK(tracker.may_be_partitioned(at(1005)));
        CHECK(tracker.is_partitioned(at(1355)));
    }
}

TEST_CASE("A VM with few requests does not take two crashed upstreams for a partition", "[partitioned-vm]")
{
    ReachabilityTracker tracker({}, "a");
    tracker.note_reached("a2", "a", at(0));
    // Both are probed in vain every 300 ms, and another upstream responds to each probe within a few milliseconds.
    for (std::int64_t time = 1000; time < 60'000; time += 100) {
        for (auto const* crashed : { "a1", "b1" }) {
            if (time % 300 == 100)
                tracker.note_unreachable(crashed, crashed[0] == 'a' ? "a" : "b", at(time));
        }
        CHECK_FALSE(tracker.is_partitioned(at(time)));
        if (!tracker.due_partition_probes(s_upstreams, at(time + 50)).empty())
            tracker.note_reached("a2", "a", at(time + 55));
    }
}

TEST_CASE("Requests at an upstream that refuses new connections wait while open ones respond, and not for long if none does", "[cut][partitioned-vm]")
{
    ReachabilityTracker tracker({}, "a");
    tracker.note_sent("a1", "a", at(0));
    CHECK_FALSE(tracker.is_unresponsive("a1", at(5000)));
    tracker.note_unreachable("a1", "a", at(300));
    CHECK_FALSE(tracker.is_unresponsive("a1", at(999)));
    CHECK(tracker.is_unresponsive("a1", at(1000)));
    tracker.note_response("a1", at(1000));
    tracker.note_unreachable("a1", "a", at(1300));
    CHECK_FALSE(tracker.is_unresponsive("a1", at(1999)));
    CHECK(tracker.is_unresponsive("a1", at(2000)));
    tracker.note_finished("a1");
    CHECK_FALSE(tracker.is_unresponsive("a1", at(3000)));
}

TEST_CASE("One upstream that pauses for a second is no partition", "[partitioned-vm]")
{
    ReachabilityTracker tracker({}, "a");
    tracker.note_sent("a1", "a", at(0));
    tracker.note_reached("a2", "a", at(0));
    for (std::int64_t time = 300; time < 1300; time += 300)
        tracker.note_unreachable("a1", "a", at(time));
    CHECK_FALSE(tracker.may_be_partitioned(at(1299)));
    tracker.note_response("a1", at(1300));
    CHECK(tracker.is_reachable("a1", "a", at(1300)));
}

TEST_CASE("A partitioned VM probes its upstreams at a bounded rate", "[partitioned-vm]")
{
    constexpr int UPSTREAMS = 12'000;
    ReachabilityTracker tracker({}, "a");
    for (int i = 0; i < UPSTREAMS; ++i)
        tracker.note_unreachable("u" + std::to_string(i), std::to_string(i % 26), at(0));
    REQUIRE(tracker.is_partitioned(at(1000)));
    std::size_t probes = 0;
    std::set<std::string> probed;
    for (std::int64_t time = 1000; time < 2000; time += 100) {
        for (auto const& upstream : tracker.due_probes(at(time))) {
            tracker.note_probe(upstream, at(time));
            probed.insert(upstream);
            ++probes;
        }
    }
    CHECK(probes <= 40);
    CHECK(probed.size() == probes);
}

TEST_CASE("A VM whose new connections fail counts as partitioned though open ones go on", "[partitioned-vm]")
{
    ReachabilityTracker tracker({}, "a");
    tracker.note_reached("a1", "a", at(0));
    tracker.note_sent("a2", "a", at(0));
    for (std::int64_t time = 1000; time <= 3000; time += 100) {
        tracker.note_response("a2", at(time));
        if (time == 1000) {
            tracker.note_unreachable("a1", "a", at(time));
            tracker.note_unreachable("b1", "b", at(time));
        }
        CHECK(tracker.may_be_partitioned(at(time)));
        CHECK(tracker.is_partitioned(at(time)) == (time >= 1350));
    }
    SECTION("until one is established")
    {
        tracker.note_reached("b2", "b", at(3050));
        CHECK_FALSE(tracker.is_partitioned(at(3050)));
        // Those that stay unreachable are no new failures.
        tracker.note_unreachable("a1", "a", at(3300));
        tracker.note_unreachable("b1", "b", at(3300));
        tracker.note_response("a2", at(3300));
        CHECK_FALSE(tracker.may_be_partitioned(at(3301)));
    }
}

// Guards against requests that leave a silent upstream for one that is silent as well.
TEST_CASE("An upstream has responded during a silence only if it sent something or accepted a connection since", "[silent-upstream]")
{
    ReachabilityTracker tracker({}, "a");
    CHECK_FALSE(tracker.has_responded_since("a1", at(0)));
    tracker.note_sent("a1", "a", at(100));
    CHECK_FALSE(tracker.has_responded_since("a1", at(0)));
    tracker.note_response("a1", at(200));
    CHECK(tracker.has_responded_since("a1", at(200)));
    CHECK_FALSE(tracker.has_responded_since("a1", at(201)));
    tracker.note_unreachable("a1", "a", at(300));
    CHECK(tracker.unreachable_since("a1") == at(300));
    tracker.note_unreachable("a1", "a", at(600));
    CHECK(tracker.unreachable_since("a1") == at(300));
    CHECK_FALSE(tracker.has_responded_since("a1", at(300)));
    CHECK_FALSE(tracker.may_probe("a1", at(899)));
    CHECK(tracker.may_probe("a1", at(900)));
    tracker.note_reached("a1", "a", at(700));
    CHECK(tracker.has_responded_since("a1", at(700)));
    CHECK_FALSE(tracker.unreachable_since("a1"));
}
