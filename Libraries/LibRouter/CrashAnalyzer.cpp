// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <LibCore/LogLine.h>
#include <LibRouter/CrashAnalyzer.h>
#include <algorithm>
#include <utility>

namespace Spurtide {

CrashAnalyzer::CrashAnalyzer(Options options, ReplicatedQuarantine& quarantine, asio::io_context& loop)
    : options(options)
    , quarantine(quarantine)
    , timer(loop)
    , ledger(options.ledger)
    , part_ledger(options.parts)
{
}

void CrashAnalyzer::handle_report(CrashReport const& report, VerdictCallback callback)
{
    auto const now = monotonic_now();
    if (report.prior_result == CrashReport::PriorResult::Completed)
        this->ledger.note_completed(report.request, now);
    else
        this->ledger.note_crash(report.request, report.upstream, report.ran_for, now);
    this->part_ledger.note_crash(report.request, report.parts, report.upstream, report.ran_for, now);
    if (!report.parts.empty()) {
        this->has_new_part_reports = true;
        if (this->parts_examination == PartsExamination::Done)
            this->parts_examination = PartsExamination::Due;
    }
    // Entries from before a restart of all processes, or from beyond a network partition, are in the store only.
    this->quarantine.refresh_from_store();
    this->pending_reports.push_back({ report.request, report.parts, std::move(callback), now + this->options.verdict_timeout });
    this->decide_pending();
}

void CrashAnalyzer::note_completed(RequestFingerprint const& request) { this->ledger.note_completed(request, monotonic_now()); }

bool CrashAnalyzer::may_have_suspect_part(PendingReport const& pending) const
{
    if (pending.parts.empty() || this->parts_examination == PartsExamination::Done)
        return false;
    auto const is_suspect = [this](PromptPart part) { return std::binary_search(this->suspects.parts.begin(), this->suspects.parts.end(), part); };
    return this->has_new_part_reports || std::any_of(pending.parts.begin(), pending.parts.end(), is_suspect);
}

bool CrashAnalyzer::is_undecided(PendingReport const& pending, MonotonicTime now) const
{
    if (now >= pending.deadline || this->is_quarantined(pending))
        return false;
    bool const is_suspect = this->ledger.is_suspect(pending.request) && !this->ledger.is_fully_reported(pending.request, now);
    return is_suspect || this->may_have_suspect_part(pending) || !this->quarantine.has_recent_store_read();
}

void CrashAnalyzer::quarantine_causes(MonotonicTime now)
{
    for (auto const& pending : this->pending_reports) {
        if (!this->quarantine.is_on_probation(pending.request))
            continue;
        LogLine("request_quarantined").with("fingerprint", pending.request.to_hex()).with("because", "crashed_one_again");
        this->quarantine.add(pending.request);
    }
    // A request with enough crashes to be a cause is waiting here for its verdict. If there is none, skip the scan of all
    // recorded crashes, which is expensive on large deployments.
    if (std::none_of(this->pending_reports.begin(), this->pending_reports.end(), [this](auto const& pending) { return this->ledger.is_suspect(pending.request); }))
        return;
    for (auto const& cause : this->ledger.find_poison_requests([this](auto const& request) { return this->is_quarantined(request); }, now)) {
        LogLine("request_quarantined").with("fingerprint", cause.request.to_hex()).with("because", "crashed_several").with("crashes", static_cast<std::int64_t>(cause.crashes));
        this->quarantine.add(cause.request);
    }
}

// Parts that were served since the crashes began are not the cause, and any VM may have served them.
void CrashAnalyzer::examine_parts(MonotonicTime now)
{
    if (this->parts_examination != PartsExamination::Due)
        return;
    // A crash is reported by each of its requests. Looking at all crashes for each of these would take long.
    if (now - this->examined_at < this->options.check_interval)
        return;
    this->examined_at = now;
    if (std::exchange(this->has_new_part_reports, false))
        this->suspects = this->find_suspects(PoisonPartDetector::Crashes::All, now);
    if (this->suspects.parts.empty()) {
        this->parts_examination = PartsExamination::Done;
        return;
    }
    if (this->asked_at && now - *this->asked_at < this->options.ask_interval)
        return;
    auto const reported_suspects = this->find_suspects(PoisonPartDetector::Crashes::FullyReported, now);
    if (reported_suspects.parts.empty()) {
        // Another analyzer may have found the cause in the meantime.
        this->suspects = this->find_suspects(PoisonPartDetector::Crashes::All, now);
        return;
    }
    this->asked_at = now;
    this->parts_examination = PartsExamination::Asked;
    this->ask_served(reported_suspects, [this](ServedAnswers const& served) {
        this->parts_examination = this->has_new_part_reports ? PartsExamination::Due : PartsExamination::Done;
        this->quarantine_parts(served, monotonic_now());
        this->decide_pending();
    });
}

PoisonPartDetector::Suspects CrashAnalyzer::find_suspects(PoisonPartDetector::Crashes which, MonotonicTime now) const
{
    return this->part_ledger.suspects([this](auto const& parts) { return this->is_held(parts); }, which, now);
}

void CrashAnalyzer::quarantine_parts(ServedAnswers const& served, MonotonicTime now)
{
    PoisonPartDetector::Evidence evidence;
    evidence.last_served = [&](PromptPart part) {
        auto const found = served.last_served.find(part);
        return found == served.last_served.end() ? std::optional<MonotonicTime>() : found->second;
    };
    evidence.answers_since = [&](MonotonicTime since) { return since == MonotonicTime {} ? served.answers : served.recent_answers; };
    for (auto const& cause : this->part_ledger.find_poison_parts([this](auto const& parts) { return this->is_held(parts); }, evidence, now)) {
        LogLine("parts_quarantined")
            .with("fingerprint", RequestFingerprint::of_parts(cause.parts).to_hex())
            .with("parts", describe(cause.parts))
            .with("crashes", static_cast<std::int64_t>(cause.crashes))
            .with("requests", static_cast<std::int64_t>(cause.requests))
            .with("served_answers", static_cast<std::int64_t>(served.answers))
            .with("served_since", static_cast<std::int64_t>(served.recent_answers));
        this->quarantine.add(cause.parts);
    }
}

void CrashAnalyzer::decide_pending()
{
    auto const now = monotonic_now();
    this->quarantine_causes(now);
    this->examine_parts(now);
    auto const first_decided = std::stable_partition(this->pending_reports.begin(), this->pending_reports.end(), [&](auto const& pending) { return this->is_undecided(pending, now); });
    std::vector<PendingReport> const decided(std::make_move_iterator(first_decided), std::make_move_iterator(this->pending_reports.end()));
    this->pending_reports.erase(first_decided, this->pending_reports.end());
    for (auto const& pending : decided)
        pending.callback(this->is_quarantined(pending) ? CrashVerdict::Quarantined : CrashVerdict::MayRetry);
    this->schedule_decision();
}

void CrashAnalyzer::schedule_decision()
{
    bool const is_idle = this->pending_reports.empty() && this->parts_examination != PartsExamination::Due;
    if (is_idle || this->is_timer_set)
        return;
    this->is_timer_set = true;
    this->timer.expires_after(this->options.check_interval);
    this->timer.async_wait([this](asio::error_code error) {
        // The wait is cancelled only by the destructor.
        if (error)
            return;
        this->is_timer_set = false;
        this->decide_pending();
    });
}

}
