// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/PeerFetchPolicy.h>
#include <LibDecision/UpstreamList.h>
#include <LibDecision/WatchPlan.h>
#include <Tests/Support/StorePositions.h>
#include <Tests/Support/VirtualClock.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
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

TEST_CASE("A peer that is missing some changes receives only these", "[leaving]")
{
    UpstreamList list({});
    list.replace({ { "a", record("a"), 3_v }, { "b", record("b"), 5_v } }, 7_v, at_milliseconds(0));
    list.apply({ "c", record("c"), 8_v }, at_milliseconds(1));
    list.apply({ "a", {}, 9_v }, at_milliseconds(2));
    auto const listing = list.listing_since(7_v);
    REQUIRE(listing.extent == UpstreamListing::Extent::Delta);
    CHECK(listing.version == 9_v);
    REQUIRE(listing.records.size() == 1);
    CHECK(listing.records[0].identity == "c");
    CHECK(listing.removed == std::vector<std::string> { "a" });
}

TEST_CASE("A peer whose list is older than the known removals receives a snapshot", "[leaving]")
{
    UpstreamList::Options options;
    options.remembered_removals = 2;
    UpstreamList list(options);
    list.replace({ { "a", record("a"), 3_v } }, 7_v, at_milliseconds(0));
    // Upstreams that were added and removed before the list was read are unknown.
    CHECK(list.listing_since(6_v).extent == UpstreamListing::Extent::Snapshot);
    for (std::int64_t version = 8; version < 11; ++version)
        list.apply({ "x" + std::to_string(version), {}, { 0, version } }, at_milliseconds(version));
    CHECK(list.listing_since(7_v).extent == UpstreamListing::Extent::Snapshot);
    CHECK(list.listing_since(8_v).extent == UpstreamListing::Extent::Delta);
    CHECK(list.listing_since(0_v).records.size() == 1);
}

TEST_CASE("Equal lists that were read at different positions have the same version", "[leaving]")
{
    // Otherwise each VM would request what it already has from the one that read the list last.
    UpstreamList one({});
    UpstreamList other({});
    one.replace({ { "a", record("a"), 3_v } }, 7_v, at_milliseconds(0));
    other.replace({ { "a", record("a"), 3_v } }, 90_v, at_milliseconds(0));
    CHECK(one.version() == other.version());
    CHECK(one.version() == 3_v);
}

TEST_CASE("An empty snapshot is merged like any other", "[leaving]")
{
    // Otherwise the listing would be requested again with each heartbeat.
    UpstreamList list({});
    list.apply({ "a", record("a"), 3_v }, at_milliseconds(0));
    list.merge({ UpstreamListing::Extent::Snapshot, 8_v, {}, {} }, at_milliseconds(1));
    CHECK_FALSE(list.takes_work("a"));
    CHECK(list.version() == 8_v);
}

TEST_CASE("A delayed update does not revive a removed upstream", "[leaving]")
{
    UpstreamList list({});
    list.apply({ "a", record("a"), 3_v }, at_milliseconds(0));
    list.apply({ "a", {}, 6_v }, at_milliseconds(1));
    UpstreamListing late;
    late.extent = UpstreamListing::Extent::Delta;
    late.version = 5_v;
    late.records.push_back(record("a"));
    list.merge(late, at_milliseconds(2));
    CHECK_FALSE(list.takes_work("a"));
    CHECK(list.version() == 6_v);
}

TEST_CASE("An upstream that was added again stays", "[leaving]")
{
    UpstreamList list({});
    list.apply({ "a", record("a"), 3_v }, at_milliseconds(0));
    list.apply({ "a", {}, 6_v }, at_milliseconds(1));
    SECTION("received from a peer")
    {
        UpstreamListing listing { UpstreamListing::Extent::Delta, 8_v, { record("a") }, {} };
        list.merge(listing, at_milliseconds(2));
    }
    SECTION("read with a snapshot")
    {
        list.replace({ { "a", record("a"), 4_v } }, 9_v, at_milliseconds(2));
    }
    CHECK(list.takes_work("a"));
}

TEST_CASE("VMs that exchange updates in any order converge to the registry's list", "[leaving][answer-lost]")
{
    auto const seed = GENERATE(range(1U, 41U));
    std::mt19937 random(seed);
    auto const below = [&](std::size_t count) { return std::uniform_int_distribution<std::size_t>(0, count - 1)(random); };
    UpstreamList::Options options;
    options.remembered_removals = 4;
    UpstreamList expected(options);
    std::vector<UpstreamList> vms(4, UpstreamList(options));
    std::vector<UpstreamListing> in_flight;
    std::int64_t version = 0;
    std::vector<std::int64_t> applied(vms.size(), 0);
    std::vector<UpstreamChange> history;
    for (int step = 0; step < 400; ++step) {
        auto& vm = vms[below(vms.size())];
        auto const index = static_cast<std::size_t>(&vm - vms.data());
        switch (below(6)) {
        case 0:
        case 1: {
            auto const identity = "u" + std::to_string(below(8));
            UpstreamChange change { identity, {}, { 0, ++version } };
            if (below(3) != 0)
                change.record = record(identity, static_cast<std::int64_t>(below(50)) + 1);
            history.push_back(change);
            expected.apply(change, at_milliseconds(step));
            break;
        }
        case 2:
            // The VM's own watch delivers the next changes.
            for (; applied[index] < version && below(4) != 0; ++applied[index])
                vm.apply(history[static_cast<std::size_t>(applied[index])], at_milliseconds(step));
            break;
        case 3:
            in_flight.push_back(vms[below(vms.size())].listing_since(vm.version()));
            if (below(2) == 0)
                vm.merge(in_flight.back(), at_milliseconds(step));
            break;
        case 4:
            // A delayed response to a request of this VM. A delta requested by another VM would not apply.
            if (!in_flight.empty() && in_flight.back().version <= vm.version())
                vm.merge(in_flight.back(), at_milliseconds(step));
            break;
        default:
            break;
        }
    }
    for (std::size_t i = 0; i < vms.size(); ++i) {
        vms[i].merge(expected.listing_since(vms[i].version()), at_milliseconds(1000));
        CAPTURE(seed, i, vms[i].version().version);
        CHECK(vms[i].version() == expected.version());
        CHECK(vms[i].records() == expected.records());
    }
}

namespace {

/// A registry that may be restored from an older copy, with what a client of it sees.
class RestorableRegistry {
public:
    struct Row {
        std::int64_t version = 0;
        /// Empty for a removed row.
        std::optional<UpstreamRecord> record;
    };

    void write(std::string const& identity, std::optional<UpstreamRecord> record)
    {
        this->copies.push_back(this->contents);
        this->contents.rows.insert_or_assign(identity, Row { ++this->contents.version, std::move(record) });
    }
    void restore(std::size_t writes_lost)
    {
        this->copies.resize(this->copies.size() - std::min(writes_lost, this->copies.size() - 1));
        this->contents = this->copies.back();
        ++this->era;
    }
    StorePosition position() const { return { this->era, this->contents.version }; }
    std::vector<UpstreamChange> snapshot() const
    {
        std::vector<UpstreamChange> listed;
        for (auto const& [identity, row] : this->contents.rows) {
            if (row.record)
                listed.push_back({ identity, row.record, { this->era, row.version } });
        }
        return listed;
    }
    /// Empty if there is no history since the position.
    std::optional<std::vector<UpstreamChange>> changes_since(StorePosition position) const
    {
        if (position.era != this->era || position.version > this->contents.version)
            return {};
        std::vector<UpstreamChange> changes;
        for (auto const& [identity, row] : this->contents.rows) {
            if (row.version > position.version)
                changes.push_back({ identity, row.record, { this->era, row.version } });
        }
        std::sort(changes.begin(), changes.end(), [](auto const& one, auto const& other) { return one.version < other.version; });
        return changes;
    }

private:
    struct Contents {
        std::map<std::string, Row> rows;
        std::int64_t version = 0;
    };
    Contents contents;
    std::vector<Contents> copies { {} };
    std::int64_t era = 1;
};

/// A VM that follows the registry as RegistryFollower does.
struct FollowingVirtualMachine {
    void follow(RestorableRegistry const& registry, MonotonicTime now)
    {
        if (this->position)
            this->position = std::max(*this->position, this->list.version());
        auto const changes = this->position ? registry.changes_since(*this->position) : std::nullopt;
        if (changes) {
            for (auto const& change : *changes)
                this->list.apply(change, now);
        } else {
            static_cast<void>(this->list.replace(registry.snapshot(), registry.position(), now));
        }
        this->position = registry.position();
    }

    UpstreamList list { UpstreamList::Options {} };
    std::optional<StorePosition> position;
};

}

// Guards against lists that differ for good after VMs heard of a restored registry in different orders, from it and from each other.
TEST_CASE("VMs that hear of restorations in any order converge to the registry's list", "[leaving][platform-down][cut]")
{
    auto const seed = GENERATE(range(1U, 61U));
    CAPTURE(seed);
    std::mt19937 random(seed);
    auto const below = [&](std::size_t count) { return std::uniform_int_distribution<std::size_t>(0, count - 1)(random); };
    RestorableRegistry registry;
    // The last one never hears of the registry itself.
    std::vector<FollowingVirtualMachine> vms(4);
    std::vector<UpstreamListing> in_flight;
    std::int64_t starts = 0;
    int now = 0;
    for (int step = 0; step < 400; ++step) {
        now += static_cast<int>(below(200));
        auto const time = at_milliseconds(now);
        auto const index = below(vms.size());
        auto& vm = vms[index];
        switch (below(8)) {
        case 0:
        case 1: {
            auto const identity = "u" + std::to_string(below(8));
            std::optional<UpstreamRecord> written;
            if (below(3) != 0) {
                written = record(identity);
                written->started = ++starts;
            }
            registry.write(identity, written);
            break;
        }
        case 2:
        case 3:
            if (index + 1 < vms.size())
                vm.follow(registry, time);
            break;
        case 4:
            in_flight.push_back(vms[below(vms.size())].list.listing_since(vm.list.version()));
            if (below(2) == 0)
                vm.list.merge(in_flight.back(), time);
            break;
        case 5:
            // A delayed response to a request of this VM. A delta requested by another VM would not apply.
            if (!in_flight.empty() && in_flight.back().version <= vm.list.version())
                vm.list.merge(in_flight.back(), time);
            break;
        case 6:
            static_cast<void>(vm.list.advance(time));
            break;
        default:
            if (below(4) == 0)
                registry.restore(below(6));
            break;
        }
    }
    now += 1000;
    for (std::size_t i = 0; i + 1 < vms.size(); ++i)
        vms[i].follow(registry, at_milliseconds(now));
    vms.back().list.merge(vms.front().list.listing_since(vms.back().list.version()), at_milliseconds(now));
    now += 15'000;
    std::map<std::string, UpstreamRecord> expected;
    for (auto const& change : registry.snapshot())
        expected.insert_or_assign(change.identity, *change.record);
    for (std::size_t i = 0; i < vms.size(); ++i) {
        static_cast<void>(vms[i].list.advance(at_milliseconds(now)));
        std::map<std::string, UpstreamRecord> listed;
        for (auto const& known : vms[i].list.records())
            listed.insert_or_assign(known.identity, known);
        CAPTURE(i);
        CHECK(listed == expected);
    }
}

TEST_CASE("Newer state of a peer is fetched only if it does not arrive otherwise", "[platform-down][config]")
{
    using Source = LocalSource;
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
        { "nothing newer", { { 0, 5, 5, Source::Unavailable, false }, { 1000, 4, 5, Source::Unavailable, false } } },
        { "no source of its own", { { 0, 6, 5, Source::Unavailable, true } } },
        { "the source brings it", { { 0, 6, 5, Source::Available, false }, { 200, 6, 6, Source::Available, false }, { 900, 6, 6, Source::Available, false } } },
        { "the source is silent", { { 0, 6, 5, Source::Available, false }, { 299, 6, 5, Source::Available, false }, { 300, 6, 5, Source::Available, true } } },
        { "the patience is for the first news, not for the newest", { { 0, 6, 5, Source::Available, false }, { 200, 7, 5, Source::Available, false }, { 350, 8, 5, Source::Available, true } } },
        { "later news have a patience of their own", { { 0, 6, 5, Source::Available, false }, { 290, 7, 6, Source::Available, false }, { 310, 7, 6, Source::Available, false }, { 590, 7, 6, Source::Available, true } } },
        { "one fetch at a time", { { 0, 6, 5, Source::Unavailable, true }, { 100, 6, 5, Source::Unavailable, false }, { 250, 6, 5, Source::Unavailable, true } } },
        { "watchers may take longer than the registry", { { 0, 6, 5, Source::Watchers, false }, { 599, 6, 5, Source::Watchers, false }, { 600, 6, 5, Source::Watchers, true } } },
        { "what its own watcher tells is asked for at once", { { 0, 6, 5, Source::Watchers, false }, { 50, 6, 5, Source::Unavailable, true } } },
    }));
    PeerFetchPolicy<std::int64_t> tracker({ milliseconds(300), milliseconds(600), milliseconds(250) });
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
        plan.note_update(all[0], at_milliseconds(0));
        CHECK(plan.watches(at_milliseconds(5000)));
        CHECK(plan.listeners().empty());
    }
}

TEST_CASE("In a larger data centre a few VMs watch, and relay to all others", "[config]")
{
    auto const all = names(40);
    std::vector<std::string> watchers;
    for (auto const& name : all) {
        auto const plan = plan_of(all, name);
        if (plan.role() == WatchPlan::Role::Watcher)
            watchers.push_back(name);
    }
    CHECK(watchers.size() == 3);
    for (auto const& name : watchers) {
        auto const plan = plan_of(all, name);
        // This includes the other watchers, as the registry may refuse one of them.
        CHECK(plan.listeners().size() == 39);
        CHECK(std::count(plan.listeners().begin(), plan.listeners().end(), name) == 0);
    }
    // If one of them leaves, the other two remain watchers.
    auto fewer = all;
    std::erase(fewer, watchers[0]);
    auto const after = choose_watchers(fewer, 3);
    CHECK(std::count(after.begin(), after.end(), watchers[1]) == 1);
    CHECK(std::count(after.begin(), after.end(), watchers[2]) == 1);
}

TEST_CASE("A VM watches until it receives regular updates, and again when they stop", "[platform-down][freeze]")
{
    auto const all = names(10);
    auto const order = choose_watchers(all, all.size());
    struct Row {
        std::string name;
        std::size_t rank;
        /// Time after the last update at which it watches again.
        int silence;
    };
    auto const row = GENERATE(values<Row>({ { "the first stand-in", 3, 900 }, { "one behind the first stand-ins", 9, 1800 } }));
    CAPTURE(row.name);
    auto plan = plan_of(all, order[row.rank]);
    REQUIRE(plan.role() == WatchPlan::Role::Listener);
    CHECK(plan.watches(at_milliseconds(0)));
    for (int at = 100; at <= 2100; at += 400)
        plan.note_update(order[0], at_milliseconds(at));
    CHECK(plan.watches(at_milliseconds(1500)));
    CHECK_FALSE(plan.watches(at_milliseconds(1700)));
    CHECK_FALSE(plan.watches(at_milliseconds(2100 + row.silence - 1)));
    CHECK(plan.watches(at_milliseconds(2100 + row.silence)));
    // A single update after the silence is not enough.
    plan.note_update(order[1], at_milliseconds(4500));
    CHECK(plan.watches(at_milliseconds(4600)));
    SECTION("a VM that becomes a watcher watches regardless of updates")
    {
        plan.note_update(order[0], at_milliseconds(4900));
        plan.set_virtual_machines({ order[row.rank], order[0] });
        CHECK(plan.watches(at_milliseconds(5000)));
    }
    SECTION("updates from a VM further back in the order are not relied on, or both would stop")
    {
        for (int at = 4900; at <= 8000; at += 400)
            plan.note_update("vm-that-is-not-listed", at_milliseconds(at));
        auto const behind = choose_watchers(std::vector<std::string> { order[row.rank], "vm-that-is-not-listed" }, 2);
        CHECK(plan.watches(at_milliseconds(8000)) == (behind[0] == order[row.rank]));
    }
    SECTION("a VM that reaches no other VM does not wait for updates")
    {
        plan.set_peer_reachability(WatchPlan::PeerReachability::None);
        for (int at = 4900; at <= 8100; at += 400)
            plan.note_update(order[0], at_milliseconds(at));
        CHECK_FALSE(plan.watches(at_milliseconds(8100 + 899)));
        CHECK(plan.watches(at_milliseconds(8100 + 900)));
        CHECK(plan.maximum_retry_interval(milliseconds(900)) == milliseconds(900));
    }
}

TEST_CASE("Each listener fetches large updates from one watcher, and the watchers share the load", "[config]")
{
    auto const all = names(60);
    std::map<std::string, int> asked;
    for (auto const& name : all) {
        auto const plan = plan_of(all, name);
        CHECK(plan.assigned_watcher().empty() == (plan.role() == WatchPlan::Role::Watcher));
        if (!plan.assigned_watcher().empty())
            ++asked[plan.assigned_watcher()];
    }
    REQUIRE(asked.size() == 3);
    // 57 listeners on three watchers: none has twice its share.
    for (auto const& [watcher, count] : asked)
        CHECK(count < 38);
}

namespace {

/// Data centres of VMs that follow a registry in virtual time by their WatchPlan: each watching VM needs one call per
/// change, and relays it to the others. Simulated in steps of 50 ms.
class WatchedRegistry {
public:
    WatchedRegistry(int data_centres, int virtual_machines)
    {
        for (int data_centre = 0; data_centre < data_centres; ++data_centre) {
            std::vector<std::string> members;
            for (int i = 0; i < virtual_machines; ++i)
                members.push_back("vm-" + std::to_string(data_centre) + "-" + std::to_string(i));
            for (auto const& name : members) {
                this->machines.push_back({ name, data_centre, WatchPlan({}, name) });
                this->machines.back().plan.set_virtual_machines(members);
            }
        }
    }

    struct Machine {
        std::string name;
        int data_centre;
        WatchPlan plan;
        std::int64_t version = 0;
        bool is_refused = false;
        bool is_synchronized = false;
        int failures = 0;
        std::int64_t next_try = 0;
        std::int64_t batches_until = 0;
        std::int64_t next_relay = 0;
    };

    void run(std::int64_t until)
    {
        for (; this->now < until; this->now += STEP) {
            for (auto& machine : this->machines)
                this->watch(machine);
            for (auto& machine : this->machines)
                this->relay(machine);
        }
    }

    std::int64_t oldest() const
    {
        auto const found = std::min_element(this->machines.begin(), this->machines.end(), [](auto const& one, auto const& other) { return one.version < other.version; });
        return found->version;
    }

    static constexpr std::int64_t STEP = 50;
    static constexpr Duration NEWS_TIME = seconds(4);
    std::vector<Machine> machines;
    std::int64_t now = 0;
    std::int64_t version = 1;
    bool is_down = false;
    std::int64_t calls = 0;

private:
    /// Behaves like RegistryFollower: a watch of 4 s returns on a change, and after failures the delay doubles up to
    /// the maximum.
    void watch(Machine& machine)
    {
        auto const time = at_milliseconds(this->now);
        if (!machine.plan.watches(time)) {
            machine.is_synchronized = false;
            return;
        }
        if (this->is_down || machine.is_refused) {
            machine.is_synchronized = false;
            if (this->now < machine.next_try)
                return;
            ++this->calls;
            auto const usual = std::min<std::int64_t>(900, 150 << std::min(++machine.failures, 4));
            auto const shared = to_seconds(machine.plan.maximum_retry_interval(milliseconds(900))) / 0.9;
            machine.next_try = this->now + static_cast<std::int64_t>(static_cast<double>(usual) * shared * 0.75);
            return;
        }
        bool const is_over = !machine.is_synchronized || this->now >= machine.next_try;
        if (this->now < machine.batches_until || (!is_over && machine.version == this->version))
            return;
        ++this->calls;
        machine.failures = 0;
        machine.is_synchronized = true;
        if (machine.version != this->version)
            machine.batches_until = this->now + to_milliseconds(machine.plan.batching_delay(NEWS_TIME));
        machine.version = this->version;
        machine.next_try = this->now + 4000;
        machine.next_relay = 0;
    }

    void relay(Machine& machine)
    {
        if (!machine.is_synchronized || this->now < machine.next_relay)
            return;
        machine.next_relay = this->now + 400;
        for (auto const& listener : machine.plan.listeners()) {
            for (auto& other : this->machines) {
                if (other.name != listener)
                    continue;
                other.plan.note_update(machine.name, at_milliseconds(this->now));
                other.version = std::max(other.version, machine.version);
            }
        }
    }
};

}

// Five data centres of 60 VMs each. If each VM polled by itself, one version would take 300 calls, and ten seconds of a
// registry outage 4,000.
TEST_CASE("Three hundred VMs follow a registry with few calls under all conditions", "[config][platform-down]")
{
    WatchedRegistry registry(5, 60);
    registry.run(5000);
    // On start, each VM watches until the watchers relay to it, and the watchers call once more when their first watch
    // ends.
    CHECK(registry.calls <= 300 + 15);
    CHECK(registry.oldest() == 1);
    registry.calls = 0;

    SECTION("a burst of versions")
    {
        for (int i = 0; i < 20; ++i) {
            ++registry.version;
            registry.run(registry.now + 300);
        }
        registry.run(registry.now + 400);
        CHECK(registry.oldest() == registry.version);
        // One watcher of each data centre reads most versions, and the other two a third of them.
        CHECK(registry.calls <= 20 * 5 + 7 * 10 + 2 * 15);
    }
    SECTION("upstreams that change five times a second")
    {
        for (int i = 0; i < 100; ++i) {
            ++registry.version;
            registry.run(registry.now + 200);
            CHECK(registry.oldest() >= registry.version - 3);
        }
        // If each watcher read each change, there would be 1,500 calls.
        CHECK(registry.calls <= 5 * (50 + 2 * 20) + 15);
    }
    SECTION("no changes")
    {
        registry.run(registry.now + 60'000);
        CHECK(registry.calls <= 15 * 16);
    }
    SECTION("a registry outage")
    {
        registry.is_down = true;
        registry.run(registry.now + 10'000);
        CHECK(registry.calls <= 1500);
        registry.is_down = false;
        ++registry.version;
        registry.run(registry.now + 900);
        CHECK(registry.oldest() == registry.version);
    }
    SECTION("a registry that refuses a third of the VMs, including all watchers of a data centre")
    {
        for (std::size_t i = 0; i < registry.machines.size(); ++i) {
            auto& machine = registry.machines[i];
            machine.is_refused = i % 3 == 0 || (machine.data_centre == 2 && machine.plan.role() == WatchPlan::Role::Watcher);
        }
        ++registry.version;
        registry.run(registry.now + 1500);
        CHECK(registry.oldest() == registry.version);
        registry.calls = 0;
        registry.run(registry.now + 10'000);
        CHECK(registry.calls <= 500);
        ++registry.version;
        registry.run(registry.now + 500);
        CHECK(registry.oldest() == registry.version);
    }
    SECTION("watchers that are paused while others rely on them")
    {
        std::erase_if(registry.machines, [](auto const& machine) { return machine.plan.role() == WatchPlan::Role::Watcher && machine.data_centre == 1; });
        ++registry.version;
        registry.run(registry.now + 1200);
        CHECK(registry.oldest() == registry.version);
    }
}
