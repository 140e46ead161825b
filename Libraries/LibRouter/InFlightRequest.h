// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibDecision/UpstreamList.h>
#include <LibRouter/ReachabilityProber.h>
#include <functional>
#include <memory>
#include <string>

namespace Spurtide {

/// Registers a request with the reachability tracker from its send to its end. Destroy it before the connection returns
/// to the pool, where another request may acquire it.
class InFlightRequest {
public:
    /// Whether to give up the response, of which nothing has arrived since then, while new connections to the upstream fail. Null
    /// for requests that must not be sent to another upstream.
    using MayAbandon = std::function<bool(MonotonicTime silent_since)>;

    InFlightRequest(ReachabilityProber const& prober, UpstreamRecord const& upstream, std::string request, std::shared_ptr<HttpConnection> const& connection, MayAbandon may_abandon);
    ~InFlightRequest();
    InFlightRequest(InFlightRequest const&) = delete;
    InFlightRequest& operator=(InFlightRequest const&) = delete;

    /// Call when data arrives from the upstream.
    void note_received();
    UpstreamRecord const& upstream() const { return this->record; }
    std::string const& identity() const { return this->record.identity; }
    MonotonicTime send_time() const { return this->sent_at; }

private:
    UpstreamRecord record;
    MonotonicTime sent_at;
    // Shared, since a waiting request may outlive the router's state at shutdown.
    std::shared_ptr<ReachabilityTracker> tracker;
    std::shared_ptr<ReachabilityProber::Watched> watched;
    ReachabilityProber::Watched::iterator watch_position;
};

}
