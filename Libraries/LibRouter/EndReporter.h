// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibDecision/RecentRequests.h>
#include <LibRouter/EndJudge.h>
#include <functional>
#include <optional>

namespace Spurtide {

/// Tells the VMs that judge a service of upstreams that ended under its requests, and of such requests that ended well.
class EndReporter {
public:
    struct Options {
        /// Longest wait for a judge's answer: what it may take itself, and a path between data centres. Who waits for it is
        /// mostly a victim, whose caller sees the pause.
        Duration answer_time = EndJudge::Options {}.longest_verdict + milliseconds(20);
        /// Good ends that are remembered, so that a request that many callers send alike is not blamed for ends. A minute
        /// of what a VM of today carries.
        RecentRequests::Options good_ends { seconds(60), 4096 };
        /// Requests at which an upstream ended, whose good end will be told as well.
        RecentRequests::Options reported { seconds(3600), 1024 };
    };

    EndReporter(Options options, Kernel& kernel, KeeperRanking& ranking, QuarantineKeeper& quarantine, EndJudge& own_judge);

    /// Makes the service known. Call before the kernel starts.
    void host();

    /// Gives whether the request may go on elsewhere.
    asio::awaitable<EndVerdict> report(std::string service, RequestFingerprint request, UpstreamLife upstream, Duration ran_for);
    void note_good_end(std::string const& service, RequestFingerprint const& request);

private:
    struct Pending;

    std::vector<std::string> judges(std::string_view service) const;
    void ask(std::string const& judge, EndReport const& report, std::function<void(std::optional<EndVerdict>)> answer);
    void answer(wire::Envelope const& request, Kernel::Responder const& respond);

    Options options;
    Kernel& kernel;
    KeeperRanking& ranking;
    QuarantineKeeper& quarantine;
    EndJudge& own_judge;
    RecentRequests good_ends;
    RecentRequests reported;
};

}
