// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>

namespace Spurtide {

/// Times at which refused callers are told to retry, reserved one after the other so that their retries do not arrive together.
class RetryReservations {
public:
    /// The earliest time that is not reserved, as a delay from now.
    Duration next(Duration earliest, MonotonicTime now) const;
    /// Reserves the time that next() returned. The next caller is told a time that is later by the interval.
    void reserve(Duration delay, Duration interval, MonotonicTime now);

private:
    MonotonicTime free_from;
};

}
