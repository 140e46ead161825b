// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <algorithm>
#include <optional>

namespace Spurtide {

/// Upper bounds of the time that a request takes from now on.
struct DurationBounds {
    /// Time until its timeout.
    Duration timeout {};
    /// The longest answer that the caller allows, at the slowest recent pace; empty if that is not known.
    std::optional<Duration> longest_answer {};

    Duration shortest() const { return this->longest_answer ? std::min(*this->longest_answer, this->timeout) : this->timeout; }
};

/// Whether a request that is not running yet may begin before the process exits. Only one that ends in time whatever its
/// length may: one that is interrupted is lost, while one that is refused at once is served by another VM.
inline bool may_begin_before_exit(DurationBounds bounds, Duration time_until_exit)
{
    return time_until_exit >= bounds.shortest();
}

}
