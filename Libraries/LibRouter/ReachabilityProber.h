// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibAsync/ConnectionPool.h>
#include <LibCore/Metrics.h>
#include <LibDecision/ReachabilityTracker.h>
#include <LibDecision/UpstreamList.h>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Spurtide {

/// Sends the probes that the reachability tracker requests, and abandons requests at upstreams that do not respond.
class ReachabilityProber {
public:
    struct Options {
        /// A round trip between data centres takes a few milliseconds; the timeout allows for one lost packet.
        Duration connect_timeout = milliseconds(250);
    };

    ReachabilityProber(Options options, asio::io_context& loop, std::shared_ptr<ReachabilityTracker> reachability, ConnectionPool& pool, UpstreamList const& upstreams, Metrics& metrics);

    /// Call several times per second.
    void tick();

    /// A request in flight that may be sent to another upstream.
    struct WatchedRequest {
        std::string request;
        std::weak_ptr<HttpConnection> connection;
        /// Whether to give up the response, of which nothing has arrived since then, for that of another upstream.
        std::function<bool(MonotonicTime silent_since)> may_abandon;
    };
    /// By the identity of the upstream.
    using Watched = std::multimap<std::string, WatchedRequest>;
    std::shared_ptr<Watched> const& watched() const { return this->watched_connections; }
    std::shared_ptr<ReachabilityTracker> const& tracker() const { return this->reachability; }

    enum class ProcessState {
        /// A process listens at the address, or the connection failure does not tell.
        Unknown,
        Gone,
    };
    /// Connects to the upstream to find out whether it responds, unless that was tried a moment ago.
    void probe(std::string const& identity);
    /// Determines whether this incarnation of the upstream is gone; connects to it if that is not known yet. A refused connection
    /// only counts while this VM can connect to another upstream: a partitioned VM may be refused by all of them.
    asio::awaitable<ProcessState> probe_process(UpstreamRecord upstream);
    /// Like probe_process(), but never connects.
    ProcessState known_process_state(UpstreamRecord const& upstream) const;

    /// Handles a failed connection attempt to the upstream.
    void note_unreachable(UpstreamRecord const& upstream, HttpError error);

    /// Whether a connection is established.
    enum class Connection {
        Established,
        Failed,
    };
    /// Connects to a few other upstreams, one after the other, until a connection is established; records the results.
    asio::awaitable<Connection> connect_to_another(std::string_view excluded);

private:
    asio::awaitable<Connection> connect_to(UpstreamRecord upstream);
    void abandon_unresponsive(MonotonicTime now);
    void abandon_if_silent(std::string_view identity, WatchedRequest const& watched, MonotonicTime now);
    std::vector<UpstreamRecord> reachable_upstreams(std::string_view excluded, std::size_t most) const;
    void start_probe(std::string const& identity, MonotonicTime now);

    Options options;
    asio::io_context& loop;
    std::shared_ptr<ReachabilityTracker> reachability;
    ConnectionPool& pool;
    UpstreamList const& upstreams;
    Metrics& metrics;
    std::shared_ptr<Watched> watched_connections = std::make_shared<Watched>();
    /// Start times of terminated incarnations, by the identity of a listed upstream whose address refused a connection.
    std::map<std::string, std::int64_t, std::less<>> gone_processes;
};

}
