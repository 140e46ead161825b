// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <LibCore/ClockOffset.h>
#include <LibCore/Verify.h>
#include <atomic>
#include <ctime>

namespace Spurtide {

namespace {

std::atomic<Duration> clock_offset = Duration::zero();

}

MonotonicTime MonotonicClock::now()
{
    timespec value {};
    VERIFY(clock_gettime(CLOCK_BOOTTIME, &value) == 0);
    auto const since_boot = std::chrono::seconds(value.tv_sec) + std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(value.tv_nsec));
    return MonotonicTime(since_boot + clock_offset.load(std::memory_order_relaxed));
}

void set_clock_offset_for_tests(Duration offset) { clock_offset.store(offset, std::memory_order_relaxed); }

std::int64_t unix_milliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

}
