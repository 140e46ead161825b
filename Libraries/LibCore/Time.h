// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <chrono>
#include <cstdint>

namespace Spurtide {

/// All durations of the system, in whole microseconds.
using Duration = std::chrono::microseconds;

/// Never steps back, and counts the time that the process was paused or the machine suspended (CLOCK_BOOTTIME). The one clock of
/// leases, deadlines and timers. A type of its own, so that its times cannot be given to a timer of another clock.
class MonotonicClock {
public:
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<MonotonicClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): the standard library's name of it

    static time_point now();
};

/// Passed into the decision logic, which reads no clock of its own.
using MonotonicTime = MonotonicClock::time_point;

constexpr Duration milliseconds(std::int64_t count) { return std::chrono::milliseconds(count); }
constexpr Duration seconds(std::int64_t count) { return std::chrono::seconds(count); }

constexpr std::int64_t to_milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

constexpr double to_seconds(Duration duration) { return static_cast<double>(duration.count()) / 1e6; }

constexpr Duration from_seconds(double count) { return Duration(static_cast<std::int64_t>(count * 1e6)); }

}
