// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <LibCore/LogLine.h>
#include <LibRouter/EndJudge.h>
#include <algorithm>

namespace Spurtide {

EndJudge::EndJudge(Options options, QuarantineKeeper& quarantine, asio::io_context& loop)
    : options(options)
    , quarantine(quarantine)
    , timer(loop)
    , ledger(options.ledger)
{
}

void EndJudge::take(EndReport const& report, Answer answer)
{
    auto const now = monotonic_now();
    if (report.before == EndReport::Before::EndedWell)
        this->ledger.note_good_end(report.request, now);
    else
        this->ledger.note_end(report.request, report.upstream, report.ran_for, now);
    // What was found before all processes started again, or beyond a cut, stands in the store alone.
    this->quarantine.ask_store();
    this->waiting.push_back({ report.request, std::move(answer), now + this->options.longest_verdict });
    this->judge();
}

void EndJudge::note_good_end(RequestFingerprint const& request) { this->ledger.note_good_end(request, monotonic_now()); }

bool EndJudge::is_open(Waiting const& who, MonotonicTime now) const
{
    if (now >= who.until || this->quarantine.held_for(who.request))
        return false;
    bool const may_be_cause = this->ledger.is_suspect(who.request) && !this->ledger.is_settled(who.request, now);
    return may_be_cause || !this->quarantine.has_asked_store();
}

void EndJudge::judge()
{
    auto const now = monotonic_now();
    for (auto const& who : this->waiting) {
        if (!this->quarantine.is_on_probation(who.request))
            continue;
        LogLine("request_quarantined").with("fingerprint", who.request.to_hex()).with("because", "ended_one_again");
        this->quarantine.add(who.request);
    }
    auto const is_known = [this](RequestFingerprint const& request) { return this->quarantine.held_for(request).has_value(); };
    // Whoever is at its third end waits here for the verdict; without one the ends of a large deployment are not gone through.
    bool const is_any_suspect = std::any_of(this->waiting.begin(), this->waiting.end(), [this](auto const& who) { return this->ledger.is_suspect(who.request); });
    for (auto const& cause : is_any_suspect ? this->ledger.find_causes(is_known, now) : std::vector<EndLedger::Cause>()) {
        LogLine("request_quarantined").with("fingerprint", cause.request.to_hex()).with("because", "ended_several").with("ends", static_cast<std::int64_t>(cause.ends));
        this->quarantine.add(cause.request);
    }
    std::vector<Waiting> decided;
    std::vector<Waiting> open;
    for (auto& who : this->waiting)
        (this->is_open(who, now) ? open : decided).push_back(std::move(who));
    this->waiting = std::move(open);
    for (auto const& who : decided)
        who.answer(is_known(who.request) ? EndVerdict::Quarantined : EndVerdict::MayGoOn);
    if (this->waiting.empty() || this->is_timer_set)
        return;
    this->is_timer_set = true;
    this->timer.expires_after(this->options.tick);
    this->timer.async_wait([this](asio::error_code error) {
        this->is_timer_set = false;
        if (!error)
            this->judge();
    });
}

}
