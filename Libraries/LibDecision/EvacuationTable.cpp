// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/EvacuationTable.h>
#include <algorithm>

namespace Spurtide {

std::vector<Evacuation> EvacuationTable::merge(EvacuationUpdate const& update)
{
    auto received = update.evacuations;
    if (update.extent == EvacuationUpdate::Extent::Snapshot) {
        auto const is_listed = [&](std::string const& data_centre) { return std::any_of(update.evacuations.begin(), update.evacuations.end(), [&](auto const& other) { return other.data_centre == data_centre; }); };
        for (auto const& [data_centre, evacuation] : this->known) {
            if (evacuation.state == Evacuation::State::Ordered && !is_listed(data_centre))
                received.push_back({ data_centre, update.position, Evacuation::State::Over });
        }
    }
    std::vector<Evacuation> changes;
    for (auto const& evacuation : received) {
        auto const found = this->known.find(evacuation.data_centre);
        if (found != this->known.end() && found->second.version >= evacuation.version)
            continue;
        bool const is_changed = found == this->known.end() || found->second.state != evacuation.state;
        this->known.insert_or_assign(evacuation.data_centre, evacuation);
        if (is_changed)
            changes.push_back(evacuation);
    }
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
