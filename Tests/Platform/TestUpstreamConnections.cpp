// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <Tests/Platform/NodeUnderTest.h>
#include <Tests/Platform/OtherVirtualMachine.h>
#include <catch2/catch.hpp>

using namespace Spurtide;
using namespace Spurtide::Tests;

// Guards against VMs that each keep as many connections as if they were alone: an upstream takes a bounded number from all
// of them together, and resets more.
TEST_CASE("Connections that all VMs keep to an upstream leave half of those it takes for others", "[connections]")
{
    constexpr std::size_t MOST = 16;
    NodeUnderTest test;
    test.configure(1, [&](auto& configuration) { configuration["services"][0]["max_conns"] = MOST; });
    UpstreamStandIn plain(test.loop, "i-1");
    plain.script = [&](HttpExchange&) -> asio::awaitable<bool> {
        // All are there at the same time.
        asio::steady_timer timer(test.loop, milliseconds(30));
        asio::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        co_return false;
    };
    test.list(plain, "plain");
    OtherVirtualMachine second(test, { test.node->wire_address() });
    auto const metrics_name_both = [&] {
        auto const metrics = test.call(test.node->operations_address(), test.request("GET", "/metrics", "m"));
        return metrics.body.find("spurtide_live_vms 2\n") != std::string::npos;
    };
    REQUIRE(test.run_until(metrics_name_both));
    // The next look at how many VMs there are is within a second.
    auto const is_bounded = [&] {
        for (auto const* address : { &test.node->caller_address(), &second.caller_address() }) {
            std::vector<HttpRequest> requests;
            for (std::size_t i = 0; i < MOST; ++i)
                requests.push_back(test.request("GET", "/safe/x", "a" + std::to_string(i)));
            for (auto const& answer : test.call_all(*address, std::move(requests)))
                CHECK(answer.head.status == 200);
        }
        return plain.connection_count() <= MOST / 2;
    };
    CHECK(test.run_until(is_bounded));
}
