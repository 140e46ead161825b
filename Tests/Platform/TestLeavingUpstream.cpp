// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <Tests/Platform/NodeUnderTest.h>
#include <Tests/Platform/OtherVirtualMachine.h>
#include <algorithm>
#include <catch2/catch.hpp>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

constexpr int CALLS = 20;

/// Requests that take an upstream's time; freeing a cache does not.
std::size_t work_of(UpstreamStandIn const& upstream)
{
    return static_cast<std::size_t>(std::count_if(upstream.requests.begin(), upstream.requests.end(), [](auto const& request) { return request.head.method != "DELETE" && request.head.target != "/v1/report"; }));
}

/// Calls until the upstream has answered one more request.
void call_until_met(NodeUnderTest& test, UpstreamStandIn const& upstream)
{
    auto const before = upstream.run.size();
    int tries = 0;
    REQUIRE(test.run_until([&] {
        test.call(test.request("GET", "/safe/x", "meet" + std::to_string(++tries)));
        return upstream.run.size() > before;
    }));
}

/// Waits until the node has heard of all changes of the registry so far.
void hear_registry(NodeUnderTest& test, std::string marker)
{
    UpstreamStandIn const last(test.loop, std::move(marker));
    test.list(last, "other");
}

}

// Guards against VMs that learn of leaving upstreams from the registry alone, which may be away.
TEST_CASE("An upstream whose answer says that it leaves gets no new request while the registry is away", "[leaving]")
{
    for (auto const* target : { "/safe/x", "/once/x" }) {
        NodeUnderTest test;
        test.configure(1);
        UpstreamStandIn leaving(test.loop, "i-1");
        UpstreamStandIn other(test.loop, "i-2");
        for (auto const* upstream : { &leaving, &other })
            test.list(*upstream, "plain");
        test.store.set_fault(StoreStandIn::Fault::Silent);
        leaving.is_leaving = true;
        call_until_met(test, leaving);
        auto const before = work_of(leaving);
        for (int i = 0; i < CALLS; ++i)
            CHECK(test.call(test.request("GET", target, "a" + std::to_string(i))).head.status == 200);
        CAPTURE(target);
        CHECK(work_of(leaving) == before);
    }
}

// Guards against an entry that is renewed, or lapses and comes back, and brings a leaving upstream back into use.
TEST_CASE("An upstream that leaves stays out when the registry lists it as serving again", "[leaving]")
{
    NodeUnderTest test;
    test.configure(1);
    UpstreamStandIn leaving(test.loop, "i-1");
    UpstreamStandIn other(test.loop, "i-2");
    for (auto* upstream : { &leaving, &other }) {
        upstream->started = 1000;
        test.list(*upstream, "plain");
    }
    leaving.is_leaving = true;
    call_until_met(test, leaving);
    auto const before = work_of(leaving);
    auto const check_unused = [&] {
        for (int i = 0; i < CALLS; ++i)
            CHECK(test.call(test.request("GET", "/safe/x", "a" + std::to_string(i))).head.status == 200);
        CHECK(work_of(leaving) == before);
    };
    test.store.put("servers", leaving.identity, leaving.entry("plain"));
    hear_registry(test, "i-8");
    check_unused();
    test.store.remove("servers", leaving.identity);
    hear_registry(test, "i-9");
    test.list(other, "plain");
    test.store.put("servers", leaving.identity, leaving.entry("plain"));
    hear_registry(test, "i-10");
    check_unused();
}

// Guards against an identity that is kept out although its process has started again.
TEST_CASE("A new incarnation of an upstream that left serves", "[leaving]")
{
    NodeUnderTest test;
    test.configure(1);
    UpstreamStandIn upstream(test.loop, "i-1");
    upstream.started = 1000;
    test.list(upstream, "plain");
    upstream.is_leaving = true;
    call_until_met(test, upstream);
    CHECK(test.call(test.request("GET", "/safe/x", "a1")).head.status == 503);
    upstream.is_leaving = false;
    upstream.started = 2000;
    test.list(upstream, "plain");
    CHECK(test.run_until([&] { return test.call(test.request("GET", "/safe/x", "a2")).head.status == 200; }));
}

// Guards against VMs that each have to find out for themselves, also after a start.
TEST_CASE("A VM that never met a leaving upstream hears of it from others", "[leaving]")
{
    NodeUnderTest test;
    test.configure(1);
    UpstreamStandIn leaving(test.loop, "i-1");
    UpstreamStandIn other(test.loop, "i-2");
    for (auto const* upstream : { &leaving, &other })
        test.list(*upstream, "plain");
    leaving.is_leaving = true;
    call_until_met(test, leaving);
    // From here on an answer tells nobody.
    leaving.is_leaving = false;
    for (int start = 0; start < 2; ++start) {
        OtherVirtualMachine second(test, { test.node->wire_address() }, {}, "vm-" + std::to_string(start + 2));
        int calls = 0;
        int in_a_row = 0;
        auto const is_kept_out = [&] {
            auto const before = work_of(leaving);
            CHECK(second.call(test.request("GET", "/safe/x", "s" + std::to_string(start) + "-" + std::to_string(++calls))).head.status == 200);
            in_a_row = work_of(leaving) == before ? in_a_row + 1 : 0;
            return in_a_row >= CALLS;
        };
        CHECK(test.run_until(is_kept_out));
    }
}

// Guards against prompts and answers that go to an engine that leaves.
TEST_CASE("An engine whose answer says that it leaves gets no new prompts and no new answers", "[leaving]")
{
    for (auto const* target : { "/stream/x", "/resumable/x" }) {
        NodeUnderTest test;
        test.configure(1);
        UpstreamStandIn leaving_prefill(test.loop, "i-p1", "prefill");
        UpstreamStandIn leaving_decode(test.loop, "i-d1", "decode");
        UpstreamStandIn prefill(test.loop, "i-p2", "prefill");
        UpstreamStandIn decode(test.loop, "i-d2", "decode");
        for (auto const* engine : { &leaving_prefill, &leaving_decode, &prefill, &decode })
            test.list(*engine, "engines");
        test.store.set_fault(StoreStandIn::Fault::Silent);
        leaving_prefill.is_leaving = leaving_decode.is_leaving = true;
        int tries = 0;
        REQUIRE(test.run_until([&] {
            test.call(test.model_request(target, "meet" + std::to_string(++tries)));
            return !leaving_decode.run.empty() && !leaving_prefill.handles.empty();
        }));
        auto const prompts = work_of(leaving_prefill);
        auto const answers = work_of(leaving_decode);
        for (int i = 0; i < CALLS; ++i)
            CHECK(test.call(test.model_request(target, "a" + std::to_string(i))).head.status == 200);
        CAPTURE(target);
        CHECK(work_of(leaving_prefill) == prompts);
        CHECK(work_of(leaving_decode) == answers);
    }
}

// Guards against a caller's second attempt that goes to an upstream that leaves.
TEST_CASE("What another upstream failed is not sent to one that leaves", "[leaving]")
{
    NodeUnderTest test;
    test.configure(1);
    UpstreamStandIn leaving(test.loop, "i-1");
    UpstreamStandIn failing(test.loop, "i-2");
    for (auto const* upstream : { &leaving, &failing })
        test.list(*upstream, "plain");
    leaving.is_leaving = true;
    call_until_met(test, leaving);
    failing.script = [&](HttpExchange& exchange) -> asio::awaitable<bool> {
        auto head = failing.answer_head(exchange, 500);
        static_cast<void>(co_await exchange.respond(std::move(head), "its own"));
        co_return true;
    };
    auto const before = work_of(leaving);
    CHECK(test.call(test.request("GET", "/safe/x", "a")).head.status == 500);
    CHECK(work_of(leaving) == before);
}

// Guards against requests that wait here, for a turn at an upstream, and are sent to it when it leaves meanwhile.
TEST_CASE("A request that waits for its turn is not sent to an upstream that leaves meanwhile", "[leaving][upstream-limit]")
{
    NodeUnderTest test;
    test.configure(1, set_long_latency_target);
    UpstreamStandIn upstream(test.loop, "i-1");
    upstream.named_limit = "2.0";
    test.list(upstream, "plain");
    call_until_met(test, upstream);
    upstream.is_leaving = true;
    // They wait for their turns, half a second apart.
    auto const answers = test.call_all(test.node->caller_address(), { test.request("GET", "/safe/x", "a1"), test.request("GET", "/safe/x", "a2") });
    CHECK(answers[0].head.status == 200);
    CHECK(answers[1].head.status == 503);
    CHECK(answers[1].head.headers.contains("Retry-After"));
    CHECK(upstream.run.back() == "a1");
}

// Guards against callers that are held, or sent to a leaving upstream, where nothing else is left.
TEST_CASE("Where all upstreams leave callers are told at once that nothing has run and when to come back", "[leaving][not-run]")
{
    NodeUnderTest test;
    test.configure(1, set_long_latency_target);
    UpstreamStandIn plain(test.loop, "i-1");
    UpstreamStandIn prefill(test.loop, "i-p1", "prefill");
    UpstreamStandIn decode(test.loop, "i-d1", "decode");
    test.list(plain, "plain");
    test.list(prefill, "engines");
    test.list(decode, "engines");
    plain.is_leaving = prefill.is_leaving = decode.is_leaving = true;
    call_until_met(test, plain);
    REQUIRE(test.run_until([&] {
        test.call(test.model_request("/stream/x", "meet"));
        return !decode.run.empty();
    }));
    auto const before = work_of(plain) + work_of(prefill) + work_of(decode);
    for (auto request : { test.request("GET", "/safe/x", "a1"), test.request("GET", "/once/x", "a2"), test.model_request("/stream/x", "a3"), test.model_request("/resumable/x", "a4") }) {
        auto const begun = monotonic_now();
        auto const answer = test.call(request);
        CHECK(monotonic_now() - begun < AT_ONCE);
        CHECK(answer.head.status == 503);
        CHECK(std::stod(std::string(answer.head.headers.find("Retry-After").value_or("0"))) > 0);
    }
    CHECK(work_of(plain) + work_of(prefill) + work_of(decode) == before);
}

// Guards against a keeper that has not heard of a departure and places the requests of a VM that has.
TEST_CASE("A stream is not sent to an engine that its own VM knows to leave, whoever places it", "[leaving]")
{
    // Either VM may be the keeper of the other one's requests.
    for (bool const is_second_asked : { false, true }) {
        NodeUnderTest test;
        test.configure(1);
        UpstreamStandIn leaving(test.loop, "i-d1", "decode");
        UpstreamStandIn other(test.loop, "i-d2", "decode");
        test.list(leaving, "engines");
        OtherVirtualMachine second(test, { test.node->wire_address() });
        auto const& address = is_second_asked ? second.caller_address() : test.node->caller_address();
        int calls = 0;
        auto const call = [&] {
            ++calls;
            return test.call(address, test.model_request(calls % 2 == 0 ? "/stream/x" : "/resumable/x", "a" + std::to_string(calls))).head.status;
        };
        leaving.is_leaving = true;
        REQUIRE(test.run_until([&] { return call() == 200; }));
        leaving.is_leaving = false;
        auto const met = work_of(leaving);
        test.list(other, "engines");
        REQUIRE(test.run_until([&] { return call() == 200; }));
        for (int i = 0; i < CALLS; ++i)
            CHECK(call() == 200);
        CAPTURE(is_second_asked);
        CHECK(work_of(leaving) == met);
    }
}
