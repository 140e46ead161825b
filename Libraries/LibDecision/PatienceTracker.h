// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <algorithm>
#include <map>
#include <string>
#include <string_view>

namespace Spurtide {

/// Tells callers that come back from those that come for the first time: a caller that was told to come back
/// waits less than others of its route, by the time that it has spent.
class PatienceTracker {
public:
    enum class Visit {
        First,
        Return,
    };

    /// Takes what a caller says that it will wait.
    Visit note(std::string_view route, Duration patience)
    {
        auto const found = this->longest.find(route);
        if (found == this->longest.end()) {
            this->longest.emplace(route, patience);
            return Visit::First;
        }
        auto& usual = found->second;
        if (patience >= usual) {
            usual = patience;
            return Visit::First;
        }
        // Callers that all wait less than before are no returns for long.
        usual = std::max(patience, usual - usual / FADING);
        return usual - patience > SHORTEST_ABSENCE ? Visit::Return : Visit::First;
    }

private:
    /// Time that a caller spends on a channel before its first request is less.
    static constexpr Duration SHORTEST_ABSENCE = milliseconds(60);
    /// Part by which the usual patience falls with each caller that has less.
    static constexpr int FADING = 20'000;

    std::map<std::string, Duration, std::less<>> longest;
};

}
