// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/LogLine.h>
#include <LibDecision/CellMap.h>
#include <Tests/Platform/PeerVirtualMachine.h>
#include <Tests/Platform/VersionedDeployment.h>
#include <catch2/catch.hpp>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

constexpr int STREAMS = 12;

std::vector<std::string> stream_names()
{
    std::vector<std::string> names;
    for (int i = 0; i < STREAMS; ++i)
        names.push_back("s" + std::to_string(i));
    return names;
}

/// Streams that began there have to continue at others.
void leave_first_engines(VersionedDeployment& test)
{
    for (auto const* version : { "v1", "v2" })
        test.list(test.engine(VersionedDeployment::decode_name(1, version)), "engines", "draining");
}

/// Lets callers leave in the middle of a stream.
void stream_slowly(VersionedDeployment& test)
{
    for (auto const& engine : test.engines)
        engine->event_pause = milliseconds(15);
}

/// The name of a VM that is asked for placements before the test's own.
std::string keeper_name()
{
    int number = 2;
    while (rendezvous_score("engines", "vm-" + std::to_string(number)) < rendezvous_score("engines", "vm-1"))
        ++number;
    return "vm-" + std::to_string(number);
}

/// The engine is restarted under its identity with other software, and its prompt is not processed until the node knows it.
void restart_during_prefill(VersionedDeployment& test, UpstreamStandIn& restarted, UpstreamStandIn& prefill)
{
    auto const is_known = std::make_shared<bool>(false);
    LogLine::set_observer([is_known](std::string_view line) { *is_known = *is_known || line.find("software=v2") != std::string_view::npos; });
    prefill.script = [&test, &restarted, &prefill, is_known](HttpExchange&) -> asio::awaitable<bool> {
        restarted.started += 1000;
        restarted.software_version = restarted.event_text = "v2";
        test.store.put("servers", restarted.identity, restarted.entry("engines"));
        asio::steady_timer timer(test.loop);
        asio::error_code ignored;
        while (!*is_known) {
            timer.expires_after(milliseconds(2));
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        prefill.script = {};
        co_return false;
    };
}

}

// Guards against streams that continue at an engine of another software version after their engine broke off.
TEST_CASE("A stream that breaks within a response continues only at the software version that began it", "[stream-versions]")
{
    VersionedDeployment test;
    test.configure(1);
    test.add_version("v1", 2);
    test.add_version("v2", 2);
    test.break_new_streams_after(2);
    for (int i = 0; i < STREAMS; ++i) {
        auto const answer = test.call(test.model_request("/resumable/x", "s" + std::to_string(i)));
        CAPTURE(i, answer.body);
        CHECK(answer.head.status == 200);
        CHECK_FALSE(answer.error);
        CHECK(VersionedDeployment::versions_in(answer.body).size() == 1);
    }
}

// Guards against streams that continue at another software version since no other engine has theirs.
TEST_CASE("A stream whose software version no engine has any more does not continue", "[stream-versions]")
{
    VersionedDeployment test;
    test.configure(1);
    test.add_version("v1", 1);
    test.add_version("v2", 1);
    stream_slowly(test);
    auto& crashing = test.engine(VersionedDeployment::decode_name(1, "v1"));
    auto const& other = test.engine(VersionedDeployment::decode_name(1, "v2"));
    for (auto const& engine : test.engines)
        engine->events = 200;
    auto const crash_while_streaming = [&]() -> asio::awaitable<void> {
        asio::steady_timer timer(test.loop);
        asio::error_code ignored;
        while (crashing.run.size() + other.run.size() < STREAMS) {
            timer.expires_after(milliseconds(2));
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        // Some events of each.
        timer.expires_after(milliseconds(300));
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        crashing.crash();
    };
    asio::co_spawn(test.loop, crash_while_streaming(), asio::detached);
    std::vector<HttpRequest> requests;
    for (int i = 0; i < STREAMS; ++i)
        requests.push_back(test.model_request("/resumable/x", "s" + std::to_string(i)));
    int broken = 0;
    for (auto const& answer : test.call_all(test.node->caller_address(), requests)) {
        if (answer.head.status != 200)
            continue;
        CHECK(VersionedDeployment::versions_in(answer.body).size() == (answer.error ? 0U : 1U));
        broken += answer.error ? 1 : 0;
    }
    CHECK(broken > 0);
    // Streams of the other version are not affected, and none was sent there after its first events.
    for (auto const& request : requests)
        CHECK(test.runs_of(std::string(request.head.headers.find("X-Spurtide-Attempt-Id").value_or(""))) <= 1);
}

// Guards against VMs that place a caller's next try at any software version.
TEST_CASE("A stream that its caller takes up continues at the software version that began it, at any VM", "[stream-versions]")
{
    VersionedDeployment test;
    test.configure(1);
    test.add_version("v1", 2);
    test.add_version("v2", 2);
    stream_slowly(test);
    auto& second = test.add_virtual_machine("vm-2");
    std::vector<Address> const addresses { test.node->caller_address(), second.caller_address() };
    auto const names = stream_names();
    auto const begun = test.begin_streams(addresses[0], names);
    leave_first_engines(test);
    for (std::size_t i = 0; i < names.size(); ++i) {
        // Callers name the try that brought the first event in all further ones.
        auto const next = test.call_and_leave(addresses[i % 2], test.resumption(names[i] + "-2", names[i], 2), 3);
        auto const last = test.call(addresses[i / 2 % 2], test.resumption(names[i] + "-3", names[i], 3));
        CAPTURE(i, begun[i].body, next.body, last.body);
        CHECK(next.head.status == 200);
        CHECK(last.head.status == 200);
        CHECK(VersionedDeployment::versions_in(begun[i].body + next.body + last.body).size() == 1);
    }
}

// Guards against streams of a killed VM that continue at any software version, or not at all.
TEST_CASE("A stream that its caller takes up after its VM was killed continues at the software version that began it", "[stream-versions]")
{
    VersionedDeployment test;
    test.configure(1);
    test.add_version("v1", 2);
    test.add_version("v2", 2);
    stream_slowly(test);
    test.add_virtual_machine("vm-2");
    auto& third = test.add_virtual_machine("vm-3");
    auto const names = stream_names();
    auto const begun = test.begin_streams(third.caller_address(), names);
    test.kill_last();
    leave_first_engines(test);
    for (std::size_t i = 0; i < names.size(); ++i) {
        auto const address = i % 2 == 0 ? test.node->caller_address() : test.others.front()->caller_address();
        auto const next = test.call(address, test.resumption(names[i] + "-2", names[i], 2));
        CAPTURE(i, begun[i].body, next.body);
        CHECK(next.head.status == 200);
        CHECK(VersionedDeployment::versions_in(begun[i].body + next.body).size() == 1);
    }
}

// Guards against origins that are lost with one VM after the other while their streams last.
TEST_CASE("Origins are copied again when the VM that holds them dies, and outlive the VM that serves their streams", "[stream-versions]")
{
    VersionedDeployment test;
    test.configure(1);
    test.add_version("v1", 2);
    test.add_version("v2", 2);
    for (auto const& engine : test.engines) {
        engine->events = 1000;
        engine->event_pause = milliseconds(20);
    }
    auto& serving = test.add_virtual_machine("vm-2");
    auto const& other = test.add_virtual_machine("vm-3");
    auto const metric_at = [&](Address const& operations, std::string const& name) {
        auto const metrics = test.call(operations, test.request("GET", "/metrics", "m")).body;
        auto const begin = "\n" + name + " ";
        auto const line = metrics.find(begin);
        return line == std::string::npos ? 0 : std::stoi(metrics.substr(line + begin.size()));
    };
    auto const origins_at = [&](Address const& operations) { return metric_at(operations, "spurtide_stream_origins"); };
    // Before it knows of both it copies all origins to one.
    REQUIRE(test.run_until([&] { return metric_at(serving.operations_address(), "spurtide_live_vms") == 3; }));
    auto const names = stream_names();
    std::vector<std::shared_ptr<HttpConnection>> open;
    for (auto const& name : names)
        open.push_back(test.begin(serving.caller_address(), test.model_request("/resumable/x", name)));
    REQUIRE(test.run_until([&] { return origins_at(serving.operations_address()) == STREAMS; }));
    // Both of the others hold some.
    CHECK(origins_at(test.node->operations_address()) < STREAMS);
    CHECK(test.run_until([&] { return origins_at(other.operations_address()) > 0; }));
    test.kill_last();
    REQUIRE(test.run_until([&] { return origins_at(test.node->operations_address()) == STREAMS; }));
    test.kill_last();
    for (auto const& name : names) {
        std::string version;
        for (auto const& engine : test.engines)
            version = std::count(engine->run.begin(), engine->run.end(), name) > 0 ? engine->software_version : version;
        auto const next = test.call_and_leave(test.node->caller_address(), test.resumption(name + "-2", name, 2), 3);
        CAPTURE(name, next.body);
        CHECK(next.head.status == 200);
        CHECK(VersionedDeployment::versions_in(next.body) == std::set<std::string> { version });
    }
}

// Guards against streams that continue although no VM knows the software version that began them.
TEST_CASE("A resumption of a stream that no VM knows is refused at once as not run", "[stream-versions]")
{
    VersionedDeployment test;
    test.configure(1);
    test.add_version("v1", 2);
    test.add_version("v2", 2);
    auto const named = GENERATE(as<std::string> {}, "nobody", "r1", "", std::string(1000, 'a'));
    auto const request = test.resumption("r1", named, 2);
    auto const begun = monotonic_now();
    auto const answer = test.call(request);
    CHECK(answer.head.status == 503);
    CHECK(answer.head.headers.find("Retry-After"));
    CHECK(monotonic_now() - begun < AT_ONCE);
    CHECK(test.runs_of("r1") == 0);
}

// Guards against refusals of callers that name no try, as long as no other version can have begun their streams.
TEST_CASE("A resumption that names no try goes on only where one software version can have begun the stream", "[stream-versions]")
{
    VersionedDeployment test;
    test.configure(1, [](auto& json) {
        for (auto& route : json["routes"])
            route["timeout_ms"] = 500;
    });
    test.add_version("v1", 2);
    int calls = 0;
    auto const resume = [&] {
        auto request = test.model_request("/resumable/x", "r" + std::to_string(++calls));
        request.head.headers.add("Last-Event-Id", "2");
        return test.call(std::move(request)).head.status;
    };
    CHECK(resume() == 503);
    REQUIRE(test.run_until([&] { return resume() == 200; }));
    auto& other = test.add_engine("decode-1-v2", "decode", "v2");
    CHECK(resume() == 503);
    test.store.remove("servers", other.identity);
    REQUIRE(test.run_until([&] { return !test.node->knows_upstream(other.identity, UpstreamRecord::Life::Serving); }));
    CHECK(resume() == 503);
    REQUIRE(test.run_until([&] { return resume() == 200; }));
    // Another VM may use an upstream that this one cannot hear of.
    test.store.set_fault(StoreStandIn::Fault::Silent);
    auto const begun = monotonic_now();
    CHECK(resume() == 503);
    CHECK(monotonic_now() - begun < AT_ONCE);
    CHECK(other.run.empty());
}

// Guards against refusals where the last change of the upstreams is older than the registry's history.
TEST_CASE("A resumption that names no try goes on long after the last change of the upstreams", "[stream-versions]")
{
    VersionedDeployment test;
    test.configure(1, [](auto& json) {
        for (auto& route : json["routes"])
            route["timeout_ms"] = 500;
    });
    test.add_version("v1", 2);
    for (int i = 0; i < 5; ++i)
        test.store.put("others", "key", i);
    // A watch that began after these changes has ended without any.
    auto const feeds = test.store.feeds;
    REQUIRE(test.run_until([&] { return test.store.feeds >= feeds + 4; }));
    test.store.history_from = test.store.current_version();
    auto request = test.model_request("/resumable/x", "r1");
    request.head.headers.add("Last-Event-Id", "2");
    CHECK(test.call(std::move(request)).head.status == 200);
}

// Guards against streams that continue at another service of their route, or at one that the route has lost.
TEST_CASE("A stream that its caller takes up continues at the service that began it, while its route has it", "[stream-versions]")
{
    VersionedDeployment test;
    auto const split = [](nlohmann::json& json, nlohmann::json targets) {
        auto service = json["services"][1];
        service["name"] = "others";
        json["services"].push_back(service);
        for (auto& route : json["routes"])
            route["split"] = targets;
    };
    nlohmann::json const both { { { "service", "engines" }, { "weight", 1 } }, { { "service", "others" }, { "weight", 1 } } };
    test.configure(1, [&](auto& json) { split(json, both); });
    for (auto const* service : { "engines", "others" }) {
        test.add_engine(std::string("prefill-") + service, "prefill", "v1", service);
        for (int i = 1; i <= 2; ++i)
            test.add_engine(std::string(service) + "-" + std::to_string(i), "decode", "v1", service).event_text = service;
    }
    stream_slowly(test);
    auto const names = stream_names();
    auto const begun = test.begin_streams(test.node->caller_address(), names);
    std::set<std::string> services;
    for (std::size_t i = 0; i < names.size(); ++i) {
        auto const next = test.call_and_leave(test.node->caller_address(), test.resumption(names[i] + "-2", names[i], 2), 3);
        CAPTURE(i, begun[i].body, next.body);
        auto const held = VersionedDeployment::versions_in(begun[i].body + next.body);
        CHECK(held.size() == 1);
        services.insert(held.begin(), held.end());
    }
    REQUIRE(services.size() == 2);
    test.configure(2, [&](auto& json) { split(json, nlohmann::json::array({ both[0] })); });
    for (std::size_t i = 0; i < names.size(); ++i) {
        bool const is_routed = VersionedDeployment::versions_in(begun[i].body).contains("engines");
        CHECK(test.call(test.resumption(names[i] + "-3", names[i], 3)).head.status == (is_routed ? 200 : 503));
        CHECK(test.runs_of(names[i] + "-3") == (is_routed ? 1 : 0));
    }
}

// Guards against keepers that do not know the engines' versions, or have an outdated list.
TEST_CASE("A stream does not continue at an engine of another software version that a keeper grants", "[stream-versions]")
{
    VersionedDeployment test;
    test.configure(1);
    test.add_version("v1", 2);
    test.add_version("v2", 1);
    test.break_new_streams_after(2);
    std::vector<wire::PlacementAsk> asks;
    std::vector<std::string> const granted { "decode-1-v1", "decode-1-v2", "decode-2-v1" };
    PeerVirtualMachine keeper(test, keeper_name(), [&](wire::Envelope const& message, Kernel::Responder const& respond) {
        if (!message.has_placement_ask())
            return;
        wire::Envelope reply;
        reply.mutable_placement_grant()->set_decode_engine(granted.at(std::min(asks.size(), granted.size() - 1)));
        asks.push_back(message.placement_ask());
        respond(std::move(reply));
    });
    REQUIRE(keeper.is_seen_by(test));
    test.beside = [&] { keeper.run(); };
    auto const answer = test.call(test.model_request("/resumable/x", "s1"));
    CHECK(answer.head.status == 200);
    CHECK(VersionedDeployment::versions_in(answer.body) == std::set<std::string> { "v1" });
    REQUIRE(asks.size() == 3);
    CHECK(asks[0].software_version().empty());
    CHECK(asks[1].software_version() == "v1");
    CHECK(std::count(asks[2].excluded_engines().begin(), asks[2].excluded_engines().end(), "decode-1-v2") == 1);
    CHECK(test.engine("decode-1-v2").run.empty());
}

// Guards against origins that name the software which an engine had before it was restarted under its identity.
TEST_CASE("A stream whose engine was restarted with other software before its first event is not taken up", "[stream-versions]")
{
    VersionedDeployment test;
    test.configure(1);
    auto& prefill = test.add_engine("prefill", "prefill", "v1");
    auto& restarted = test.add_engine("decode-1", "decode", "v1");
    restarted.started = 1000;
    test.list(restarted, "engines");
    stream_slowly(test);
    restart_during_prefill(test, restarted, prefill);
    auto const first = test.call_and_leave(test.node->caller_address(), test.model_request("/resumable/x", "s1"), 2);
    CHECK(first.head.status == 200);
    test.add_engine("decode-2", "decode", "v1");
    test.add_engine("decode-3", "decode", "v2");
    CHECK(test.call(test.resumption("s2", "s1", 2)).head.status == 503);
    CHECK(test.runs_of("s2") == 0);
}

// Guards against sends by an entry that has changed since the placement.
TEST_CASE("A stream does not continue at an engine that was restarted with other software since its placement", "[stream-versions]")
{
    VersionedDeployment test;
    test.configure(1);
    auto& prefill = test.add_engine("prefill", "prefill", "v1");
    test.add_engine("decode-1", "decode", "v1");
    test.break_new_streams_after(2);
    auto const first = test.call_and_leave(test.node->caller_address(), test.model_request("/resumable/x", "s1"), 2);
    REQUIRE(first.head.status == 200);
    test.list(test.engine("decode-1"), "engines", "draining");
    auto& restarted = test.add_engine("decode-2", "decode", "v1");
    restarted.started = 1000;
    test.list(restarted, "engines");
    restart_during_prefill(test, restarted, prefill);
    auto request = test.resumption("s2", "s1", 2);
    CHECK(test.call(request).head.status == 503);
    CHECK(restarted.run.empty());
}

// Guards against streams of which it is not known whether they began before or after their engine was restarted.
TEST_CASE("A stream is not taken up after its engine was restarted with other software under its identity", "[stream-versions]")
{
    VersionedDeployment test;
    test.configure(1);
    test.add_engine("prefill", "prefill", "v1");
    auto& restarted = test.add_engine("decode-1", "decode", "v1");
    restarted.started = 1000;
    test.list(restarted, "engines");
    stream_slowly(test);
    auto const first = test.call_and_leave(test.node->caller_address(), test.model_request("/resumable/x", "s1"), 2);
    REQUIRE(first.head.status == 200);
    test.add_engine("decode-2", "decode", "v1");
    // A restart with the same software changes nothing.
    restarted.started = 2000;
    test.list(restarted, "engines", "draining");
    CHECK(test.call_and_leave(test.node->caller_address(), test.resumption("s2", "s1", 2), 3).head.status == 200);
    restarted.started = 3000;
    restarted.software_version = "v2";
    test.list(restarted, "engines");
    CHECK(test.call(test.resumption("s3", "s1", 3)).head.status == 503);
    CHECK(test.runs_of("s3") == 0);
}

// Guards against resumptions that are run where no stream can be resumed.
TEST_CASE("A resumption is refused as not run on a route whose streams cannot be resumed", "[stream-versions]")
{
    VersionedDeployment test;
    test.configure(1);
    test.add_version("v1", 2);
    stream_slowly(test);
    auto const first = test.call_and_leave(test.node->caller_address(), test.model_request("/stream/x", "s1"), 2);
    REQUIRE(first.head.status == 200);
    auto request = test.resumption("s2", "s1", 2);
    request.head.target = "/stream/x";
    CHECK(test.call(request).head.status == 503);
    CHECK(test.runs_of("s2") == 0);
}
