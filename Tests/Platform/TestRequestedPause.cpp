// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <LibDecision/UpstreamPause.h>
#include <Tests/Platform/NodeUnderTest.h>
#include <Tests/Platform/OtherVirtualMachine.h>
#include <algorithm>
#include <bit>
#include <catch2/catch.hpp>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

constexpr auto PAUSE_SECONDS = "2";
constexpr Duration PAUSE = seconds(2);
/// From here on after its answer an upstream that asked for a pause puts up with two more requests.
constexpr Duration SETTLING_TIME = milliseconds(500);
constexpr std::ptrdiff_t TOLERATED = 2;

/// What came to the upstream within the pause that its first answer asked for.
std::ptrdiff_t arrivals_within_pause(UpstreamStandIn const& upstream, MonotonicTime asked_at)
{
    return std::count_if(upstream.arrivals.begin(), upstream.arrivals.end(), [&](auto arrival) { return arrival > asked_at + SETTLING_TIME && arrival < asked_at + PAUSE; });
}

/// Calls until the upstream has turned a request away; returns when it did.
MonotonicTime call_until_paused(NodeUnderTest& test, UpstreamStandIn& upstream, std::function<HttpRequest(std::string)> const& request, std::string pause = PAUSE_SECONDS)
{
    auto const before = upstream.arrivals.size();
    upstream.requested_pause = std::move(pause);
    int tries = 0;
    REQUIRE(test.run_until([&] {
        test.call(request("meet" + std::to_string(++tries)));
        return upstream.arrivals.size() > before;
    }));
    return upstream.arrivals[before];
}

void answer_slowly(NodeUnderTest& test, UpstreamStandIn& upstream)
{
    upstream.script = [&test](HttpExchange&) -> asio::awaitable<bool> {
        asio::steady_timer timer(test.loop, milliseconds(20));
        asio::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        co_return false;
    };
}

double retry_after(CallerAnswer const& answer) { return std::stod(std::string(answer.head.headers.find("Retry-After").value_or("0"))); }

}

// Guards against VMs that take a request for a pause for a full queue, and try again and again.
TEST_CASE("An upstream that asks for a pause gets no requests within it, and is used again after it", "[upstream-pause]")
{
    for (auto const* target : { "/safe/x", "/once/x" }) {
        NodeUnderTest test;
        test.configure(1);
        UpstreamStandIn paused(test.loop, "i-1");
        UpstreamStandIn other(test.loop, "i-2");
        for (auto const* upstream : { &paused, &other })
            test.list(*upstream, "plain");
        // The faster one is preferred whenever it may be used.
        answer_slowly(test, other);
        int calls = 0;
        REQUIRE(test.run_until([&] {
            test.call(test.request("GET", target, "w" + std::to_string(++calls)));
            return paused.run.size() >= 10;
        }));
        auto const asked_at = call_until_paused(test, paused, [&](auto name) { return test.request("GET", target, name); });
        while (monotonic_now() < asked_at + PAUSE)
            CHECK(test.call(test.request("GET", target, "a" + std::to_string(++calls))).head.status == 200);
        CAPTURE(target, calls);
        CHECK(arrivals_within_pause(paused, asked_at) <= TOLERATED);
        paused.requested_pause.clear();
        auto const before = paused.run.size();
        CHECK(test.run_until([&] {
            test.call(test.request("GET", target, "b" + std::to_string(++calls)));
            return paused.run.size() > before;
        }));
    }
}

// Guards against prompts and answers, and the router's own calls, that reach an engine within its pause.
TEST_CASE("An engine that asks for a pause gets no prompts, answers or calls of the router within it", "[upstream-pause]")
{
    for (auto const* paused_role : { "prefill", "decode" }) {
        NodeUnderTest test;
        test.configure(1);
        UpstreamStandIn paused(test.loop, "i-1", paused_role);
        UpstreamStandIn prefill(test.loop, "i-p2", "prefill");
        UpstreamStandIn decode(test.loop, "i-d2", "decode");
        for (auto const* engine : { &paused, &prefill, &decode })
            test.list(*engine, "engines");
        auto const asked_at = call_until_paused(test, paused, [&](auto name) { return test.model_request("/resumable/x", name); });
        // The last call may be placed after the pause has ended, and would be turned away by an engine that goes on asking.
        paused.pause_end = asked_at + PAUSE;
        int calls = 0;
        while (monotonic_now() < asked_at + PAUSE) {
            ++calls;
            CHECK(test.call(test.model_request(calls % 2 == 0 ? "/stream/x" : "/resumable/x", "a" + std::to_string(calls))).head.status == 200);
        }
        CAPTURE(paused_role, calls);
        CHECK(arrivals_within_pause(paused, asked_at) <= TOLERATED);
    }
}

// Guards against calls of the router itself that reach an engine within its pause: to free a cache that nobody takes.
TEST_CASE("A cache is not freed within a pause that its engine asked for meanwhile", "[upstream-pause]")
{
    NodeUnderTest test;
    test.configure(1);
    UpstreamStandIn prefill(test.loop, "i-p1", "prefill");
    UpstreamStandIn decode(test.loop, "i-d1", "decode");
    test.list(prefill, "engines");
    test.list(decode, "engines");
    // The answer is refused after the engine with its cache was asked for another prompt, and turned that one away.
    bool is_refused = false;
    bool is_first = true;
    std::shared_ptr<HttpConnection> other_caller;
    decode.script = [&](HttpExchange& exchange) -> asio::awaitable<bool> {
        if (!std::exchange(is_first, false))
            co_return false;
        prefill.requested_pause = PAUSE_SECONDS;
        auto connected = co_await HttpConnection::connect(test.node->caller_address(), seconds(1), {});
        other_caller = connected.release_value();
        auto const other_request = test.model_request("/stream/x", "a2");
        other_caller->send(format_request_head(other_request.head), std::make_shared<std::string const>(other_request.body));
        asio::steady_timer timer(test.loop, SETTLING_TIME + milliseconds(100));
        asio::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        auto head = decode.answer_head(exchange, 503);
        head.headers.add("X-Spurtide-Not-Executed", "1");
        static_cast<void>(co_await exchange.respond(std::move(head), {}));
        is_refused = true;
        co_return true;
    };
    CHECK(test.call(test.model_request("/stream/x", "a1")).head.status == 503);
    REQUIRE(is_refused);
    auto const refused_at = monotonic_now();
    REQUIRE(test.run_until([&] { return monotonic_now() >= refused_at + milliseconds(200); }));
    CHECK(prefill.handles.size() == 1);
    // The prompt and the one that was turned away.
    CHECK(prefill.arrivals.size() == 2);
    CHECK(prefill.freed.empty());
}

// Guards against callers that are held, or told to come back before any upstream takes them.
TEST_CASE("Where all upstreams ask for a pause callers are told at once that nothing has run and when it ends", "[upstream-pause][not-run]")
{
    NodeUnderTest test;
    test.configure(1, set_long_latency_target);
    UpstreamStandIn plain(test.loop, "i-1");
    UpstreamStandIn decode(test.loop, "i-d1", "decode");
    test.list(plain, "plain");
    test.list(decode, "engines");
    auto const check_refused = [&](MonotonicTime asked_at, HttpRequest request) {
        auto const begun = monotonic_now();
        auto const answer = test.call(std::move(request));
        CHECK(monotonic_now() - begun < AT_ONCE);
        CHECK(answer.head.status == 503);
        auto const left_at = [&](MonotonicTime time) { return to_seconds(std::chrono::duration_cast<Duration>(asked_at + PAUSE - time)); };
        // Callers come back one after the other from the end of the pause on. Hundredths are told.
        CHECK(retry_after(answer) >= left_at(monotonic_now()) - 0.01);
        CHECK(retry_after(answer) <= left_at(begun) + 1);
    };
    auto const asked_at = call_until_paused(test, plain, [&](auto name) { return test.request("GET", "/safe/x", name); });
    check_refused(asked_at, test.request("GET", "/safe/x", "a1"));
    check_refused(asked_at, test.request("GET", "/once/x", "a2"));
    auto const engine_asked_at = call_until_paused(test, decode, [&](auto name) { return test.model_request("/stream/x", name); });
    check_refused(engine_asked_at, test.model_request("/stream/x", "a3"));
    check_refused(engine_asked_at, test.model_request("/resumable/x", "a4"));
    CHECK(arrivals_within_pause(plain, asked_at) <= TOLERATED);
    CHECK(arrivals_within_pause(decode, engine_asked_at) <= TOLERATED);
    CHECK(plain.run.empty());
    CHECK(decode.run.empty());
}

// Guards against the rush that makes an upstream ask for the next pause.
TEST_CASE("After a pause an upstream gets a few requests first, and then all", "[upstream-pause]")
{
    NodeUnderTest test;
    test.configure(1);
    UpstreamStandIn paused(test.loop, "i-1");
    test.list(paused, "plain");
    auto const asked_at = call_until_paused(test, paused, [&](auto name) { return test.request("GET", "/safe/x", name); });
    paused.requested_pause.clear();
    auto const before = paused.arrivals.size();
    constexpr int CALLS = 20;
    auto const burst = [&](std::string const& name) {
        std::vector<HttpRequest> requests;
        for (int i = 0; i < CALLS; ++i)
            requests.push_back(test.request("GET", "/safe/x", name + std::to_string(i)));
        auto const answers = test.call_all(test.node->caller_address(), requests);
        return std::count_if(answers.begin(), answers.end(), [](auto const& answer) { return answer.head.status == 200; });
    };
    int bursts = 0;
    CHECK(test.run_until([&] { return burst("a" + std::to_string(++bursts) + "-") == CALLS; }));
    // However late they come, no more have come by any time than twice as many with each step.
    constexpr std::size_t COUNTED = 1 << (UpstreamPause::STEPS - 1);
    for (std::size_t i = 0; i < std::min(COUNTED, paused.arrivals.size() - before); ++i) {
        CAPTURE(i);
        CHECK(paused.arrivals[before + i] >= asked_at + PAUSE + UpstreamPause::STEP * static_cast<int>(std::bit_width(i)));
    }
}

// Guards against a pause that outlasts the process that asked for it.
TEST_CASE("A new incarnation of an upstream that asked for a pause serves at once", "[upstream-pause]")
{
    NodeUnderTest test;
    test.configure(1);
    UpstreamStandIn upstream(test.loop, "i-1");
    upstream.started = 1000;
    test.list(upstream, "plain");
    auto const asked_at = call_until_paused(
        test, upstream, [&](auto name) { return test.request("GET", "/safe/x", name); }, "3600");
    CHECK(test.call(test.request("GET", "/safe/x", "a1")).head.status == 503);
    CHECK(upstream.arrivals.size() == 1);
    upstream.requested_pause.clear();
    upstream.started = 2000;
    test.list(upstream, "plain");
    CHECK(test.run_until([&] { return test.call(test.request("GET", "/safe/x", "a2")).head.status == 200; }));
    CHECK(monotonic_now() < asked_at + seconds(3600));
}

// Guards against pauses that nobody asked for.
TEST_CASE("Only a 503 with a readable time asks for a pause", "[upstream-pause]")
{
    struct Case {
        int status;
        std::string retry_after;
    };
    auto const given = GENERATE(Case { 503, "soon" }, Case { 503, "0" }, Case { 500, "3" }, Case { 200, "3" });
    NodeUnderTest test;
    test.configure(1);
    UpstreamStandIn upstream(test.loop, "i-1");
    test.list(upstream, "plain");
    upstream.script = [&](HttpExchange& exchange) -> asio::awaitable<bool> {
        auto head = upstream.answer_head(exchange, given.status);
        head.headers.add("Retry-After", given.retry_after);
        if (given.status == 503)
            head.headers.add("X-Spurtide-Not-Executed", "1");
        static_cast<void>(co_await exchange.respond(std::move(head), "body"));
        co_return true;
    };
    test.call(test.request("GET", "/once/x", "a1"));
    upstream.script = {};
    CAPTURE(given.status, given.retry_after);
    CHECK(test.call(test.request("GET", "/once/x", "a2")).head.status == 200);
}

// Guards against a keeper that knows nothing of the pauses that engines requested from other VMs.
TEST_CASE("A stream is not sent to an engine that asked its own VM for a pause, whoever places it", "[upstream-pause]")
{
    // Either VM may be the keeper of the other one's requests.
    for (bool const is_second_asked : { false, true }) {
        NodeUnderTest test;
        test.configure(1);
        UpstreamStandIn paused(test.loop, "i-d1", "decode");
        UpstreamStandIn other(test.loop, "i-d2", "decode");
        test.list(paused, "engines");
        OtherVirtualMachine second(test, { test.node->wire_address() });
        auto const& address = is_second_asked ? second.caller_address() : test.node->caller_address();
        int calls = 0;
        auto const call = [&] { return test.call(address, test.model_request("/stream/x", "a" + std::to_string(++calls))).head.status; };
        REQUIRE(test.run_until([&] { return call() == 200; }));
        auto const before = paused.arrivals.size();
        paused.requested_pause = PAUSE_SECONDS;
        CHECK(call() == 503);
        REQUIRE(paused.arrivals.size() == before + 1);
        auto const asked_at = paused.arrivals.back();
        // The last call may be placed after the pause has ended, and would be turned away by an engine that goes on asking.
        paused.pause_end = asked_at + PAUSE;
        test.list(other, "engines");
        REQUIRE(test.run_until([&] { return call() == 200; }));
        while (monotonic_now() < asked_at + PAUSE)
            CHECK(call() == 200);
        CAPTURE(is_second_asked, calls);
        CHECK(arrivals_within_pause(paused, asked_at) <= TOLERATED);
    }
}
