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
    auto const prompt = static_cast<double>(prompt_tokens);
    auto const output = static_cast<double>(output_tokens);
    this->prompt_sum = this->prompt_sum * kept + prompt;
    this->output_sum = this->output_sum * kept + output;
    this->prompt_output_sum = this->prompt_output_sum * kept + prompt * output;
    this->output_squared_sum = this->output_squared_sum * kept + output * output;
    this->faded_at = now;
    this->last_request = now;
}

double RoleBalancer::prefill_load(EngineCapacity const& capacity) const
{
    return this->prompt_sum / this->weight / std::max(1.0, capacity.prefill_rate) / this->options.prefill_use;
}

double RoleBalancer::decode_load(EngineCapacity const& capacity) const
{
    auto const step = to_seconds(capacity.step_time);
    auto const slot_seconds = this->output_sum / this->weight * step;
    auto const of_slots = slot_seconds / static_cast<double>(std::max<std::int64_t>(1, capacity.decode_slots));
    // The prompt is held from the first token to the last, and half of the answer on average.
    auto const token_seconds = (this->prompt_output_sum + this->output_squared_sum / 2) / this->weight * step;
    auto const of_memory = capacity.memory_tokens > 0 ? token_seconds / (this->options.decode_use * capacity.memory_tokens) : 0.0;
    return std::max(of_memory, of_slots);
}

bool RoleBalancer::knows_enough(EngineCapacity const& capacity) const
{
    return capacity.source == EngineCapacity::Source::Measured && this->weight >= this->options.fewest_requests;
}

std::size_t RoleBalancer::fewest_of(std::size_t engines) const
{
    return engines >= POOL_FOR_SPARES ? this->options.fewest : 1;
}

double RoleBalancer::throughput(std::size_t prefill, std::size_t engines, EngineCapacity const& capacity) const
{
    auto const reading = std::max(1e-9, this->prefill_load(capacity));
    auto const answering = std::max(1e-9, this->decode_load(capacity));
    auto const readers = static_cast<double>(prefill);
    auto const answerers = static_cast<double>(engines - prefill);
    auto const answered = answerers / answering;
    if (answered <= readers / reading)
        return answered;
    // Both roles are full: decode engines give what time the rest of the prompts takes.
    auto const own_reading = this->options.decode_prefill_cost * reading;
    return (answerers + this->options.decode_prefill_cost * readers) / (answering + own_reading);
}

std::size_t RoleBalancer::wanted_prefill(std::size_t engines, EngineCapacity const& capacity) const
{
    auto const fewest = this->fewest_of(engines);
    if (!this->knows_enough(capacity)) {
        auto const share = static_cast<std::size_t>(std::lround(this->options.start_share * static_cast<double>(engines)));
        return std::clamp(share, fewest, std::max(fewest, engines - std::min(engines, fewest)));
    }
    auto best = fewest;
    for (auto prefill = fewest; prefill + fewest <= engines; ++prefill) {
        if (this->throughput(prefill, engines, capacity) > this->throughput(best, engines, capacity))
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
std::optional<EngineRole> RoleBalancer::lacking_role(Division division, EngineCapacity const& capacity, MonotonicTime now) const
{
    auto const total = division.prefill + division.decode;
    auto const wanted = this->wanted_prefill(total, capacity);
    if (wanted == division.prefill)
        return {};
    if (!division.misses_a_role()) {
        bool const is_known = this->knows_enough(capacity);
        // What works is left alone until it is known to be worse.
        bool const is_start = !this->has_known && this->is_idle(now);
        if (!is_known && !is_start)
            return {};
        bool const gains = !is_known || this->throughput(wanted, total, capacity) >= (1 + this->options.least_gain) * this->throughput(division.prefill, total, capacity);
        if (!gains)
            return {};
    }
    return wanted < division.prefill ? EngineRole::Decode : EngineRole::Prefill;
}

bool RoleBalancer::is_idle(MonotonicTime now) const
{
    return !this->last_request || now - *this->last_request >= this->options.idle_after;
}

bool RoleBalancer::may_change_now(EngineRole to, Division division, MonotonicTime now) const
{
    auto const since_last = this->last_change ? now - this->last_change->since : MonotonicTime::duration::max();
    bool const turns_back = this->last_change && this->last_change->role != to && since_last < this->options.before_turning_back;
    if (turns_back && !division.misses_a_role())
        return false;
    if (this->is_idle(now))
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
    this->has_known = this->has_known || this->knows_enough(capacity);
    auto const to = this->lacking_role(division, capacity, now);
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
