// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Spurtide {

/// Maps data centres to regions.
using RegionMap = std::map<std::string, std::string, std::less<>>;

/// Returns the region of a data centre, as long as the map lives; empty if it is unknown.
std::string_view region_of(std::string_view data_centre, RegionMap const& regions);

/// The regions in which a request may be served, as restricted by its route and its account.
class Residency {
public:
    Residency() = default;
    Residency(std::vector<std::string> route_regions, std::vector<std::string> account_regions)
        : region_lists { std::move(route_regions), std::move(account_regions) }
    {
    }

    bool is_restricted() const;
    /// A data centre with an unknown region does not satisfy a restriction.
    bool allows(std::string_view data_centre, RegionMap const& regions) const;

private:
    /// Each non-empty list is a restriction.
    std::vector<std::vector<std::string>> region_lists;
};

}
