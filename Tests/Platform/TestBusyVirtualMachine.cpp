// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <Tests/Platform/NodeUnderTest.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <thread>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

constexpr std::size_t CALLERS = 16;

std::vector<HttpRequest> requests_of(NodeUnderTest& test, std::string const& name)
{
    std::vector<HttpRequest> made;
    for (std::size_t i = 0; i < CALLERS; ++i)
        made.push_back(test.request("GET", "/safe/x", name + std::to_string(i)));
    return made;
}

std::size_t count_served(std::vector<CallerAnswer> const& answers)
{
    return static_cast<std::size_t>(std::count_if(answers.begin(), answers.end(), [](auto const& answer) { return !answer.error && answer.head.status == 200; }));
}

}

// Guards against requests that are read by a VM which has no time to answer them while other VMs have.
TEST_CASE("A VM whose event loop cannot keep up closes new connections unread and serves what it has read", "[busy]")
{
    NodeUnderTest test;
    test.configure(1);
    UpstreamStandIn upstream(test.loop, "i-1");
    test.list(upstream, "plain");
    auto const address = test.node->caller_address();
    CHECK(count_served(test.call_all(address, requests_of(test, "calm"))) == CALLERS);

    bool is_busy = true;
    auto const occupy = [&test, &is_busy] {
        auto const again = [](auto const& self, asio::io_context& loop, bool const& goes_on) -> void {
            if (!goes_on)
                return;
            std::this_thread::sleep_for(std::chrono::milliseconds(160));
            asio::post(loop, [self, &loop, &goes_on] { self(self, loop, goes_on); });
        };
        asio::post(test.loop, [again, &test, &is_busy] { again(again, test.loop, is_busy); });
    };
    occupy();
    auto const busy_since = monotonic_now();
    REQUIRE(test.run_until([&] { return monotonic_now() - busy_since > seconds(2); }));
    auto const answers = test.call_all(address, requests_of(test, "busy"));
    auto const served = count_served(answers);
    auto const closed = static_cast<std::size_t>(std::count_if(answers.begin(), answers.end(), [](auto const& answer) { return answer.error.has_value(); }));
    CHECK(served >= 1);
    CHECK(closed >= CALLERS / 2);
    // None was read and then turned away.
    CHECK(served + closed == CALLERS);
    CHECK(upstream.run.size() == CALLERS + served);

    is_busy = false;
    auto const calm_since = monotonic_now();
    REQUIRE(test.run_until([&] { return monotonic_now() - calm_since > milliseconds(500); }));
    CHECK(count_served(test.call_all(address, requests_of(test, "after"))) == CALLERS);
}
