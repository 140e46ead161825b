// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <LibCore/LogLine.h>
#include <Tests/Platform/NodeUnderTest.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

constexpr std::size_t CALLERS = 16;

/// Occupies an event loop with work that takes 160 ms of each turn.
class BusyLoop {
public:
    explicit BusyLoop(asio::io_context& loop)
        : loop(loop)
    {
    }

    void start()
    {
        this->is_busy = true;
        asio::post(this->loop, [this] { this->work(); });
    }
    void stop() { this->is_busy = false; }

private:
    void work()
    {
        auto const until = monotonic_now() + milliseconds(160);
        while (monotonic_now() < until) { }
        if (this->is_busy)
            asio::post(this->loop, [this] { this->work(); });
    }

    asio::io_context& loop;
    bool is_busy = false;
};

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

    std::string lines;
    LogLine::set_observer([&](std::string_view line) { lines.append(line).append("\n"); });
    BusyLoop busy(test.loop);
    busy.start();
    REQUIRE(test.run_until([&] { return lines.find("event=overload_began") != std::string::npos; }));
    auto const answers = test.call_all(address, requests_of(test, "busy"));
    auto const served = count_served(answers);
    auto const closed = static_cast<std::size_t>(std::count_if(answers.begin(), answers.end(), [](auto const& answer) { return answer.error.has_value(); }));
    CHECK(served >= 1);
    CHECK(closed >= CALLERS / 2);
    // None was read and then turned away.
    CHECK(served + closed == CALLERS);
    CHECK(upstream.run.size() == CALLERS + served);

    busy.stop();
    REQUIRE(test.run_until([&] { return lines.find("event=overload_ended") != std::string::npos; }));
    CHECK(count_served(test.call_all(address, requests_of(test, "after"))) == CALLERS);
}
