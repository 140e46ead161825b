// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibAccounts/QuotaLedger.h>
#include <LibCore/Verify.h>
#include <algorithm>

namespace Spurtide {

namespace {

/// Above this part of its burst an account is far from its limit, and VMs get some in advance: that spares an ask for
/// most requests, and what lies with VMs unused does not keep others of the account out.
constexpr double AMPLE_PART = 0.5;
/// The burst of an account that has none, in seconds of its rate. A bucket that holds nothing would refuse everybody.
constexpr double LEAST_BURST_SECONDS = 1;

double capacity_of(AccountLimit const& limit)
{
    return limit.burst > 0 ? limit.burst : limit.rate * LEAST_BURST_SECONDS;
}

void refill(double& level, double rate, double capacity, Duration passed)
{
    level = std::min(capacity, level + rate * std::max(0.0, to_seconds(passed)));
}

}

QuotaLedger::Entry& QuotaLedger::entry_of(std::string_view account, AccountLimit const& limit, double part, MonotonicTime now)
{
    VERIFY(limit.rate > 0 && part > 0);
    auto const rate = limit.rate * part;
    auto const capacity = capacity_of(limit) * part;
    auto found = this->entries.find(account);
    if (found == this->entries.end()) {
        Entry entry;
        entry.limit = limit;
        entry.rate = rate;
        entry.capacity = capacity;
        entry.level = capacity;
        entry.began = now;
        entry.updated = now;
        return this->entries.emplace(std::string(account), entry).first->second;
    }
    auto& entry = found->second;
    refill(entry.level, entry.rate, entry.capacity, std::chrono::duration_cast<Duration>(now - entry.updated));
    entry.updated = std::max(entry.updated, now);
    // A higher limit lifts the level at once. A part that grows does not: what others gave out meanwhile was used.
    entry.level += std::max(0.0, capacity_of(limit) - capacity_of(entry.limit)) * part;
    entry.level = std::min(entry.level, capacity);
    entry.limit = limit;
    entry.rate = rate;
    entry.capacity = capacity;
    return entry;
}

// As if this ledger had counted it: use that the rate has made good within the window costs nothing of the burst.
void QuotaLedger::count_earlier_use(Entry& entry, double used, MonotonicTime now) const
{
    if (used <= 0 || now - entry.began > this->options.window)
        return;
    auto const refilled = entry.rate * to_seconds(this->options.window);
    auto const level_after = [&](double total) { return std::min(entry.capacity, entry.capacity + refilled - total); };
    auto const before = level_after(entry.used_before);
    entry.used_before += used;
    entry.level -= before - level_after(entry.used_before);
}

Duration QuotaLedger::book_return(Entry& entry, Ask const& ask, MonotonicTime now)
{
    auto const missing = std::max(0.0, std::min(ask.needed, entry.capacity) - entry.level);
    auto const free_at = now + from_seconds(missing / entry.rate);
    auto const at = std::max(free_at, entry.booked_until);
    auto const retry_after = std::chrono::duration_cast<Duration>(at - now);
    if (retry_after <= ask.patience)
        entry.booked_until = at + from_seconds(ask.needed / entry.rate);
    return retry_after;
}

QuotaLedger::Answer QuotaLedger::take(std::string_view account, AccountLimit const& limit, double part, Ask const& ask, MonotonicTime now)
{
    auto& entry = this->entry_of(account, limit, part, now);
    entry.level = std::min(entry.capacity, entry.level + ask.returned);
    this->count_earlier_use(entry, ask.used_before, now);
    // What is larger than the burst passes when the burst is whole, and the account pays for the rest afterwards.
    if (entry.level < std::min(ask.needed, entry.capacity))
        return { 0, book_return(entry, ask, now) };
    bool const is_ample = entry.level - ask.wanted >= AMPLE_PART * entry.capacity;
    auto const granted = is_ample ? std::max(ask.needed, ask.wanted) : ask.needed;
    entry.level -= granted;
    return { granted, {} };
}

void QuotaLedger::give_back(std::string_view account, double amount, MonotonicTime now)
{
    auto const found = this->entries.find(account);
    if (found == this->entries.end())
        return;
    auto& entry = found->second;
    refill(entry.level, entry.rate, entry.capacity, std::chrono::duration_cast<Duration>(now - entry.updated));
    entry.updated = std::max(entry.updated, now);
    entry.level = std::min(entry.capacity, entry.level + amount);
}

void QuotaLedger::retain(AccountBook const& book)
{
    std::erase_if(this->entries, [&](auto const& entry) {
        auto const* account = book.find_by_name(entry.first);
        return !account || !account->limit;
    });
}

std::optional<double> QuotaLedger::level(std::string_view account) const
{
    auto const found = this->entries.find(account);
    if (found == this->entries.end())
        return {};
    return found->second.level;
}

}
