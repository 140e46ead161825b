// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <algorithm>
#include <cmath>

namespace Spurtide {

/// A token bucket rate limiter. The current time is an argument of each call.
class TokenBucket {
public:
    TokenBucket(double tokens_per_second, double burst, MonotonicTime now)
        : rate(tokens_per_second)
        , capacity(burst)
        , level(burst)
        , updated(now)
    {
    }

    /// Takes the tokens if they are available.
    bool try_take(double tokens, MonotonicTime now)
    {
        this->refill(now);
        if (this->level < tokens)
            return false;
        this->level -= tokens;
        return true;
    }

    /// Time until the given number of tokens is available; zero only if it is now.
    Duration time_until(double tokens, MonotonicTime now)
    {
        this->refill(now);
        if (this->level >= tokens)
            return Duration::zero();
        // Rounded up, because a shortfall caused by floating point error would otherwise yield zero.
        return Duration(static_cast<std::int64_t>(std::ceil((tokens - this->level) / this->rate * 1e6)));
    }

private:
    void refill(MonotonicTime now)
    {
        if (now <= this->updated)
            return;
        this->level = std::min(this->capacity, this->level + this->rate * to_seconds(now - this->updated));
        this->updated = now;
    }

    double rate;
    double capacity;
    double level;
    MonotonicTime updated;
};

}
