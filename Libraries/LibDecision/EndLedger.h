// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <LibDecision/RecentRequests.h>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace Spurtide {

/// One life of an upstream, which may start again under its name.
struct UpstreamLife {
    std::string identity;
    /// Its start in milliseconds since the epoch; 0 where it does not tell.
    std::int64_t started = 0;

    auto operator<=>(UpstreamLife const&) const = default;
};

/// Finds the requests that end the upstreams that run them, out of who was at which upstream when it ended.
///
/// Whoever runs beside such a request goes on elsewhere and may meet it again there, so a count for each request alone
/// would take victims for causes: in one incident a victim was at three upstreams that ended within ten seconds. Here the
/// request that was at most of the ends is the cause of all of these, and what is left for the others is counted without
/// them. A request that ended well anywhere is no cause.
class EndLedger {
public:
    struct Options {
        /// Upstreams that have to end under a request: one may end for any reason, and two in a row do where machines fail
        /// in series.
        std::size_t ends_of_a_cause = 3;
        /// Where two were at the same ends and came there at about the same time, this many ends more are waited for: the
        /// next mostly tells them apart, and a victim that is taken for the cause leaves the cause at large.
        std::size_t ends_for_clarity = 2;
        /// From the first report of an end until all VMs have told who was there; they see it within a few milliseconds.
        Duration settling = milliseconds(60);
        /// A request that comes more seldom ends one upstream in this time at most.
        Duration memory = seconds(3600);
        /// Ends that are kept; the oldest go first. Each has as many requests as an upstream has places.
        std::size_t most_ends = 256;
        /// Requests that ended well are no causes for so long: longer than an answer takes, so that what its VMs still
        /// report of earlier ends does not count, and short beside the time between two changes of the upstreams' software.
        RecentRequests::Options sound { seconds(60), 8192 };
    };

    explicit EndLedger(Options options)
        : options(options)
        , sound(options.sound)
    {
    }

    /// The upstream's life ended while the request was there, so long after it was sent there.
    void note_end(RequestFingerprint const& request, UpstreamLife const& upstream, Duration ran_for, MonotonicTime now);
    /// The request ended and its upstream did not.
    void note_good_end(RequestFingerprint const& request, MonotonicTime now);

    /// Whether it was at enough ends to be a cause, as long as nobody else explains them.
    bool is_suspect(RequestFingerprint const& request) const;
    /// Whether all VMs have told of the ends at which the request was.
    bool is_settled(RequestFingerprint const& request, MonotonicTime now) const;

    struct Cause {
        RequestFingerprint request;
        /// Upstreams that ended under it.
        std::size_t ends = 0;
    };
    /// The causes that are found now, without those that the function says are known: these explain their ends.
    std::vector<Cause> find_causes(std::function<bool(RequestFingerprint const&)> const& is_known, MonotonicTime now) const;

    void forget_old(MonotonicTime now);
    std::size_t size() const { return this->ends.size(); }

private:
    struct End {
        MonotonicTime first_report;
        /// Who was there, and for how long.
        std::map<RequestFingerprint, Duration> requests;
    };

    struct Suspicion {
        std::size_t ends = 0;
        Duration ran_for {};
    };

    /// Empty where none was at enough of the ends, or two were alike.
    std::optional<Cause> most_likely(std::span<End const* const> unexplained) const;
    bool has_settled(End const& end, MonotonicTime now) const { return now - end.first_report >= this->options.settling; }

    Options options;
    std::map<UpstreamLife, End> ends;
    /// Of those that were at an end, the ones that ended well.
    RecentRequests sound;
};

}
