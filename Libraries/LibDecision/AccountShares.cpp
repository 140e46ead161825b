// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/AccountShares.h>
#include <algorithm>
#include <cmath>
#include <optional>

namespace Spurtide {

namespace {

/// Holds and releases of fractions do not sum up to zero exactly.
constexpr double SMALLEST_HELD = 1e-9;

}

AccountShares::Account& AccountShares::find_or_add(std::string_view account, MonotonicTime now)
{
    auto const found = this->accounts.find(account);
    if (found != this->accounts.end())
        return found->second;
    Account added;
    added.decayed_at = now;
    // An account of which only the weight is known is inactive.
    added.active_at = now - this->options.inactive_after;
    return this->accounts.emplace(account, added).first->second;
}

double AccountShares::consumed(Account const& account, MonotonicTime now) const
{
    if (account.consumed == 0 || now <= account.decayed_at)
        return account.consumed;
    return account.consumed * std::exp(-to_seconds(now - account.decayed_at) / to_seconds(this->options.decay_time));
}

double AccountShares::usage(Account const& account, MonotonicTime now) const
{
    return (account.held + this->consumed(account, now)) / account.weight;
}

bool AccountShares::is_active(Account const& account, MonotonicTime now) const
{
    return account.held > 0 || now - account.active_at < this->options.inactive_after;
}

void AccountShares::set_consumed(Account& account, double amount, MonotonicTime now)
{
    account.consumed = amount;
    account.decayed_at = std::max(account.decayed_at, now);
}

void AccountShares::set_weight(std::string_view account, double weight)
{
    this->find_or_add(account, MonotonicTime {}).weight = weight;
}

void AccountShares::note_active(std::string_view account, MonotonicTime now)
{
    auto& noted = this->find_or_add(account, now);
    if (!this->is_active(noted, now)) {
        std::optional<double> lowest;
        for (auto const& [name, other] : this->accounts) {
            if (this->is_active(other, now))
                lowest = std::min(lowest.value_or(this->usage(other, now)), this->usage(other, now));
        }
        // What it consumed before it became inactive counts as far as it has not decayed.
        this->set_consumed(noted, std::max(this->consumed(noted, now), lowest.value_or(0) * noted.weight), now);
    }
    noted.active_at = std::max(noted.active_at, now);
}

void AccountShares::hold(std::string_view account, double amount, MonotonicTime now)
{
    auto& holder = this->find_or_add(account, now);
    holder.held += amount;
    holder.active_at = std::max(holder.active_at, now);
}

void AccountShares::release(std::string_view account, double amount, MonotonicTime now)
{
    auto const found = this->accounts.find(account);
    if (found == this->accounts.end())
        return;
    auto& holder = found->second;
    holder.held -= amount;
    if (holder.held < SMALLEST_HELD)
        holder.held = 0;
    holder.active_at = std::max(holder.active_at, now);
}

void AccountShares::consume(std::string_view account, double amount, MonotonicTime now)
{
    auto& consumer = this->find_or_add(account, now);
    this->set_consumed(consumer, this->consumed(consumer, now) + amount, now);
    consumer.active_at = std::max(consumer.active_at, now);
}

double AccountShares::usage(std::string_view account, MonotonicTime now) const
{
    auto const found = this->accounts.find(account);
    return found == this->accounts.end() ? 0 : this->usage(found->second, now);
}

double AccountShares::held(std::string_view account) const
{
    auto const found = this->accounts.find(account);
    return found == this->accounts.end() ? 0 : found->second.held;
}

double AccountShares::weight(std::string_view account) const
{
    auto const found = this->accounts.find(account);
    return found == this->accounts.end() ? 1 : found->second.weight;
}

bool AccountShares::has_other_active(std::string_view account, MonotonicTime now) const
{
    return std::any_of(this->accounts.begin(), this->accounts.end(), [&](auto const& entry) {
        return entry.first != account && this->is_active(entry.second, now);
    });
}

void AccountShares::forget_inactive(MonotonicTime now)
{
    std::erase_if(this->accounts, [&](auto const& entry) {
        return entry.second.weight == 1 && !this->is_active(entry.second, now);
    });
}

}
