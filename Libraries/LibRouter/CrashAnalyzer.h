// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibDecision/PoisonRequestDetector.h>
#include <LibRouter/ReplicatedQuarantine.h>
#include <asio.hpp>
#include <functional>
#include <vector>

namespace Spurtide {

/// A request that was in flight at an upstream when the upstream crashed.
struct CrashReport {
    RequestFingerprint request;
    UpstreamIncarnation upstream;
    /// Time from sending the request to the crash.
    Duration ran_for {};
    enum class PriorResult {
        Unknown,
        /// The reporting VM recently saw an identical request complete.
        Completed,
    } prior_result
        = PriorResult::Unknown;
};

enum class CrashVerdict {
    MayRetry,
    Quarantined,
};

/// Determines which requests crash the upstreams of a service, from the crash reports of all VMs. The ranking assigns two VMs
/// to each service, so that the reports survive the loss of one of them.
class CrashAnalyzer {
public:
    struct Options {
        PoisonRequestDetector::Options ledger {};
        /// The reporter holds its request back until it has the verdict, and the caller notices the delay. After this time the
        /// request may be retried elsewhere.
        Duration verdict_timeout = milliseconds(80);
        Duration check_interval = milliseconds(10);
    };
    using VerdictCallback = std::function<void(CrashVerdict)>;

    CrashAnalyzer(Options options, ReplicatedQuarantine& quarantine, asio::io_context& loop);

    /// Answers at once if the request cannot be the cause, otherwise when all VMs have reported their requests at the upstream.
    void handle_report(CrashReport const& report, VerdictCallback callback);
    void note_completed(RequestFingerprint const& request);

private:
    struct PendingReport {
        RequestFingerprint request;
        VerdictCallback callback;
        MonotonicTime deadline;
    };

    void decide_pending();
    void quarantine_causes(MonotonicTime now);
    bool is_quarantined(RequestFingerprint const& request) const { return this->quarantine.held_for(request).has_value(); }
    bool is_undecided(PendingReport const& pending, MonotonicTime now) const;
    void schedule_decision();

    Options options;
    ReplicatedQuarantine& quarantine;
    asio::steady_timer timer;
    bool is_timer_set = false;
    PoisonRequestDetector ledger;
    std::vector<PendingReport> pending_reports;
};

}
