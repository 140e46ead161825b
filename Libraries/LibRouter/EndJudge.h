// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibDecision/EndLedger.h>
#include <LibRouter/QuarantineKeeper.h>
#include <asio.hpp>
#include <functional>
#include <vector>

namespace Spurtide {

/// An upstream's process ended under a request.
struct EndReport {
    std::string service;
    RequestFingerprint request;
    UpstreamLife upstream;
    /// Since the request was sent there.
    Duration ran_for {};
    enum class Before {
        NotKnown,
        /// The same request ended well on the reporting VM lately.
        EndedWell,
    } before
        = Before::NotKnown;
};

enum class EndVerdict {
    MayGoOn,
    Quarantined,
};

/// Judges of a service's requests which of them end its upstreams, out of what all VMs report. Two VMs do that for each
/// service, found by ranking, so that what was reported outlasts one of them.
class EndJudge {
public:
    struct Options {
        EndLedger::Options ledger {};
        /// Who reports goes on with the request elsewhere, and callers notice pauses; by then it is told that it may.
        Duration longest_verdict = milliseconds(80);
        Duration tick = milliseconds(10);
    };
    using Answer = std::function<void(EndVerdict)>;

    EndJudge(Options options, QuarantineKeeper& quarantine, asio::io_context& loop);

    /// The answer comes at once where the request cannot be a cause, else when all VMs have told who was there.
    void take(EndReport const& report, Answer answer);
    void note_good_end(RequestFingerprint const& request);

private:
    struct Waiting {
        RequestFingerprint request;
        Answer answer;
        MonotonicTime until;
    };

    void judge();
    bool is_open(Waiting const& waiting, MonotonicTime now) const;

    Options options;
    QuarantineKeeper& quarantine;
    asio::steady_timer timer;
    bool is_timer_set = false;
    EndLedger ledger;
    std::vector<Waiting> waiting;
};

}
