// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/Residency.h>
#include <algorithm>

namespace Spurtide {

std::string_view region_of(std::string_view data_centre, RegionMap const& regions)
{
    auto const found = regions.find(data_centre);
    return found == regions.end() ? std::string_view() : found->second;
}

bool Residency::is_restricted() const
{
    return std::any_of(this->region_lists.begin(), this->region_lists.end(), [](auto const& list) { return !list.empty(); });
}

bool Residency::allows(std::string_view data_centre, RegionMap const& regions) const
{
    auto const region = region_of(data_centre, regions);
    return std::all_of(this->region_lists.begin(), this->region_lists.end(), [&](auto const& list) {
        return list.empty() || (!region.empty() && std::find(list.begin(), list.end(), region) != list.end());
    });
}

}
