// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/ServiceTimeEstimator.h>
#include <algorithm>
#include <cmath>

namespace Spurtide {

namespace {

/// A slow call counts at most as a multiple of the average, so that a single one does not mark the upstream as slow.
constexpr double LARGEST_SAMPLE = 3;
/// Noise of an upstream lasts about half a second. Without a decay, an upstream measured at such a time would get no calls at
/// low load, and so would never be measured again.
constexpr double DECAY_SECONDS = 2;

}

void ServiceTimeEstimator::add(Duration sample, MonotonicTime now)
{
    auto const sample_seconds = std::max(1e-6, to_seconds(sample));
    if (!this->has_samples())
        this->mean_seconds = sample_seconds;
    else
        this->mean_seconds += this->weight * (std::min(sample_seconds, LARGEST_SAMPLE * this->mean_seconds) - this->mean_seconds);
    this->measured_at = now;
}

double ServiceTimeEstimator::estimate(double usual_seconds, MonotonicTime now) const
{
    if (!this->has_samples())
        return usual_seconds;
    auto const age = std::max(0.0, to_seconds(now - this->measured_at));
    return usual_seconds + (this->mean_seconds - usual_seconds) * std::exp(-age / DECAY_SECONDS);
}

}
