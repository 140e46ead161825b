// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibDecision/RecentRequests.h>
#include <LibRouter/CrashAnalyzer.h>
#include <functional>
#include <optional>

namespace Spurtide {

/// Tells the VMs that analyze a service's crashes which requests were at upstreams that crashed, and which of these were
/// completed.
class CrashReporter {
public:
    struct Options {
        /// Longest wait for an analyzer's answer: what it may take itself, and a path between data centres. What waits for it
        /// is mostly a bystander, whose caller sees the pause.
        Duration answer_time = CrashAnalyzer::Options {}.longest_verdict + milliseconds(20);
        /// Completed requests that are remembered, so that one that many callers send alike is not blamed for crashes. A
        /// minute of what a VM of today carries.
        RecentRequests::Options completed { seconds(60), 4096 };
        /// Reported requests that are told of when they are completed.
        RecentRequests::Options reported { seconds(3600), 1024 };
    };

    CrashReporter(Options options, Kernel& kernel, KeeperRanking& ranking, QuarantineKeeper& quarantine, CrashAnalyzer& own_analyzer);

    /// Makes the service known. Call before the kernel starts.
    void host();

    /// Gives whether the request may go on elsewhere.
    asio::awaitable<CrashVerdict> report(std::string service, RequestFingerprint request, UpstreamIncarnation upstream, Duration ran_for);
    void note_completed(std::string const& service, RequestFingerprint const& request);

private:
    struct Pending;

    std::vector<std::string> analyzers(std::string_view service) const;
    void ask(std::string const& analyzer, CrashReport const& report, std::function<void(std::optional<CrashVerdict>)> answer);
    void answer(wire::Envelope const& request, Kernel::Responder const& respond);

    Options options;
    Kernel& kernel;
    KeeperRanking& ranking;
    QuarantineKeeper& quarantine;
    CrashAnalyzer& own_analyzer;
    RecentRequests completed;
    RecentRequests reported;
};

}
