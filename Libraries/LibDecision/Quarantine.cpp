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

bool is_held(QuarantineEntry const& entry, std::int64_t unix_milliseconds) { return entry.until > unix_milliseconds && entry.lifted < entry.times; }

bool has_valid_parts(QuarantineEntry const& entry)
{
    return entry.parts.empty() || (entry.parts.size() <= MAXIMUM_PROMPT_PARTS && entry.request == RequestFingerprint::of_parts(entry.parts));
}

}

std::optional<Duration> Quarantine::held_for(RequestFingerprint const& request, std::int64_t unix_milliseconds) const
{
    auto const found = this->holds.find(request);
    if (found == this->holds.end() || !is_held(found->second, unix_milliseconds))
        return {};
    return milliseconds(found->second.until - unix_milliseconds);
}

std::optional<Duration> Quarantine::held_for(PromptParts const& parts, std::int64_t unix_milliseconds) const
{
    std::optional<Duration> longest;
    for (auto const& key : this->holds_of_parts) {
        if (contains_all(parts, this->holds.at(key).parts))
            longest = std::max(longest, this->held_for(key, unix_milliseconds));
    }
    return longest;
}

bool Quarantine::is_on_probation(RequestFingerprint const& request, std::int64_t unix_milliseconds) const
{
    auto const found = this->holds.find(request);
    return found != this->holds.end() && found->second.until <= unix_milliseconds && !this->is_expired(found->second, unix_milliseconds);
}

QuarantineEntry Quarantine::add(RequestFingerprint const& request, std::int64_t unix_milliseconds)
{
    return this->hold(QuarantineEntry { request, 0, 0 }, unix_milliseconds);
}

QuarantineEntry Quarantine::add(PromptParts const& parts, std::int64_t unix_milliseconds)
{
    QuarantineEntry initial { RequestFingerprint::of_parts(parts), 0, 0 };
    initial.parts = parts;
    return this->hold(initial, unix_milliseconds);
}

QuarantineEntry Quarantine::hold(QuarantineEntry const& initial, std::int64_t unix_milliseconds)
{
    auto& found = this->holds.try_emplace(initial.request, initial).first->second;
    if (!initial.parts.empty())
        this->holds_of_parts.insert(initial.request);
    auto const doublings = std::min(found.times++, MAXIMUM_DOUBLINGS);
    auto const first_hold = initial.parts.empty() ? this->options.first_hold : this->options.first_hold_of_parts;
    auto const hold = std::min(this->options.maximum_hold, first_hold * (1 << doublings));
    found.until = unix_milliseconds + to_milliseconds(hold);
    auto added = found;
    this->evict_to_capacity();
    return added;
}

std::vector<QuarantineEntry> Quarantine::lift(PromptParts const& parts, std::int64_t unix_milliseconds)
{
    std::vector<QuarantineEntry> lifted;
    for (auto const& key : this->holds_of_parts) {
        auto& entry = this->holds.at(key);
        if (!is_held(entry, unix_milliseconds) || !contains_all(parts, entry.parts))
            continue;
        entry.lifted = entry.times;
        lifted.push_back(entry);
    }
    return lifted;
}

Quarantine::MergeResult Quarantine::merge(QuarantineEntry const& entry, std::int64_t unix_milliseconds)
{
    // An entry that lasts longer than any hold comes from a VM with a wrong clock or from an unauthorized writer.
    bool const is_in_range = entry.times > 0 && entry.times <= MAXIMUM_TIMES && entry.until <= unix_milliseconds + 2 * to_milliseconds(this->options.maximum_hold) && entry.lifted >= 0 && entry.lifted <= MAXIMUM_TIMES;
    if (!is_in_range || !has_valid_parts(entry) || this->is_expired(entry, unix_milliseconds))
        return MergeResult::Unchanged;
    auto const [place, is_new] = this->holds.try_emplace(entry.request, entry);
    auto const before = place->second;
    place->second.times = std::max(before.times, entry.times);
    place->second.until = std::max(before.until, entry.until);
    place->second.lifted = std::max(before.lifted, entry.lifted);
    // VMs of an older version pass the entry on without its parts.
    if (!entry.parts.empty()) {
        place->second.parts = entry.parts;
        this->holds_of_parts.insert(entry.request);
    }
    bool const is_changed = is_new || place->second != before;
    this->evict_to_capacity();
    return is_changed ? MergeResult::Changed : MergeResult::Unchanged;
}

void Quarantine::forget_old(std::int64_t unix_milliseconds)
{
    std::erase_if(this->holds, [&](auto const& entry) { return this->is_expired(entry.second, unix_milliseconds); });
    std::erase_if(this->holds_of_parts, [&](auto const& key) { return !this->holds.contains(key); });
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
        auto text = request.to_bytes() + std::to_string(entry.times) + ' ' + std::to_string(entry.until);
        if (!entry.parts.empty())
            text += " parts " + std::to_string(entry.lifted);
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
        auto const evicted = std::min_element(this->holds.begin(), this->holds.end(), ends_first);
        this->holds_of_parts.erase(evicted->first);
        this->holds.erase(evicted);
    }
}

}
