// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <LibCore/LogLine.h>
#include <Tests/Platform/NodeUnderTest.h>
#include <Tests/Platform/OtherVirtualMachine.h>
#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <cmath>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

constexpr Duration WINDOW = seconds(4);
/// What an upstream in need puts up with: so much of what its limit allows in the window, and so many more.
constexpr double TOLERATED_PART = 1.5;
constexpr int TOLERATED_MORE = 5;
constexpr double RATE = 4;

bool is_for_callers(HttpRequest const& request) { return request.head.method != "DELETE" && request.head.target != "/v1/report" && request.head.target != "/v1/kv-list"; }

/// An upstream that names a limit in its answers for as long as it is in need, and keeps when requests came.
class LimitedUpstream {
public:
    LimitedUpstream(NodeUnderTest& test, std::string identity, std::string phase = "")
        : upstream(test.loop, std::move(identity), std::move(phase))
    {
        this->upstream.script = [this](HttpExchange& exchange) -> asio::awaitable<bool> {
            if (is_for_callers(exchange.request()))
                this->arrivals.push_back(monotonic_now());
            co_return false;
        };
        this->upstream.named_limit = "4.0";
        test.list(this->upstream, this->upstream.phase.empty() ? "plain" : "engines");
    }

    void end_need() { this->upstream.named_limit.clear(); }

    /// The most that came within any window.
    int most_in_window() const
    {
        int most = 0;
        for (auto first = this->arrivals.begin(); first != this->arrivals.end(); ++first) {
            auto const last = std::upper_bound(first, this->arrivals.end(), *first + WINDOW);
            most = std::max(most, static_cast<int>(last - first));
        }
        return most;
    }

    UpstreamStandIn upstream;
    std::vector<MonotonicTime> arrivals;
};

int tolerated(double rate) { return static_cast<int>(std::ceil(TOLERATED_PART * rate * to_seconds(WINDOW))) + TOLERATED_MORE; }

}

// Guards against VMs that each choose an upstream in need by their own load.
TEST_CASE("An upstream that names a limit gets no more than that from all VMs together", "[upstream-limit]")
{
    for (auto const* target : { "/safe/x", "/once/x" }) {
        NodeUnderTest test;
        test.configure(1);
        LimitedUpstream limited(test, "i-1");
        UpstreamStandIn other(test.loop, "i-2");
        test.list(other, "plain");
        OtherVirtualMachine second(test, { test.node->wire_address() });
        constexpr int CALLS = 200;
        for (int i = 0; i < CALLS; ++i) {
            auto const& address = i % 2 == 0 ? test.node->caller_address() : second.caller_address();
            CHECK(test.call(address, test.request("GET", target, "a" + std::to_string(i))).head.status == 200);
        }
        CAPTURE(target, limited.arrivals.size());
        CHECK(limited.most_in_window() <= tolerated(RATE));
    }
}

// Guards against the same of engines, which get a request for its prompt and another one for its answer.
TEST_CASE("Engines that name a limit get no more than that, for prompts and for answers", "[upstream-limit]")
{
    NodeUnderTest test;
    test.configure(1);
    LimitedUpstream limited_prefill(test, "i-p1", "prefill");
    LimitedUpstream limited_decode(test, "i-d1", "decode");
    UpstreamStandIn prefill(test.loop, "i-p2", "prefill");
    UpstreamStandIn decode(test.loop, "i-d2", "decode");
    for (auto const* engine : { &prefill, &decode })
        test.list(*engine, "engines");
    OtherVirtualMachine second(test, { test.node->wire_address() });
    constexpr int STREAMS = 80;
    for (int i = 0; i < STREAMS; ++i) {
        auto const& address = i % 2 == 0 ? test.node->caller_address() : second.caller_address();
        CHECK(test.call(address, test.model_request("/stream/x", "s" + std::to_string(i))).head.status == 200);
    }
    CHECK(limited_prefill.most_in_window() <= tolerated(RATE));
    CHECK(limited_decode.most_in_window() <= tolerated(RATE));
    CHECK(limited_prefill.arrivals.size() + limited_decode.arrivals.size() >= 2);
}

// Guards against requests that are held, or answered with a failure, where no upstream takes them now.
TEST_CASE("Where all upstreams name limits the rest is told at once that it has not run and when to come back", "[upstream-limit][not-run]")
{
    NodeUnderTest test;
    test.configure(1);
    LimitedUpstream first(test, "i-1");
    LimitedUpstream second(test, "i-2");
    constexpr int CALLS = 60;
    std::vector<HttpRequest> requests;
    for (int i = 0; i < CALLS; ++i)
        requests.push_back(test.request("GET", i % 2 == 0 ? "/once/x" : "/safe/x", "a" + std::to_string(i)));
    // The first answers tell of the limits.
    test.call_all(test.node->caller_address(), { test.request("GET", "/safe/x", "b1"), test.request("GET", "/safe/x", "b2") });
    int answered = 2;
    int told_within_a_second = 0;
    for (auto const& answer : test.call_all(test.node->caller_address(), requests)) {
        answered += answer.head.status == 200 ? 1 : 0;
        if (answer.head.status == 200)
            continue;
        CHECK(answer.head.status == 503);
        auto const retry_after = std::stod(std::string(answer.head.headers.find("Retry-After").value_or("0")));
        CHECK(retry_after > 0);
        told_within_a_second += retry_after <= 1 ? 1 : 0;
    }
    CHECK(answered < CALLS);
    // Both together take eight requests in a second, of which some wait here: the rest are the times to come back.
    CHECK(told_within_a_second >= 5);
    CHECK(told_within_a_second <= 8);
    // What was not answered has not run.
    CHECK(static_cast<int>(first.upstream.run.size() + second.upstream.run.size()) == answered);
    CHECK(first.most_in_window() <= tolerated(RATE));
    CHECK(second.most_in_window() <= tolerated(RATE));
}

// Guards against turns that nobody uses while callers are refused.
TEST_CASE("Of what a limited upstream takes callers at all VMs get more than half", "[upstream-limit]")
{
    NodeUnderTest test;
    test.configure(1);
    LimitedUpstream limited(test, "i-1");
    OtherVirtualMachine second(test, { test.node->wire_address() });
    // A VM that has just started gives and takes no turns until it knows the others.
    int tries = 0;
    auto const is_answered = [&] { return second.call(test.request("GET", "/safe/x", "b" + std::to_string(++tries))).head.status == 200; };
    REQUIRE(test.run_until([&] { return is_answered() && is_answered() && is_answered(); }));
    auto const begun = monotonic_now();
    auto const before = limited.arrivals.size();
    constexpr int CALLS = 12;
    for (int i = 0; i < CALLS; ++i) {
        auto const& address = i % 2 == 0 ? test.node->caller_address() : second.caller_address();
        test.call(address, test.request("GET", "/once/x", "a" + std::to_string(i)));
    }
    auto const took = to_seconds(monotonic_now() - begun);
    auto const arrived = static_cast<double>(limited.arrivals.size() - before);
    CHECK(arrived >= 2);
    CHECK(arrived + 1 >= RATE * took / 2);
}

// Guards against a limit that outlasts the need for it.
TEST_CASE("An upstream whose answers name no limit any more gets its part again", "[upstream-limit]")
{
    NodeUnderTest test;
    test.configure(1);
    LimitedUpstream limited(test, "i-1");
    OtherVirtualMachine second(test, { test.node->wire_address() });
    int called = 0;
    auto const call_both = [&] {
        auto const name = "a" + std::to_string(called++);
        bool const is_answered = test.call(test.request("GET", "/safe/x", name)).head.status == 200;
        return second.call(test.request("GET", "/safe/x", name + "-2")).head.status == 200 && is_answered;
    };
    REQUIRE(test.run_until([&] { return !call_both(); }));
    limited.end_need();
    // Turns come one a quarter of a second; ten answers of both in a row are no turns.
    constexpr int ROUNDS = 10;
    int in_a_row = 0;
    REQUIRE(test.run_until([&] {
        in_a_row = call_both() ? in_a_row + 1 : 0;
        return in_a_row >= ROUNDS;
    }));
    CHECK(limited.most_in_window() > 2 * ROUNDS);
}

// Guards against a failure of the router's own in the place of an answer that is there.
TEST_CASE("An upstream's own failure is relayed where another send has no turn", "[upstream-limit][whole]")
{
    NodeUnderTest test;
    test.configure(1);
    LimitedUpstream limited(test, "i-1");
    limited.upstream.named_limit = "0.25";
    bool fails = false;
    limited.upstream.script = [&](HttpExchange& exchange) -> asio::awaitable<bool> {
        if (!fails)
            co_return false;
        auto head = limited.upstream.answer_head(exchange, 500);
        static_cast<void>(co_await exchange.respond(std::move(head), "its own"));
        co_return true;
    };
    int tries = 0;
    auto const call = [&] { return test.call(test.request("GET", "/safe/x", "a" + std::to_string(++tries))); };
    CHECK(call().head.status == 200);
    fails = true;
    CallerAnswer answer;
    REQUIRE(test.run_until([&] {
        answer = call();
        return answer.head.status != 503;
    }));
    CHECK(answer.head.status == 500);
    CHECK(answer.body == "its own");
}

// Guards against turns that are given twice while VMs find out who gives them.
TEST_CASE("A limit holds while the VM that may give the turns is killed and starts again", "[upstream-limit][kill]")
{
    // Which of the VMs gives an upstream's turns goes by its name.
    for (auto const* identity : { "i-1", "i-2", "i-3", "i-4" }) {
        NodeUnderTest test;
        test.configure(1);
        LimitedUpstream limited(test, identity);
        UpstreamStandIn other(test.loop, "i-9");
        test.list(other, "plain");
        auto second = std::make_unique<OtherVirtualMachine>(test, std::vector<std::string> { test.node->wire_address() });
        constexpr int ROUNDS = 3;
        constexpr int CALLS = 40;
        int calls = 0;
        for (int round = 0; round < ROUNDS; ++round) {
            for (int i = 0; i < CALLS; ++i) {
                auto const& address = i % 2 == 0 || !second ? test.node->caller_address() : second->caller_address();
                CHECK(test.call(address, test.request("GET", "/safe/x", "a" + std::to_string(++calls))).head.status == 200);
            }
            if (second)
                second.reset();
            else
                second = std::make_unique<OtherVirtualMachine>(test, std::vector<std::string> { test.node->wire_address() });
        }
        CAPTURE(identity);
        CHECK(limited.most_in_window() <= tolerated(RATE));
    }
}

// Guards against VMs that each find out for themselves: where many VMs meet an upstream seldom, most requests would go without
// turns.
TEST_CASE("A VM that never met an upstream hears of its limit, and of the end of it", "[upstream-limit]")
{
    // Which of the VMs gives an upstream's turns goes by its name, and that one is told.
    for (auto const* identity : { "i-1", "i-2", "i-3", "i-4" }) {
        NodeUnderTest test;
        test.configure(1);
        LimitedUpstream limited(test, identity);
        OtherVirtualMachine second(test, { test.node->wire_address() });
        REQUIRE(test.call(test.request("GET", "/safe/x", "a")).head.status == 200);
        auto const knows = [&](int limits) {
            auto const metrics = test.call(second.operations_address(), test.request("GET", "/metrics", "m"));
            return metrics.body.find("spurtide_limited_upstreams " + std::to_string(limits) + "\n") != std::string::npos;
        };
        CAPTURE(identity);
        CHECK(test.run_until([&] { return knows(1); }));
        limited.end_need();
        int tries = 0;
        REQUIRE(test.run_until([&] { return test.call(test.request("GET", "/safe/x", "b" + std::to_string(++tries))).head.status == 200; }));
        CHECK(test.run_until([&] { return knows(0); }));
        CHECK(limited.arrivals.size() == 2);
    }
}
