// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <optional>

namespace Spurtide {

/// A request in flight of which nothing arrives, at an upstream to which new connections fail.
struct SilentRequest {
    Duration silent_for {};
    /// How long a sound upstream may take until the response begins.
    Duration usual_wait {};
    /// How long its caller waits for the next part of a response that has begun; empty before.
    std::optional<Duration> caller_patience {};
    /// How long it takes until the caller receives something from another upstream.
    Duration time_elsewhere {};
    /// Where the request could be sent instead.
    enum class Alternative {
        None,
        /// Only another VM may reach an upstream for it.
        ThroughRelay,
        /// An upstream that has responded to this VM since new connections to the silent one fail.
        Direct,
    } alternative
        = Alternative::None;
};

/// Decides when a silent request is given up for another send. The upstream may only be busy: its new connections fail if its backlog
/// is full, and then what it runs goes on. So nothing is given up that has no other place to go, and a response that has begun
/// waits as long as its caller can still be served elsewhere. A connection that is dead ends by itself, by the probes of TCP.
class SilencePolicy {
public:
    struct Options {
        /// A shorter silence is not worth another send.
        Duration silence = milliseconds(300);
        /// Whether another VM reaches the upstreams is known only by asking it. By then the probes of TCP have ended a dead connection.
        Duration silence_before_relay = milliseconds(2000);
    };

    explicit SilencePolicy(Options options)
        : options(options)
    {
    }

    bool may_abandon(SilentRequest const& request) const { return request.alternative != SilentRequest::Alternative::None && request.silent_for >= this->shortest_silence(request); }
    /// The silence after which the request is given up if it has an alternative.
    Duration shortest_silence(SilentRequest const& request) const;

private:
    Options options;
};

}
