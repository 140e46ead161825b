// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <LibCore/LogLine.h>
#include <LibRouter/CrashAnalyzer.h>
#include <algorithm>

namespace Spurtide {

CrashAnalyzer::CrashAnalyzer(Options options, ReplicatedQuarantine& quarantine, asio::io_context& loop)
    : options(options)
    , quarantine(quarantine)
    , timer(loop)
    , ledger(options.ledger)
{
}

void CrashAnalyzer::take(CrashReport const& report, Answer answer)
{
    auto const now = monotonic_now();
    if (report.before == CrashReport::Before::Completed)
        this->ledger.note_completed(report.request, now);
    else
        this->ledger.note_crash(report.request, report.upstream, report.ran_for, now);
    // Entries from before a restart of all processes, or from beyond a network partition, are in the store only.
    this->quarantine.refresh_from_store();
    this->waiting.push_back({ report.request, std::move(answer), now + this->options.longest_verdict });
    this->decide();
}

void CrashAnalyzer::note_completed(RequestFingerprint const& request) { this->ledger.note_completed(request, monotonic_now()); }

bool CrashAnalyzer::is_open(Waiting const& who, MonotonicTime now) const
{
    if (now >= who.until || this->is_quarantined(who.request))
        return false;
    bool const may_be_cause = this->ledger.is_suspect(who.request) && !this->ledger.is_settled(who.request, now);
    return may_be_cause || !this->quarantine.has_recent_store_read();
}

void CrashAnalyzer::quarantine_causes(MonotonicTime now)
{
    for (auto const& who : this->waiting) {
        if (!this->quarantine.is_on_probation(who.request))
            continue;
        LogLine("request_quarantined").with("fingerprint", who.request.to_hex()).with("because", "crashed_one_again");
        this->quarantine.add(who.request);
    }
    // A request with enough crashes to be a cause is waiting here for its verdict. If there is none, skip the scan of all
    // recorded crashes, which is expensive on large deployments.
    if (std::none_of(this->waiting.begin(), this->waiting.end(), [this](auto const& who) { return this->ledger.is_suspect(who.request); }))
        return;
    for (auto const& cause : this->ledger.find_causes([this](auto const& request) { return this->is_quarantined(request); }, now)) {
        LogLine("request_quarantined").with("fingerprint", cause.request.to_hex()).with("because", "crashed_several").with("crashes", static_cast<std::int64_t>(cause.crashes));
        this->quarantine.add(cause.request);
    }
}

void CrashAnalyzer::decide()
{
    auto const now = monotonic_now();
    this->quarantine_causes(now);
    auto const first_decided = std::stable_partition(this->waiting.begin(), this->waiting.end(), [&](auto const& who) { return this->is_open(who, now); });
    std::vector<Waiting> const decided(std::make_move_iterator(first_decided), std::make_move_iterator(this->waiting.end()));
    this->waiting.erase(first_decided, this->waiting.end());
    for (auto const& who : decided)
        who.answer(this->is_quarantined(who.request) ? CrashVerdict::Quarantined : CrashVerdict::MayGoOn);
    this->decide_later();
}

void CrashAnalyzer::decide_later()
{
    if (this->waiting.empty() || this->is_timer_set)
        return;
    this->is_timer_set = true;
    this->timer.expires_after(this->options.tick);
    this->timer.async_wait([this](asio::error_code error) {
        // The wait is cancelled only by the destructor.
        if (error)
            return;
        this->is_timer_set = false;
        this->decide();
    });
}

}
