// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <algorithm>
#include <cstdint>

namespace Spurtide {

/// Follows one quantile of a drifting series by stochastic approximation, in constant memory.
class QuantileEstimator {
public:
    /// The quantile is in (0, 1); the first estimate stands until samples move it.
    QuantileEstimator(double quantile, double first_estimate)
        : quantile(quantile)
        , current(first_estimate)
    {
    }

    void add(double sample)
    {
        ++this->samples;
        // The step is a share of the estimate, so that series of any scale are followed as fast.
        double const share = std::max(0.02, 0.5 / static_cast<double>(this->samples));
        double const step = std::max(1.0, this->current) * share;
        this->current += sample > this->current ? step * this->quantile : -step * (1 - this->quantile);
        this->current = std::max(0.0, this->current);
    }

    double estimate() const { return this->current; }
    std::int64_t count() const { return this->samples; }

private:
    double quantile;
    double current;
    std::int64_t samples = 0;
};

}
