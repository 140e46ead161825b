// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/MonotonicTimer.h>
#include <LibDecision/PoisonPartDetector.h>
#include <LibDecision/PoisonRequestDetector.h>
#include <LibRouter/ReplicatedQuarantine.h>
#include <asio.hpp>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace Spurtide {

/// A request that was in flight at an upstream when the upstream crashed.
struct CrashReport {
    RequestFingerprint request;
    /// Of its prompt, shared with other requests.
    PromptParts parts;
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

/// What all VMs know of the answers that they served.
struct ServedAnswers {
    /// When an answer to a prompt with the part was last served.
    std::map<PromptPart, MonotonicTime> last_served;
    /// Answers to any prompts: those that are remembered, and of these the ones since the time asked for.
    std::size_t answers = 0;
    std::size_t recent_answers = 0;
};

/// Determines which requests or prompt parts crash the upstreams of a service, from the crash reports of all VMs. The ranking assigns two VMs
/// to each service, so that the reports survive the loss of one of them.
class CrashAnalyzer {
public:
    struct Options {
        PoisonRequestDetector::Options ledger {};
        PoisonPartDetector::Options parts {};
        /// The reporter holds its request back until it has the verdict, and the caller notices the delay. After this time the
        /// request may be retried elsewhere.
        Duration verdict_timeout = milliseconds(80);
        Duration check_interval = milliseconds(10);
        /// Least time between two questions to all VMs.
        Duration ask_interval = milliseconds(200);
    };
    using VerdictCallback = std::function<void(CrashVerdict)>;
    using ServedCallback = std::function<void(ServedAnswers)>;
    /// Asks all VMs for the answers that they served. Must call back, also if some VMs do not respond.
    using AskServed = std::function<void(PoisonPartDetector::Suspects const&, ServedCallback)>;

    CrashAnalyzer(Options options, ReplicatedQuarantine& quarantine, asio::io_context& loop);

    void set_ask_served(AskServed hook) { this->ask_served = std::move(hook); }

    /// Answers at once if the request cannot be the cause, otherwise when all VMs have reported their requests at the upstream.
    void handle_report(CrashReport const& report, VerdictCallback callback);
    void note_completed(RequestFingerprint const& request);

private:
    struct PendingReport {
        RequestFingerprint request;
        PromptParts parts;
        VerdictCallback callback;
        MonotonicTime deadline;
    };

    void decide_pending();
    void quarantine_causes(MonotonicTime now);
    void examine_parts(MonotonicTime now);
    PoisonPartDetector::Suspects find_suspects(PoisonPartDetector::Crashes which, MonotonicTime now) const;
    void quarantine_parts(ServedAnswers const& served, MonotonicTime now);
    bool is_quarantined(RequestFingerprint const& request) const { return this->quarantine.held_for(request).has_value(); }
    bool is_held(PromptParts const& parts) const { return this->quarantine.held_for(parts).has_value(); }
    bool is_quarantined(PendingReport const& pending) const { return this->is_quarantined(pending.request) || this->is_held(pending.parts); }
    bool may_have_suspect_part(PendingReport const& pending) const;
    bool is_undecided(PendingReport const& pending, MonotonicTime now) const;
    void schedule_decision();

    Options options;
    ReplicatedQuarantine& quarantine;
    MonotonicTimer timer;
    bool is_timer_set = false;
    PoisonRequestDetector ledger;
    PoisonPartDetector part_ledger;
    AskServed ask_served = [](auto const&, auto const& callback) { callback({}); };
    enum class PartsExamination {
        Done,
        /// Waiting until all VMs have reported the crashes.
        Due,
        /// Waiting for the other VMs' answers.
        Asked,
    } parts_examination
        = PartsExamination::Done;
    /// Whether there are reports that the suspects do not take into account.
    bool has_new_part_reports = false;
    PoisonPartDetector::Suspects suspects;
    MonotonicTime examined_at {};
    std::optional<MonotonicTime> asked_at;
    std::vector<PendingReport> pending_reports;
};

}
