// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <algorithm>
#include <cmath>

namespace Spurtide {

/// A rate limit with a burst, in virtual time.
class TokenBucket {
public:
    TokenBucket(double tokens_per_second, double burst, MonotonicTime now)
        : rate(tokens_per_second)
        , capacity(burst)
        , level(burst)
        , updated(now)
    {
    }

    /// Takes tokens if they are there.
    bool try_take(double tokens, MonotonicTime now)
    {
        this->refill(now);
        if (this->level < tokens)
            return false;
        this->level -= tokens;
        return true;
    }

    /// How long until that many tokens are there; never zero before they are.
    Duration time_until(double tokens, MonotonicTime now)
    {
        this->refill(now);
        if (this->level >= tokens)
            return Duration::zero();
        // Rounded down, a part of a token that is lacking by an error of calculation would be no time at all.
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
