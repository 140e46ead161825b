// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibAsync/ConnectionPool.h>
#include <LibDecision/ReachabilityTracker.h>
#include <LibDecision/UpstreamList.h>
#include <map>
#include <memory>
#include <string>

namespace Spurtide {

/// Makes the probes that the tracker wants, and breaks off what waits in vain.
class ReachabilityProber {
public:
    struct Options {
        /// A path between data centres of one deployment takes a few milliseconds; one packet may be lost.
        Duration connect_timeout = milliseconds(250);
    };

    ReachabilityProber(Options options, asio::io_context& loop, ReachabilityTracker& tracker, ConnectionPool& pool, UpstreamList const& upstreams);

    /// Call some times a second.
    void tick();

    using Watched = std::multimap<std::string, std::weak_ptr<HttpConnection>>;

    /// While it lives, the connection is broken off when the upstream turns out to be out of reach. For what may
    /// then go on elsewhere.
    class Watch {
    public:
        Watch(ReachabilityProber& prober, std::string identity, std::shared_ptr<HttpConnection> const& connection);
        ~Watch();
        Watch(Watch const&) = delete;
        Watch& operator=(Watch const&) = delete;

    private:
        std::shared_ptr<Watched> watched;
        Watched::iterator place;
    };

    /// Nothing could be connected to the upstream just now.
    void note_unreachable(UpstreamRecord const& upstream);

private:
    asio::awaitable<void> probe(UpstreamRecord upstream, Address address);

    Options options;
    asio::io_context& loop;
    ReachabilityTracker& tracker;
    ConnectionPool& pool;
    UpstreamList const& upstreams;
    /// Shared with the watches, which may outlive this at the end of the process.
    std::shared_ptr<Watched> watched = std::make_shared<Watched>();
};

}
