// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/PrefillPace.h>
#include <algorithm>
#include <cmath>

namespace Spurtide {

void PrefillPace::note(std::int64_t tokens, Duration taken)
{
    auto const length = static_cast<double>(tokens);
    auto const time = to_seconds(taken);
    if (length <= 0 || time <= 0)
        return;
    this->samples = this->samples * KEPT + 1;
    this->tokens_sum = this->tokens_sum * KEPT + length;
    this->seconds_sum = this->seconds_sum * KEPT + time;
    this->tokens_squared_sum = this->tokens_squared_sum * KEPT + length * length;
    this->product_sum = this->product_sum * KEPT + length * time;
    if (this->is_known())
        this->fit();
    else
        this->learned_rate = this->rate() + FIRST_STEPS * (length / time - this->rate());
}

// The line of least squares through times over lengths; through the origin where lengths tell too little.
void PrefillPace::fit()
{
    auto const mean_tokens = this->tokens_sum / this->samples;
    auto const mean_seconds = this->seconds_sum / this->samples;
    auto const variance = this->tokens_squared_sum / this->samples - mean_tokens * mean_tokens;
    auto const covariance = this->product_sum / this->samples - mean_tokens * mean_seconds;
    bool const tells_both = variance > 0 && std::sqrt(variance) > LEAST_SPREAD * mean_tokens && covariance > 0;
    auto const slope_alone = mean_seconds / mean_tokens;
    // A latency is never negative: lengths that take more than their share tell a rate alone.
    auto const slope = tells_both ? std::min(covariance / variance, slope_alone) : slope_alone;
    this->learned_rate = 1 / slope;
    this->learned_latency = from_seconds(std::max(0.0, mean_seconds - slope * mean_tokens));
}

Duration PrefillPace::reading_time(std::int64_t tokens) const
{
    return from_seconds(static_cast<double>(tokens) / this->rate());
}

}
