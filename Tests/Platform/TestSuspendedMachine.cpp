// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <Tests/Platform/NodeUnderTest.h>
#include <Tests/Support/SuspendedMachine.h>
#include <catch2/catch.hpp>

using namespace Spurtide;
using namespace Spurtide::Tests;

// Guards against requests that outlast the callers' deadlines by the time that the VM was ever suspended.
TEST_CASE("A request to a VM that was suspended ends at its deadline", "[timeouts]")
{
    SuspendedMachine const suspended(seconds(3600));
    NodeUnderTest test;
    test.configure(1);
    UpstreamStandIn silent(test.loop, "i-1");
    test.list(silent, "plain");
    silent.script = [&](HttpExchange&) -> asio::awaitable<bool> {
        Signal never(test.loop.get_executor());
        co_await never.wait();
        co_return true;
    };
    auto made = test.request("POST", "/once/x", "a");
    made.head.headers.all().back().value = "200";
    std::optional<CallerAnswer> answer;
    auto const call = [&]() -> asio::awaitable<void> {
        answer = co_await NodeUnderTest::exchange(test.node->caller_address(), made);
    };
    asio::co_spawn(test.loop, call, asio::detached);
    REQUIRE(test.run_until([&] { return answer.has_value(); }));
    CHECK_FALSE(answer->error);
    CHECK(answer->head.status == 504);
}
