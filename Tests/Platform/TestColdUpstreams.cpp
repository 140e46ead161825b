// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <Tests/Platform/NodeUnderTest.h>
#include <catch2/catch.hpp>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

void make_cold(NodeUnderTest& test, UpstreamStandIn const& upstream, int milliseconds_left)
{
    auto entry = upstream.entry("plain");
    entry["cold_left_ms"] = milliseconds_left;
    test.store.put("servers", upstream.identity, entry);
    REQUIRE(test.run_until([&] { return test.node->knows_upstream(upstream.identity, UpstreamRecord::Life::Serving); }));
}

}

TEST_CASE("A cold upstream gets what it bears, the rest is told when to come back", "[cold][not-run]")
{
    NodeUnderTest test;
    UpstreamStandIn plain(test.loop, "i-1");
    test.configure(1, [](auto& configuration) { configuration["services"][0]["cold_per_s"] = 0.05; });
    make_cold(test, plain, 60'000);
    std::vector<int> statuses;
    std::string retry_after;
    for (int i = 0; i < 5; ++i) {
        auto const answer = test.call(test.request("GET", "/safe/x", "a" + std::to_string(i)));
        statuses.push_back(answer.head.status);
        if (answer.head.status == 503)
            retry_after = answer.head.headers.find("Retry-After").value_or("");
    }
    // One VM has one request in twenty seconds.
    CHECK(plain.requests.size() <= 2);
    CHECK(std::count(statuses.begin(), statuses.end(), 503) >= 3);
    CHECK_FALSE(retry_after.empty());
    // Once it is warm it says so.
    test.list(plain, "plain");
    // One answer may be this VM's turn while it still takes the upstream for cold; two in a row are not.
    auto const answered = [&] { return test.call(test.request("GET", "/safe/x", "b")).head.status == 200; };
    REQUIRE(test.run_until([&] { return answered() && answered(); }));
    for (int i = 0; i < 5; ++i)
        CHECK(test.call(test.request("GET", "/safe/x", "c" + std::to_string(i))).head.status == 200);
}

TEST_CASE("While one upstream is cold the others get what it does not bear", "[cold]")
{
    NodeUnderTest test;
    UpstreamStandIn cold(test.loop, "i-1");
    UpstreamStandIn warm(test.loop, "i-2");
    test.configure(1, [](auto& configuration) { configuration["services"][0]["cold_per_s"] = 0.05; });
    make_cold(test, cold, 60'000);
    test.list(warm, "plain");
    for (int i = 0; i < 10; ++i)
        CHECK(test.call(test.request("GET", "/safe/x", "a" + std::to_string(i))).head.status == 200);
    CHECK(cold.requests.size() <= 2);
}
