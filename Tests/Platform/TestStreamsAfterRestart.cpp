// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <Tests/Platform/VersionedDeployment.h>
#include <catch2/catch.hpp>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

constexpr int STREAMS = 12;

/// VMs that know of each other but not of the test's own node, so that all that served a stream can be killed.
class RestartedDeployment : public VersionedDeployment {
public:
    RestartedDeployment()
    {
        for (int i = 0; i < STREAMS; ++i)
            this->names.push_back("s" + std::to_string(i));
    }

    void start(std::initializer_list<std::string> virtual_machines)
    {
        std::vector<std::string> seeds;
        for (auto const& name : virtual_machines)
            seeds.push_back(this->add_virtual_machine(name, seeds, "dc", NodeSettings {}.longest_absence).wire_address());
    }

    void kill_all()
    {
        while (!this->others.empty())
            this->kill_last();
    }

    void add_slow_version(std::string const& version)
    {
        this->add_version(version, 2);
        for (auto const& engine : this->engines)
            engine->event_pause = milliseconds(15);
    }

    void begin_recorded_streams(Address const& address)
    {
        this->begun = this->begin_streams(address, this->names);
        REQUIRE(this->run_until([&] { return this->recorded_streams() == this->names.size(); }));
    }

    struct Resumed {
        int served = 0;
        int refused = 0;
        /// Streams with events of several versions.
        int mixed = 0;
    };
    /// Takes each stream up.
    Resumed resume_all(Address const& address, std::string const& suffix)
    {
        Resumed resumed;
        for (std::size_t i = 0; i < this->names.size(); ++i) {
            auto const next = this->call(address, this->resumption(this->names[i] + suffix, this->names[i], 2));
            resumed.served += next.head.status == 200 ? 1 : 0;
            resumed.refused += next.head.status == 503 ? 1 : 0;
            resumed.mixed += versions_in(this->begun[i].body + next.body).size() > 1 ? 1 : 0;
        }
        return resumed;
    }

    std::vector<std::string> names;
    std::vector<CallerAnswer> begun;
};

}

// Guards against streams that are refused, or continue at another software version, after all VMs were killed.
TEST_CASE("A stream that its caller takes up after all VMs were killed continues at the software version that began it", "[stream-versions][restart]")
{
    auto const versions = GENERATE(as<std::vector<std::string>> {}, std::vector<std::string> { "v1" }, std::vector<std::string> { "v1", "v2" });
    RestartedDeployment test;
    test.configure(1);
    for (auto const& version : versions)
        test.add_slow_version(version);
    test.start({ "vm-2", "vm-3" });
    test.begin_recorded_streams(test.others.front()->caller_address());
    test.kill_all();
    test.start({ "vm-2", "vm-3" });
    for (auto const& other : test.others) {
        auto const resumed = test.resume_all(other->caller_address(), "-at-" + std::to_string(&other - test.others.data()));
        CHECK(resumed.served == STREAMS);
        CHECK(resumed.mixed == 0);
    }
}

// Guards against streams that continue at a version that came while no VM ran.
TEST_CASE("A stream whose version was replaced while no VM ran is refused, also after several times its route's timeout", "[stream-versions][restart]")
{
    bool const is_recorded = GENERATE(true, false);
    RestartedDeployment test;
    test.configure(1, [](auto& json) {
        for (auto& route : json["routes"])
            route["timeout_ms"] = 500;
    });
    test.add_slow_version("v1");
    test.start({ "vm-2" });
    test.begin_recorded_streams(test.others.front()->caller_address());
    test.kill_all();
    for (auto const& engine : test.engines)
        test.store.remove("servers", engine->identity);
    if (!is_recorded) {
        for (auto const& [key, row] : test.recorded_rows())
            test.store.remove("stream-origins", key);
    }
    test.add_slow_version("v2");
    test.start({ "vm-3" });
    auto const started = monotonic_now();
    int tries = 0;
    // Several times the route's timeout.
    while (monotonic_now() - started < seconds(2)) {
        auto const resumed = test.resume_all(test.others.front()->caller_address(), "-" + std::to_string(++tries));
        CHECK(resumed.refused == STREAMS);
        CHECK(resumed.mixed == 0);
    }
}

// Guards against origins that are lost with the store's latest writes.
TEST_CASE("Origins of streams are written again after the store was restored from an older copy", "[stream-versions][restart]")
{
    RestartedDeployment test;
    test.configure(1);
    test.add_slow_version("v1");
    test.start({ "vm-2" });
    auto const older = test.store.copy();
    test.begin_recorded_streams(test.others.front()->caller_address());
    test.store.return_from(older);
    REQUIRE(test.recorded_streams() == 0);
    REQUIRE(test.run_until([&] { return test.recorded_streams() == STREAMS; }));
}

// Guards against streams that are lost since the store was away while they began.
TEST_CASE("Origins of streams that begin while the store takes no writes are written once it does", "[stream-versions][restart]")
{
    auto const fault = GENERATE(StoreStandIn::Fault::Busy, StoreStandIn::Fault::TooMany, StoreStandIn::Fault::Garbage, StoreStandIn::Fault::LostWrites);
    RestartedDeployment test;
    test.configure(1);
    test.add_slow_version("v1");
    test.add_slow_version("v2");
    test.start({ "vm-2" });
    test.store.set_fault(fault);
    auto const writes = test.store.writes;
    test.begun = test.begin_streams(test.others.front()->caller_address(), test.names);
    REQUIRE(test.run_until([&] { return test.store.writes > writes; }));
    test.store.set_fault(StoreStandIn::Fault::None);
    REQUIRE(test.run_until([&] { return test.recorded_streams() >= STREAMS; }));
    test.kill_all();
    test.start({ "vm-3" });
    auto const resumed = test.resume_all(test.others.front()->caller_address(), "-2");
    CHECK(resumed.served == STREAMS);
    CHECK(resumed.mixed == 0);
}

// Guards against VMs that stop to serve, or join versions, when another writer's row is among the origins.
TEST_CASE("Rows of origins that cannot be read hold none, and the others hold", "[stream-versions][restart]")
{
    RestartedDeployment test;
    test.configure(1);
    test.add_slow_version("v1");
    test.add_slow_version("v2");
    test.start({ "vm-2" });
    test.begin_recorded_streams(test.others.front()->caller_address());
    test.kill_all();
    int number = 0;
    for (auto const* text : { "[]", "1e999", R"({"origins":[[]]})", R"({"origins":[{"service":"engines","version":"v1","streams":[1]}]})", R"({"origins":[{"service":7,"version":"v1","streams":[]}]})", R"({"origins":[{"service":"engines","version":"v1","streams":["xyz"]}]})" })
        test.store.put("stream-origins", "odd-" + std::to_string(++number), nlohmann::json::parse(text, nullptr, false));
    test.start({ "vm-3" });
    auto const resumed = test.resume_all(test.others.front()->caller_address(), "-2");
    CHECK(resumed.served == STREAMS);
    CHECK(resumed.mixed == 0);
}
