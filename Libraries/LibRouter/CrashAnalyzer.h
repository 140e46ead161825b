// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibDecision/PoisonRequestDetector.h>
#include <LibRouter/QuarantineKeeper.h>
#include <asio.hpp>
#include <functional>
#include <vector>

namespace Spurtide {

/// An upstream crashed while it had a request.
struct CrashReport {
    RequestFingerprint request;
    UpstreamIncarnation upstream;
    /// Since the request was sent there.
    Duration ran_for {};
    enum class Before {
        NotKnown,
        /// The reporting VM saw the same request completed lately.
        Completed,
    } before
        = Before::NotKnown;
};

enum class CrashVerdict {
    MayGoOn,
    Quarantined,
};

/// Decides for a service's requests which of them crash its upstreams, out of what all VMs report. Two VMs do that for each
/// service, found by ranking, so that what was reported outlasts one of them.
class CrashAnalyzer {
public:
    struct Options {
        PoisonRequestDetector::Options ledger {};
        /// Whoever reports goes on with the request elsewhere, and callers notice pauses; by then it is told that it may.
        Duration longest_verdict = milliseconds(80);
        Duration tick = milliseconds(10);
    };
    using Answer = std::function<void(CrashVerdict)>;

    CrashAnalyzer(Options options, QuarantineKeeper& quarantine, asio::io_context& loop);

    /// The answer comes at once where the request cannot be a cause, else when all VMs have told who was there.
    void take(CrashReport const& report, Answer answer);
    void note_completed(RequestFingerprint const& request);

private:
    struct Waiting {
        RequestFingerprint request;
        Answer answer;
        MonotonicTime until;
    };

    void decide();
    void quarantine_causes(MonotonicTime now);
    bool is_quarantined(RequestFingerprint const& request) const { return this->quarantine.held_for(request).has_value(); }
    bool is_open(Waiting const& waiting, MonotonicTime now) const;
    void decide_later();

    Options options;
    QuarantineKeeper& quarantine;
    asio::steady_timer timer;
    bool is_timer_set = false;
    PoisonRequestDetector ledger;
    std::vector<Waiting> waiting;
};

}
