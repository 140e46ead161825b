// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/EvacuationTable.h>
#include <LibDecision/UpstreamList.h>
#include <Tests/Support/VirtualClock.h>
#include <algorithm>
#include <catch2/catch.hpp>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

using State = Evacuation::State;

EvacuationUpdate change(std::string data_centre, std::int64_t version, State state = State::Ordered)
{
    return { EvacuationUpdate::Extent::Delta, { { std::move(data_centre), version, state } }, 0 };
}

EvacuationUpdate whole(std::int64_t position, std::vector<Evacuation> listed = {})
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
    EvacuationTable table;
    REQUIRE(table.merge(change("a", 5)).size() == 1);
    REQUIRE(table.merge(change("a", 9, State::Over)).size() == 1);
    CHECK(table.merge(change("a", 5)).empty());
    CHECK_FALSE(table.is_evacuated("a"));
    // The end arrives before the order.
    CHECK(table.merge(change("b", 8, State::Over)).size() == 1);
    CHECK(table.merge(change("b", 7)).empty());
    CHECK_FALSE(table.is_evacuated("b"));
    CHECK(table.merge(change("a", 10)).size() == 1);
    CHECK(table.is_evacuated("a"));
}

TEST_CASE("A snapshot ends the evacuations that it lacks, except for later ones", "[evacuation][platform-down]")
{
    EvacuationTable table;
    table.merge(change("a", 5));
    table.merge(change("b", 20));
    auto const changes = table.merge(whole(12, { { "c", 3, State::Ordered } }));
    CHECK(changes.size() == 2);
    CHECK_FALSE(table.is_evacuated("a"));
    CHECK(table.is_evacuated("b"));
    CHECK(table.is_evacuated("c"));
    // An earlier snapshot.
    CHECK(table.merge(whole(4, { { "c", 3, State::Ordered } })).empty());
    CHECK_FALSE(table.is_evacuated("a"));
}

TEST_CASE("VMs that merge evacuation updates in any order and from each other converge", "[evacuation][cut]")
{
    std::vector<EvacuationUpdate> news { change("a", 3), change("b", 4), whole(6, { { "b", 4, State::Ordered } }), change("a", 8), change("b", 9, State::Over), change("c", 10) };
    std::sort(news.begin(), news.end(), [](auto const& one, auto const& other) { return one.evacuations.size() < other.evacuations.size(); });
    EvacuationTable expected;
    for (auto const& one : { change("a", 8), change("b", 9, State::Over), change("c", 10) })
        expected.merge(one);
    std::vector<std::size_t> order { 0, 1, 2, 3, 4, 5 };
    do {
        EvacuationTable here;
        EvacuationTable there;
        for (std::size_t i = 0; i < order.size(); ++i)
            (i % 2 == 0 ? here : there).merge(news[order[i]]);
        here.merge({ EvacuationUpdate::Extent::Delta, there.all(), 0 });
        there.merge({ EvacuationUpdate::Extent::Delta, here.all(), 0 });
        REQUIRE(here.all() == expected.all());
        REQUIRE(there.all() == expected.all());
    } while (std::next_permutation(order.begin(), order.end()));
}

TEST_CASE("Upstreams of an evacuated data centre receive no new work until the evacuation ends", "[evacuation][leaving]")
{
    UpstreamList list({ milliseconds(1800) });
    list.apply({ "at-a", record_in("a"), 1 }, at_milliseconds(0));
    list.apply({ "at-b", record_in("b"), 2 }, at_milliseconds(0));
    list.merge(change("a", 3));
    CHECK_FALSE(list.takes_work("at-a"));
    CHECK(list.takes_work("at-b"));
    SECTION("an entry that is changed or added during the evacuation")
    {
        list.apply({ "at-a", record_in("a"), 4 }, at_milliseconds(10));
        list.replace({ { "at-a", record_in("a"), 4 }, { "at-b", record_in("b"), 2 } }, 6, at_milliseconds(20));
        CHECK_FALSE(list.takes_work("at-a"));
    }
    SECTION("peers receive the announced state and apply evacuations themselves")
    {
        UpstreamList peer({ milliseconds(1800) });
        peer.merge(list.listing_since(0), at_milliseconds(10));
        CHECK(peer.takes_work("at-a"));
        peer.merge(change("a", 3));
        CHECK_FALSE(peer.takes_work("at-a"));
    }
    SECTION("after the end, upstreams that did not leave accept work")
    {
        list.apply({ "at-b", record_in("b", UpstreamRecord::Life::Leaving), 4 }, at_milliseconds(10));
        list.merge(change("b", 5));
        list.merge(change("a", 7, State::Over));
        list.merge(change("b", 8, State::Over));
        CHECK(list.takes_work("at-a"));
        CHECK_FALSE(list.takes_work("at-b"));
    }
    SECTION("an entry that expires during a registry outage is retained")
    {
        list.note_registry(UpstreamList::RegistryState::Unreachable, at_milliseconds(100));
        list.replace({}, 9, at_milliseconds(200));
        list.merge(change("a", 10, State::Over));
        CHECK(list.takes_work("at-a"));
    }
}
