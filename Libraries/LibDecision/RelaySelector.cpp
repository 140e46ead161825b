// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/CellMap.h>
#include <LibDecision/RelaySelector.h>
#include <algorithm>
#include <tuple>

namespace Spurtide {

RelaySelector::RelaySelector(Options options, std::string own_virtual_machine, std::string own_data_centre, std::string own_region)
    : options(options)
    , own_virtual_machine(std::move(own_virtual_machine))
    , own_data_centre(std::move(own_data_centre))
    , own_region(std::move(own_region))
{
}

RelaySelector::Distance RelaySelector::distance_of(RelayCandidate const& candidate) const
{
    if (candidate.data_centre == this->own_data_centre)
        return Distance::SameDataCentre;
    bool const is_same_region = !this->own_region.empty() && candidate.region == this->own_region;
    return is_same_region ? Distance::SameRegion : Distance::OtherRegion;
}

void RelaySelector::set_candidates(std::vector<RelayCandidate> new_candidates)
{
    this->candidates = std::move(new_candidates);
    std::erase_if(this->candidates, [this](auto const& candidate) { return candidate.virtual_machine == this->own_virtual_machine; });
    auto const rank = [this](RelayCandidate const& candidate) {
        return std::make_tuple(this->distance_of(candidate), ~rendezvous_score(this->own_virtual_machine, candidate.virtual_machine));
    };
    std::sort(this->candidates.begin(), this->candidates.end(), [&](auto const& a, auto const& b) { return rank(a) < rank(b); });
    auto const is_listed = [this](std::string_view name) {
        return std::any_of(this->candidates.begin(), this->candidates.end(), [&](auto const& candidate) { return candidate.virtual_machine == name; });
    };
    std::erase_if(this->states, [&](auto const& entry) { return entry.second.in_flight == 0 && !is_listed(entry.first); });
}

bool RelaySelector::is_in_backoff(std::string_view virtual_machine, MonotonicTime now) const
{
    auto const found = this->states.find(virtual_machine);
    return found != this->states.end() && now < found->second.unused_until;
}

std::int64_t RelaySelector::cost_of(RelayCandidate const& candidate) const
{
    auto const found = this->states.find(candidate.virtual_machine);
    auto const in_flight = found == this->states.end() ? 0 : found->second.in_flight;
    switch (this->distance_of(candidate)) {
    case Distance::SameDataCentre:
        return in_flight;
    case Distance::SameRegion:
        return in_flight + this->options.region_penalty;
    default:
        return in_flight + this->options.remote_penalty;
    }
}

std::optional<RelayCandidate> RelaySelector::choose(MonotonicTime now, Filter const& may_use) const
{
    RelayCandidate const* best = nullptr;
    std::map<Distance, std::size_t> considered;
    for (auto const& candidate : this->candidates) {
        if (this->is_in_backoff(candidate.virtual_machine, now) || !may_use(candidate))
            continue;
        if (++considered[this->distance_of(candidate)] > this->options.relays_per_distance)
            continue;
        if (!best || this->cost_of(candidate) < this->cost_of(*best))
            best = &candidate;
    }
    if (!best)
        return {};
    return *best;
}

void RelaySelector::note_sent(std::string_view virtual_machine) { ++this->states[std::string(virtual_machine)].in_flight; }

void RelaySelector::note_end(std::string_view virtual_machine)
{
    auto const found = this->states.find(virtual_machine);
    if (found != this->states.end())
        found->second.in_flight = std::max<std::int64_t>(0, found->second.in_flight - 1);
}

void RelaySelector::note_failure(std::string_view virtual_machine, MonotonicTime now)
{
    this->states[std::string(virtual_machine)].unused_until = now + this->options.backoff;
}

}
