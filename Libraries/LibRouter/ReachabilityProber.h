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

    ReachabilityProber(Options options, asio::io_context& loop, std::shared_ptr<ReachabilityTracker> reachability, ConnectionPool& pool, UpstreamList const& upstreams);

    /// Call some times a second.
    void tick();

    /// Connections that are broken off when their upstream turns out to be out of reach.
    using Watched = std::multimap<std::string, std::weak_ptr<HttpConnection>>;
    std::shared_ptr<Watched> const& watched() const { return this->watched_connections; }
    std::shared_ptr<ReachabilityTracker> const& tracker() const { return this->reachability; }

    enum class Process {
        /// Something listens at its address, or the path there tells nothing.
        NotKnown,
        Gone,
    };
    /// Finds out, by a connection where that is not known yet, whether this incarnation of the upstream is gone.
    asio::awaitable<Process> probe_process(UpstreamRecord upstream);
    /// What is known without one.
    Process known_process(UpstreamRecord const& upstream) const;

    /// Nothing could be connected to the upstream just now, for this reason.
    void note_unreachable(UpstreamRecord const& upstream, HttpError error);

private:
    void begin_probe(std::string const& identity, MonotonicTime now);
    asio::awaitable<void> probe(UpstreamRecord upstream, Address address);

    Options options;
    asio::io_context& loop;
    std::shared_ptr<ReachabilityTracker> reachability;
    ConnectionPool& pool;
    UpstreamList const& upstreams;
    std::shared_ptr<Watched> watched_connections = std::make_shared<Watched>();
    /// Of listed upstreams where nothing listened, the starts of the incarnations that are gone.
    std::map<std::string, std::int64_t, std::less<>> gone_processes;
};

}
