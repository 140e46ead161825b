// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace Spurtide {

/// The time per output token of a decode engine, measured from the answers that ended there. Answers are averaged over windows
/// of time, weighted by their length, and the estimate is the median of the last windows. So neither one slow answer nor a slow
/// spell shorter than a window marks an engine as slow.
class EnginePace {
public:
    /// Adds an answer that produced the given number of tokens in the given time and ended now.
    void add(std::int64_t tokens, Duration time, MonotonicTime now);
    /// Empty until an answer has been measured.
    std::optional<Duration> estimate() const;

private:
    /// Longer than the slow spells that engines have (0.6 s), so that a spell falls into two windows at most.
    static constexpr Duration WINDOW = seconds(1);
    /// The median of five is not affected by two distorted windows.
    static constexpr std::size_t WINDOWS = 5;

    struct Window {
        MonotonicTime since;
        double tokens = 0;
        Duration time {};
    };

    /// Ring of the last windows; the current one is at position (count - 1) % WINDOWS.
    std::array<Window, WINDOWS> windows {};
    std::size_t count = 0;
};

}
