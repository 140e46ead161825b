// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/Quarantine.h>
#include <algorithm>
#include <string>
#include <xxhash.h>

namespace Spurtide {

namespace {

/// Further doublings exceed the maximum hold and would overflow.
constexpr std::int64_t MAXIMUM_DOUBLINGS = 10;
/// Upper bound for plausible entries; no request is identified this often within the retention time.
constexpr std::int64_t MAXIMUM_TIMES = 1'000'000;

}

std::optional<Duration> Quarantine::held_for(RequestFingerprint const& request, std::int64_t unix_milliseconds) const
{
    auto const found = this->holds.find(request);
    if (found == this->holds.end() || found->second.until <= unix_milliseconds)
        return {};
    return milliseconds(found->second.until - unix_milliseconds);
}

bool Quarantine::is_on_probation(RequestFingerprint const& request, std::int64_t unix_milliseconds) const
{
    auto const found = this->holds.find(request);
    return found != this->holds.end() && found->second.until <= unix_milliseconds && !this->is_expired(found->second, unix_milliseconds);
}

QuarantineEntry Quarantine::add(RequestFingerprint const& request, std::int64_t unix_milliseconds)
{
    auto const [entry, is_new] = this->holds.try_emplace(request, QuarantineEntry { request, 0, 0 });
    auto& found = entry->second;
    auto const doublings = std::min(found.times++, MAXIMUM_DOUBLINGS);
    auto const hold = std::min(this->options.maximum_hold, this->options.first_hold * (1 << doublings));
    found.until = unix_milliseconds + to_milliseconds(hold);
    auto const added = found;
    this->evict_to_capacity();
    return added;
}

Quarantine::MergeResult Quarantine::merge(QuarantineEntry const& entry, std::int64_t unix_milliseconds)
{
    // An entry that lasts longer than any hold comes from a VM with a wrong clock or from an unauthorized writer.
    bool const is_in_range = entry.times > 0 && entry.times <= MAXIMUM_TIMES && entry.until <= unix_milliseconds + 2 * to_milliseconds(this->options.maximum_hold);
    if (!is_in_range || this->is_expired(entry, unix_milliseconds))
        return MergeResult::Unchanged;
    auto const [place, is_new] = this->holds.try_emplace(entry.request, entry);
    auto const before = place->second;
    place->second.times = std::max(before.times, entry.times);
    place->second.until = std::max(before.until, entry.until);
    bool const is_changed = is_new || place->second != before;
    this->evict_to_capacity();
    return is_changed ? MergeResult::Changed : MergeResult::Unchanged;
}

void Quarantine::forget_old(std::int64_t unix_milliseconds)
{
    std::erase_if(this->holds, [&](auto const& entry) { return this->is_expired(entry.second, unix_milliseconds); });
}

std::vector<QuarantineEntry> Quarantine::entries() const
{
    std::vector<QuarantineEntry> all;
    all.reserve(this->holds.size());
    for (auto const& [request, entry] : this->holds)
        all.push_back(entry);
    return all;
}

std::uint64_t Quarantine::digest() const
{
    std::uint64_t digest = 0;
    for (auto const& [request, entry] : this->holds) {
        auto const text = request.to_bytes() + std::to_string(entry.times) + ' ' + std::to_string(entry.until);
        digest ^= XXH3_64bits(text.data(), text.size());
    }
    return digest;
}

bool Quarantine::is_expired(QuarantineEntry const& entry, std::int64_t unix_milliseconds) const
{
    return entry.until + to_milliseconds(this->options.probation) <= unix_milliseconds;
}

void Quarantine::evict_to_capacity()
{
    while (this->holds.size() > this->options.capacity) {
        auto const ends_first = [](auto const& left, auto const& right) { return left.second.until < right.second.until; };
        this->holds.erase(std::min_element(this->holds.begin(), this->holds.end(), ends_first));
    }
}

}
