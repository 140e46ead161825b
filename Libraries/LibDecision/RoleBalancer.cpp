// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/RoleBalancer.h>
#include <algorithm>
#include <cmath>

namespace Spurtide {

namespace {

/// A pool with fewer engines for each that has to stay spares none.
constexpr std::size_t POOL_FOR_SPARES = 5;
constexpr Duration REFUSED_PAUSE = seconds(3);

}

RoleBalancer::RoleBalancer(Options options)
    : options(options)
{
}

void RoleBalancer::note_request(std::int64_t prompt_tokens, std::int64_t output_tokens, MonotonicTime now)
{
    auto const kept = this->last_request ? std::exp(-to_seconds(now - this->faded_at) / to_seconds(this->options.fading)) : 0.0;
    this->weight = this->weight * kept + 1;
    this->prompt_sum = this->prompt_sum * kept + static_cast<double>(prompt_tokens);
    this->output_sum = this->output_sum * kept + static_cast<double>(output_tokens);
    this->faded_at = now;
    this->last_request = now;
}

double RoleBalancer::mean_prompt() const
{
    return (this->prompt_sum + this->options.usual_weight * this->options.usual_prompt_tokens) / (this->weight + this->options.usual_weight);
}

double RoleBalancer::mean_output() const
{
    return (this->output_sum + this->options.usual_weight * this->options.usual_output_tokens) / (this->weight + this->options.usual_weight);
}

std::size_t RoleBalancer::fewest_of(std::size_t engines) const
{
    return engines >= POOL_FOR_SPARES ? this->options.fewest : 1;
}

double RoleBalancer::busiest(std::size_t prefill, std::size_t engines, EngineCapacity const& capacity) const
{
    auto const output = this->mean_output();
    auto const answer_time = output * to_seconds(capacity.step_time);
    auto const held_tokens = this->mean_prompt() + output / 2;
    auto const of_memory = capacity.memory_tokens > 0 ? held_tokens / capacity.memory_tokens : 0.0;
    auto const of_slots = 1.0 / static_cast<double>(std::max<std::int64_t>(1, capacity.decode_slots));
    auto const decode_load = std::max(of_memory, of_slots) * answer_time;
    auto const prefill_load = this->mean_prompt() / std::max(1.0, capacity.prefill_rate);
    return std::max(prefill_load / (this->options.prefill_use * static_cast<double>(prefill)), decode_load / static_cast<double>(engines - prefill));
}

std::size_t RoleBalancer::wanted_prefill(std::size_t engines, EngineCapacity const& capacity) const
{
    auto const fewest = this->fewest_of(engines);
    auto best = fewest;
    for (auto prefill = fewest; prefill + fewest <= engines; ++prefill) {
        if (this->busiest(prefill, engines, capacity) < this->busiest(best, engines, capacity))
            best = prefill;
    }
    return best;
}

void RoleBalancer::forget_done(std::span<RoleCandidate const> engines, MonotonicTime now)
{
    std::erase_if(this->changing, [&](auto const& entry) {
        auto const found = std::find_if(engines.begin(), engines.end(), [&](auto const& engine) { return engine.name == entry.first; });
        bool const is_done = found == engines.end() || found->role == entry.second.role;
        return is_done || now - entry.second.since >= this->options.change_patience;
    });
    std::erase_if(this->left_alone_until, [&](auto const& entry) { return now >= entry.second; });
}

bool RoleBalancer::is_pool_settled(std::span<RoleCandidate const> engines, MonotonicTime now)
{
    std::set<std::string, std::less<>> names;
    for (auto const& engine : engines)
        names.insert(engine.name);
    if (names != this->pool) {
        this->pool = std::move(names);
        this->pool_since = now;
    }
    return now - this->pool_since >= this->options.pool_settled_after;
}

EngineRole RoleBalancer::role_of(RoleCandidate const& engine) const
{
    auto const begun = this->changing.find(engine.name);
    return begun == this->changing.end() ? engine.role : begun->second.role;
}

RoleBalancer::Division RoleBalancer::division_of(std::span<RoleCandidate const> engines) const
{
    Division division;
    for (auto const& engine : engines)
        ++(this->role_of(engine) == EngineRole::Prefill ? division.prefill : division.decode);
    return division;
}

// The role that should have an engine more; empty where the division is good enough.
std::optional<EngineRole> RoleBalancer::lacking_role(Division division, EngineCapacity const& capacity) const
{
    auto const total = division.prefill + division.decode;
    auto const wanted = this->wanted_prefill(total, capacity);
    if (wanted == division.prefill)
        return {};
    bool const gains = division.misses_a_role() || this->busiest(wanted, total, capacity) <= (1 - this->options.least_gain) * this->busiest(division.prefill, total, capacity);
    if (!gains)
        return {};
    return wanted < division.prefill ? EngineRole::Decode : EngineRole::Prefill;
}

bool RoleBalancer::may_change_now(EngineRole to, Division division, MonotonicTime now) const
{
    auto const since_last = this->last_change ? now - this->last_change->since : MonotonicTime::duration::max();
    bool const turns_back = this->last_change && this->last_change->role != to && since_last < this->options.before_turning_back;
    if (turns_back && !division.misses_a_role())
        return false;
    bool const is_idle = !this->last_request || now - *this->last_request >= this->options.idle_after;
    if (is_idle)
        return true;
    // Without decode engines nothing is answered; without prefill engines decode engines read for themselves.
    bool const is_urgent = division.decode == 0;
    bool const is_lasting = is_urgent || now - this->lacking->since >= this->options.persistence;
    return is_lasting && this->changing.empty() && since_last >= this->options.between_changes;
}

// The data centre that has most of the role gives one, so that each keeps some of both; there the idlest goes.
RoleCandidate const* RoleBalancer::engine_to_change(std::span<RoleCandidate const> engines, EngineRole from) const
{
    std::map<std::string_view, int> in_centre;
    for (auto const& engine : engines)
        in_centre[engine.data_centre] += this->role_of(engine) == from ? 1 : 0;
    auto const goes_before = [&](RoleCandidate const& a, RoleCandidate const& b) {
        if (in_centre[a.data_centre] != in_centre[b.data_centre])
            return in_centre[a.data_centre] > in_centre[b.data_centre];
        return a.work < b.work;
    };
    RoleCandidate const* best = nullptr;
    for (auto const& engine : engines) {
        bool const may_change = engine.role == from && !engine.is_failing && !this->changing.contains(engine.name) && !this->left_alone_until.contains(engine.name);
        if (may_change && (!best || goes_before(engine, *best)))
            best = &engine;
    }
    return best;
}

std::optional<RoleChange> RoleBalancer::next_change(std::span<RoleCandidate const> engines, EngineCapacity const& capacity, MonotonicTime now)
{
    this->forget_done(engines, now);
    if (!this->is_pool_settled(engines, now) || engines.size() < 2)
        return {};
    auto const division = this->division_of(engines);
    auto const to = this->lacking_role(division, capacity);
    if (!to) {
        this->lacking.reset();
        return {};
    }
    if (!this->lacking || this->lacking->role != *to)
        this->lacking = Begun { *to, now };
    if (!this->may_change_now(*to, division, now))
        return {};
    auto const from = *to == EngineRole::Prefill ? EngineRole::Decode : EngineRole::Prefill;
    auto const* engine = this->engine_to_change(engines, from);
    if (!engine)
        return {};
    return RoleChange { engine->name, *to };
}

void RoleBalancer::note_ordered(RoleChange const& change, MonotonicTime now)
{
    this->changing.insert_or_assign(change.engine, Begun { change.role, now });
    this->last_change = Begun { change.role, now };
}

void RoleBalancer::note_refused(std::string const& engine, MonotonicTime now)
{
    this->left_alone_until.insert_or_assign(engine, now + REFUSED_PAUSE);
}

}
