// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Spurtide {

/// A candidate upstream of a plain service.
struct SelectableUpstream {
    std::string_view identity;
    std::int64_t slots = 1;
    enum class Place {
        SameDataCentre,
        Elsewhere,
    } place
        = Place::SameDataCentre;
};

/// The outcome of one send to an upstream.
enum class UpstreamOutcome {
    Succeeded,
    /// The upstream is healthy, but at capacity.
    Full,
    /// The upstream sent no response or an incomplete one.
    Failed,
    /// The request was not sent after all.
    NotSent,
};

/// Selects upstreams of plain services by observed response times and requests in flight. Upstreams that fail are
/// ejected for an exponentially growing time, but never more than half of a service's upstreams.
class UpstreamSelector {
public:
    struct Options {
        /// Consecutive failures after which an upstream is ejected.
        int failures_before_ejection = 3;
        Duration first_ejection = milliseconds(1000);
        Duration maximum_ejection = seconds(8);
        /// How long a full upstream is avoided while others have capacity.
        Duration full_backoff = milliseconds(150);
        /// Weight of a new sample in the moving average of response times.
        double smoothing = 0.15;
        /// Penalty for an upstream in another data centre, as time.
        Duration remote_penalty = milliseconds(4);
    };

    explicit UpstreamSelector(Options options)
        : options(options)
    {
    }

    /// Selects the upstream with the shortest expected response time; empty if there are none.
    std::optional<std::size_t> choose(std::span<SelectableUpstream const> upstreams, MonotonicTime now);

    void note_sent(std::string_view identity);
    void note_end(std::string_view identity, UpstreamOutcome outcome, Duration took, MonotonicTime now);
    /// Forgets upstreams that are no longer listed.
    void retain(std::function<bool(std::string_view)> const& is_listed);

    std::int64_t in_flight(std::string_view identity) const;
    bool is_ejected(std::string_view identity, MonotonicTime now) const;
    /// Whether the upstream is ejected, or has a trial request in flight.
    bool is_suspended(std::string_view identity, MonotonicTime now) const;
    /// Whether the upstream has just reported that it is full.
    bool is_full(std::string_view identity, MonotonicTime now) const;

private:
    struct UpstreamState {
        std::int64_t in_flight = 0;
        int failures_in_a_row = 0;
        int ejections = 0;
        MonotonicTime ejected_until;
        MonotonicTime full_until;
        double mean_seconds = 0;
        /// After an ejection, the upstream receives one trial request at a time.
        bool needs_trial = false;
    };

    double expected_seconds(SelectableUpstream const& upstream, UpstreamState const& states) const;

    Options options;
    std::map<std::string, UpstreamState, std::less<>> states;
    std::uint64_t next_start = 0;
};

}
