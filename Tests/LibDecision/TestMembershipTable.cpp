// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/MembershipTable.h>
#include <Tests/Support/VirtualClock.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

MemberRecord record(std::string name, std::int64_t incarnation = 1)
{
    MemberRecord result;
    result.virtual_machine = std::move(name);
    result.incarnation = incarnation;
    return result;
}

std::vector<ServiceEndpoint> services(std::string const& name)
{
    return { { "directory", "tcp://" + name + ":1", name + ".1" }, { "placement", "tcp://" + name + ":2", name + ".2" } };
}

/// VMs that gossip in virtual time, with two peers a second and seeded message loss.
class Gossip {
public:
    explicit Gossip(int count, std::uint64_t seed, double loss = 0)
        : random(seed)
        , loss(loss)
    {
        for (int i = 0; i < count; ++i) {
            this->names.push_back("vm-" + std::to_string(i));
            this->tables.emplace_back(MembershipTable::Options {}, record(this->names.back()));
            this->unresponsive.push_back(false);
        }
    }

    void introduce_all()
    {
        std::vector<MemberRecord> records;
        for (auto const& name : this->names)
            records.push_back(record(name));
        for (auto& table : this->tables)
            table.merge_records(records, at_milliseconds(0));
    }

    void run_second(MonotonicTime now)
    {
        for (std::size_t i = 0; i < this->tables.size(); ++i) {
            if (this->unresponsive[i])
                continue;
            this->tables[i].update_self(services(this->names[i]), 1);
            this->tables[i].advance(now);
            // VM 0 is the seed of all others.
            if (i != 0 && !this->tables[i].find(this->names[0]))
                this->exchange(i, 0, now);
            for (auto const& target : this->tables[i].next_targets(2))
                this->probe(i, target, now);
        }
    }

    void run(std::int64_t from_second, std::int64_t to_second)
    {
        for (; from_second < to_second; ++from_second)
            this->run_second(at_milliseconds(from_second * 1000));
    }

    bool everyone_sees(std::string const& name, MemberLiveness liveness) const
    {
        for (std::size_t i = 0; i < this->tables.size(); ++i) {
            auto const seen = this->tables[i].find(name);
            if (!this->unresponsive[i] && this->names[i] != name && (!seen || seen->liveness != liveness))
                return false;
        }
        return true;
    }

    std::vector<std::string> names;
    std::vector<MembershipTable> tables;
    std::vector<bool> unresponsive;

private:
    bool is_lost()
    {
        return std::uniform_real_distribution<double>(0, 1)(this->random) < this->loss;
    }

    void probe(std::size_t from, std::string const& target, MonotonicTime now)
    {
        auto const to = static_cast<std::size_t>(std::stoi(target.substr(3)));
        for (int tries = 0; tries < 3; ++tries) {
            if (this->exchange(from, to, now))
                return;
        }
        this->tables[from].mark_suspect(target, now);
    }

    void send(std::size_t from, std::size_t to, MonotonicTime now)
    {
        auto const wanted = this->tables[to].merge_digests(this->tables[from].digests_for(this->names[to]), now);
        std::vector<MemberRecord> records;
        for (auto const& name : wanted) {
            if (auto found = this->tables[from].find(name))
                records.push_back(*found);
        }
        this->tables[to].merge_records(records, now);
    }

    /// Returns true if the acknowledgement arrived.
    bool exchange(std::size_t from, std::size_t to, MonotonicTime now)
    {
        if (from == to || this->unresponsive[to] || this->is_lost())
            return false;
        bool const is_new = !this->tables[to].find(this->names[from]);
        this->send(from, to, now);
        if (this->is_lost())
            return false;
        if (is_new)
            this->tables[from].merge_records(this->tables[to].live_members(), now);
        this->send(to, from, now);
        return true;
    }

    std::mt19937_64 random;
    double loss;
};

}

TEST_CASE("VMs find each other, and an unresponsive VM is suspect, then dead, on all others", "[held][kill]")
{
    for (int const count : { 2, 8, 13, 40, 100 }) {
        CAPTURE(count);
        Gossip gossip(count, 11);
        gossip.run(0, 30);
        for (auto const& name : gossip.names)
            REQUIRE(gossip.everyone_sees(name, MemberLiveness::Alive));
        gossip.unresponsive[0] = true;
        std::int64_t second = 30;
        while (!gossip.everyone_sees("vm-0", MemberLiveness::Dead)) {
            gossip.run_second(at_milliseconds(second++ * 1000));
            REQUIRE(second - 30 <= 12);
        }
        // Not before the suspicion timeout of three seconds.
        CHECK(second - 30 >= 4);
    }
}

TEST_CASE("Losing a tenth of the messages causes no VM to be declared dead", "[held][cut]")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        for (int const count : { 13, 40 }) {
            Gossip gossip(count, seed, 0.1);
            for (std::int64_t second = 0; second < 120; ++second) {
                gossip.run_second(at_milliseconds(second * 1000));
                for (auto const& table : gossip.tables) {
                    for (auto const& member : table.all_members())
                        REQUIRE(member.liveness != MemberLiveness::Dead);
                }
            }
        }
    }
}

TEST_CASE("A VM that is paused for a short time is not declared dead", "[held][freeze]")
{
    Gossip gossip(13, 4);
    gossip.run(0, 20);
    gossip.unresponsive[5] = true;
    gossip.run(20, 23);
    gossip.unresponsive[5] = false;
    for (std::int64_t second = 23; second < 40; ++second) {
        gossip.run(second, second + 1);
        REQUIRE_FALSE(gossip.everyone_sees("vm-5", MemberLiveness::Dead));
    }
    CHECK(gossip.everyone_sees("vm-5", MemberLiveness::Alive));
}

TEST_CASE("A VM that resumes after it was declared dead is alive again on all others", "[held][freeze][lapsed-lease]")
{
    Gossip gossip(13, 4);
    gossip.run(0, 20);
    gossip.unresponsive[5] = true;
    gossip.run(20, 40);
    REQUIRE(gossip.everyone_sees("vm-5", MemberLiveness::Dead));
    gossip.unresponsive[5] = false;
    gossip.run(40, 50);
    CHECK(gossip.everyone_sees("vm-5", MemberLiveness::Alive));
}

TEST_CASE("The size of a heartbeat does not grow with the number of VMs")
{
    for (int const count : { 13, 40, 100 }) {
        Gossip gossip(count, 3);
        gossip.run(0, 60);
        CHECK(gossip.tables[0].digests_for("vm-1").size() <= 10);
        // Without any updates only the VM's own digest is sent.
        CHECK(gossip.tables[0].digests_for("vm-1").size() == 1);
    }
}

TEST_CASE("An outdated record or digest is ignored")
{
    MembershipTable table({}, record("vm-0"));
    auto newer = record("vm-1", 5);
    newer.version = 10;
    newer.services = services("new");
    table.merge_records(std::vector { newer }, at_milliseconds(0));
    auto older = record("vm-1", 4);
    older.version = 99;
    older.services = services("old");
    table.merge_records(std::vector { older }, at_milliseconds(1));
    CHECK(table.find("vm-1")->services == services("new"));
    CHECK(table.merge_digests(std::vector { MemberDigest { "vm-1", 4, 100, MemberLiveness::Dead, 0 } }, at_milliseconds(2)).empty());
    CHECK(table.find("vm-1")->liveness == MemberLiveness::Alive);
}

TEST_CASE("Only the VM itself can refute a suspicion, with a higher version")
{
    MembershipTable table({}, record("vm-0"));
    MembershipTable other({}, record("vm-1"));
    table.merge_records(std::vector { other.self() }, at_milliseconds(0));
    table.mark_suspect("vm-1", at_milliseconds(0));
    REQUIRE(table.find("vm-1")->liveness == MemberLiveness::Suspect);
    table.merge_records(std::vector { other.self() }, at_milliseconds(10));
    CHECK(table.find("vm-1")->liveness == MemberLiveness::Suspect);
    other.merge_digests(table.digests_for("vm-1"), at_milliseconds(20));
    CHECK(table.merge_digests(other.digests_for("vm-0"), at_milliseconds(30)) == std::vector<std::string> { "vm-1" });
    table.merge_records(std::vector { other.self() }, at_milliseconds(40));
    CHECK(table.find("vm-1")->liveness == MemberLiveness::Alive);
    table.advance(at_milliseconds(10'000));
    CHECK(table.find("vm-1")->liveness == MemberLiveness::Alive);
}

TEST_CASE("A VM that receives a newer record of itself supersedes it")
{
    MembershipTable table({}, record("vm-0", 5));
    table.merge_digests(std::vector { MemberDigest { "vm-0", 7, 1000, MemberLiveness::Alive, 0 } }, at_milliseconds(0));
    CHECK(table.self().incarnation == 7);
    CHECK(table.self().version == 1001);
}

TEST_CASE("Leaving is announced by the VM itself and lasts until it is gone", "[planned-stop]")
{
    Gossip gossip(8, 5);
    gossip.run(0, 20);
    gossip.tables[3].leave();
    gossip.run(20, 30);
    CHECK(gossip.everyone_sees("vm-3", MemberLiveness::Leaving));
    gossip.unresponsive[3] = true;
    gossip.run(30, 45);
    CHECK(gossip.everyone_sees("vm-3", MemberLiveness::Dead));
}

namespace {

/// VMs that all start within 0.3 s, as after a power failure, and find each other through three seeds. Simulated in
/// steps of 10 ms, with messages that arrive within a step. Counts the bytes of keys and records that each VM sends.
class FleetStart {
public:
    explicit FleetStart(int count)
    {
        for (int i = 0; i < count; ++i) {
            auto const name = "vm-" + std::to_string(i);
            this->machines.push_back({ name, MembershipTable(MembershipTable::Options {}, record(name, 1000 + i)), (i * 7919) % 30 * STEP });
            this->machines.back().table.update_self(services(name), 1);
        }
    }

    void run(std::int64_t until)
    {
        for (; this->now < until; this->now += STEP) {
            for (std::size_t i = 0; i < this->machines.size(); ++i)
                this->run_step(i);
        }
    }

    bool everyone_knows_all() const
    {
        return std::all_of(this->machines.begin(), this->machines.end(), [&](auto const& machine) { return machine.table.live_members().size() == this->machines.size(); });
    }

    struct Machine {
        std::string name;
        MembershipTable table;
        std::int64_t start;
        std::size_t sent_bytes = 0;
    };

    static constexpr std::int64_t STEP = 10;
    static constexpr std::size_t SEEDS = 3;
    static constexpr std::size_t KEY_BYTES = 8;
    /// A name, an address, an incarnation and five services.
    static constexpr std::size_t RECORD_BYTES = 150;
    std::vector<Machine> machines;
    std::int64_t now = 0;

private:
    void run_step(std::size_t index)
    {
        auto& machine = this->machines[index];
        auto const age = this->now - machine.start;
        if (age < 0)
            return;
        if (age % 500 == 0) {
            for (std::size_t seed = 0; seed < SEEDS; ++seed) {
                if (seed != index && !machine.table.find(this->machines[seed].name))
                    this->exchange_keys(index, seed);
            }
        }
        if (age % 150 == 0 && age <= 1500) {
            for (auto const& target : machine.table.next_targets(1))
                this->exchange_keys(index, static_cast<std::size_t>(std::stoi(target.substr(3))));
        }
    }

    void exchange_keys(std::size_t from, std::size_t to)
    {
        auto const time = at_milliseconds(this->now);
        auto& asker = this->machines[from];
        auto& responder = this->machines[to];
        if (this->now < responder.start)
            return;
        auto const keys = asker.table.keys();
        bool const is_new = !responder.table.find(asker.name);
        std::vector<MemberRecord> const own = { asker.table.self() };
        responder.table.merge_records(own, time);
        auto const difference = responder.table.compare_keys(asker.name, keys, is_new ? 24 : 96);
        asker.table.merge_records(difference.missing_records, time);
        auto const received = asker.table.records_of(difference.unknown_keys);
        responder.table.merge_records(received, time);
        asker.sent_bytes += keys.size() * KEY_BYTES + (received.size() + 1) * RECORD_BYTES;
        responder.sent_bytes += difference.missing_records.size() * RECORD_BYTES + difference.unknown_keys.size() * KEY_BYTES;
    }
};

}

// All VMs of a large deployment restart together after a power failure. If each of the three seeds sent its list of 350
// VMs to each VM, 55 MB would have to pass through three links of 2.5 MB/s.
TEST_CASE("Hundreds of VMs that start together all know each other within 1.5 seconds", "[kill][power]")
{
    FleetStart fleet(350);
    fleet.run(300 + 1500);
    CHECK(fleet.everyone_knows_all());
    for (auto const& machine : fleet.machines) {
        CAPTURE(machine.name);
        CHECK(machine.sent_bytes < 2'500'000);
    }
    auto const usual = fleet.machines[100].sent_bytes;
    CHECK(usual < 300'000);
}

TEST_CASE("A peer sends the records that a VM is missing, requests those it is missing itself, and omits dead VMs")
{
    MembershipTable table(MembershipTable::Options {}, record("vm-0"));
    std::vector<MemberRecord> const known = { record("vm-1"), record("vm-2", 5), record("vm-3") };
    table.merge_records(known, at_milliseconds(0));
    CHECK(table.mark_suspect("vm-3", at_milliseconds(0)) == MembershipTable::Suspicion::New);
    CHECK(table.mark_suspect("vm-3", at_milliseconds(100)) == MembershipTable::Suspicion::Known);
    table.advance(at_milliseconds(4000));
    CHECK(table.keys().size() == 3);
    // The peer has an earlier incarnation of vm-2 and knows a VM that is unknown here.
    std::vector<std::uint64_t> const keys = { member_key(record("vm-9")), member_key(record("vm-2", 4)), member_key(record("vm-0")), member_key(record("vm-1")) };
    auto const difference = table.compare_keys("vm-9", keys, 10);
    REQUIRE(difference.missing_records.size() == 1);
    CHECK(difference.missing_records[0].virtual_machine == "vm-2");
    CHECK(difference.unknown_keys.size() == 2);
    CHECK(table.compare_keys("vm-9", {}, 2).missing_records.size() == 2);
    CHECK(table.compare_keys("vm-9", {}, 0).missing_records.empty());
    CHECK(table.records_of(keys).size() == 2);
}

namespace {

/// The VMs "own-1" and "own-2" of one data centre and "far-1" and "far-2" of another, as seen by "own-1".
class TwoDataCentres {
public:
    TwoDataCentres()
    {
        std::vector<MemberRecord> const others { record("own-2"), record("far-1"), record("far-2") };
        this->table.merge_records(others, this->now);
    }

    /// Suspects the VMs and advances the time.
    void suspect(std::initializer_list<char const*> names, Duration passed)
    {
        for (auto const* name : names)
            this->table.mark_suspect(name, this->now);
        this->elapse(passed);
    }

    void elapse(Duration passed)
    {
        auto const until = this->now + passed;
        for (; this->now < until; this->now += seconds(1))
            this->table.advance(this->now, data_centre_of);
    }

    static std::string data_centre_of(MemberRecord const& member) { return member.virtual_machine.substr(0, 3); }

    void receive(std::string const& name, MemberLiveness liveness, std::int64_t version)
    {
        auto received = record(name);
        received.liveness = liveness;
        received.version = version;
        this->table.merge_records(std::array { received }, this->now);
    }

    MembershipTable table { MembershipTable::Options {}, record("own-1") };
    MonotonicTime now {};
};

}

TEST_CASE("VMs that are suspect or dead keep their share of a common limit", "[retry-budget][quota][cut]")
{
    TwoDataCentres test;
    CHECK(test.table.count() == VirtualMachineCount { 4, 0 });
    CHECK(test.table.count().share_of_each() == 0.25);
    test.suspect({ "far-1" }, seconds(1));
    CHECK(test.table.count() == VirtualMachineCount { 3, 1 });
    test.elapse(seconds(5));
    REQUIRE(test.table.find("far-1")->liveness == MemberLiveness::Dead);
    CHECK(test.table.count() == VirtualMachineCount { 3, 1 });
    CHECK(test.table.count().share_of_each() == 0.25);
}

// Regions are partitioned from each other for an hour, and both sides go on serving.
TEST_CASE("VMs of an unresponsive data centre are counted for as long as none of it responds", "[retry-budget][quota][cut]")
{
    TwoDataCentres test;
    test.suspect({ "far-1", "far-2" }, seconds(3600));
    CHECK(test.table.count() == VirtualMachineCount { 2, 2 });
    // One VM of the data centre responds again, so the other one is known to be dead.
    test.receive("far-1", MemberLiveness::Alive, 1);
    test.elapse(seconds(2));
    CHECK(test.table.count() == VirtualMachineCount { 3, 0 });
}

TEST_CASE("On the isolated side of a partition the other VMs are missing before each of them is suspected", "[retry-budget][quota][cut]")
{
    TwoDataCentres test;
    CHECK(test.table.count_in_partition("own", TwoDataCentres::data_centre_of) == VirtualMachineCount { 2, 2 });
    test.suspect({ "far-1" }, seconds(1));
    CHECK(test.table.count_in_partition("own", TwoDataCentres::data_centre_of) == VirtualMachineCount { 2, 2 });
}

TEST_CASE("A dead VM of a data centre that responds is forgotten", "[kill]")
{
    TwoDataCentres test;
    test.suspect({ "own-2", "far-1" }, seconds(200));
    CHECK(test.table.count() == VirtualMachineCount { 2, 0 });
    CHECK_FALSE(test.table.find("own-2"));
}

TEST_CASE("A VM that left as planned is not missing, and one that returns and dies is", "[planned-stop]")
{
    TwoDataCentres test;
    test.receive("far-1", MemberLiveness::Leaving, 1);
    test.receive("far-2", MemberLiveness::Leaving, 1);
    CHECK(test.table.count() == VirtualMachineCount { 2, 0 });
    test.suspect({ "far-1", "far-2" }, seconds(10));
    CHECK(test.table.count() == VirtualMachineCount { 2, 0 });
    test.receive("far-1", MemberLiveness::Alive, 2);
    test.suspect({ "far-1" }, seconds(10));
    CHECK(test.table.count() == VirtualMachineCount { 2, 1 });
    // The other VM's data centre does not respond, but that VM left as planned.
    test.elapse(seconds(3600));
    CHECK_FALSE(test.table.find("far-2"));
}

namespace {

/// VMs that know each other from the start.
std::vector<MembershipTable> make_connected_tables(std::size_t count)
{
    std::vector<MemberRecord> records;
    for (std::size_t i = 0; i < count; ++i)
        records.push_back(record("vm-" + std::to_string(i)));
    std::vector<MembershipTable> tables;
    for (auto const& own : records) {
        tables.emplace_back(MembershipTable::Options {}, own);
        tables.back().merge_records(records, at_milliseconds(0));
    }
    return tables;
}

}

TEST_CASE("The number of VMs that a VM probes is independent of the number of VMs, and each is probed by some", "[fleet]")
{
    auto const count = static_cast<std::size_t>(GENERATE(100, 1000));
    auto tables = make_connected_tables(count);
    std::map<std::string, std::size_t> probed_by;
    for (auto& table : tables) {
        std::set<std::string> probed;
        for (int period = 0; period < 200; ++period) {
            for (auto const& target : table.next_targets(2))
                probed.insert(target);
        }
        CHECK(probed.size() == 32);
        for (auto const& target : probed)
            ++probed_by[target];
    }
    REQUIRE(probed_by.size() == count);
    auto const least = std::min_element(probed_by.begin(), probed_by.end(), [](auto const& a, auto const& b) { return a.second < b.second; });
    CHECK(least->second >= 8);
}

TEST_CASE("A suspect is probed by some VMs in each period, not by all of a thousand", "[fleet][freeze]")
{
    auto const count = static_cast<std::size_t>(GENERATE(100, 1000));
    auto tables = make_connected_tables(count);
    for (auto& table : tables)
        table.mark_suspect("vm-7", at_milliseconds(0));
    for (int period = 0; period < 5; ++period) {
        std::size_t probes = 0;
        for (auto& table : tables) {
            auto const targets = table.next_targets(2);
            probes += static_cast<std::size_t>(std::count(targets.begin(), targets.end(), "vm-7"));
        }
        CHECK(probes >= 16);
        CHECK(probes <= 128);
    }
}

TEST_CASE("An unresponsive VM is dead on all others as soon among 300 VMs as among 30", "[fleet][kill]")
{
    auto const count = GENERATE(30, 300);
    Gossip gossip(count, 11);
    gossip.introduce_all();
    // By then the updates about all VMs have been transmitted.
    gossip.run(0, 40);
    REQUIRE(gossip.everyone_sees("vm-23", MemberLiveness::Alive));
    gossip.unresponsive[23] = true;
    gossip.run(40, 50);
    CHECK(gossip.everyone_sees("vm-23", MemberLiveness::Dead));
}
