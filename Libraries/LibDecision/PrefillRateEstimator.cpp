// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/PrefillRateEstimator.h>
#include <algorithm>
#include <cmath>

namespace Spurtide {

void PrefillRateEstimator::add_sample(std::int64_t tokens, Duration duration)
{
    auto const length = static_cast<double>(tokens);
    auto const time = to_seconds(duration);
    if (length <= 0 || time <= 0)
        return;
    this->samples = this->samples * DECAY + 1;
    this->tokens_sum = this->tokens_sum * DECAY + length;
    this->seconds_sum = this->seconds_sum * DECAY + time;
    this->tokens_squared_sum = this->tokens_squared_sum * DECAY + length * length;
    this->product_sum = this->product_sum * DECAY + length * time;
    if (this->is_known())
        this->fit();
    else
        this->learned_rate = this->rate() + INITIAL_SMOOTHING * (length / time - this->rate());
}

// Least-squares fit of duration over length; a line through the origin if the lengths do not vary enough.
void PrefillRateEstimator::fit()
{
    auto const mean_tokens = this->tokens_sum / this->samples;
    auto const mean_seconds = this->seconds_sum / this->samples;
    auto const variance = this->tokens_squared_sum / this->samples - mean_tokens * mean_tokens;
    auto const covariance = this->product_sum / this->samples - mean_tokens * mean_seconds;
    bool const is_latency_separable = variance > 0 && std::sqrt(variance) > MINIMUM_RELATIVE_DEVIATION * mean_tokens && covariance > 0;
    auto const slope_through_origin = mean_seconds / mean_tokens;
    // Latency is never negative, so the slope is bounded by that of a line through the origin.
    auto const slope = is_latency_separable ? std::min(covariance / variance, slope_through_origin) : slope_through_origin;
    this->learned_rate = 1 / slope;
    this->learned_latency = from_seconds(std::max(0.0, mean_seconds - slope * mean_tokens));
}

Duration PrefillRateEstimator::compute_time(std::int64_t tokens) const
{
    return from_seconds(static_cast<double>(tokens) / this->rate());
}

}
