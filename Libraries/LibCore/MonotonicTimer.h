// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <algorithm>
#include <asio.hpp>

namespace Spurtide {

/// Limits how long the event loop sleeps at a time. The system's timers do not count suspensions, so the loop has to look at the
/// clock again after one.
struct MonotonicWaitTraits {
    static constexpr Duration LONGEST_SLEEP = seconds(1);

    static Duration to_wait_duration(Duration remaining) { return std::min(remaining, LONGEST_SLEEP); }
    static Duration to_wait_duration(MonotonicTime time) { return to_wait_duration(time - MonotonicClock::now()); }
};

/// A timer on the clock of deadlines and leases.
using MonotonicTimer = asio::basic_waitable_timer<MonotonicClock, MonotonicWaitTraits>;

}
