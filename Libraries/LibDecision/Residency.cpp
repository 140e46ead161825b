// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/Residency.h>
#include <algorithm>

namespace Spurtide {

bool Residency::is_restricted() const
{
    return std::any_of(this->region_lists.begin(), this->region_lists.end(), [](auto const& list) { return !list.empty(); });
}

bool Residency::allows(std::string_view data_centre, RegionMap const& regions) const
{
    auto const region = regions.find(data_centre);
    return std::all_of(this->region_lists.begin(), this->region_lists.end(), [&](auto const& list) {
        return list.empty() || (region != regions.end() && std::find(list.begin(), list.end(), region->second) != list.end());
    });
}

}
