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
class MissingOrigins {
public:
    /// Those that were missing for longer than the grace time; each is named once.
    std::vector<std::string> take_gone(std::set<std::string> const& origins, std::function<bool(std::string const& origin)> const& is_live, Duration grace, MonotonicTime now)
    {
        std::vector<std::string> gone;
        std::map<std::string, MonotonicTime> still_missing;
        for (auto const& origin : origins) {
            if (is_live(origin))
                continue;
            auto const known = this->missing.find(origin);
            auto const since = known == this->missing.end() ? now : known->second;
            if (now - since >= grace)
                gone.push_back(origin);
            else
                still_missing.emplace(origin, since);
        }
        this->missing = std::move(still_missing);
        return gone;
    }

private:
    std::map<std::string, MonotonicTime> missing;
};

}
