// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibAccounts/QuotaCredit.h>
#include <algorithm>
#include <numeric>
#include <utility>

namespace Spurtide {

QuotaCredit::QuotaCredit(Options options)
    : options(options)
    , slice_length(options.window / static_cast<std::int64_t>(SLICES - 1))
{
}

std::int64_t QuotaCredit::slice_at(MonotonicTime now) const
{
    return std::chrono::duration_cast<Duration>(now.time_since_epoch()) / this->slice_length;
}

QuotaCredit::Entry& QuotaCredit::entry_of(std::string_view account, MonotonicTime now)
{
    auto found = this->entries.find(account);
    if (found == this->entries.end())
        found = this->entries.emplace(std::string(account), Entry {}).first;
    found->second.used.advance(this->slice_at(now));
    return found->second;
}

QuotaCredit::Outcome QuotaCredit::spend(std::string_view account, double cost, MonotonicTime now)
{
    auto& entry = this->entry_of(account, now);
    if (now >= entry.keep_until || entry.credit < cost)
        return Outcome::MustAsk;
    entry.credit -= cost;
    entry.used.at(0) += cost;
    return Outcome::Spent;
}

std::vector<double> QuotaCredit::use_by_eighths(std::string_view account, MonotonicTime now) const
{
    auto const found = this->entries.find(account);
    if (found == this->entries.end())
        return {};
    auto used = found->second.used;
    used.advance(this->slice_at(now));
    return used.sums_of(1);
}

double QuotaCredit::used_in_window(std::string_view account, MonotonicTime now) const
{
    auto const used = this->use_by_eighths(account, now);
    return std::accumulate(used.begin(), used.end(), 0.0);
}

void QuotaCredit::note_known_use(std::string_view account, std::vector<double> use, MonotonicTime now)
{
    auto& entry = this->entry_of(account, now);
    entry.known_use = std::move(use);
    entry.known_at = now;
}

std::vector<double> QuotaCredit::known_use(std::string_view account, MonotonicTime now) const
{
    auto const found = this->entries.find(account);
    if (found == this->entries.end())
        return {};
    auto const passed = std::min<std::int64_t>(static_cast<std::int64_t>(SLICES), (now - found->second.known_at) / this->slice_length);
    std::vector<double> use(static_cast<std::size_t>(std::max<std::int64_t>(0, passed)), 0.0);
    use.insert(use.end(), found->second.known_use.begin(), found->second.known_use.end());
    use.resize(std::min(use.size(), SLICES));
    WindowUse<SLICES>::drop_empty_end(use);
    return use;
}

double QuotaCredit::foreseen(std::string_view account, MonotonicTime now) const
{
    return this->used_in_window(account, now) / to_seconds(this->options.window) * to_seconds(this->options.foresight);
}

void QuotaCredit::add(std::string_view account, double amount, MonotonicTime now)
{
    auto& entry = this->entry_of(account, now);
    if (now >= entry.keep_until)
        entry.keep_until = now + this->options.keep;
    entry.credit += amount;
}

void QuotaCredit::give_back(std::string_view account, double cost, MonotonicTime now)
{
    auto& entry = this->entry_of(account, now);
    auto& used = entry.used.at(0);
    used = std::max(0.0, used - cost);
    this->add(account, cost, now);
}

double QuotaCredit::take_unused(std::string_view account, MonotonicTime now)
{
    auto const found = this->entries.find(account);
    if (found == this->entries.end() || now < found->second.keep_until)
        return 0;
    return std::exchange(found->second.credit, 0);
}

std::vector<QuotaCredit::Unused> QuotaCredit::take_all_unused(MonotonicTime now)
{
    std::vector<Unused> all;
    for (auto const& [account, entry] : this->entries) {
        auto const amount = this->take_unused(account, now);
        if (amount > 0)
            all.push_back({ account, amount });
    }
    auto const oldest = this->slice_at(now) - static_cast<std::int64_t>(SLICES);
    std::erase_if(this->entries, [&](auto const& entry) { return entry.second.used.newest() <= oldest && entry.second.credit <= 0; });
    return all;
}

}
