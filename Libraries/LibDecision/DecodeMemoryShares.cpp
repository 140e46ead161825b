// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/DecodeMemoryShares.h>
#include <algorithm>
#include <cmath>
#include <optional>
#include <vector>

namespace Spurtide {

namespace {

/// Sums and differences of fractions leave a rest, which must not keep an account active.
constexpr double SMALLEST_HELD_TOKENS = 1e-3;

}

DecodeMemoryShares::DecodeMemoryShares()
    : DecodeMemoryShares(Options {})
{
}

DecodeMemoryShares::DecodeMemoryShares(Options options)
    : options(options)
    , shares(AccountShares::Options { options.decay_time, options.decay_time })
{
}

void DecodeMemoryShares::set_weight(std::string_view account, double weight)
{
    this->accounts[std::string(account)].weight = weight;
    this->shares.set_weight(account, weight);
}

double DecodeMemoryShares::demand_of(Account const& account, MonotonicTime now) const
{
    return account.demand * std::exp(-to_seconds(now - account.demand_at) / to_seconds(this->options.decay_time));
}

bool DecodeMemoryShares::is_active(Account const& account, MonotonicTime now) const
{
    return account.held > 0 || (account.demand > 0 && now - account.demand_at < this->options.decay_time);
}

void DecodeMemoryShares::note_ask(std::string_view account, std::int64_t priority, double tokens, Duration expected_time, MonotonicTime now)
{
    auto& asking = this->accounts[std::string(account)];
    // An account that becomes active starts level with the lowest past use of the active ones. What these hold now does not count:
    // it falls as soon as their answers end, and the account would be behind them for as long as past use counts.
    if (!this->is_active(asking, now)) {
        std::optional<double> lowest;
        for (auto const& [name, other] : this->accounts) {
            if (name == account || !this->is_active(other, now))
                continue;
            auto const past = this->shares.usage(name, now) - this->shares.held(name) / other.weight;
            lowest = std::min(lowest.value_or(past), past);
        }
        auto const missing = lowest.value_or(0) - this->shares.usage(account, now);
        if (missing > 0)
            this->shares.consume(account, missing * asking.weight, now);
    }
    asking.demand = this->demand_of(asking, now) + tokens * to_seconds(expected_time) / to_seconds(this->options.decay_time);
    asking.demand_at = now;
    asking.priority = priority;
}

void DecodeMemoryShares::hold(std::string_view account, double tokens, MonotonicTime now)
{
    this->accounts[std::string(account)].held += tokens;
    this->shares.hold(account, tokens, now);
}

void DecodeMemoryShares::release(std::string_view account, double tokens, Duration held_for, MonotonicTime now)
{
    auto& holder = this->accounts[std::string(account)];
    holder.held -= tokens;
    if (holder.held < SMALLEST_HELD_TOKENS)
        holder.held = 0;
    this->shares.release(account, tokens, now);
    this->shares.consume(account, tokens * to_seconds(held_for) / to_seconds(this->options.decay_time), now);
}

double DecodeMemoryShares::need_of(Account const& account, MonotonicTime now) const
{
    return std::max(account.held, this->demand_of(account, now) * (1 + this->options.need_margin));
}

bool DecodeMemoryShares::is_over_share(std::string_view account, double tokens, double free_memory, MonotonicTime now) const
{
    auto const own = this->accounts.find(account);
    if (own == this->accounts.end())
        return false;
    struct Claim {
        double need = 0;
        double weight = 1;
    };
    std::vector<Claim> claims;
    double weights = 0;
    double left = free_memory;
    for (auto const& [name, other] : this->accounts) {
        if (name != account && !this->is_active(other, now))
            continue;
        claims.push_back({ this->need_of(other, now), other.weight });
        weights += other.weight;
        left += other.held;
    }
    if (claims.size() < 2)
        return false;
    // Accounts that need less than an equal part of what is left get their need, in ascending order; the others get equal parts.
    std::sort(claims.begin(), claims.end(), [](auto const& a, auto const& b) { return a.need * b.weight < b.need * a.weight; });
    for (auto const& claim : claims) {
        if (claim.need > left * claim.weight / weights)
            return own->second.held + tokens > left * own->second.weight / weights;
        left -= claim.need;
        weights -= claim.weight;
    }
    return false;
}

// The need is that of all others together, since single accounts exceed their average often and all of them rarely.
bool DecodeMemoryShares::is_needed_by_others(std::string_view account, std::int64_t priority, double tokens, double free_memory, MonotonicTime now) const
{
    double need = 0;
    for (auto const& [name, other] : this->accounts) {
        bool const is_below = name != account && other.priority >= priority && this->is_active(other, now) && !this->is_over_share(name, 0, free_memory, now);
        if (is_below)
            need += this->demand_of(other, now) * (1 + this->options.need_margin) - other.held;
    }
    return need > 0 && tokens + need > free_memory;
}

}
