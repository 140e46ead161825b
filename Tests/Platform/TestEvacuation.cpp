// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <LibCore/LogLine.h>
#include <Tests/Platform/PeerVirtualMachine.h>
#include <Tests/Platform/TwoDataCentres.h>
#include <catch2/catch.hpp>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

struct EvacuationTest : TwoDataCentres {
    EvacuationTest()
    {
        this->configure(1);
        this->list_all();
    }

    void wait_for(std::string const& identity, UpstreamRecord::Life life)
    {
        REQUIRE(this->run_until([&] { return this->node->knows_upstream(identity, life); }));
    }

    void call_all(std::string const& name, int status = 200)
    {
        for (int i = 0; i < 4; ++i) {
            auto const number = name + std::to_string(i);
            CHECK(this->call(this->request("GET", "/safe/x", "safe" + number)).head.status == status);
            CHECK(this->call(this->request("POST", "/once/x", "once" + number)).head.status == status);
            CHECK(this->call(this->model_request("/stream/x", "stream" + number)).head.status == status);
        }
    }
};

}

TEST_CASE("An evacuated data centre's upstreams get neither calls nor prompts nor answers to make", "[evacuation]")
{
    EvacuationTest test;
    test.store.put("op", "evacuate/there", nlohmann::json::object());
    test.wait_for("i-6", UpstreamRecord::Life::Leaving);
    test.call_all("a");
    CHECK(test.sent_there() == 0);
    test.store.remove("op", "evacuate/there");
    test.wait_for("i-6", UpstreamRecord::Life::Serving);
}

TEST_CASE("A VM goes on to serve its callers where its own data centre's upstreams are evacuated", "[evacuation]")
{
    EvacuationTest test;
    test.store.put("op", "evacuate/dc", nlohmann::json::object());
    test.wait_for("i-4", UpstreamRecord::Life::Leaving);
    test.call_all("a");
    CHECK(test.sent_here() == 0);
    test.store.put("op", "evacuate/there", nlohmann::json::object());
    test.wait_for("i-6", UpstreamRecord::Life::Leaving);
    // Refused at once, and it has not run.
    test.call_all("b", 503);
    CHECK(test.sent_here() == 0);
}

TEST_CASE("An evacuation is in force for a VM that starts, and for what the store says of it later", "[evacuation][platform-down]")
{
    NodeUnderTest test;
    UpstreamStandIn there(test.loop, "i-2");
    there.data_centre = "there";
    test.store.put("op", "evacuate/there", nlohmann::json::object());
    test.configure(1);
    test.store.put("servers", there.identity, there.entry("plain"));
    REQUIRE(test.run_until([&] { return test.node->knows_upstream("i-2", UpstreamRecord::Life::Leaving); }));
    CHECK(test.call(test.request("GET", "/safe/x", "a")).head.status == 503);
    // The end of it is in the history that is lost.
    test.store.set_fault(StoreStandIn::Fault::HistoryGone);
    test.store.remove("op", "evacuate/there");
    REQUIRE(test.run_until([&] { return test.node->knows_upstream("i-2", UpstreamRecord::Life::Serving); }));
    CHECK(test.call(test.request("GET", "/safe/x", "b")).head.status == 200);
}

TEST_CASE("Where the store turns a VM away it hears of an evacuation from any other VM, and tells it on", "[evacuation][platform-down][cut]")
{
    EvacuationTest test;
    PeerVirtualMachine peer(test, "vm-2");
    test.beside = [&] { peer.run(); };
    REQUIRE(peer.is_seen_by(test));
    test.store.set_fault(StoreStandIn::Fault::Busy);
    peer.evacuations.merge({ EvacuationUpdate::Extent::Delta, { { "there", { 1, 900 }, Evacuation::State::Ordered } }, {} }, monotonic_now());
    test.wait_for("i-6", UpstreamRecord::Life::Leaving);
    PeerVirtualMachine other(test, "vm-3");
    test.beside = [&] { other.run(); };
    REQUIRE(test.run_until([&] { return other.evacuations.is_evacuated("there"); }));
}

TEST_CASE("A row that names no data centre is passed over, and the others hold", "[evacuation][bad-input]")
{
    EvacuationTest test;
    std::vector<std::string> faults;
    LogLine::set_observer([&](std::string_view line) {
        if (line.find("evacuation_unreadable") != std::string::npos)
            faults.emplace_back(line);
    });
    test.store.put("op", "evacuate/", nlohmann::json::object());
    test.store.put("op", "evacuate/two words", nlohmann::json::object());
    test.store.put("op", "evacuate/there", "not an object");
    test.wait_for("i-6", UpstreamRecord::Life::Leaving);
    REQUIRE(test.run_until([&] { return faults.size() == 2; }));
    CHECK(faults[0].find("error=no_name") != std::string::npos);
    CHECK(faults[1].find("error=bad_name") != std::string::npos);
    test.call_all("a");
    CHECK(test.sent_there() == 0);
}
