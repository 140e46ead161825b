// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/LogLine.h>
#include <Tests/Platform/PartitionedDeployment.h>
#include <array>
#include <catch2/catch.hpp>
#include <functional>

// Guards against VMs that refuse or fail their callers' requests while only their own paths to the upstreams are cut.

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

constexpr int REQUESTS = 20;
constexpr int PLAIN_UPSTREAMS = 3;

constexpr std::array CUTS { UpstreamPath::Condition::Reset, UpstreamPath::Condition::NewRefused, UpstreamPath::Condition::Silent };

void add_plain_upstreams(PartitionedDeployment& test)
{
    for (int i = 0; i < PLAIN_UPSTREAMS; ++i)
        test.add_upstream("i-" + std::to_string(i), "plain");
}

void add_engines(PartitionedDeployment& test)
{
    test.add_upstream("i-p", "engines", "prefill");
    test.add_upstream("i-d1", "engines", "decode");
    test.add_upstream("i-d2", "engines", "decode");
}

/// Counts the first attempts that are served.
int count_served(PartitionedDeployment& test, Address const& address, std::string const& target)
{
    int served = 0;
    for (int i = 0; i < REQUESTS; ++i)
        served += test.call_once(address, target).head.status == 200 ? 1 : 0;
    return served;
}

/// Cuts one of two VMs off the upstreams in each way, and checks that it serves as soon as callers may expect.
void check_served_while_partitioned(std::string const& target, std::function<void(PartitionedDeployment&)> const& add_upstreams)
{
    bool const is_run_once = target == "/once/x" || target == "/stream/x";
    for (auto const cut : CUTS) {
        PartitionedDeployment test;
        test.configure(1);
        add_upstreams(test);
        auto const& partitioned = test.add_virtual_machine("vm-2");
        REQUIRE(test.call_once(partitioned.caller_address(), target).head.status == 200);
        test.set_condition("vm-2", cut);
        test.serve_for(PartitionedDeployment::DETECTION_TIME, partitioned.caller_address(), target);
        CAPTURE(target, static_cast<int>(cut));
        CHECK(count_served(test, partitioned.caller_address(), target) == REQUESTS);
        if (is_run_once)
            CHECK(test.most_runs() == 1);
    }
}

}

TEST_CASE("Plain requests at a VM that is partitioned from all upstreams are served through another VM", "[partitioned-vm]")
{
    for (std::string const target : { "/safe/x", "/once/x" })
        check_served_while_partitioned(target, add_plain_upstreams);
}

TEST_CASE("Streams at a VM that is partitioned from all upstreams are served through another VM", "[partitioned-vm]")
{
    for (std::string const target : { "/stream/x", "/resumable/x" })
        check_served_while_partitioned(target, add_engines);
}

TEST_CASE("The VMs of a data centre that all are partitioned from the upstreams serve through VMs elsewhere", "[partitioned-vm]")
{
    for (std::string const target : { "/safe/x", "/once/x" }) {
        PartitionedDeployment test;
        test.configure(1);
        for (int i = 0; i < PLAIN_UPSTREAMS; ++i)
            test.add_upstream("i-" + std::to_string(i), "plain", "", i == 0 ? "dc" : "there");
        auto const& first = test.add_virtual_machine("vm-2", "there");
        auto const& second = test.add_virtual_machine("vm-3", "there");
        test.set_condition("vm-2", UpstreamPath::Condition::Silent);
        test.set_condition("vm-3", UpstreamPath::Condition::Silent);
        test.serve_for(PartitionedDeployment::DETECTION_TIME / 2, first.caller_address(), target);
        test.serve_for(PartitionedDeployment::DETECTION_TIME / 2, second.caller_address(), target);
        CAPTURE(target);
        CHECK(count_served(test, first.caller_address(), target) == REQUESTS);
        CHECK(count_served(test, second.caller_address(), target) == REQUESTS);
        if (target == "/once/x")
            CHECK(test.most_runs() == 1);
    }
}

// Guards against VMs that relay for others though only their open connections work: they are the nearest, and decline each request.
TEST_CASE("A data centre whose new connections are refused is served through VMs elsewhere while its streams go on", "[partitioned-vm]")
{
    for (std::string const target : { "/safe/x", "/once/x" }) {
        PartitionedDeployment test;
        test.configure(1, [](auto& configuration) {
            for (auto& route : configuration["routes"])
                route["timeout_ms"] = 60'000;
        });
        add_plain_upstreams(test);
        test.add_upstream("i-p", "engines", "prefill");
        auto& engine = test.add_upstream("i-d", "engines", "decode");
        engine.events = 100'000;
        std::vector<Address> partitioned;
        std::vector<std::shared_ptr<HttpConnection>> streams;
        for (std::string const name : { "vm-2", "vm-3", "vm-4" }) {
            partitioned.push_back(test.add_virtual_machine(name, "there").caller_address());
            auto stream = test.model_request("/stream/x", "s-" + name);
            std::erase_if(stream.head.headers.all(), [](auto const& field) { return field.name == "X-Spurtide-Deadline-Ms"; });
            stream.head.headers.add("X-Spurtide-Deadline-Ms", "60000");
            streams.push_back(test.begin(partitioned.back(), std::move(stream)));
        }
        REQUIRE(test.run_until([&] { return engine.run.size() == partitioned.size(); }));
        for (auto const* name : { "vm-2", "vm-3", "vm-4" })
            test.set_condition(name, UpstreamPath::Condition::NewRefused);
        for (auto const& address : partitioned)
            test.serve_for(PartitionedDeployment::DETECTION_TIME / 3, address, target);
        CAPTURE(target);
        for (auto const& address : partitioned)
            CHECK(count_served(test, address, target) == REQUESTS);
        CHECK(engine.abandoned.empty());
        if (target == "/once/x")
            CHECK(test.most_runs() == 1);
        for (auto const& stream : streams)
            stream->abort();
    }
}

// Guards against streams that are refused since the nearest VMs, which are partitioned and do not know it, decline one engine each.
TEST_CASE("Streams of a data centre whose new connections are refused are served through VMs elsewhere", "[partitioned-vm]")
{
    for (std::string const target : { "/stream/x", "/resumable/x" }) {
        PartitionedDeployment test;
        test.configure(1);
        test.add_upstream("i-p", "engines", "prefill");
        test.add_upstream("i-d", "engines", "decode");
        add_plain_upstreams(test);
        std::vector<Address> partitioned;
        for (std::string const name : { "vm-2", "vm-3", "vm-4" })
            partitioned.push_back(test.add_virtual_machine(name, "there").caller_address());
        for (auto const* name : { "vm-2", "vm-3", "vm-4" })
            test.set_condition(name, UpstreamPath::Condition::NewRefused);
        for (auto const& address : partitioned)
            test.serve_for(PartitionedDeployment::DETECTION_TIME / 3, address, target);
        CAPTURE(target);
        for (auto const& address : partitioned)
            CHECK(count_served(test, address, target) == REQUESTS);
        if (target == "/stream/x")
            CHECK(test.most_runs() == 1);
    }
}

// Guards against the refusal of a stream since its only decode engine is the first upstream that a partitioned VM fails to reach.
TEST_CASE("The first stream at a VM whose new connections are refused is served through another VM", "[partitioned-vm]")
{
    for (std::string const target : { "/stream/x", "/resumable/x" }) {
        for (auto const cut : { UpstreamPath::Condition::Reset, UpstreamPath::Condition::NewRefused }) {
            PartitionedDeployment test;
            test.configure(1);
            test.add_upstream("i-p", "engines", "prefill");
            test.add_upstream("i-d", "engines", "decode");
            add_plain_upstreams(test);
            auto const& partitioned = test.add_virtual_machine("vm-2");
            test.set_condition("vm-2", cut);
            CAPTURE(target, static_cast<int>(cut));
            CHECK(test.call_once(partitioned.caller_address(), target).head.status == 200);
            CHECK(test.most_runs() == 1);
        }
    }
}

TEST_CASE("Requests are refused at once while all VMs are partitioned from the upstreams", "[partitioned-vm][not-run]")
{
    // A caller that is refused within a quarter of its latency target can still be served in time elsewhere.
    constexpr Duration REFUSAL_TIME = milliseconds(225);
    for (std::string const target : { "/safe/x", "/once/x", "/stream/x" }) {
        for (auto const cut : CUTS) {
            PartitionedDeployment test;
            test.configure(1);
            add_plain_upstreams(test);
            test.add_upstream("i-p", "engines", "prefill");
            test.add_upstream("i-d", "engines", "decode");
            auto const& partitioned = test.add_virtual_machine("vm-2");
            for (auto const* machine : { "vm-1", "vm-2" })
                test.set_condition(machine, cut);
            test.serve_for(PartitionedDeployment::DETECTION_TIME, partitioned.caller_address(), target);
            std::vector<Duration> times;
            CAPTURE(target, static_cast<int>(cut));
            for (int i = 0; i < REQUESTS; ++i) {
                auto const began = monotonic_now();
                auto const answer = test.call_once(partitioned.caller_address(), target);
                times.push_back(std::chrono::duration_cast<Duration>(monotonic_now() - began));
                CHECK(answer.head.status == 503);
                CHECK(answer.head.headers.contains("Retry-After"));
            }
            std::sort(times.begin(), times.end());
            CHECK(times[REQUESTS / 2] <= REFUSAL_TIME);
            CHECK(test.most_runs() == 0);
        }
    }
}

TEST_CASE("A request whose relaying VM is killed after the send is never reported as not run", "[partitioned-vm][at-most-once][kill]")
{
    for (std::string const target : { "/safe/x", "/once/x", "/stream/x" }) {
        PartitionedDeployment test;
        test.configure(1);
        auto& upstream = test.add_upstream("i-1", "plain");
        auto& second = test.add_upstream("i-2", "plain");
        test.add_upstream("i-p", "engines", "prefill");
        auto& engine = test.add_upstream("i-d", "engines", "decode");
        engine.events = 1000;
        engine.event_pause = milliseconds(5);
        for (auto* slow : { &upstream, &second }) {
            slow->script = [&test, slow](HttpExchange& exchange) -> asio::awaitable<bool> {
                slow->run.emplace_back(exchange.request().head.headers.find("X-Spurtide-Attempt-Id").value_or(""));
                asio::steady_timer timer(test.loop, seconds(20));
                asio::error_code ignored;
                co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
                exchange.abort();
                co_return true;
            };
        }
        auto const& partitioned = test.add_virtual_machine("vm-2");
        test.add_virtual_machine("vm-3");
        for (auto const* machine : { "vm-1", "vm-2" })
            test.set_condition(machine, UpstreamPath::Condition::Reset);
        CAPTURE(target);
        auto const is_running = [&] { return test.most_runs() > 0; };
        std::optional<CallerAnswer> answer;
        // The caller retries while the partition has not been noticed.
        auto const carry = [&]() -> asio::awaitable<void> {
            for (int i = 0; !is_running(); ++i) {
                auto received = co_await NodeUnderTest::exchange(partitioned.caller_address(), test.request_for(target, "k" + std::to_string(i)));
                answer = std::move(received);
            }
        };
        asio::co_spawn(test.loop, carry(), asio::detached);
        REQUIRE(test.run_until(is_running));
        answer.reset();
        test.kill_last();
        REQUIRE(test.run_until([&] { return answer.has_value(); }));
        // A stream that has begun breaks off; nothing else looks like an answer.
        bool const is_broken_off = answer->error.has_value();
        CHECK((is_broken_off || answer->head.status == 502 || answer->head.status == 504));
        CHECK(test.most_runs() == 1);
    }
}

TEST_CASE("A VM whose partition is over connects to the upstreams itself again", "[partitioned-vm]")
{
    PartitionedDeployment test;
    test.configure(1);
    add_plain_upstreams(test);
    auto const& partitioned = test.add_virtual_machine("vm-2");
    test.set_condition("vm-2", UpstreamPath::Condition::Silent);
    test.serve_for(PartitionedDeployment::DETECTION_TIME, partitioned.caller_address(), "/once/x");
    CHECK(count_served(test, partitioned.caller_address(), "/once/x") == REQUESTS);
    auto const opened = [&] {
        int count = 0;
        for (auto const& path : test.paths)
            count += path->opened_by("vm-2");
        return count;
    };
    auto const before = opened();
    test.set_condition("vm-2", UpstreamPath::Condition::Working);
    CHECK(test.run_until([&] { return opened() >= before + PLAIN_UPSTREAMS; }, seconds(3)));
    CHECK(count_served(test, partitioned.caller_address(), "/once/x") == REQUESTS);
    CHECK(test.most_runs() == 1);
}

// Guards against quarantining harmless requests: while a VM's paths are cut, each upstream refuses its connections as if it had ended.
TEST_CASE("Requests in flight at a VM whose paths are cut are not taken for the cause of crashes", "[partitioned-vm][crashing-request]")
{
    constexpr int IN_FLIGHT = 6;
    // With both, no VM is left that can tell.
    auto const partitioned_machines = GENERATE(values<std::vector<std::string>>({ { "vm-2" }, { "vm-1", "vm-2" } }));
    CAPTURE(partitioned_machines);
    std::string lines;
    LogLine::set_observer([&](std::string_view line) { lines.append(line).append("\n"); });
    PartitionedDeployment test;
    test.configure(1);
    add_plain_upstreams(test);
    bool is_slow = true;
    for (auto const& upstream : test.upstreams) {
        upstream->script = [&](HttpExchange& exchange) -> asio::awaitable<bool> {
            if (!is_slow)
                co_return false;
            asio::steady_timer timer(test.loop, seconds(20));
            asio::error_code ignored;
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            exchange.abort();
            co_return true;
        };
    }
    auto const& partitioned = test.add_virtual_machine("vm-2");
    std::vector<HttpRequest> requests;
    for (int i = 0; i < IN_FLIGHT; ++i)
        requests.push_back(test.request("POST", "/once/x", "c" + std::to_string(i)));
    auto const received = [&] {
        std::size_t count = 0;
        for (auto const& upstream : test.upstreams)
            count += upstream->requests.size();
        return count;
    };
    auto const before = test.beside;
    test.beside = [&] {
        before();
        for (auto const& machine : partitioned_machines) {
            if (received() == IN_FLIGHT)
                test.set_condition(machine, UpstreamPath::Condition::Reset);
        }
    };
    for (auto const& answer : test.call_all(partitioned.caller_address(), std::move(requests)))
        CHECK(answer.head.status == 502);
    test.beside = before;
    CHECK(lines.find("event=upstream_crashed") == std::string::npos);
    is_slow = false;
    for (auto const& machine : partitioned_machines)
        test.set_condition(machine, UpstreamPath::Condition::Working);
    CHECK(test.run_until([&] { return test.call_once(test.node->caller_address(), "/once/x").head.status == 200; }));
}
