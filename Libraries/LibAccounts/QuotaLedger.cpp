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
/// Of the window's rate, what may be used at once beside the burst. Small accounts' requests come unevenly: where a second's
/// rate is two streams, that is eight at once.
constexpr double AT_ONCE_PART = 0.375;
/// Half of what an account that used all it might before a kill of all gets beyond a tenth over its window afterwards, in
/// seconds of its rate: 10.5 seconds' worth where 9.9 are put up with.
constexpr double LATE_RATE_SECONDS = 0.3;

}

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

double QuotaLedger::reserve(AccountLimit const& limit) const
{
    return limit.rate * to_seconds(this->options.window) * AT_ONCE_PART + limit.burst;
}

double QuotaLedger::unknown_start(AccountLimit const& limit) const
{
    return std::clamp(this->options.tolerance / 2 - limit.rate * LATE_RATE_SECONDS, 0.0, this->reserve(limit));
}

QuotaLedger::Entry QuotaLedger::first_entry(AccountLimit const& limit, Share share, MonotonicTime now) const
{
    Entry entry;
    entry.limit = limit;
    entry.used.advance(this->slice_at(now));
    entry.used.fill(limit.rate * to_seconds(this->options.window) * share.forgotten / static_cast<double>(SLICES));
    entry.used.at(0) += limit.burst * share.forgotten;
    entry.at_once = this->reserve(limit) * (1 - share.forgotten);
    this->remove_use(entry, this->unknown_start(limit) * share.forgotten);
    entry.filled = now;
    return entry;
}

void QuotaLedger::advance(Entry& entry, MonotonicTime now) const
{
    entry.at_once = std::min(this->reserve(entry.limit), entry.at_once + entry.limit.rate * std::max(0.0, to_seconds(std::chrono::duration_cast<Duration>(now - entry.filled))));
    entry.filled = std::max(entry.filled, now);
    entry.used.advance(this->slice_at(now));
    entry.used_elsewhere.advance(this->slice_at(now));
    while (!entry.bookings.empty() && entry.bookings.front().at <= now)
        entry.bookings.pop_front();
}

QuotaLedger::Entry& QuotaLedger::entry_of(std::string_view account, AccountLimit const& limit, Share share, MonotonicTime now)
{
    auto found = this->entries.find(account);
    if (found == this->entries.end())
        found = this->entries.emplace(std::string(account), this->first_entry(limit, share, now)).first;
    auto& entry = found->second;
    this->advance(entry, now);
    // What was used under a higher limit was allowed: it counts no more than the new rate makes good, so that the account
    // has the new burst at once and the new rate from then on.
    if (this->allowance(limit) < this->allowance(entry.limit)) {
        auto const most = limit.rate * to_seconds(this->options.window);
        auto const rest = std::max(0.0, most - entry.used.sum());
        entry.used.limit_sum(most);
        entry.used_elsewhere.limit_sum(rest);
    }
    entry.at_once = std::min(this->reserve(limit), entry.at_once + std::max(0.0, this->reserve(limit) - this->reserve(entry.limit)));
    entry.limit = limit;
    return entry;
}

// All of an eighth as if used at its end, so that none leaves the window too early.
void QuotaLedger::add_earlier_use(Entry& entry, std::vector<double> const& used, double part)
{
    for (std::size_t i = 0; i < used.size() && i * SLICES_IN_EIGHTH < SLICES; ++i) {
        auto const age = i == 0 ? 0 : (i - 1) * SLICES_IN_EIGHTH;
        entry.used.at(age) += used[i] / part;
        // From the oldest on: what is left to assume is kept for as long as it may be.
        entry.used_elsewhere.remove_from_oldest(used[i] / part);
    }
}

// VMs heard of it at different times: only what none has told yet is added.
void QuotaLedger::add_known_use(Entry& entry, std::vector<double> const& known)
{
    auto const all = std::accumulate(known.begin(), known.end(), 0.0);
    auto const missing = all - entry.sum_of_both();
    if (missing <= 0)
        return;
    for (std::size_t i = 0; i < known.size() && i * SLICES_IN_EIGHTH < SLICES; ++i)
        entry.used_elsewhere.at(i * SLICES_IN_EIGHTH) += known[i] * missing / all;
}

std::vector<double> QuotaLedger::use_by_eighths(Entry const& entry)
{
    auto both = entry.used;
    both += entry.used_elsewhere;
    return both.sums_of(SLICES_IN_EIGHTH);
}

// From the newest slice back: what was not used was given lately.
void QuotaLedger::remove_use(Entry& entry, double amount) const
{
    entry.at_once = std::min(this->reserve(entry.limit), entry.at_once + amount);
    entry.used.remove_from_newest(amount);
}

// The time when enough use has left the window for this caller and for those who were told to come before it.
Duration QuotaLedger::book_return(Entry& entry, double needed, double allowed, Duration patience, MonotonicTime now) const
{
    double booked = 0;
    for (auto const& booking : entry.bookings)
        booked += booking.amount;
    auto const over_part = entry.used.sum() - allowed;
    auto const over_whole = entry.sum_of_both() - this->allowance(entry.limit);
    auto missing = std::max(over_part, over_whole) + booked + needed;
    auto const paced = now + from_seconds(std::max(0.0, booked + needed - entry.at_once) / entry.limit.rate);
    auto at = now;
    for (std::size_t age = SLICES; age-- > 0 && missing > 0;) {
        auto const slice = entry.used.newest() - static_cast<std::int64_t>(age);
        if (slice < 0)
            continue;
        missing -= entry.used.at(age);
        missing -= over_whole > over_part ? entry.used_elsewhere.at(age) : 0;
        at = MonotonicTime(this->slice_length * (slice + static_cast<std::int64_t>(SLICES)));
    }
    at = std::max(paced, at + from_seconds(std::max(0.0, missing) / entry.limit.rate));
    if (!entry.bookings.empty())
        at = std::max(at, entry.bookings.back().at);
    auto const retry_after = std::chrono::duration_cast<Duration>(at - now);
    if (retry_after <= patience)
        entry.bookings.push_back({ at, needed });
    return retry_after;
}

QuotaLedger::Answer QuotaLedger::take(std::string_view account, AccountLimit const& limit, Share share, Ask const& ask, MonotonicTime now)
{
    auto const part = share.part;
    VERIFY(limit.rate > 0 && part > 0);
    auto& entry = this->entry_of(account, limit, share, now);
    entry.part = part;
    this->remove_use(entry, ask.returned / part);
    add_earlier_use(entry, ask.used_before, part);
    add_known_use(entry, ask.known_use);
    auto const allowed = this->allowance(limit) * share.most;
    auto const needed = ask.needed / part;
    auto const wanted = std::max(ask.needed, ask.wanted) / part;
    auto const used = entry.used.sum();
    // What is larger than a whole window's passes alone in one.
    auto const elsewhere = entry.used_elsewhere.sum();
    auto const whole = this->allowance(limit);
    // Beside what others had used before nothing is given beyond the whole, however much of its part is left.
    bool const is_within_window = used + std::min(needed, allowed) <= allowed && used + elsewhere + std::min(needed, whole) <= whole;
    bool const is_paced = std::min(needed, this->reserve(limit)) <= entry.at_once;
    if (!is_within_window || !is_paced)
        return { 0, this->book_return(entry, needed, allowed, ask.patience, now), use_by_eighths(entry) };
    bool const is_ample = used + elsewhere + wanted <= (1 - AMPLE_PART) * allowed && wanted <= AMPLE_PART * entry.at_once;
    auto const granted = is_ample ? wanted : needed;
    entry.used.at(0) += granted;
    entry.at_once = std::max(0.0, entry.at_once - granted);
    return { granted * part, {}, use_by_eighths(entry) };
}

void QuotaLedger::give_back(std::string_view account, double amount, MonotonicTime now)
{
    auto const found = this->entries.find(account);
    if (found == this->entries.end())
        return;
    this->advance(found->second, now);
    this->remove_use(found->second, amount / found->second.part);
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
    return std::max(0.0, 1 - found->second.sum_of_both() / this->allowance(found->second.limit));
}

}
