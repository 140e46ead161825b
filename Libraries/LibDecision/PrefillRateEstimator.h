// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <cstdint>

namespace Spurtide {

/// Estimates the prefill rate and result latency of the engines of a model. A prompt occupies its engine for a time
/// proportional to its tokens; the result arrives a fixed latency later, while the engine already processes the next
/// prompt. Counting the latency as compute time would overestimate the delay of a queue by half.
class PrefillRateEstimator {
public:
    /// The rate in tokens per second used until it has been measured.
    explicit PrefillRateEstimator(double initial_rate)
        : initial_rate(initial_rate)
    {
    }

    /// Adds the duration of a prefill that was not queued, from the request to the result.
    void add_sample(std::int64_t tokens, Duration duration);

    /// Time for which the engine is busy with the given number of tokens.
    Duration compute_time(std::int64_t tokens) const;
    /// Delay from the end of the computation to the result.
    Duration latency() const { return this->learned_latency; }
    /// Tokens per second.
    double rate() const { return this->learned_rate > 0 ? this->learned_rate : this->initial_rate; }
    bool is_known() const { return this->samples >= MINIMUM_SAMPLES; }

private:
    /// Fewer samples cannot separate rate and latency.
    static constexpr double MINIMUM_SAMPLES = 4;
    /// Smoothing factor of the rate before that, so that a single delayed prompt does not dominate the estimate.
    static constexpr double INITIAL_SMOOTHING = 0.2;
    /// Weight kept by earlier samples with each new one, so that the estimate follows changes of the engine version.
    static constexpr double DECAY = 0.97;
    /// Rate and latency cannot be separated if the standard deviation of the lengths is below this fraction of their
    /// mean.
    static constexpr double MINIMUM_RELATIVE_DEVIATION = 0.1;

    void fit();

    double initial_rate;
    double learned_rate = 0;
    Duration learned_latency {};
    double samples = 0;
    double tokens_sum = 0;
    double seconds_sum = 0;
    double tokens_squared_sum = 0;
    double product_sum = 0;
};

}
