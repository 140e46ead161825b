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

/// One incarnation of an upstream, which may start again under its name.
struct UpstreamIncarnation {
    std::string identity;
    /// Its start in milliseconds since the epoch; 0 where it does not tell.
    std::int64_t started = 0;

    auto operator<=>(UpstreamIncarnation const&) const = default;
};

/// Finds the requests that crash the upstreams that run them, out of which requests were at each upstream that crashed.
///
/// Whatever runs beside such a request goes on elsewhere and may meet it again there, so a count for each request alone
/// would blame bystanders: in one incident a bystander was at three upstreams that crashed within ten seconds. Here the
/// request that was at most of the crashes is the cause of all of these, and what is left for the others is counted
/// without them. A request that was completed anywhere is no cause.
class PoisonRequestDetector {
public:
    struct Options {
        /// Crashes that make a request the cause: one may have any reason, and two in a row happen where machines fail in
        /// series.
        std::size_t crash_threshold = 3;
        /// Where two requests were at the same crashes and came there at about the same time, this many more are waited for:
        /// the next mostly tells them apart, and a bystander that is taken for the cause leaves the cause at large.
        std::size_t tie_break_crashes = 2;
        /// From the first report of a crash until all VMs have told who was there; they see it within a few milliseconds.
        Duration report_delay = milliseconds(60);
        /// A request that comes more seldom crashes one upstream in this time at most.
        Duration retention = seconds(3600);
        /// Crashes that are kept; the oldest go first. Each has as many requests as an upstream has places.
        std::size_t maximum_crashes = 256;
        /// A completed request is no cause for so long: longer than an answer takes, so that what VMs still report of
        /// earlier crashes does not count, and short beside the time between two changes of the upstreams' software.
        RecentRequests::Options completed { seconds(60), 8192 };
    };

    explicit PoisonRequestDetector(Options options)
        : options(options)
        , completed(options.completed)
    {
    }

    /// The upstream crashed while it had the request, so long after it was sent there.
    void note_crash(RequestFingerprint const& request, UpstreamIncarnation const& upstream, Duration ran_for, MonotonicTime now);
    void note_completed(RequestFingerprint const& request, MonotonicTime now);

    /// Whether it was at enough crashes to be a cause, unless another request explains them.
    bool is_suspect(RequestFingerprint const& request) const;
    /// Whether all VMs have told of the crashes at which the request was.
    bool is_settled(RequestFingerprint const& request, MonotonicTime now) const;

    struct PoisonRequest {
        RequestFingerprint request;
        std::size_t crashes = 0;
    };
    /// The causes that are found now, without those that the function says are known: these explain their crashes.
    std::vector<PoisonRequest> find_poison_requests(std::function<bool(RequestFingerprint const&)> const& is_known, MonotonicTime now) const;

    std::size_t size() const { return this->crashes.size(); }

private:
    struct Crash {
        MonotonicTime first_report;
        /// Which requests were there, and for how long.
        std::map<RequestFingerprint, Duration> requests;
    };

    struct Evidence {
        std::size_t crashes = 0;
        Duration ran_for {};
    };

    /// Empty where none was at enough of the crashes, or two were alike.
    std::optional<PoisonRequest> most_likely(std::span<Crash const* const> unexplained) const;
    bool has_settled(Crash const& crash, MonotonicTime now) const { return now - crash.first_report >= this->options.report_delay; }
    void forget_old(MonotonicTime now);

    Options options;
    std::map<UpstreamIncarnation, Crash> crashes;
    RecentRequests completed;
};

}
