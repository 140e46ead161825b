// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibDecision/UpstreamList.h>
#include <LibRouter/ReachabilityProber.h>
#include <memory>
#include <string>

namespace Spurtide {

/// One request at one upstream, from its send to its end, as far as reach goes. End it before its connection goes
/// back to the pool, where another request may take it.
class InFlightRequest {
public:
    /// What becomes of the connection when the upstream turns out to be out of reach.
    enum class WhenUnreachable {
        Wait,
        /// The request may go on elsewhere.
        Abort,
    };

    InFlightRequest(ReachabilityProber const& prober, UpstreamRecord const& upstream, std::shared_ptr<HttpConnection> const& connection, WhenUnreachable when_unreachable);
    ~InFlightRequest();
    InFlightRequest(InFlightRequest const&) = delete;
    InFlightRequest& operator=(InFlightRequest const&) = delete;

    /// Something came from the upstream.
    void note_received();
    UpstreamRecord const& upstream() const { return this->record; }
    std::string const& identity() const { return this->record.identity; }
    MonotonicTime send_time() const { return this->sent_at; }

private:
    UpstreamRecord record;
    MonotonicTime sent_at;
    // Both may outlive the process's state at its end, with the request that waits.
    std::shared_ptr<ReachabilityTracker> tracker;
    std::shared_ptr<ReachabilityProber::Watched> watched;
    ReachabilityProber::Watched::iterator watch_position;
};

}
