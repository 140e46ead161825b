// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/RetryReservations.h>
#include <algorithm>

namespace Spurtide {

Duration RetryReservations::next(Duration earliest, MonotonicTime now) const
{
    return std::max(earliest, this->free_from - now);
}

void RetryReservations::reserve(Duration delay, Duration interval, MonotonicTime now)
{
    this->free_from = now + delay + interval;
}

}
