// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <algorithm>
#include <cstdint>

namespace Spurtide {

/// Tracks a quantile of a drifting series by stochastic approximation in constant memory.
class QuantileEstimator {
public:
    /// The quantile is in (0, 1). The first estimate is returned until samples are added.
    QuantileEstimator(double quantile, double first_estimate)
        : quantile(quantile)
        , current(first_estimate)
    {
    }

    void add(double sample)
    {
        ++this->samples;
        // The step is proportional to the estimate, so that convergence does not depend on the scale of the series.
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
