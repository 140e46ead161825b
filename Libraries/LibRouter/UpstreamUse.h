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
class UpstreamUse {
public:
    /// What becomes of the connection when the upstream turns out to be out of reach.
    enum class OutOfReach {
        Wait,
        /// The request may go on elsewhere.
        BreakOff,
    };

    UpstreamUse(ReachabilityProber const& prober, UpstreamRecord const& upstream, std::shared_ptr<HttpConnection> const& connection, OutOfReach out_of_reach);
    ~UpstreamUse();
    UpstreamUse(UpstreamUse const&) = delete;
    UpstreamUse& operator=(UpstreamUse const&) = delete;

    /// Something came from the upstream.
    void note_heard();
    UpstreamRecord const& upstream() const { return this->record; }
    std::string const& identity() const { return this->record.identity; }
    MonotonicTime began_at() const { return this->began; }

private:
    UpstreamRecord record;
    MonotonicTime began;
    // Both may outlive the process's state at its end, with the request that waits.
    std::shared_ptr<ReachabilityTracker> tracker;
    std::shared_ptr<ReachabilityProber::Watched> watched;
    ReachabilityProber::Watched::iterator watch;
};

}
