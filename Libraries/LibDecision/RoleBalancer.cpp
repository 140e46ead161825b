// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/RoleBalancer.h>
#include <algorithm>
#include <cmath>

namespace Spurtide {

namespace {

/// Smaller pools keep only one engine of each role, without spares.
constexpr std::size_t MINIMUM_POOL_WITH_SPARES = 5;
constexpr Duration REFUSED_ORDER_BACKOFF = seconds(3);
/// Engines whose times differ by less count as equally fast, since measurements vary with the load.
constexpr double SPEED_CLASS_RATIO = 1.2;

int speed_class(RoleCandidate const& engine)
{
    return static_cast<int>(std::lround(std::log(std::max(1e-3, engine.relative_time)) / std::log(SPEED_CLASS_RATIO)));
}

}

RoleBalancer::RoleBalancer(Options options)
    : options(options)
{
}

void RoleBalancer::note_request(std::int64_t prompt_tokens, std::int64_t output_tokens, MonotonicTime now)
{
    auto const decay = this->last_request ? std::exp(-to_seconds(now - this->decayed_at) / to_seconds(this->options.decay_time)) : 0.0;
    this->weight = this->weight * decay + 1;
    auto const prompt = static_cast<double>(prompt_tokens);
    auto const output = static_cast<double>(output_tokens);
    this->prompt_sum = this->prompt_sum * decay + prompt;
    this->output_sum = this->output_sum * decay + output;
    this->prompt_output_sum = this->prompt_output_sum * decay + prompt * output;
    this->output_squared_sum = this->output_squared_sum * decay + output * output;
    this->decayed_at = now;
    this->last_request = now;
}

double RoleBalancer::prefill_load(EngineCapacity const& capacity) const
{
    return this->prompt_sum / this->weight / std::max(1.0, capacity.prefill_rate) / this->options.maximum_prefill_utilization;
}

double RoleBalancer::decode_load(EngineCapacity const& capacity) const
{
    auto const step = to_seconds(capacity.step_time);
    auto const slot_seconds = this->output_sum / this->weight * step;
    auto const slot_load = slot_seconds / static_cast<double>(std::max<std::int64_t>(1, capacity.decode_slots));
    // The prompt is held until the last token, and on average half of the answer.
    auto const token_seconds = (this->prompt_output_sum + this->output_squared_sum / 2) / this->weight * step;
    auto const memory_load = capacity.memory_tokens > 0 ? token_seconds / (this->options.maximum_decode_utilization * capacity.memory_tokens) : 0.0;
    return std::max(memory_load, slot_load);
}

bool RoleBalancer::has_enough_data(EngineCapacity const& capacity) const
{
    return capacity.source == EngineCapacity::Source::Measured && this->weight >= this->options.minimum_requests;
}

std::size_t RoleBalancer::minimum_per_role(std::size_t engines) const
{
    return engines >= MINIMUM_POOL_WITH_SPARES ? this->options.minimum_engines : 1;
}

double RoleBalancer::throughput(std::size_t prefill, std::size_t engines, EngineCapacity const& capacity) const
{
    auto const prefill_cost = std::max(1e-9, this->prefill_load(capacity));
    auto const decode_cost = std::max(1e-9, this->decode_load(capacity));
    auto const prefill_engines = static_cast<double>(prefill);
    auto const decode_engines = static_cast<double>(engines - prefill);
    auto const decode_throughput = decode_engines / decode_cost;
    if (decode_throughput <= prefill_engines / prefill_cost)
        return decode_throughput;
    // Both roles are saturated: decode engines spend their remaining time on the prompts that exceed the prefill
    // capacity.
    auto const decode_prefill_time = this->options.decode_prefill_cost * prefill_cost;
    return (decode_engines + this->options.decode_prefill_cost * prefill_engines) / (decode_cost + decode_prefill_time);
}

std::size_t RoleBalancer::wanted_prefill(std::size_t engines, EngineCapacity const& capacity) const
{
    auto const minimum_engines = this->minimum_per_role(engines);
    if (!this->has_enough_data(capacity)) {
        auto const share = static_cast<std::size_t>(std::lround(this->options.initial_prefill_share * static_cast<double>(engines)));
        return std::clamp(share, minimum_engines, std::max(minimum_engines, engines - std::min(engines, minimum_engines)));
    }
    auto best = minimum_engines;
    for (auto prefill = minimum_engines; prefill + minimum_engines <= engines; ++prefill) {
        if (this->throughput(prefill, engines, capacity) > this->throughput(best, engines, capacity))
            best = prefill;
    }
    return best;
}

void RoleBalancer::expire_transitions(std::span<RoleCandidate const> engines, MonotonicTime now)
{
    std::erase_if(this->transitions, [&](auto const& entry) {
        auto const found = std::find_if(engines.begin(), engines.end(), [&](auto const& engine) { return engine.name == entry.first; });
        bool const is_done = found == engines.end() || found->role == entry.second.role;
        return is_done || now - entry.second.since >= this->options.change_timeout;
    });
    std::erase_if(this->backoff_until, [&](auto const& entry) { return now >= entry.second; });
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
    return now - this->pool_since >= this->options.pool_settling_time;
}

EngineRole RoleBalancer::role_of(RoleCandidate const& engine) const
{
    auto const transition = this->transitions.find(engine.name);
    return transition == this->transitions.end() ? engine.role : transition->second.role;
}

RoleBalancer::Division RoleBalancer::division_of(std::span<RoleCandidate const> engines) const
{
    Division division;
    for (auto const& engine : engines)
        ++(this->role_of(engine) == EngineRole::Prefill ? division.prefill : division.decode);
    return division;
}

// The role that should get another engine; empty if the division is good enough.
std::optional<EngineRole> RoleBalancer::role_lacking_engines(Division division, EngineCapacity const& capacity, MonotonicTime now) const
{
    auto const total = division.prefill + division.decode;
    auto const wanted = this->wanted_prefill(total, capacity);
    if (wanted == division.prefill)
        return {};
    if (!division.lacks_a_role()) {
        bool const is_known = this->has_enough_data(capacity);
        // A working division is kept until it is known to be worse.
        bool const is_start = !this->had_enough_data && this->is_idle(now);
        if (!is_known && !is_start)
            return {};
        bool const is_worthwhile = !is_known || this->throughput(wanted, total, capacity) >= (1 + this->options.minimum_gain) * this->throughput(division.prefill, total, capacity);
        if (!is_worthwhile)
            return {};
    }
    return wanted < division.prefill ? EngineRole::Decode : EngineRole::Prefill;
}

bool RoleBalancer::is_idle(MonotonicTime now) const
{
    return !this->last_request || now - *this->last_request >= this->options.idle_after;
}

bool RoleBalancer::can_change_now(EngineRole to, Division division, MonotonicTime now) const
{
    auto const since_last = this->last_change ? now - this->last_change->since : MonotonicTime::duration::max();
    bool const is_reversal = this->last_change && this->last_change->role != to && since_last < this->options.reversal_interval;
    if (is_reversal && !division.lacks_a_role())
        return false;
    if (this->is_idle(now))
        return true;
    // Without decode engines no request can be answered, whereas decode engines can also run prefills.
    bool const is_urgent = division.decode == 0;
    bool const is_persistent = is_urgent || now - this->shortage->since >= this->options.minimum_shortage_duration;
    return is_persistent && this->transitions.empty() && since_last >= this->options.change_interval;
}

// Prefill engines are the slow ones, since a prefill takes a tenth of the time that its first token may take, whereas a long answer takes most
// of its time even at a fast engine. Among engines of the same speed, takes the one with the least work from the data centre
// with the most engines of the role. No data centre loses its last engine of the role as long as others have more.
RoleCandidate const* RoleBalancer::select_engine(std::span<RoleCandidate const> engines, EngineRole from) const
{
    std::map<std::string_view, int> count_by_data_centre;
    for (auto const& engine : engines)
        count_by_data_centre[engine.data_centre] += this->role_of(engine) == from ? 1 : 0;
    auto const is_preferred = [&](RoleCandidate const& a, RoleCandidate const& b) {
        bool const is_a_last = count_by_data_centre[a.data_centre] <= 1;
        bool const is_b_last = count_by_data_centre[b.data_centre] <= 1;
        if (is_a_last != is_b_last)
            return is_b_last;
        if (speed_class(a) != speed_class(b))
            return (speed_class(a) > speed_class(b)) == (from == EngineRole::Decode);
        if (count_by_data_centre[a.data_centre] != count_by_data_centre[b.data_centre])
            return count_by_data_centre[a.data_centre] > count_by_data_centre[b.data_centre];
        return a.work < b.work;
    };
    RoleCandidate const* best = nullptr;
    for (auto const& engine : engines) {
        bool const may_change = engine.role == from && !engine.is_failing && !this->transitions.contains(engine.name) && !this->backoff_until.contains(engine.name);
        if (may_change && (!best || is_preferred(engine, *best)))
            best = &engine;
    }
    return best;
}

std::optional<RoleChange> RoleBalancer::next_change(std::span<RoleCandidate const> engines, EngineCapacity const& capacity, MonotonicTime now)
{
    this->expire_transitions(engines, now);
    if (!this->is_pool_settled(engines, now) || engines.size() < 2)
        return {};
    auto const division = this->division_of(engines);
    this->had_enough_data = this->had_enough_data || this->has_enough_data(capacity);
    if (auto second = this->finish_exchange(engines, now))
        return second;
    auto const to = this->role_lacking_engines(division, capacity, now);
    if (!to) {
        this->shortage.reset();
        return this->next_exchange(engines, capacity, now);
    }
    if (!this->shortage || this->shortage->role != *to)
        this->shortage = RoleTransition { *to, now };
    if (!this->can_change_now(*to, division, now))
        return {};
    auto const from = *to == EngineRole::Prefill ? EngineRole::Decode : EngineRole::Prefill;
    auto const* engine = this->select_engine(engines, from);
    if (!engine)
        return {};
    return RoleChange { engine->name, *to };
}

std::optional<RoleChange> RoleBalancer::next_exchange(std::span<RoleCandidate const> engines, EngineCapacity const& capacity, MonotonicTime now)
{
    bool const is_due = !this->last_exchange || now - *this->last_exchange >= this->options.exchange_interval;
    bool const is_allowed = this->options.exchange == Options::Exchange::On && !this->exchange && is_due && this->transitions.empty() && this->has_enough_data(capacity);
    if (!is_allowed)
        return {};
    RoleCandidate const* slow = nullptr;
    RoleCandidate const* fast = nullptr;
    std::int64_t answers = 0;
    std::int64_t slots = 0;
    for (auto const& engine : engines) {
        answers += engine.role == EngineRole::Decode ? engine.work : 0;
        slots += engine.role == EngineRole::Decode ? capacity.decode_slots : 0;
        if (!engine.is_speed_measured || engine.is_failing || this->backoff_until.contains(engine.name))
            continue;
        if (engine.role == EngineRole::Decode && (!slow || engine.relative_time > slow->relative_time))
            slow = &engine;
        if (engine.role == EngineRole::Prefill && (!fast || engine.relative_time < fast->relative_time))
            fast = &engine;
    }
    bool const is_busy = static_cast<double>(answers) > this->options.maximum_exchange_load * static_cast<double>(slots);
    if (!slow || !fast || is_busy || slow->relative_time < this->options.minimum_exchange_ratio * fast->relative_time)
        return {};
    this->exchange = RoleExchange { slow->name, fast->name, now };
    this->last_exchange = now;
    return RoleChange { slow->name, EngineRole::Prefill };
}

// Only one of the two engines is out at any time.
std::optional<RoleChange> RoleBalancer::finish_exchange(std::span<RoleCandidate const> engines, MonotonicTime now)
{
    if (!this->exchange)
        return {};
    auto const is_in_role = [&](std::string const& name, EngineRole role) {
        return std::any_of(engines.begin(), engines.end(), [&](auto const& engine) { return engine.name == name && engine.role == role; });
    };
    bool const is_over = now - this->exchange->since >= this->options.change_timeout || !is_in_role(this->exchange->fast, EngineRole::Prefill);
    if (is_over) {
        this->exchange.reset();
        return {};
    }
    if (!is_in_role(this->exchange->slow, EngineRole::Prefill) || !this->transitions.empty())
        return {};
    auto const fast = std::move(this->exchange->fast);
    this->exchange.reset();
    return RoleChange { fast, EngineRole::Decode };
}

void RoleBalancer::note_ordered(RoleChange const& change, MonotonicTime now)
{
    this->transitions.insert_or_assign(change.engine, RoleTransition { change.role, now });
    this->last_change = RoleTransition { change.role, now };
}

void RoleBalancer::note_refused(std::string const& engine, MonotonicTime now)
{
    this->backoff_until.insert_or_assign(engine, now + REFUSED_ORDER_BACKOFF);
}

}
