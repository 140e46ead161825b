// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

// The order of waiting requests, and how accounts share the memory of decode engines.

#include <LibDecision/CellScheduler.h>
#include <algorithm>
#include <cmath>
#include <limits>

namespace Spurtide {

DecodeMemoryShares& CellScheduler::memory_shares_of(std::string const& model)
{
    auto const [entry, is_new] = this->memory_shares.try_emplace(model);
    if (is_new) {
        for (auto const& [name, account] : this->accounts)
            entry->second.set_weight(name, account.description.weight);
    }
    return entry->second;
}

double CellScheduler::usage_of(PlacementAsk const& ask, MonotonicTime now) const
{
    auto const found = this->memory_shares.find(ask.model);
    return found == this->memory_shares.end() ? 0 : found->second.usage(ask.account, now);
}

// The memory that an answer holds at its expected end.
double CellScheduler::memory_claim(PlacementAsk const& ask) const
{
    auto const answer = this->answer_forecast(ask, 0);
    return answer.prompt_tokens + std::min(answer.expected_tokens, answer.maximum_tokens);
}

void CellScheduler::note_memory_ask(PlacementAsk const& ask, MonotonicTime now)
{
    auto const answer = this->answer_forecast(ask, 0);
    auto const pace = this->paces.of_model(ask.model).value_or(this->mean_step_time(ask.model));
    auto const expected_time = from_seconds(std::min(answer.expected_tokens, answer.maximum_tokens) * to_seconds(pace));
    this->memory_shares_of(ask.model).note_ask(ask.account, ask.priority, this->memory_claim(ask), expected_time, now);
}

void CellScheduler::hold_memory(Granted& granted, MonotonicTime now)
{
    granted.memory_claim = this->memory_claim(granted.ask);
    this->memory_shares_of(granted.ask.model).hold(granted.ask.account, granted.memory_claim, now);
}

void CellScheduler::release_memory(Granted const& granted, MonotonicTime now)
{
    auto const held_for = std::chrono::duration_cast<Duration>(now - granted.granted_at);
    this->memory_shares_of(granted.ask.model).release(granted.ask.account, granted.memory_claim, held_for, now);
}

// Streams that have begun are not held up, since they have a place in their account's share already.
CellScheduler::ShareStatus CellScheduler::share_status(PlacementAsk const& ask, MonotonicTime now) const
{
    if (this->options.policy.account_bound == SchedulerPolicy::AccountBound::Off)
        return ShareStatus::Within;
    auto const found = this->memory_shares.find(ask.model);
    if (this->accounts.size() < 2 || found == this->memory_shares.end() || ask.relayed_tokens > 0 || !ask.software_version.empty())
        return ShareStatus::Within;
    auto const [free_memory, is_new] = this->free_decode_memory.try_emplace(ask.model);
    if (is_new) {
        for (auto const& [name, engine] : this->engines) {
            if (engine.description.model != ask.model || engine.description.role != EngineRole::Decode)
                continue;
            // Shares of memory have no meaning where only the number of slots is limited.
            if (engine.description.memory_tokens == 0)
                free_memory->second.push_back(std::numeric_limits<double>::infinity());
            else if (this->is_usable(engine, now) && this->free_slots(engine, now, now) > 0)
                free_memory->second.push_back(this->usable_memory(engine) - this->forecast_of(engine, now).committed_peak());
        }
    }
    // A request needs its memory at one engine, so less than its claim is of no use.
    auto const claim = std::max(1.0, this->memory_claim(ask));
    double free = 0;
    for (auto const of_engine : free_memory->second)
        free += std::max(0.0, std::floor(of_engine / claim)) * claim;
    if (!found->second.is_over_share(ask.account, claim, free, now))
        return ShareStatus::Within;
    return found->second.is_needed_by_others(ask.account, ask.priority, claim, free, now) ? ShareStatus::Bounded : ShareStatus::Over;
}

void CellScheduler::skip_account(PlacementAsk const& held_up, std::set<std::string>& skipped) const
{
    for (auto const& ask : this->waiting) {
        bool const is_new = ask.relayed_tokens == 0 && ask.software_version.empty();
        if (ask.model == held_up.model && ask.account == held_up.account && ask.priority >= held_up.priority && is_new)
            skipped.insert(ask.request);
    }
}

// Orders by priority, timeliness, weighted usage of the account, and deadline.
bool CellScheduler::precedes(PlacementAsk const& a, PlacementAsk const& b, MonotonicTime now) const
{
    if (a.priority != b.priority)
        return a.priority > b.priority;
    if (a.software_version.empty() != b.software_version.empty())
        return b.software_version.empty();
    if (a.timeliness != b.timeliness)
        return a.timeliness == PlacementAsk::Timeliness::OnTime;
    if (a.account != b.account) {
        auto const usage_of_a = this->usage_of(a, now);
        auto const usage_of_b = this->usage_of(b, now);
        if (usage_of_a != usage_of_b)
            return usage_of_a < usage_of_b;
    }
    return a.first_token_deadline < b.first_token_deadline;
}

}
