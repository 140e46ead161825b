// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Spurtide {

/// The region of each data centre.
using RegionMap = std::map<std::string, std::string, std::less<>>;

/// Where a request may be served: in the regions that its route names and its account names, where they name some.
class Residency {
public:
    Residency() = default;
    Residency(std::vector<std::string> route_regions, std::vector<std::string> account_regions)
        : region_lists { std::move(route_regions), std::move(account_regions) }
    {
    }

    bool is_restricted() const;
    /// A data centre whose region is not known is no home of a bound request.
    bool allows(std::string_view data_centre, RegionMap const& regions) const;

private:
    /// Each that is not empty binds.
    std::vector<std::vector<std::string>> region_lists;
};

}
