// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>

namespace Spurtide {

/// Tracks the service time of one upstream as a moving average that a single slow call hardly changes and that returns
/// to what is usual elsewhere when no new calls are measured.
class ServiceTimeEstimator {
public:
    /// The weight is that of a new sample, in (0, 1].
    explicit ServiceTimeEstimator(double weight)
        : weight(weight)
    {
    }

    void add(Duration sample, MonotonicTime now);
    bool has_samples() const { return this->mean_seconds > 0; }
    /// The average; it approaches the usual time, in seconds, with the age of the last sample.
    double estimate(double usual_seconds, MonotonicTime now) const;

private:
    double weight;
    double mean_seconds = 0;
    MonotonicTime measured_at;
};

}
