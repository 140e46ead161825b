// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <LibRouter/RegistryRelay.h>
#include <Tests/Support/LoopKernel.h>
#include <Tests/Support/StorePositions.h>
#include <asio.hpp>
#include <catch2/catch.hpp>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

/// A VM reduced to its relay; the test sets what the registry would provide.
struct RelayVirtualMachine {
    RelayVirtualMachine(asio::io_context& loop, std::string const& name)
    {
        this->kernel = make_loop_kernel(loop, name);
        RegistryRelay::Hooks hooks;
        hooks.on_configuration = [this](auto const& document) {
            this->configurations.push_back(document.text);
            this->configuration = this->takes_configuration;
        };
        hooks.on_upstreams = [this] { ++this->changes; };
        hooks.configuration_version = [this] { return this->configuration; };
        hooks.follows_configuration = [this] { return this->follows && this->follows_configuration; };
        hooks.follows_upstreams = [this] { return this->follows; };
        RegistryRelay::Options relay_options { "dc" };
        relay_options.plan.watchers = 1;
        relay_options.plan.minimum_data_centre_size = 2;
        this->relay = std::make_unique<RegistryRelay>(relay_options, *this->kernel, this->upstreams, std::move(hooks));
        this->relay->host();
        this->kernel->start();
    }

    void change(std::string const& identity, std::int64_t version)
    {
        UpstreamRecord record;
        record.identity = identity;
        record.address = "127.0.0.1:1";
        this->upstreams.apply({ identity, record, { 0, version } }, monotonic_now());
    }

    std::unique_ptr<Kernel> kernel;
    UpstreamList upstreams { UpstreamList::Options {} };
    std::int64_t configuration = 0;
    /// The version of the configuration that a peer serves.
    std::int64_t takes_configuration = 0;
    bool follows = true;
    bool follows_configuration = true;
    int changes = 0;
    std::vector<std::string> configurations;
    std::unique_ptr<RegistryRelay> relay;
};

/// Three VMs of one data centre on one loop, one of which watches the registry.
struct RelayTest {
    RelayTest()
    {
        std::vector<MemberRecord> members;
        for (auto const* name : { "vm-1", "vm-2", "vm-3" })
            this->machines.push_back(std::make_unique<RelayVirtualMachine>(this->loop, name));
        for (auto const& machine : this->machines)
            members.push_back(member_of(*machine->kernel));
        for (auto const& machine : this->machines)
            machine->kernel->directory().replace(1, 0, members, {});
        auto const watcher_name = choose_watchers(std::vector<std::string> { "vm-1", "vm-2", "vm-3" }, 1).front();
        for (auto const& machine : this->machines)
            (machine->kernel->virtual_machine() == watcher_name ? this->watcher : this->listeners).push_back(machine.get());
    }
    ~RelayTest() { this->loop.stop(); }

    void start()
    {
        for (auto const& machine : this->machines)
            machine->relay->start();
    }

    bool run_until(std::function<bool()> const& condition) { return run_loop_until(this->loop, condition); }

    asio::io_context loop { 1 };
    std::vector<std::unique_ptr<RelayVirtualMachine>> machines;
    std::vector<RelayVirtualMachine*> watcher;
    std::vector<RelayVirtualMachine*> listeners;
};

}

TEST_CASE("Listeners receive the updates of their watcher and stop watching", "[leaving]")
{
    RelayTest test;
    test.watcher[0]->change("a", 3);
    test.start();
    for (auto const* listener : test.listeners)
        CHECK(listener->relay->watches());
    REQUIRE(test.run_until([&] { return !test.listeners[0]->relay->watches() && !test.listeners[1]->relay->watches(); }));
    CHECK(test.watcher[0]->relay->watches());
    // Listeners without a list fetched the whole list.
    for (auto const* listener : test.listeners)
        CHECK(listener->upstreams.takes_work("a"));
    test.watcher[0]->change("b", 5);
    test.watcher[0]->upstreams.apply({ "a", {}, 6_v }, monotonic_now());
    test.watcher[0]->relay->publish();
    REQUIRE(test.run_until([&] { return test.listeners[0]->upstreams.version() == 6_v && test.listeners[1]->upstreams.version() == 6_v; }));
    for (auto const* listener : test.listeners) {
        CHECK(listener->upstreams.takes_work("b"));
        CHECK_FALSE(listener->upstreams.takes_work("a"));
        CHECK(listener->changes == 2);
    }
}

TEST_CASE("A watcher without updates from the registry publishes nothing, and its listeners watch again", "[platform-down]")
{
    RelayTest test;
    test.start();
    REQUIRE(test.run_until([&] { return !test.listeners[0]->relay->watches(); }));
    test.watcher[0]->follows = false;
    REQUIRE(test.run_until([&] { return test.listeners[0]->relay->watches() && test.listeners[1]->relay->watches(); }));
}

TEST_CASE("A VM that cannot follow the registry fetches the contents from a peer", "[platform-down][config]")
{
    RelayTest test;
    auto& knows = *test.watcher[0];
    auto& lacks = *test.listeners[0];
    knows.change("a", 3);
    knows.configuration = 7;
    knows.relay->set_document({ "the configuration" });
    lacks.follows = false;
    lacks.relay->handle_upstreams_version(knows.kernel->endpoint(), 3_v);
    lacks.relay->handle_configuration_version(knows.kernel->endpoint(), 7);
    REQUIRE(test.run_until([&] { return lacks.upstreams.takes_work("a") && !lacks.configurations.empty(); }));
    CHECK(lacks.configurations == std::vector<std::string> { "the configuration" });
}

TEST_CASE("A VM that follows the registry fetches from a peer only what stays outstanding", "[config]")
{
    RelayTest test;
    auto& knows = *test.watcher[0];
    auto& lacks = *test.listeners[0];
    knows.change("a", 3);
    lacks.relay->handle_upstreams_version(knows.kernel->endpoint(), 3_v);
    CHECK_FALSE(lacks.kernel->sent_traffic().contains("get_upstreams"));
    // The following heartbeats announce the version again.
    REQUIRE(test.run_until([&] {
        lacks.relay->handle_upstreams_version(knows.kernel->endpoint(), 3_v);
        return lacks.upstreams.takes_work("a");
    }));
    CHECK(lacks.kernel->sent_traffic().contains("get_upstreams"));
}

TEST_CASE("Listeners fetch a configuration from their watcher once, and none that they already have", "[config]")
{
    RelayTest test;
    auto& knows = *test.watcher[0];
    knows.configuration = 7;
    knows.relay->set_document({ "the configuration" });
    for (auto* listener : test.listeners) {
        listener->configuration = 5;
        listener->takes_configuration = 7;
    }
    test.start();
    REQUIRE(test.run_until([&] { return test.listeners[0]->configuration == 7 && test.listeners[1]->configuration == 7; }));
    REQUIRE(test.run_until([&] { return !test.listeners[0]->relay->watches() && !test.listeners[1]->relay->watches(); }));
    for (auto const* listener : test.listeners) {
        CHECK(listener->configurations == std::vector<std::string> { "the configuration" });
        CHECK(listener->kernel->sent_traffic().at("get_configuration").messages == 1);
    }
    // The next version is fetched at its first announcement.
    knows.configuration = 9;
    knows.relay->set_document({ "the next one" });
    for (auto* listener : test.listeners)
        listener->takes_configuration = 9;
    knows.relay->publish();
    REQUIRE(test.run_until([&] { return test.listeners[0]->configuration == 9 && test.listeners[1]->configuration == 9; }));
    for (auto const* listener : test.listeners)
        CHECK(listener->kernel->sent_traffic().at("get_configuration").messages == 2);
}

TEST_CASE("A watcher that follows only a part of the registry publishes nothing", "[config][platform-down]")
{
    RelayTest test;
    test.watcher[0]->follows_configuration = false;
    test.watcher[0]->change("a", 3);
    test.watcher[0]->relay->publish();
    test.start();
    test.watcher[0]->follows_configuration = true;
    REQUIRE(test.run_until([&] { return !test.listeners[0]->relay->watches(); }));
    test.watcher[0]->follows_configuration = false;
    auto const told = test.watcher[0]->kernel->sent_traffic().at("registry_news").messages;
    REQUIRE(test.run_until([&] { return test.listeners[0]->relay->watches() && test.listeners[1]->relay->watches(); }));
    CHECK(test.watcher[0]->kernel->sent_traffic().at("registry_news").messages == told);
}

// Guards against listeners that stop watching for a watcher which has not heard of a restoration, and whose updates they cannot use.
TEST_CASE("A watcher of an earlier era is not relied on", "[leaving][platform-down]")
{
    RelayTest test;
    test.watcher[0]->upstreams.replace({}, { 1, 120 }, monotonic_now());
    for (auto* listener : test.listeners) {
        listener->upstreams.replace({}, { 2, 95 }, monotonic_now());
        // The watcher would hear of the later era from them.
        listener->follows = false;
    }
    test.start();
    // Each version of the configuration takes one more update.
    for (std::int64_t version = 1; version <= 8; ++version) {
        test.watcher[0]->relay->set_document({ std::to_string(version) });
        test.watcher[0]->configuration = version;
        for (auto* listener : test.listeners) {
            listener->takes_configuration = version;
            REQUIRE(test.run_until([&] { return listener->configuration == version; }));
            CHECK(listener->relay->watches());
        }
    }
    test.watcher[0]->upstreams.replace({}, { 2, 96 }, monotonic_now());
    CHECK(test.run_until([&] { return !test.listeners[0]->relay->watches() && !test.listeners[1]->relay->watches(); }));
}

// Guards against a VM that still has the earlier era and tells others of it.
TEST_CASE("VMs that hear of a restored registry at different times agree on the later era", "[leaving][platform-down][cut]")
{
    RelayTest test;
    auto const keep = [&](RelayVirtualMachine& machine, std::vector<std::string> const& identities, StorePosition position) {
        std::vector<UpstreamChange> listed;
        for (auto const& identity : identities) {
            UpstreamRecord record;
            record.identity = identity;
            record.address = "127.0.0.1:1";
            listed.push_back({ identity, record, position });
        }
        machine.upstreams.replace(listed, position, monotonic_now());
    };
    for (auto const& machine : test.machines)
        keep(*machine, { "a", "lost" }, { 1, 120 });
    auto& informed = *test.machines[0];
    auto& late = *test.machines[1];
    auto& cut_off = *test.machines[2];
    informed.follows = late.follows = cut_off.follows = false;
    keep(informed, { "a" }, { 2, 95 });
    REQUIRE(informed.upstreams.version() == StorePosition(2, 95));

    // The version of the earlier era is higher, and neither announced nor fetched in the place of the later one.
    informed.relay->handle_upstreams_version(cut_off.kernel->endpoint(), cut_off.upstreams.version());
    late.relay->handle_upstreams_version(informed.kernel->endpoint(), informed.upstreams.version());
    REQUIRE(test.run_until([&] { return late.upstreams.version() == StorePosition(2, 95); }));
    late.relay->handle_upstreams_version(cut_off.kernel->endpoint(), cut_off.upstreams.version());
    CHECK(late.upstreams.takes_work("a"));
    CHECK(late.upstreams.takes_work("lost"));
    REQUIRE(test.run_until([&] {
        static_cast<void>(informed.upstreams.advance(monotonic_now()));
        static_cast<void>(late.upstreams.advance(monotonic_now()));
        return informed.upstreams.find("lost") == nullptr && late.upstreams.find("lost") == nullptr;
    }));
    CHECK(informed.changes == 0);
    CHECK(late.changes == 1);
    CHECK(cut_off.upstreams.version() == StorePosition(1, 120));
    cut_off.relay->handle_upstreams_version(late.kernel->endpoint(), late.upstreams.version());
    REQUIRE(test.run_until([&] { return cut_off.upstreams.version() == StorePosition(2, 95); }));
}
