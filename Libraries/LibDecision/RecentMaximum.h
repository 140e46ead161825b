// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <algorithm>
#include <optional>
#include <utility>

namespace Spurtide {

/// The largest of the values of the last one or two periods. Without new values the last ones are kept.
class RecentMaximum {
public:
    void add(double value, MonotonicTime now)
    {
        if (!this->latest || now - this->period_began >= PERIOD) {
            this->before = std::exchange(this->latest, std::nullopt);
            this->period_began = now;
        }
        this->latest = std::max(value, this->latest.value_or(value));
    }

    /// Empty if no value was added.
    std::optional<double> value() const { return this->before && this->latest ? std::max(*this->before, *this->latest) : this->latest; }

private:
    static constexpr Duration PERIOD = seconds(30);

    std::optional<double> before;
    std::optional<double> latest;
    MonotonicTime period_began {};
};

}
