// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/EvacuationTable.h>
#include <LibDecision/UpstreamList.h>
#include <Tests/Support/StorePositions.h>
#include <Tests/Support/VirtualClock.h>
#include <algorithm>
#include <catch2/catch.hpp>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

using State = Evacuation::State;

EvacuationUpdate change(std::string data_centre, std::int64_t version, State state = State::Ordered)
{
    return { EvacuationUpdate::Extent::Delta, { { std::move(data_centre), { 0, version }, state } }, {} };
}

EvacuationUpdate whole(StorePosition position, std::vector<Evacuation> listed = {})
{
    return { EvacuationUpdate::Extent::Snapshot, std::move(listed), position };
}

UpstreamRecord record_in(std::string const& data_centre, UpstreamRecord::Life life = UpstreamRecord::Life::Serving)
{
    UpstreamRecord record;
    record.identity = "at-" + data_centre;
    record.data_centre = data_centre;
    record.life = life;
    return record;
}

}

TEST_CASE("A delayed update does not revive an evacuation that is over", "[evacuation]")
{
    EvacuationTable table(EvacuationTable::Options {});
    REQUIRE(table.merge(change("a", 5), at_milliseconds(0)).size() == 1);
    REQUIRE(table.merge(change("a", 9, State::Over), at_milliseconds(0)).size() == 1);
    CHECK(table.merge(change("a", 5), at_milliseconds(0)).empty());
    CHECK_FALSE(table.is_evacuated("a"));
    // The end arrives before the order.
    CHECK(table.merge(change("b", 8, State::Over), at_milliseconds(0)).size() == 1);
    CHECK(table.merge(change("b", 7), at_milliseconds(0)).empty());
    CHECK_FALSE(table.is_evacuated("b"));
    CHECK(table.merge(change("a", 10), at_milliseconds(0)).size() == 1);
    CHECK(table.is_evacuated("a"));
}

TEST_CASE("A snapshot ends the evacuations that it lacks, except for later ones", "[evacuation][platform-down]")
{
    EvacuationTable table(EvacuationTable::Options {});
    table.merge(change("a", 5), at_milliseconds(0));
    table.merge(change("b", 20), at_milliseconds(0));
    auto const changes = table.merge(whole(12_v, { { "c", 3_v, State::Ordered } }), at_milliseconds(0));
    CHECK(changes.size() == 2);
    CHECK_FALSE(table.is_evacuated("a"));
    CHECK(table.is_evacuated("b"));
    CHECK(table.is_evacuated("c"));
    // An earlier snapshot.
    CHECK(table.merge(whole(4_v, { { "c", 3_v, State::Ordered } }), at_milliseconds(0)).empty());
    CHECK_FALSE(table.is_evacuated("a"));
}

TEST_CASE("VMs that merge evacuation updates in any order and from each other converge", "[evacuation][cut]")
{
    std::vector<EvacuationUpdate> news { change("a", 3), change("b", 4), whole(6_v, { { "b", 4_v, State::Ordered } }), change("a", 8), change("b", 9, State::Over), change("c", 10) };
    std::sort(news.begin(), news.end(), [](auto const& one, auto const& other) { return one.evacuations.size() < other.evacuations.size(); });
    EvacuationTable expected(EvacuationTable::Options {});
    for (auto const& one : { change("a", 8), change("b", 9, State::Over), change("c", 10) })
        expected.merge(one, at_milliseconds(0));
    std::vector<std::size_t> order { 0, 1, 2, 3, 4, 5 };
    do {
        EvacuationTable here(EvacuationTable::Options {});
        EvacuationTable there(EvacuationTable::Options {});
        for (std::size_t i = 0; i < order.size(); ++i)
            (i % 2 == 0 ? here : there).merge(news[order[i]], at_milliseconds(0));
        here.merge({ EvacuationUpdate::Extent::Delta, there.all(), {} }, at_milliseconds(0));
        there.merge({ EvacuationUpdate::Extent::Delta, here.all(), {} }, at_milliseconds(0));
        REQUIRE(here.all() == expected.all());
        REQUIRE(there.all() == expected.all());
    } while (std::next_permutation(order.begin(), order.end()));
}

TEST_CASE("Upstreams of an evacuated data centre receive no new work until the evacuation ends", "[evacuation][leaving]")
{
    UpstreamList list({ milliseconds(1800) });
    list.apply({ "at-a", record_in("a"), 1_v }, at_milliseconds(0));
    list.apply({ "at-b", record_in("b"), 2_v }, at_milliseconds(0));
    list.merge(change("a", 3), at_milliseconds(0));
    CHECK_FALSE(list.takes_work("at-a"));
    CHECK(list.takes_work("at-b"));
    SECTION("an entry that is changed or added during the evacuation")
    {
        list.apply({ "at-a", record_in("a"), 4_v }, at_milliseconds(10));
        list.replace({ { "at-a", record_in("a"), 4_v }, { "at-b", record_in("b"), 2_v } }, 6_v, at_milliseconds(20));
        CHECK_FALSE(list.takes_work("at-a"));
    }
    SECTION("peers receive the announced state and apply evacuations themselves")
    {
        UpstreamList peer({ milliseconds(1800) });
        peer.merge(list.listing_since(0_v), at_milliseconds(10));
        CHECK(peer.takes_work("at-a"));
        peer.merge(change("a", 3), at_milliseconds(0));
        CHECK_FALSE(peer.takes_work("at-a"));
    }
    SECTION("after the end, upstreams that did not leave accept work")
    {
        list.apply({ "at-b", record_in("b", UpstreamRecord::Life::Leaving), 4_v }, at_milliseconds(10));
        list.merge(change("b", 5), at_milliseconds(0));
        list.merge(change("a", 7, State::Over), at_milliseconds(0));
        list.merge(change("b", 8, State::Over), at_milliseconds(0));
        CHECK(list.takes_work("at-a"));
        CHECK_FALSE(list.takes_work("at-b"));
    }
    SECTION("an entry that expires during a registry outage is retained")
    {
        list.note_registry(UpstreamList::RegistryState::Unreachable, at_milliseconds(100));
        list.replace({}, 9_v, at_milliseconds(200));
        list.merge(change("a", 10, State::Over), at_milliseconds(0));
        CHECK(list.takes_work("at-a"));
    }
}

// Guards against an older copy that ends evacuations, or orders them again, before the operators had time to correct it.
TEST_CASE("A new era changes evacuations only once there was time to write them again", "[evacuation][platform-down]")
{
    EvacuationTable table(EvacuationTable::Options {});
    auto const merge = [&](EvacuationUpdate const& update, int at) { return table.merge(update, at_milliseconds(at)).size(); };
    auto const delta = [](std::string data_centre, StorePosition version, State state) { return EvacuationUpdate { EvacuationUpdate::Extent::Delta, { { std::move(data_centre), version, state } }, {} }; };
    merge(delta("ordered", { 1, 100 }, State::Ordered), 0);
    merge(delta("over", { 1, 50 }, State::Ordered), 0);
    merge(delta("over", { 1, 101 }, State::Over), 0);
    REQUIRE(merge(whole({ 2, 95 }, { { "over", { 2, 50 }, State::Ordered } }), 1000) == 0);
    CHECK(table.is_evacuated("ordered"));
    CHECK_FALSE(table.is_evacuated("over"));
    SECTION("written again")
    {
        merge(delta("ordered", { 2, 96 }, State::Ordered), 1500);
        merge(delta("over", { 2, 97 }, State::Over), 1500);
        CHECK(table.advance(at_milliseconds(5000)).empty());
        CHECK(table.is_evacuated("ordered"));
        CHECK_FALSE(table.is_evacuated("over"));
    }
    SECTION("not written again")
    {
        CHECK(table.advance(at_milliseconds(3999)).empty());
        CHECK(table.advance(at_milliseconds(4000)).size() == 2);
        CHECK_FALSE(table.is_evacuated("ordered"));
        CHECK(table.is_evacuated("over"));
    }
    SECTION("a later snapshot still lacks it")
    {
        merge(whole({ 2, 99 }, { { "over", { 2, 50 }, State::Ordered } }), 1200);
        CHECK(table.is_evacuated("ordered"));
        CHECK(table.advance(at_milliseconds(4000)).size() == 2);
    }
    SECTION("news of the new era are in force at once")
    {
        CHECK(merge(delta("over", { 2, 98 }, State::Ordered), 1100) == 1);
        CHECK(table.is_evacuated("over"));
    }
    SECTION("peers of the earlier era change nothing")
    {
        static_cast<void>(table.advance(at_milliseconds(4000)));
        CHECK(merge(delta("ordered", { 1, 100 }, State::Ordered), 4100) == 0);
        CHECK(merge(delta("never-known", { 1, 100 }, State::Ordered), 4100) == 0);
        CHECK_FALSE(table.is_evacuated("ordered"));
        CHECK_FALSE(table.is_evacuated("never-known"));
    }
}
