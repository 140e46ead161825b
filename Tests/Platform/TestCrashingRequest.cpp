// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/LogLine.h>
#include <Tests/Platform/CrashingUpstreams.h>
#include <Tests/Platform/NodeUnderTest.h>
#include <Tests/Platform/OtherVirtualMachine.h>
#include <algorithm>
#include <array>
#include <catch2/catch.hpp>

// The incident. Seen: engines ended one after the other, up to six within half a second, and one request that came again
// and again was sent to engines fifteen and more times after three of them had ended under it.

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

/// How many upstreams may end under a request before it is known to end them, and how many sends may follow that.
constexpr int ENDS = 3;
constexpr int SENDS_AFTER = 3;

/// Lasts until its caller leaves or its upstream ends, as far as these tests go.
constexpr int LONG_ANSWER = 400;

constexpr auto CRASHING = "the request that ends whatever runs it";

CrashingUpstreams::Predicate const IS_CRASHING = [](HttpRequest const& request) { return request.body == CRASHING; };

HttpRequest with_body(HttpRequest made, std::string body)
{
    std::erase_if(made.head.headers.all(), [](auto const& field) { return equal_names(field.name, "Content-Length"); });
    made.head.headers.add("Content-Length", std::to_string(body.size()));
    made.body = std::move(body);
    return made;
}

}

TEST_CASE("A request under which three upstreams ended reaches hardly any more of them", "[crashing-request]")
{
    struct Case {
        char const* target;
        char const* service;
    };
    auto const cases = std::array { Case { "/stream/x", "engines" }, Case { "/resumable/x", "engines" }, Case { "/safe/x", "plain" }, Case { "/once/x", "plain" } };
    constexpr int UPSTREAMS = 12;
    constexpr int ATTEMPTS = 12;
    for (auto const& crashing : cases) {
        NodeUnderTest test(allow_many_sends);
        test.configure(1);
        UpstreamStandIn prefill(test.loop, "i-p", "prefill");
        test.list(prefill, "engines");
        CrashingUpstreams const upstreams(test, crashing.service, UPSTREAMS, IS_CRASHING);
        for (int i = 0; i < ATTEMPTS; ++i) {
            auto const identifier = "a" + std::to_string(i);
            auto const made = std::string_view(crashing.service) == "engines" ? test.model_request(crashing.target, identifier) : test.request("POST", crashing.target, identifier);
            test.call(with_body(made, CRASHING));
        }
        CAPTURE(crashing.target);
        CHECK(upstreams.ended <= ENDS + SENDS_AFTER);
    }
}

TEST_CASE("A caller whose request is kept from upstreams is told at once, truly, and when to come back", "[crashing-request][not-run]")
{
    NodeUnderTest test(allow_many_sends);
    test.configure(1);
    CrashingUpstreams const upstreams(test, "plain", 5, IS_CRASHING);
    int answered = 0;
    for (int i = 0; i < ENDS; ++i)
        answered += test.call(with_body(test.request("POST", "/once/x", "a" + std::to_string(i)), CRASHING)).head.status == 502 ? 1 : 0;
    CHECK(answered == ENDS);
    auto const refused = test.call(with_body(test.request("POST", "/once/x", "b"), CRASHING));
    CHECK(refused.head.status == 503);
    auto const metrics = test.call(test.node->operations_address(), test.request("GET", "/metrics", "m"));
    CHECK(metrics.body.find("spurtide_quarantined_requests 1\n") != std::string::npos);
    CHECK(std::stod(std::string(refused.head.headers.find("Retry-After").value_or("0"))) > 3500);
    CHECK(upstreams.ended == ENDS);
    // Another body, another path and another method are other requests.
    CHECK(test.call(with_body(test.request("POST", "/once/x", "c"), "harmless")).head.status == 200);
    CHECK(test.call(with_body(test.request("POST", "/safe/x", "d"), "harmless")).head.status == 200);
    CHECK(test.call(test.request("GET", "/once/x", "e")).head.status == 200);
}

TEST_CASE("Who ran beside a request that ends upstreams is served, there and when they come again", "[crashing-request]")
{
    NodeUnderTest test(allow_many_sends);
    test.configure(1);
    UpstreamStandIn prefill(test.loop, "i-p", "prefill");
    test.list(prefill, "engines");
    constexpr int UPSTREAMS = 8;
    CrashingUpstreams upstreams(test, "engines", UPSTREAMS, IS_CRASHING);
    upstreams.answer_with(LONG_ANSWER);
    std::vector<std::shared_ptr<HttpConnection>> victims;
    constexpr int VICTIMS = 8;
    for (int i = 0; i < VICTIMS; ++i)
        victims.push_back(test.begin(with_body(test.model_request("/resumable/x", "v" + std::to_string(i)), "victim " + std::to_string(i))));
    REQUIRE(test.run_until([&] { return upstreams.running() == VICTIMS; }));
    for (int i = 0; i < 6; ++i)
        test.call(with_body(test.model_request("/stream/x", "a" + std::to_string(i)), CRASHING));
    CHECK(upstreams.ended == ENDS);
    for (int i = 0; i < VICTIMS; ++i) {
        victims[static_cast<std::size_t>(i)]->abort();
        auto const again = test.call(with_body(test.model_request("/resumable/x", "w" + std::to_string(i)), "victim " + std::to_string(i)));
        CHECK(again.head.status == 200);
    }
}

TEST_CASE("What ended upstreams on one VM is known on another", "[crashing-request]")
{
    NodeUnderTest test(allow_many_sends);
    test.configure(1);
    CrashingUpstreams const upstreams(test, "plain", 12, IS_CRASHING);
    OtherVirtualMachine other(test, { test.node->wire_address() }, allow_many_sends);
    for (int i = 0; i < 6; ++i) {
        test.call(with_body(test.request("POST", "/once/x", "a" + std::to_string(i)), CRASHING));
        other.call(with_body(test.request("POST", "/once/x", "b" + std::to_string(i)), CRASHING));
    }
    CHECK(upstreams.ended <= ENDS + SENDS_AFTER);
}

TEST_CASE("What ended upstreams is still known when all processes of the system have started again", "[crashing-request][kill]")
{
    NodeUnderTest test(allow_many_sends);
    test.configure(1);
    CrashingUpstreams const upstreams(test, "plain", 16, IS_CRASHING);
    for (int start = 0; start < 4; ++start) {
        OtherVirtualMachine machine(test, {}, allow_many_sends);
        for (int i = 0; i < 4; ++i)
            machine.call(with_body(test.request("POST", "/once/x", "a" + std::to_string(start) + std::to_string(i)), CRASHING));
    }
    CHECK(upstreams.ended <= ENDS + SENDS_AFTER);
}

TEST_CASE("Of an engine that ended under a stream no other VM is given places", "[crashing-request][whole]")
{
    std::string lines;
    LogLine::set_observer([&](std::string_view line) { lines.append(line).append("\n"); });
    NodeUnderTest test(allow_many_sends);
    test.configure(1);
    UpstreamStandIn prefill(test.loop, "i-p", "prefill");
    test.list(prefill, "engines");
    CrashingUpstreams upstreams(test, "engines", 3, IS_CRASHING);
    upstreams.answer_with(LONG_ANSWER);
    OtherVirtualMachine other(test, { test.node->wire_address() }, allow_many_sends);
    auto const stream = test.begin(test.model_request("/resumable/x", "s"));
    REQUIRE(test.run_until([&] { return upstreams.running() == 1; }));
    REQUIRE(upstreams.crash_busy());
    REQUIRE(test.run_until([&] { return upstreams.running() == 2; }));
    lines.clear();
    upstreams.answer_with(2);
    for (int i = 0; i < 4; ++i)
        CHECK(other.call(test.model_request("/stream/x", "o" + std::to_string(i))).head.status == 200);
    CHECK(lines.find("nobody_listens") == std::string::npos);
}
