// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Spurtide {

/// Estimates how long the answers of a service take, from those that completed on this VM.
class AnswerDurationEstimator {
public:
    /// Adds the time from an answer's first event to its last, and its number of tokens.
    void add_sample(std::string_view service, std::int64_t tokens, Duration duration)
    {
        if (tokens < MINIMUM_TOKENS || duration <= Duration::zero())
            return;
        auto const sample = to_seconds(duration) / static_cast<double>(tokens);
        auto const found = this->seconds_per_token.find(service);
        if (found == this->seconds_per_token.end())
            this->seconds_per_token.emplace(service, sample);
        else
            found->second += SMOOTHING * (sample - found->second);
    }

    /// The 90th percentile of the duration of answers with the given median length; empty if there are no samples. The
    /// spread is the standard deviation of the logarithm of the ratio of actual to expected length.
    std::optional<Duration> percentile_90(std::string_view service, std::int64_t expected_tokens, std::int64_t maximum_tokens, double spread) const
    {
        auto const found = this->seconds_per_token.find(service);
        if (found == this->seconds_per_token.end())
            return {};
        auto const maximum = static_cast<double>(maximum_tokens);
        auto const percentile_tokens = expected_tokens > 0 ? static_cast<double>(expected_tokens) * std::exp(PERCENTILE_90_DEVIATIONS * spread) : maximum;
        return from_seconds(found->second * (maximum_tokens > 0 ? std::min(percentile_tokens, maximum) : percentile_tokens));
    }

private:
    /// Shorter answers are too noisy to estimate the time per token.
    static constexpr std::int64_t MINIMUM_TOKENS = 8;
    /// Weights roughly the last ten answers, because the time per token varies with the load of the engines.
    static constexpr double SMOOTHING = 0.2;
    /// Standard deviations above the median.
    static constexpr double PERCENTILE_90_DEVIATIONS = 1.28;

    std::map<std::string, double, std::less<>> seconds_per_token;
};

}
