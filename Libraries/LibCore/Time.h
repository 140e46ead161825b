// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <chrono>
#include <cstdint>

namespace Spurtide {

/// All durations of the system, in whole microseconds.
using Duration = std::chrono::microseconds;

/// A point on a clock that never steps back and counts the time a process was paused or the machine slept.
/// Passed into the decision logic, which reads no clock of its own.
using MonotonicTime = std::chrono::time_point<std::chrono::steady_clock, Duration>;

constexpr Duration milliseconds(std::int64_t count) { return std::chrono::milliseconds(count); }
constexpr Duration seconds(std::int64_t count) { return std::chrono::seconds(count); }

constexpr std::int64_t to_milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

constexpr double to_seconds(Duration duration) { return static_cast<double>(duration.count()) / 1e6; }

constexpr Duration from_seconds(double count) { return Duration(static_cast<std::int64_t>(count * 1e6)); }

}
