// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/SharedRetryBudget.h>
#include <LibDecision/UpstreamList.h>
#include <LibDecision/UpstreamSelector.h>
#include <Tests/Support/StorePositions.h>
#include <Tests/Support/VirtualClock.h>
#include <catch2/catch.hpp>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

UpstreamRecord record(std::string identity, UpstreamRecord::Life life = UpstreamRecord::Life::Serving)
{
    UpstreamRecord made;
    made.identity = std::move(identity);
    made.service = "service";
    made.address = "127.0.0.1:1";
    made.life = life;
    return made;
}

std::vector<SelectableUpstream> const THREE { { "a", 6, SelectableUpstream::Place::SameDataCentre }, { "b", 6, SelectableUpstream::Place::SameDataCentre }, { "c", 6, SelectableUpstream::Place::SameDataCentre } };

}

TEST_CASE("An entry that ends while the registry is available is removed at once", "[leaving]")
{
    UpstreamList list({ milliseconds(1800) });
    list.apply({ "a", record("a"), 1_v }, at_milliseconds(0));
    REQUIRE(list.takes_work("a"));
    list.apply({ "a", {}, 2_v }, at_milliseconds(5000));
    REQUIRE_FALSE(list.takes_work("a"));
    REQUIRE(list.size() == 0);
}

TEST_CASE("An upstream that leaves receives no new work", "[leaving]")
{
    UpstreamList list({ milliseconds(1800) });
    list.apply({ "a", record("a"), 1_v }, at_milliseconds(0));
    list.apply({ "a", record("a", UpstreamRecord::Life::Leaving), 2_v }, at_milliseconds(10));
    REQUIRE_FALSE(list.takes_work("a"));
    // A delayed earlier change is ignored.
    list.apply({ "a", record("a"), 1_v }, at_milliseconds(20));
    REQUIRE_FALSE(list.takes_work("a"));
}

TEST_CASE("Entries that expired during a registry outage are retained until shortly after it", "[leaving][platform-down]")
{
    UpstreamList list({ milliseconds(1800) });
    list.apply({ "a", record("a"), 1_v }, at_milliseconds(0));
    list.apply({ "b", record("b"), 1_v }, at_milliseconds(0));
    list.apply({ "c", record("c", UpstreamRecord::Life::Leaving), 1_v }, at_milliseconds(0));
    list.note_registry(UpstreamList::RegistryState::Unreachable, at_milliseconds(1000));
    list.note_registry(UpstreamList::RegistryState::Available, at_milliseconds(6000));
    list.replace({}, 9_v, at_milliseconds(6000));
    REQUIRE(list.takes_work("a"));
    REQUIRE(list.listing_since(0_v).records.empty());
    // The upstream had announced its departure.
    REQUIRE_FALSE(list.find("c"));
    list.apply({ "a", record("a"), 10_v }, at_milliseconds(7000));
    REQUIRE_FALSE(list.advance(at_milliseconds(7700)));
    REQUIRE(list.advance(at_milliseconds(7800)));
    REQUIRE(list.takes_work("a"));
    REQUIRE_FALSE(list.takes_work("b"));
}

TEST_CASE("Entries that expire during a second outage are not dropped by the grace period of the first", "[leaving][platform-down]")
{
    UpstreamList list({ milliseconds(1800) });
    list.apply({ "a", record("a"), 1_v }, at_milliseconds(0));
    list.note_registry(UpstreamList::RegistryState::Unreachable, at_milliseconds(1000));
    list.note_registry(UpstreamList::RegistryState::Available, at_milliseconds(2000));
    list.note_registry(UpstreamList::RegistryState::Unreachable, at_milliseconds(9000));
    // From a peer whose registry has just recovered without any entries.
    list.replace({}, 5_v, at_milliseconds(9500));
    REQUIRE_FALSE(list.advance(at_milliseconds(20'000)));
    REQUIRE(list.takes_work("a"));
    list.note_registry(UpstreamList::RegistryState::Available, at_milliseconds(21'000));
    REQUIRE_FALSE(list.advance(at_milliseconds(22'700)));
    REQUIRE(list.advance(at_milliseconds(22'800)));
}

TEST_CASE("A snapshot that is older than the known version is ignored")
{
    UpstreamList list({ milliseconds(1800) });
    list.replace({ { "a", record("a"), 7_v } }, 7_v, at_milliseconds(0));
    list.replace({}, 6_v, at_milliseconds(10));
    REQUIRE(list.takes_work("a"));
    REQUIRE(list.version() == 7_v);
}

TEST_CASE("Extra sends stay within the share of a VM", "[not-run]")
{
    SharedRetryBudget budget({ 0.2, 56, seconds(10), 1.0 });
    for (int i = 0; i < 100; ++i)
        budget.note_request(at_milliseconds(i));
    // A fifth of 100 requests and an eighth of the allowance of 56.
    int taken = 0;
    while (budget.try_take(1, 1.0 / 8, at_milliseconds(200)))
        ++taken;
    REQUIRE(taken == 27);
    REQUIRE_FALSE(budget.try_take(1, 1.0 / 8, at_milliseconds(9000)));
    // The allowance is available again once the requests and the extra sends have left the window.
    REQUIRE(budget.try_take(1, 1.0 / 8, at_milliseconds(10'300)));
}

TEST_CASE("Upstreams that fail repeatedly are ejected for a doubling time, then receive one trial request")
{
    UpstreamSelector selector({ 3, milliseconds(1000), seconds(8) });
    auto const fail = [&](std::int64_t now) {
        selector.note_sent("a");
        selector.note_end("a", UpstreamOutcome::Failed, Duration::zero(), at_milliseconds(now));
    };
    fail(0);
    fail(1);
    REQUIRE_FALSE(selector.is_ejected("a", at_milliseconds(2)));
    fail(2);
    REQUIRE(selector.is_ejected("a", at_milliseconds(900)));
    REQUIRE_FALSE(selector.is_ejected("a", at_milliseconds(1100)));
    // One failed trial ejects it again, for twice as long.
    fail(1100);
    REQUIRE(selector.is_ejected("a", at_milliseconds(3000)));
    REQUIRE_FALSE(selector.is_ejected("a", at_milliseconds(3200)));
    selector.note_sent("a");
    selector.note_end("a", UpstreamOutcome::Succeeded, milliseconds(5), at_milliseconds(3300));
    fail(3400);
    REQUIRE_FALSE(selector.is_ejected("a", at_milliseconds(3401)));
}

TEST_CASE("At most half of a service's upstreams are ejected")
{
    UpstreamSelector selector({});
    for (auto const* name : { "a", "b" }) {
        for (int i = 0; i < 3; ++i) {
            selector.note_sent(name);
            selector.note_end(name, UpstreamOutcome::Failed, Duration::zero(), at_milliseconds(0));
        }
    }
    std::set<std::size_t> chosen;
    for (int i = 0; i < 30; ++i) {
        auto const index = selector.choose(THREE, at_milliseconds(10));
        REQUIRE(index);
        chosen.insert(*index);
        selector.note_sent(THREE[*index].identity);
    }
    REQUIRE(chosen.size() == 3);
}

TEST_CASE("An upstream on trial is suspended while its request is in flight, and requests that were not sent are no trial")
{
    UpstreamSelector selector({ 3, milliseconds(1000), seconds(8) });
    for (int i = 0; i < 3; ++i) {
        selector.note_sent("a");
        selector.note_end("a", UpstreamOutcome::Failed, Duration::zero(), at_milliseconds(0));
    }
    REQUIRE(selector.is_suspended("a", at_milliseconds(999)));
    REQUIRE_FALSE(selector.is_suspended("a", at_milliseconds(1000)));
    selector.note_sent("a");
    REQUIRE(selector.is_suspended("a", at_milliseconds(1001)));
    selector.note_end("a", UpstreamOutcome::NotSent, Duration::zero(), at_milliseconds(1002));
    REQUIRE(selector.in_flight("a") == 0);
    REQUIRE_FALSE(selector.is_ejected("a", at_milliseconds(1003)));
    REQUIRE_FALSE(selector.is_suspended("a", at_milliseconds(1003)));
    // It is still on trial.
    selector.note_sent("a");
    REQUIRE(selector.is_suspended("a", at_milliseconds(1004)));
    selector.note_end("a", UpstreamOutcome::Full, Duration::zero(), at_milliseconds(1005));
    REQUIRE(selector.is_full("a", at_milliseconds(1100)));
    REQUIRE_FALSE(selector.is_full("a", at_milliseconds(1200)));
    REQUIRE_FALSE(selector.is_full("unknown", at_milliseconds(0)));
}

TEST_CASE("The least loaded upstream is selected, and a full one only if all are full")
{
    UpstreamSelector selector({});
    selector.note_sent("a");
    selector.note_sent("a");
    selector.note_sent("b");
    REQUIRE(selector.choose(THREE, at_milliseconds(0)) == 2);
    selector.note_sent("c");
    selector.note_end("c", UpstreamOutcome::Full, Duration::zero(), at_milliseconds(0));
    REQUIRE(selector.choose(THREE, at_milliseconds(10)) == 1);
    REQUIRE(selector.choose(THREE, at_milliseconds(500)) == 2);
    REQUIRE_FALSE(selector.choose({}, at_milliseconds(0)));
}

namespace {

UpstreamRecord started(std::string identity, std::int64_t at)
{
    auto made = record(std::move(identity));
    made.started = at;
    return made;
}

}

// Guards against departures that are forgotten with the entry, or taken back by a renewed one.
TEST_CASE("An announced departure outlasts changes of the entry until the upstream starts again", "[leaving][platform-down]")
{
    UpstreamList list({ milliseconds(1800) });
    list.apply({ "a", started("a", 1000), 1_v }, at_milliseconds(0));
    CHECK(list.note_departure({ "a", 1000 }));
    CHECK_FALSE(list.note_departure({ "a", 1000 }));
    CHECK_FALSE(list.takes_work("a"));
    list.apply({ "a", started("a", 1000), 2_v }, at_milliseconds(10));
    CHECK_FALSE(list.takes_work("a"));
    list.apply({ "a", record("a"), 2_v }, at_milliseconds(15));
    CHECK_FALSE(list.takes_work("a"));
    list.apply({ "a", {}, 3_v }, at_milliseconds(20));
    list.replace({ { "a", started("a", 1000), 4_v } }, 4_v, at_milliseconds(30));
    CHECK_FALSE(list.takes_work("a"));
    list.apply({ "a", started("a", 2000), 5_v }, at_milliseconds(40));
    CHECK(list.takes_work("a"));
    // A late response of the earlier incarnation.
    CHECK_FALSE(list.note_departure({ "a", 1000 }));
    CHECK(list.takes_work("a"));
}

TEST_CASE("Peers are told of departures apart from the registry's state", "[leaving]")
{
    UpstreamList list({ milliseconds(1800) });
    list.apply({ "a", started("a", 1000), 1_v }, at_milliseconds(0));
    list.apply({ "b", record("b"), 2_v }, at_milliseconds(0));
    CHECK(list.departures_digest() == 0);
    list.note_departure({ "a", 1000 });
    list.note_departure({ "b", 0 });
    // Not listed here: others may list it.
    list.note_departure({ "c", 0 });
    auto const both = list.departures_digest();
    CHECK(both != 0);
    CHECK(list.unregistered_departures() == std::vector<UpstreamIncarnation> { { "a", 1000 }, { "b", 0 } });
    for (auto const& listed : list.listing_since(0_v).records)
        CHECK(listed.life == UpstreamRecord::Life::Serving);
    // The registry tells of this one from here on.
    list.apply({ "b", record("b", UpstreamRecord::Life::Leaving), 3_v }, at_milliseconds(10));
    CHECK(list.unregistered_departures() == std::vector<UpstreamIncarnation> { { "a", 1000 } });
    CHECK(list.departures_digest() != both);
    list.apply({ "c", record("c"), 4_v }, at_milliseconds(20));
    CHECK_FALSE(list.takes_work("c"));
}

TEST_CASE("Departures of upstreams that are not listed are kept in a bounded number", "[leaving]")
{
    UpstreamList::Options options;
    options.remembered_departures = 3;
    UpstreamList list(options);
    list.apply({ "a", record("a"), 1_v }, at_milliseconds(0));
    list.note_departure({ "a", 0 });
    for (auto const* identity : { "b", "c", "d", "e" })
        list.note_departure({ identity, 0 });
    CHECK_FALSE(list.takes_work("a"));
    list.apply({ "b", record("b"), 2_v }, at_milliseconds(0));
    CHECK(list.takes_work("b"));
}

namespace {

/// A list that read an older copy's position 90 and followed the first era to 120.
UpstreamList list_before_restoration()
{
    UpstreamList list({});
    list.replace({ { "kept", started("kept", 1000), { 1, 10 } }, { "left", started("left", 1000), { 1, 11 } }, { "gone", started("gone", 1000), { 1, 12 } } }, { 1, 90 }, at_milliseconds(0));
    list.apply({ "left", [] {
                    auto record = started("left", 1000);
                    record.life = UpstreamRecord::Life::Leaving;
                    return record;
                }(),
                   { 1, 100 } },
        at_milliseconds(10));
    list.apply({ "gone", {}, { 1, 110 } }, at_milliseconds(20));
    list.apply({ "new", started("new", 1000), { 1, 120 } }, at_milliseconds(30));
    return list;
}

std::vector<UpstreamChange> older_copy()
{
    return { { "kept", started("kept", 1000), { 2, 10 } }, { "left", started("left", 1000), { 2, 11 } }, { "gone", started("gone", 1000), { 2, 12 } } };
}

}

// Guards against a restored registry that is ignored until its versions have caught up.
TEST_CASE("A snapshot of a later era is adopted, whatever its versions", "[leaving][platform-down]")
{
    auto list = list_before_restoration();
    REQUIRE(list.replace(older_copy(), { 2, 95 }, at_milliseconds(1000)) == UpstreamList::SnapshotResult::Adopted);
    CHECK(list.version() == StorePosition(2, 12));
    CHECK(list.takes_work("kept"));
    auto leaving = started("kept", 1000);
    leaving.life = UpstreamRecord::Life::Leaving;
    list.apply({ "kept", leaving, { 2, 96 } }, at_milliseconds(1100));
    CHECK_FALSE(list.takes_work("kept"));
    CHECK(list.replace({}, { 1, 200 }, at_milliseconds(1200)) == UpstreamList::SnapshotResult::Ignored);
    CHECK(list.size() == 4);
}

// Guards against an older copy whose contents are believed before they could be written again.
TEST_CASE("What an older copy contradicts holds until there was time to write it again", "[leaving][platform-down]")
{
    auto list = list_before_restoration();
    list.replace(older_copy(), { 2, 95 }, at_milliseconds(1000));
    CHECK_FALSE(list.takes_work("left"));
    CHECK_FALSE(list.takes_work("gone"));
    CHECK(list.takes_work("new"));
    SECTION("written again")
    {
        list.apply({ "new", started("new", 1000), { 2, 96 } }, at_milliseconds(1500));
        list.apply({ "gone", {}, { 2, 97 } }, at_milliseconds(1500));
        static_cast<void>(list.advance(at_milliseconds(12'000)));
        CHECK(list.takes_work("new"));
        CHECK_FALSE(list.takes_work("gone"));
        CHECK_FALSE(list.takes_work("left"));
    }
    SECTION("never written again")
    {
        CHECK_FALSE(list.advance(at_milliseconds(3999)));
        CHECK(list.advance(at_milliseconds(4000)));
        CHECK(list.find("new") == nullptr);
        CHECK_FALSE(list.takes_work("gone"));
        CHECK(list.advance(at_milliseconds(11'000)));
        CHECK(list.takes_work("gone"));
        CHECK_FALSE(list.takes_work("left"));
    }
    SECTION("announced anew, which no copy can hold")
    {
        list.apply({ "gone", started("gone", 1000), { 2, 96 } }, at_milliseconds(1500));
        CHECK(list.takes_work("gone"));
    }
    SECTION("the next incarnations")
    {
        list.apply({ "gone", started("gone", 2000), { 2, 96 } }, at_milliseconds(1500));
        list.apply({ "left", started("left", 2000), { 2, 97 } }, at_milliseconds(1500));
        CHECK(list.takes_work("gone"));
        CHECK(list.takes_work("left"));
    }
    SECTION("a second restoration")
    {
        list.replace(older_copy(), { 3, 94 }, at_milliseconds(2000));
        CHECK(list.takes_work("new"));
        CHECK_FALSE(list.takes_work("gone"));
        CHECK_FALSE(list.takes_work("left"));
    }
}

// Guards against peers that still have the earlier era and bring its contents back.
TEST_CASE("A peer of an earlier era changes nothing, and receives a snapshot", "[leaving][platform-down][cut]")
{
    auto const behind = list_before_restoration();
    auto list = list_before_restoration();
    list.replace(older_copy(), { 2, 95 }, at_milliseconds(1000));
    static_cast<void>(list.advance(at_milliseconds(4000)));
    REQUIRE(list.find("new") == nullptr);
    for (auto const known : { StorePosition(), StorePosition(1, 100), StorePosition(2, 1) })
        list.merge(behind.listing_since(known), at_milliseconds(4100));
    CHECK(list.find("new") == nullptr);
    CHECK(list.version() == StorePosition(2, 12));

    auto peer = behind;
    auto const listing = list.listing_since(peer.version());
    REQUIRE(listing.extent == UpstreamListing::Extent::Snapshot);
    peer.merge(listing, at_milliseconds(5000));
    CHECK(peer.version() == list.version());
    CHECK(peer.takes_work("kept"));
    CHECK_FALSE(peer.takes_work("left"));
    CHECK_FALSE(peer.takes_work("gone"));
    // It has heard of the new era only now.
    CHECK(peer.takes_work("new"));
    static_cast<void>(peer.advance(at_milliseconds(8000)));
    CHECK(peer.find("new") == nullptr);
}

TEST_CASE("Changes relative to a list of another era are ignored", "[leaving][platform-down]")
{
    auto list = list_before_restoration();
    list.merge({ UpstreamListing::Extent::Delta, { 2, 130 }, { record("other") }, { "kept" } }, at_milliseconds(1000));
    CHECK(list.takes_work("kept"));
    CHECK(list.version() == StorePosition(1, 120));
}
