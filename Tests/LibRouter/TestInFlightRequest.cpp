// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <LibRouter/InFlightRequest.h>
#include <catch2/catch.hpp>

using namespace Spurtide;

namespace {

/// The dependencies of an in-flight request, without a network.
struct InFlightRequestTest {
    asio::io_context loop { 1 };
    std::shared_ptr<ReachabilityTracker> tracker = std::make_shared<ReachabilityTracker>(ReachabilityTracker::Options {}, "dc");
    ConnectionPool pool { ConnectionPool::Options {} };
    UpstreamList upstreams { UpstreamList::Options {} };
    Metrics metrics;
    ReachabilityProber prober { ReachabilityProber::Options {}, loop, tracker, pool, upstreams, metrics };
    std::shared_ptr<HttpConnection> connection = std::make_shared<HttpConnection>(loop.get_executor());
    UpstreamRecord upstream { "u1", "s", "127.0.0.1:1", "dc", 1, UpstreamRecord::Life::Serving, {}, 0 };

    bool is_waiting() const { return !this->tracker->due_probes(monotonic_now() + seconds(1)).empty(); }
};

}

TEST_CASE("A request is watched and counts as waiting only from its send to its end", "[cut]")
{
    InFlightRequestTest test;
    {
        InFlightRequest const in_flight(test.prober, test.upstream, "r1", test.connection, [](auto) { return true; });
        CHECK(in_flight.identity() == "u1");
        CHECK(test.prober.watched()->count("u1") == 1);
        CHECK(test.is_waiting());
    }
    CHECK(test.prober.watched()->empty());
    CHECK_FALSE(test.is_waiting());
}

TEST_CASE("A request that must not be retried elsewhere is not aborted", "[cut][at-most-once]")
{
    InFlightRequestTest test;
    InFlightRequest const in_flight(test.prober, test.upstream, "r1", test.connection, {});
    CHECK(test.prober.watched()->empty());
    CHECK(test.is_waiting());
}

TEST_CASE("A waiting request may outlive the prober that it was registered with", "[cut]")
{
    auto test = std::make_unique<InFlightRequestTest>();
    auto in_flight = std::make_unique<InFlightRequest>(test->prober, test->upstream, "r1", test->connection, [](auto) { return true; });
    auto const watched = test->prober.watched();
    test.reset();
    in_flight.reset();
    CHECK(watched->empty());
}
