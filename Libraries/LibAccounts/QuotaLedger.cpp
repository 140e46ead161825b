// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibAccounts/QuotaLedger.h>
#include <LibCore/Verify.h>
#include <algorithm>
#include <numeric>

namespace Spurtide {

namespace {

/// An account that may still use this part of its window is far from its limit, and VMs get some in advance: that
/// spares an ask for most requests, and what lies with VMs unused does not keep others of the account out.
constexpr double AMPLE_PART = 0.5;

}

double QuotaLedger::Entry::sum() const { return std::accumulate(this->used.begin(), this->used.end(), 0.0); }

QuotaLedger::QuotaLedger(Options options)
    : options(options)
    , slice_length(std::max(Duration { 1 }, options.window / static_cast<std::int64_t>(SLICES - 1)))
{
}

std::int64_t QuotaLedger::slice_at(MonotonicTime now) const
{
    return std::chrono::duration_cast<Duration>(now.time_since_epoch()) / this->slice_length;
}

double QuotaLedger::allowance(AccountLimit const& limit) const
{
    return limit.rate * to_seconds(this->options.window) + limit.burst;
}

void QuotaLedger::advance(Entry& entry, MonotonicTime now) const
{
    auto const present = this->slice_at(now);
    auto const passed = std::min<std::int64_t>(static_cast<std::int64_t>(SLICES), present - entry.slice);
    for (std::int64_t i = 1; i <= passed; ++i)
        entry.used.at(static_cast<std::size_t>(entry.slice + i) % SLICES) = 0;
    entry.slice = std::max(entry.slice, present);
    while (!entry.bookings.empty() && entry.bookings.front().at <= now)
        entry.bookings.pop_front();
}

QuotaLedger::Entry& QuotaLedger::entry_of(std::string_view account, AccountLimit const& limit, MonotonicTime now)
{
    auto found = this->entries.find(account);
    if (found == this->entries.end()) {
        found = this->entries.emplace(std::string(account), Entry {}).first;
        found->second.limit = limit;
        found->second.slice = this->slice_at(now);
    }
    auto& entry = found->second;
    this->advance(entry, now);
    // What was used under a higher limit was allowed: it counts no more than the new rate makes good, so that the account
    // has the new burst at once and the new rate from then on.
    if (this->allowance(limit) < this->allowance(entry.limit)) {
        auto const most = limit.rate * to_seconds(this->options.window);
        auto const used = entry.sum();
        for (auto& slice : entry.used)
            slice *= used > most ? most / used : 1;
    }
    entry.limit = limit;
    return entry;
}

// All of an eighth as if used at its end, so that none leaves the window too early.
void QuotaLedger::add_earlier_use(Entry& entry, std::vector<double> const& used, double part)
{
    for (std::size_t i = 0; i < used.size() && i * SLICES_IN_EIGHTH < SLICES; ++i) {
        auto const age = i == 0 ? 0 : (i - 1) * SLICES_IN_EIGHTH;
        entry.used.at(static_cast<std::size_t>(entry.slice + static_cast<std::int64_t>(SLICES - age)) % SLICES) += used[i] / part;
    }
}

// From the newest slice back: what was not used was given lately.
void QuotaLedger::remove_use(Entry& entry, double amount)
{
    for (std::size_t age = 0; age < SLICES && amount > 0; ++age) {
        auto& slice = entry.used.at(static_cast<std::size_t>(entry.slice + static_cast<std::int64_t>(SLICES - age)) % SLICES);
        auto const removed = std::min(slice, amount);
        slice -= removed;
        amount -= removed;
    }
}

// The time when enough use has left the window for this caller and for those who were told to come before it.
Duration QuotaLedger::book_return(Entry& entry, double needed, Duration patience, MonotonicTime now) const
{
    auto missing = entry.sum() + needed - this->allowance(entry.limit);
    for (auto const& booking : entry.bookings)
        missing += booking.amount;
    auto at = now;
    for (std::size_t age = SLICES; age-- > 0 && missing > 0;) {
        auto const slice = entry.slice - static_cast<std::int64_t>(age);
        if (slice < 0)
            continue;
        missing -= entry.used.at(static_cast<std::size_t>(slice) % SLICES);
        at = MonotonicTime(this->slice_length * (slice + static_cast<std::int64_t>(SLICES)));
    }
    at = std::max(at, now) + from_seconds(std::max(0.0, missing) / entry.limit.rate);
    if (!entry.bookings.empty())
        at = std::max(at, entry.bookings.back().at);
    auto const retry_after = std::chrono::duration_cast<Duration>(at - now);
    if (retry_after <= patience)
        entry.bookings.push_back({ at, needed });
    return retry_after;
}

QuotaLedger::Answer QuotaLedger::take(std::string_view account, AccountLimit const& limit, double part, Ask const& ask, MonotonicTime now)
{
    VERIFY(limit.rate > 0 && part > 0);
    auto& entry = this->entry_of(account, limit, now);
    entry.part = part;
    remove_use(entry, ask.returned / part);
    add_earlier_use(entry, ask.used_before, part);
    auto const allowed = this->allowance(limit);
    auto const needed = ask.needed / part;
    auto const wanted = std::max(ask.needed, ask.wanted) / part;
    auto const used = entry.sum();
    // What is larger than a whole window's passes alone in one.
    if (used + std::min(needed, allowed) > allowed)
        return { 0, this->book_return(entry, needed, ask.patience, now) };
    bool const is_ample = used + wanted <= (1 - AMPLE_PART) * allowed;
    auto const granted = is_ample ? wanted : needed;
    entry.used.at(static_cast<std::size_t>(entry.slice) % SLICES) += granted;
    return { granted * part, {} };
}

void QuotaLedger::give_back(std::string_view account, double amount, MonotonicTime now)
{
    auto const found = this->entries.find(account);
    if (found == this->entries.end())
        return;
    this->advance(found->second, now);
    remove_use(found->second, amount / found->second.part);
}

void QuotaLedger::retain(AccountBook const& book)
{
    std::erase_if(this->entries, [&](auto const& entry) {
        auto const* account = book.find_by_name(entry.first);
        return !account || !account->limit;
    });
}

std::optional<double> QuotaLedger::free_part(std::string_view account, MonotonicTime now)
{
    auto const found = this->entries.find(account);
    if (found == this->entries.end())
        return {};
    this->advance(found->second, now);
    return std::max(0.0, 1 - found->second.sum() / this->allowance(found->second.limit));
}

}
