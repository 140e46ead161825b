// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibDecision/RecentRequests.h>
#include <LibDecision/ServedPartHistory.h>
#include <LibRouter/CrashAnalyzer.h>
#include <functional>
#include <optional>

namespace Spurtide {

/// Reports requests that were in flight at crashed upstreams to the VMs that analyze the service's crashes, and reports those
/// of them that complete later.
class CrashReporter {
public:
    struct Options {
        /// Timeout for an analyzer's answer: its own time limit plus a round trip between data centres. Most requests that wait
        /// for it did not cause the crash, and their callers notice the delay.
        Duration answer_timeout = CrashAnalyzer::Options {}.verdict_timeout + milliseconds(20);
        /// Completed requests, kept so that an identical request sent by many callers is not taken for the cause of a crash.
        /// The size holds about one minute of a VM's traffic.
        RecentRequests::Options completed { seconds(60), 4096 };
        /// Reported requests whose completion is reported as well.
        RecentRequests::Options reported { seconds(3600), 1024 };
        ServedPartHistory::Options served {};
        /// Timeout for other VMs to tell which parts they served. Those that do not respond in time are left out.
        Duration served_timeout = milliseconds(60);
    };

    CrashReporter(Options options, Kernel& kernel, VirtualMachineRanking& ranking, ReplicatedQuarantine& quarantine, CrashAnalyzer& own_analyzer);

    /// Registers the service. Call before the kernel starts.
    void host();

    /// Returns whether the request may be retried at another upstream.
    asio::awaitable<CrashVerdict> report(std::string service, RequestFingerprint request, PromptParts parts, UpstreamIncarnation upstream, Duration ran_for);
    void note_completed(std::string const& service, RequestFingerprint const& request);
    /// Call when an answer to a prompt with these parts was generated, or has been generated for a while, without a crash.
    void note_served(PromptParts const& parts);

private:
    struct PendingVerdict;
    struct PendingServed;

    std::vector<std::string> analyzers(std::string_view service) const;
    void request_verdict(std::string const& analyzer, CrashReport const& report, std::function<void(std::optional<CrashVerdict>)> answer);
    void ask_served(PoisonPartDetector::Suspects const& suspects, CrashAnalyzer::ServedCallback const& callback);
    void answer_served(wire::GetServedParts const& asked, Kernel::Responder const& respond) const;
    void handle_request(wire::Envelope const& request, Kernel::Responder const& respond);

    Options options;
    Kernel& kernel;
    VirtualMachineRanking& ranking;
    ReplicatedQuarantine& quarantine;
    CrashAnalyzer& own_analyzer;
    RecentRequests completed;
    RecentRequests reported;
    ServedPartHistory served;
};

}
