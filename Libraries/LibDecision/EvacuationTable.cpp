// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/EvacuationTable.h>
#include <algorithm>

namespace Spurtide {

std::vector<Evacuation> EvacuationTable::take(EvacuationUpdate const& news)
{
    auto told = news.evacuations;
    if (news.extent == EvacuationUpdate::Extent::Snapshot) {
        auto const is_listed = [&](std::string const& data_centre) { return std::any_of(news.evacuations.begin(), news.evacuations.end(), [&](auto const& other) { return other.data_centre == data_centre; }); };
        for (auto const& [data_centre, evacuation] : this->known) {
            if (evacuation.state == Evacuation::State::Ordered && !is_listed(data_centre))
                told.push_back({ data_centre, news.position, Evacuation::State::Over });
        }
    }
    std::vector<Evacuation> changes;
    for (auto const& evacuation : told) {
        auto const found = this->known.find(evacuation.data_centre);
        if (found != this->known.end() && found->second.version >= evacuation.version)
            continue;
        bool const is_news = found == this->known.end() || found->second.state != evacuation.state;
        this->known.insert_or_assign(evacuation.data_centre, evacuation);
        if (is_news)
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
