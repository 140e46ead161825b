// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibDecision/CallAsk.h>
#include <LibDecision/CallOutcome.h>
#include <LibDecision/QueueUpstream.h>
#include <LibDecision/ServiceTimeEstimator.h>
#include <LibDecision/UpstreamSelector.h>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace Spurtide {

/// The places of a service's upstreams for calls in flight, their measured service times, and which upstream a call is sent to.
class CallPlaces {
public:
    struct Options {
        double ahead_share = 0.125;
        Duration initial_service_time = milliseconds(50);
        double smoothing = 0.15;
        Duration remote_penalty = milliseconds(4);
        Duration shed_backoff = milliseconds(150);
    };

    /// What the upstreams that a call may be sent to can do.
    struct Capacity {
        bool has_upstream = false;
        /// Calls per second.
        double rate = 0;
        /// Mean time from a grant to the return of the place, in seconds.
        double service_seconds = 0;
        /// The same at the fastest upstream.
        double fastest_service_seconds = 0;
    };

    struct Choice {
        std::string_view upstream;
        /// Expected time from the grant to the response, in seconds.
        double service_seconds = 0;
    };

    explicit CallPlaces(Options options);

    /// Replaces the upstreams. The state of those that remain is kept.
    void set_upstreams(std::span<QueueUpstream const> upstreams);

    void take(std::string_view upstream, MonotonicTime now);
    /// Returns a place. Held is the time since the grant; empty if the grant was made elsewhere.
    void give_back(std::string_view upstream, CallOutcome outcome, Duration service_time, std::optional<Duration> held, MonotonicTime now);

    /// The free place with the shortest expected response time among the upstreams that the call may be sent to.
    std::optional<Choice> choose(CallAsk const& ask, MonotonicTime now) const;
    /// Capacity of the upstreams that the call may be sent to; of all for an empty pointer.
    Capacity capacity(CallAsk const* ask, MonotonicTime now) const;
    /// Whether any upstream has a free place.
    bool has_free_place() const;
    /// Mean deviation of service times from their average, as a share of it.
    double relative_deviation() const { return this->deviation; }
    std::int64_t in_flight(std::string_view upstream) const;

private:
    struct Upstream {
        QueueUpstream listed;
        bool is_listed = false;
        std::int64_t in_flight = 0;
        ServiceTimeEstimator service_time;
        /// When a call ended last, or when the upstream was idle last.
        MonotonicTime progressed_at;
    };

    Capacity determine_capacity(CallAsk const* ask, MonotonicTime now) const;
    Upstream& find_or_add(std::string_view identity);
    void measure(Upstream& upstream, Duration service_time, std::optional<Duration> held, MonotonicTime now);
    /// The most calls in flight at an upstream.
    std::int64_t limit(Upstream const& upstream) const;
    double service_seconds(Upstream const& upstream, MonotonicTime now) const;
    double preference(Upstream const& upstream, CallAsk const& ask, double service) const;
    bool may_suspend(CallAsk const* ask, MonotonicTime now) const;

    Options options;
    UpstreamSelector health;
    std::map<std::string, Upstream, std::less<>> upstreams;
    /// Moving average of the service times of all upstreams.
    double usual_seconds;
    std::int64_t samples = 0;
    /// Moving averages of the deviation, and of the time for which a place is held beyond the service time.
    double deviation;
    double overhead_seconds = 0;
    /// The capacity of all upstreams, which is asked for several times for each call.
    mutable std::optional<std::pair<MonotonicTime, Capacity>> known_capacity;
};

}
