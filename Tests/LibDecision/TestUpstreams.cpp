// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/SharedRetryBudget.h>
#include <LibDecision/UpstreamList.h>
#include <LibDecision/UpstreamSelector.h>
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
    list.apply({ "a", record("a"), 1 }, at_milliseconds(0));
    REQUIRE(list.takes_work("a"));
    list.apply({ "a", {}, 2 }, at_milliseconds(5000));
    REQUIRE_FALSE(list.takes_work("a"));
    REQUIRE(list.size() == 0);
}

TEST_CASE("An upstream that leaves receives no new work", "[leaving]")
{
    UpstreamList list({ milliseconds(1800) });
    list.apply({ "a", record("a"), 1 }, at_milliseconds(0));
    list.apply({ "a", record("a", UpstreamRecord::Life::Leaving), 2 }, at_milliseconds(10));
    REQUIRE_FALSE(list.takes_work("a"));
    // A delayed earlier change is ignored.
    list.apply({ "a", record("a"), 1 }, at_milliseconds(20));
    REQUIRE_FALSE(list.takes_work("a"));
}

TEST_CASE("Entries that expired during a registry outage are retained until shortly after it", "[leaving][platform-down]")
{
    UpstreamList list({ milliseconds(1800) });
    list.apply({ "a", record("a"), 1 }, at_milliseconds(0));
    list.apply({ "b", record("b"), 1 }, at_milliseconds(0));
    list.apply({ "c", record("c", UpstreamRecord::Life::Leaving), 1 }, at_milliseconds(0));
    list.note_registry(UpstreamList::RegistryState::Unreachable, at_milliseconds(1000));
    list.note_registry(UpstreamList::RegistryState::Available, at_milliseconds(6000));
    list.replace({}, 9, at_milliseconds(6000));
    REQUIRE(list.takes_work("a"));
    REQUIRE(list.listing_since(0).records.empty());
    // The upstream had announced its departure.
    REQUIRE_FALSE(list.find("c"));
    list.apply({ "a", record("a"), 10 }, at_milliseconds(7000));
    REQUIRE_FALSE(list.advance(at_milliseconds(7700)));
    REQUIRE(list.advance(at_milliseconds(7800)));
    REQUIRE(list.takes_work("a"));
    REQUIRE_FALSE(list.takes_work("b"));
}

TEST_CASE("Entries that expire during a second outage are not dropped by the grace period of the first", "[leaving][platform-down]")
{
    UpstreamList list({ milliseconds(1800) });
    list.apply({ "a", record("a"), 1 }, at_milliseconds(0));
    list.note_registry(UpstreamList::RegistryState::Unreachable, at_milliseconds(1000));
    list.note_registry(UpstreamList::RegistryState::Available, at_milliseconds(2000));
    list.note_registry(UpstreamList::RegistryState::Unreachable, at_milliseconds(9000));
    // From a peer whose registry has just recovered without any entries.
    list.replace({}, 5, at_milliseconds(9500));
    REQUIRE_FALSE(list.advance(at_milliseconds(20'000)));
    REQUIRE(list.takes_work("a"));
    list.note_registry(UpstreamList::RegistryState::Available, at_milliseconds(21'000));
    REQUIRE_FALSE(list.advance(at_milliseconds(22'700)));
    REQUIRE(list.advance(at_milliseconds(22'800)));
}

TEST_CASE("A snapshot that is older than the known version is ignored")
{
    UpstreamList list({ milliseconds(1800) });
    list.replace({ { "a", record("a"), 7 } }, 7, at_milliseconds(0));
    list.replace({}, 6, at_milliseconds(10));
    REQUIRE(list.takes_work("a"));
    REQUIRE(list.version() == 7);
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
    list.apply({ "a", started("a", 1000), 1 }, at_milliseconds(0));
    CHECK(list.note_departure({ "a", 1000 }));
    CHECK_FALSE(list.note_departure({ "a", 1000 }));
    CHECK_FALSE(list.takes_work("a"));
    list.apply({ "a", started("a", 1000), 2 }, at_milliseconds(10));
    CHECK_FALSE(list.takes_work("a"));
    list.apply({ "a", record("a"), 2 }, at_milliseconds(15));
    CHECK_FALSE(list.takes_work("a"));
    list.apply({ "a", {}, 3 }, at_milliseconds(20));
    list.replace({ { "a", started("a", 1000), 4 } }, 4, at_milliseconds(30));
    CHECK_FALSE(list.takes_work("a"));
    list.apply({ "a", started("a", 2000), 5 }, at_milliseconds(40));
    CHECK(list.takes_work("a"));
    // A late response of the earlier incarnation.
    CHECK_FALSE(list.note_departure({ "a", 1000 }));
    CHECK(list.takes_work("a"));
}

TEST_CASE("Peers are told of departures apart from the registry's state", "[leaving]")
{
    UpstreamList list({ milliseconds(1800) });
    list.apply({ "a", started("a", 1000), 1 }, at_milliseconds(0));
    list.apply({ "b", record("b"), 2 }, at_milliseconds(0));
    CHECK(list.departures_digest() == 0);
    list.note_departure({ "a", 1000 });
    list.note_departure({ "b", 0 });
    // Not listed here: others may list it.
    list.note_departure({ "c", 0 });
    auto const both = list.departures_digest();
    CHECK(both != 0);
    CHECK(list.unregistered_departures() == std::vector<UpstreamIncarnation> { { "a", 1000 }, { "b", 0 } });
    for (auto const& listed : list.listing_since(0).records)
        CHECK(listed.life == UpstreamRecord::Life::Serving);
    // The registry tells of this one from here on.
    list.apply({ "b", record("b", UpstreamRecord::Life::Leaving), 3 }, at_milliseconds(10));
    CHECK(list.unregistered_departures() == std::vector<UpstreamIncarnation> { { "a", 1000 } });
    CHECK(list.departures_digest() != both);
    list.apply({ "c", record("c"), 4 }, at_milliseconds(20));
    CHECK_FALSE(list.takes_work("c"));
}

TEST_CASE("Departures of upstreams that are not listed are kept in a bounded number", "[leaving]")
{
    UpstreamList::Options options;
    options.remembered_departures = 3;
    UpstreamList list(options);
    list.apply({ "a", record("a"), 1 }, at_milliseconds(0));
    list.note_departure({ "a", 0 });
    for (auto const* identity : { "b", "c", "d", "e" })
        list.note_departure({ identity, 0 });
    CHECK_FALSE(list.takes_work("a"));
    list.apply({ "b", record("b"), 2 }, at_milliseconds(0));
    CHECK(list.takes_work("b"));
}
