// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <LibDecision/PromptPart.h>
#include <LibDecision/RequestFingerprint.h>
#include <LibDecision/UpstreamIncarnation.h>
#include <cstddef>
#include <map>

namespace Spurtide {

/// The latest crashes of upstreams and the requests that each was running. Bounded by age and number.
class CrashLog {
public:
    struct Options {
        /// Time from the first report of a crash until all VMs have reported their requests.
        Duration report_delay {};
        Duration retention {};
        /// The oldest crashes are evicted first.
        std::size_t maximum_crashes = 0;
        /// Maximum number of requests kept per crash.
        std::size_t maximum_requests = 0;
    };

    struct Request {
        PromptParts parts;
        /// Time from sending the request to the crash. Of several attempts on the upstream, the latest counts.
        Duration ran_for {};
    };
    struct Crash {
        MonotonicTime first_report;
        std::map<RequestFingerprint, Request> requests;
    };

    explicit CrashLog(Options options)
        : options(options)
    {
    }

    void note(RequestFingerprint const& request, PromptParts const& parts, UpstreamIncarnation const& upstream, Duration ran_for, MonotonicTime now);
    /// Removes the request from all crashes.
    void forget(RequestFingerprint const& request);

    bool is_fully_reported(Crash const& crash, MonotonicTime now) const { return now - crash.first_report >= this->options.report_delay; }
    std::map<UpstreamIncarnation, Crash> const& crashes() const { return this->by_upstream; }

private:
    void forget_old(MonotonicTime now);

    Options options;
    std::map<UpstreamIncarnation, Crash> by_upstream;
};

}
