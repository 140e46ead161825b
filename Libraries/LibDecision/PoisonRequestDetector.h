// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <LibDecision/CrashLog.h>
#include <LibDecision/RecentRequests.h>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace Spurtide {

/// Identifies requests that crash the upstreams which run them, from the sets of requests that were running on each
/// crashed upstream.
///
/// Requests that run next to a poison request are retried elsewhere and may meet it again there, so a crash count per
/// request would blame innocent ones: in one incident an innocent request was on three upstreams that crashed within
/// ten seconds. The request present at the most crashes is therefore taken as the cause of all of them, and the
/// remaining requests are counted without these crashes. A request that completed on any upstream is not a poison
/// request.
class PoisonRequestDetector {
public:
    struct Options {
        /// Crashes at which a request counts as poison. A single crash can have any cause, and two in a row occur when
        /// machines fail in series.
        std::size_t crash_threshold = 3;
        /// Additional crashes to wait for when two requests were present at the same crashes and arrived at about the
        /// same time. The next crash usually separates them; blaming the wrong one would leave the poison request
        /// running.
        std::size_t tie_break_crashes = 2;
        /// Time from the first report of a crash until all VMs have reported their requests. They detect the crash
        /// within a few milliseconds of each other.
        Duration report_delay = milliseconds(60);
        /// A request that recurs less often than this crashes at most one upstream per interval.
        Duration retention = seconds(3600);
        /// Maximum number of crashes kept; the oldest are evicted first. Each holds at most as many requests as an
        /// upstream has slots.
        std::size_t maximum_crashes = 256;
        /// How long a completed request stays exonerated: longer than a response takes, so that delayed reports of
        /// earlier crashes do not count, and short compared to the interval between two software updates of the
        /// upstreams.
        RecentRequests::Options completed { seconds(60), 8192 };
    };

    explicit PoisonRequestDetector(Options options)
        : options(options)
        , log({ options.report_delay, options.retention, options.maximum_crashes, std::numeric_limits<std::size_t>::max() })
        , completed(options.completed)
    {
    }

    /// Records that the upstream crashed while running the request, which had been sent there `ran_for` earlier.
    void note_crash(RequestFingerprint const& request, UpstreamIncarnation const& upstream, Duration ran_for, MonotonicTime now);
    void note_completed(RequestFingerprint const& request, MonotonicTime now);

    /// Whether the request was present at enough crashes to be poison, unless another request explains them.
    bool is_suspect(RequestFingerprint const& request) const;
    /// Whether all VMs have reported the crashes at which the request was present.
    bool is_fully_reported(RequestFingerprint const& request, MonotonicTime now) const;

    struct PoisonRequest {
        RequestFingerprint request;
        std::size_t crashes = 0;
    };
    /// Returns the poison requests identified so far, except for those that `is_known` accepts. Known ones still
    /// explain their crashes.
    std::vector<PoisonRequest> find_poison_requests(std::function<bool(RequestFingerprint const&)> const& is_known, MonotonicTime now) const;

    std::size_t size() const { return this->log.crashes().size(); }

private:
    struct Evidence {
        std::size_t crashes = 0;
        Duration ran_for {};
    };

    /// Returns nothing if no request was present at enough of the crashes, or if two candidates cannot be told apart.
    std::optional<PoisonRequest> most_likely(std::span<CrashLog::Crash const* const> unexplained) const;

    Options options;
    CrashLog log;
    RecentRequests completed;
};

}
