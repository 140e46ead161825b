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

/// Tracks origins of grants that do not belong to a live process. An origin that is missing only briefly may be a new
/// process whose announcement has not arrived yet. Performs no I/O; the current time is an argument.
class DeadOriginTracker {
public:
    /// Returns the origins that have been missing for longer than the grace period, each of them once.
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
