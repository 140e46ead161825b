// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/EvacuationTable.h>
#include <algorithm>
#include <utility>

namespace Spurtide {

void EvacuationTable::enter_era(StorePosition position, MonotonicTime now)
{
    if (position.era <= this->era_entered.era)
        return;
    this->era_entered = position;
    this->settled_at = now + this->options.settle_time;
    this->doubtful.clear();
}

std::vector<Evacuation> EvacuationTable::merge(EvacuationUpdate const& update, MonotonicTime now)
{
    bool const is_snapshot = update.extent == EvacuationUpdate::Extent::Snapshot;
    if (is_snapshot)
        this->enter_era(update.position, now);
    std::vector<std::string> absent;
    auto const is_listed = [&](std::string const& data_centre) { return std::any_of(update.evacuations.begin(), update.evacuations.end(), [&](auto const& other) { return other.data_centre == data_centre; }); };
    for (auto const& [data_centre, evacuation] : this->known) {
        if (is_snapshot && evacuation.state == Evacuation::State::Ordered && !is_listed(data_centre))
            absent.push_back(data_centre);
    }
    std::vector<Evacuation> changes;
    for (auto const& evacuation : update.evacuations)
        this->merge_one(evacuation, Origin::Row, now, changes);
    for (auto const& data_centre : absent)
        this->merge_one({ data_centre, update.position, Evacuation::State::Over }, Origin::Absence, now, changes);
    return changes;
}

bool EvacuationTable::is_doubtful(Evacuation const& known_state, Evacuation const& received, Origin origin, MonotonicTime now) const
{
    bool const may_come_from_copy = origin == Origin::Absence || received.version <= this->era_entered;
    return now < this->settled_at && known_state.version.era < this->era_entered.era && known_state.state != received.state && may_come_from_copy;
}

void EvacuationTable::merge_one(Evacuation const& received, Origin origin, MonotonicTime now, std::vector<Evacuation>& changes)
{
    auto const found = this->known.find(received.data_centre);
    bool const is_known = found != this->known.end();
    if (received.version.era < this->era_entered.era || (is_known && found->second.version >= received.version))
        return;
    if (is_known && this->is_doubtful(found->second, received, origin, now)) {
        this->doubtful.insert_or_assign(received.data_centre, received);
        return;
    }
    this->doubtful.erase(received.data_centre);
    if (!is_known || found->second.state != received.state)
        changes.push_back(received);
    this->known.insert_or_assign(received.data_centre, received);
}

std::vector<Evacuation> EvacuationTable::advance(MonotonicTime now)
{
    if (this->doubtful.empty() || now < this->settled_at)
        return {};
    std::vector<Evacuation> changes;
    for (auto const& [data_centre, evacuation] : std::exchange(this->doubtful, {}))
        this->merge_one(evacuation, Origin::Row, now, changes);
    return changes;
}

bool EvacuationTable::is_evacuated(std::string_view data_centre) const
{
    auto const found = this->known.find(data_centre);
    return found != this->known.end() && found->second.state == Evacuation::State::Ordered;
}

std::vector<Evacuation> EvacuationTable::all() const
{
    std::vector<Evacuation> all;
    all.reserve(this->known.size());
    for (auto const& [data_centre, evacuation] : this->known)
        all.push_back(evacuation);
    return all;
}

}
