// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Spurtide {

/// Origins of grants that no live process has any more, and since when. One that is missing for a moment only may
/// be new, with the news of it still on its way. Pure: time is passed in.
class DeadOriginTracker {
public:
    /// Those that were missing for longer than the grace time; each is named once.
    std::vector<std::string> take_dead(std::set<std::string> const& origins, std::function<bool(std::string const& origin)> const& is_live, Duration grace, MonotonicTime now)
    {
        std::vector<std::string> dead;
        std::map<std::string, MonotonicTime> remaining;
        for (auto const& origin : origins) {
            if (is_live(origin))
                continue;
            auto const known = this->missing.find(origin);
            auto const since = known == this->missing.end() ? now : known->second;
            if (now - since >= grace)
                dead.push_back(origin);
            else
                remaining.emplace(origin, since);
        }
        this->missing = std::move(remaining);
        return dead;
    }

private:
    std::map<std::string, MonotonicTime> missing;
};

}
