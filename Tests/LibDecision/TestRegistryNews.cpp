// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/PeerNewsTracker.h>
#include <LibDecision/UpstreamList.h>
#include <LibDecision/WatchPlan.h>
#include <Tests/Support/VirtualClock.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

UpstreamRecord record(std::string const& identity, std::int64_t slots = 1)
{
    UpstreamRecord made;
    made.identity = identity;
    made.service = "service";
    made.address = "127.0.0.1:1";
    made.slots = slots;
    return made;
}

std::vector<std::string> names(int count)
{
    std::vector<std::string> made;
    for (int i = 0; i < count; ++i)
        made.push_back("vm-" + std::to_string(i));
    return made;
}

WatchPlan plan_of(std::vector<std::string> const& all, std::string const& own)
{
    WatchPlan plan({}, own);
    plan.set_virtual_machines(all);
    return plan;
}

}

TEST_CASE("A peer that lacks some changes is told these alone", "[leaving]")
{
    UpstreamList list({});
    list.replace({ { "a", record("a"), 3 }, { "b", record("b"), 5 } }, 7, at_milliseconds(0));
    list.apply({ "c", record("c"), 8 }, at_milliseconds(1));
    list.apply({ "a", {}, 9 }, at_milliseconds(2));
    auto const listing = list.listing_since(7);
    REQUIRE(listing.extent == UpstreamListing::Extent::Changes);
    CHECK(listing.version == 9);
    REQUIRE(listing.records.size() == 1);
    CHECK(listing.records[0].identity == "c");
    CHECK(listing.gone == std::vector<std::string> { "a" });
}

TEST_CASE("A peer whose list is older than the ends that are remembered is told the whole", "[leaving]")
{
    UpstreamList::Options options;
    options.remembered_ends = 2;
    UpstreamList list(options);
    list.replace({ { "a", record("a"), 3 } }, 7, at_milliseconds(0));
    // What came and went before the list was read is not known.
    CHECK(list.listing_since(6).extent == UpstreamListing::Extent::Whole);
    for (std::int64_t version = 8; version < 11; ++version)
        list.apply({ "x" + std::to_string(version), {}, version }, at_milliseconds(version));
    CHECK(list.listing_since(7).extent == UpstreamListing::Extent::Whole);
    CHECK(list.listing_since(8).extent == UpstreamListing::Extent::Changes);
    CHECK(list.listing_since(0).records.size() == 1);
}

TEST_CASE("Lists that were read at different positions have the same version", "[leaving]")
{
    // Otherwise each VM would ask the one that read last for what it has already.
    UpstreamList one({});
    UpstreamList other({});
    one.replace({ { "a", record("a"), 3 } }, 7, at_milliseconds(0));
    other.replace({ { "a", record("a"), 3 } }, 90, at_milliseconds(0));
    CHECK(one.version() == other.version());
    CHECK(one.version() == 3);
}

TEST_CASE("A whole list without entries is taken like any other", "[leaving]")
{
    // Otherwise it would be asked for again at each heartbeat.
    UpstreamList list({});
    list.apply({ "a", record("a"), 3 }, at_milliseconds(0));
    list.take({ UpstreamListing::Extent::Whole, 8, {}, {} }, at_milliseconds(1));
    CHECK_FALSE(list.takes_work("a"));
    CHECK(list.version() == 8);
}

TEST_CASE("News that come late bring nobody back", "[leaving]")
{
    UpstreamList list({});
    list.apply({ "a", record("a"), 3 }, at_milliseconds(0));
    list.apply({ "a", {}, 6 }, at_milliseconds(1));
    UpstreamListing late;
    late.extent = UpstreamListing::Extent::Changes;
    late.version = 5;
    late.records.push_back(record("a"));
    list.take(late, at_milliseconds(2));
    CHECK_FALSE(list.takes_work("a"));
    CHECK(list.version() == 6);
}

TEST_CASE("An upstream that came back stays", "[leaving]")
{
    UpstreamList list({});
    list.apply({ "a", record("a"), 3 }, at_milliseconds(0));
    list.apply({ "a", {}, 6 }, at_milliseconds(1));
    SECTION("told by a peer")
    {
        UpstreamListing listing { UpstreamListing::Extent::Changes, 8, { record("a") }, {} };
        list.take(listing, at_milliseconds(2));
    }
    SECTION("read with the whole list")
    {
        list.replace({ { "a", record("a"), 4 } }, 9, at_milliseconds(2));
    }
    CHECK(list.takes_work("a"));
}

TEST_CASE("VMs that tell each other changes in any order end with the registry's list", "[leaving][answer-lost]")
{
    auto const seed = GENERATE(range(1U, 41U));
    std::mt19937 random(seed);
    auto const below = [&](std::size_t count) { return std::uniform_int_distribution<std::size_t>(0, count - 1)(random); };
    UpstreamList::Options options;
    options.remembered_ends = 4;
    UpstreamList truth(options);
    std::vector<UpstreamList> vms(4, UpstreamList(options));
    std::vector<UpstreamListing> on_the_way;
    std::int64_t version = 0;
    std::vector<std::int64_t> heard(vms.size(), 0);
    std::vector<UpstreamChange> history;
    for (int step = 0; step < 400; ++step) {
        auto& vm = vms[below(vms.size())];
        auto const index = static_cast<std::size_t>(&vm - vms.data());
        switch (below(6)) {
        case 0:
        case 1: {
            auto const identity = "u" + std::to_string(below(8));
            UpstreamChange change { identity, {}, ++version };
            if (below(3) != 0)
                change.record = record(identity, static_cast<std::int64_t>(below(50)) + 1);
            history.push_back(change);
            truth.apply(change, at_milliseconds(step));
            break;
        }
        case 2:
            // Its own watch brings the next changes.
            for (; heard[index] < version && below(4) != 0; ++heard[index])
                vm.apply(history[static_cast<std::size_t>(heard[index])], at_milliseconds(step));
            break;
        case 3:
            on_the_way.push_back(vms[below(vms.size())].listing_since(vm.version()));
            if (below(2) == 0)
                vm.take(on_the_way.back(), at_milliseconds(step));
            break;
        case 4:
            // An answer that was meant for this VM comes late; one for another VM would not fit.
            if (!on_the_way.empty() && on_the_way.back().version <= vm.version())
                vm.take(on_the_way.back(), at_milliseconds(step));
            break;
        default:
            break;
        }
    }
    for (std::size_t i = 0; i < vms.size(); ++i) {
        vms[i].take(truth.listing_since(vms[i].version()), at_milliseconds(1000));
        CAPTURE(seed, i, vms[i].version());
        CHECK(vms[i].version() == truth.version());
        CHECK(vms[i].records() == truth.records());
    }
}

TEST_CASE("What a peer knows is fetched where it does not come by itself", "[platform-down][config]")
{
    using Source = PeerNewsTracker::OwnSource;
    struct Step {
        int at;
        std::int64_t peers;
        std::int64_t own;
        Source source;
        bool fetches;
    };
    struct Row {
        std::string name;
        std::vector<Step> steps;
    };
    auto const row = GENERATE(values<Row>({
        { "nothing newer", { { 0, 5, 5, Source::Away, false }, { 1000, 4, 5, Source::Away, false } } },
        { "no source of its own", { { 0, 6, 5, Source::Away, true } } },
        { "the source brings it", { { 0, 6, 5, Source::Well, false }, { 200, 6, 6, Source::Well, false }, { 900, 6, 6, Source::Well, false } } },
        { "the source is silent", { { 0, 6, 5, Source::Well, false }, { 299, 6, 5, Source::Well, false }, { 300, 6, 5, Source::Well, true } } },
        { "the patience is for the first news, not for the newest", { { 0, 6, 5, Source::Well, false }, { 200, 7, 5, Source::Well, false }, { 350, 8, 5, Source::Well, true } } },
        { "later news have a patience of their own", { { 0, 6, 5, Source::Well, false }, { 290, 7, 6, Source::Well, false }, { 310, 7, 6, Source::Well, false }, { 590, 7, 6, Source::Well, true } } },
        { "one fetch at a time", { { 0, 6, 5, Source::Away, true }, { 100, 6, 5, Source::Away, false }, { 250, 6, 5, Source::Away, true } } },
    }));
    PeerNewsTracker tracker({ milliseconds(300), milliseconds(250) });
    for (auto const& step : row.steps) {
        CAPTURE(row.name, step.at);
        CHECK(tracker.should_fetch(step.peers, step.own, step.source, at_milliseconds(step.at)) == step.fetches);
    }
}

TEST_CASE("In a small data centre every VM watches", "[config]")
{
    auto const all = names(5);
    for (auto const& name : all) {
        auto plan = plan_of(all, name);
        plan.note_told(at_milliseconds(0));
        CHECK(plan.watches(at_milliseconds(5000)));
        CHECK(plan.listeners().empty());
    }
}

TEST_CASE("In a larger data centre a few VMs watch, and tell all others", "[config]")
{
    auto const all = names(40);
    std::vector<std::string> watchers;
    for (auto const& name : all) {
        auto const plan = plan_of(all, name);
        if (plan.part() == WatchPlan::Part::Watcher)
            watchers.push_back(name);
    }
    CHECK(watchers.size() == 3);
    for (auto const& name : watchers) {
        auto const plan = plan_of(all, name);
        CHECK(plan.listeners().size() == 37);
        for (auto const& watcher : watchers)
            CHECK(std::count(plan.listeners().begin(), plan.listeners().end(), watcher) == 0);
    }
    // Where one of them goes the other two stay.
    auto fewer = all;
    std::erase(fewer, watchers[0]);
    auto const after = choose_watchers(fewer, 3);
    CHECK(std::count(after.begin(), after.end(), watchers[1]) == 1);
    CHECK(std::count(after.begin(), after.end(), watchers[2]) == 1);
}

TEST_CASE("A VM watches until it is told regularly, and again when that ends", "[platform-down][freeze]")
{
    auto const all = names(10);
    auto const watchers = choose_watchers(all, 3);
    auto const own = *std::find_if(all.begin(), all.end(), [&](auto const& name) { return std::count(watchers.begin(), watchers.end(), name) == 0; });
    auto plan = plan_of(all, own);
    REQUIRE(plan.part() == WatchPlan::Part::Listener);
    CHECK(plan.watches(at_milliseconds(0)));
    for (int at = 100; at <= 2000; at += 400)
        plan.note_told(at_milliseconds(at));
    CHECK(plan.watches(at_milliseconds(1500)));
    CHECK_FALSE(plan.watches(at_milliseconds(1700)));
    CHECK_FALSE(plan.watches(at_milliseconds(2500)));
    CHECK(plan.watches(at_milliseconds(2600)));
    // A first message after the silence is no regular telling yet.
    plan.note_told(at_milliseconds(4000));
    CHECK(plan.watches(at_milliseconds(4100)));
    SECTION("one that becomes a watcher watches, whatever it is told")
    {
        plan.note_told(at_milliseconds(4400));
        plan.set_virtual_machines({ own, watchers[0] });
        CHECK(plan.watches(at_milliseconds(4500)));
    }
}
