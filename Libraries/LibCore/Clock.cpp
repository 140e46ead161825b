// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <LibCore/Verify.h>
#include <ctime>

namespace Spurtide {

MonotonicTime monotonic_now()
{
    timespec value {};
    VERIFY(clock_gettime(CLOCK_BOOTTIME, &value) == 0);
    return MonotonicTime(std::chrono::seconds(value.tv_sec) + std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(value.tv_nsec)));
}

std::int64_t unix_milliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

}
