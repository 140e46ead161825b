// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Spurtide {

/// Estimates how long the answers of a service take at most, from those that completed on this VM.
class AnswerDurationEstimator {
public:
    /// Adds the time from an answer's first event to its last, and its number of tokens.
    void add_sample(std::string_view service, std::int64_t tokens, Duration duration)
    {
        if (tokens < MINIMUM_TOKENS || duration <= Duration::zero())
            return;
        auto const sample = to_seconds(duration) / static_cast<double>(tokens);
        auto const found = this->slowest_seconds_per_token.find(service);
        if (found == this->slowest_seconds_per_token.end())
            this->slowest_seconds_per_token.emplace(service, sample);
        else
            found->second = std::max(sample, found->second + SMOOTHING * (sample - found->second));
    }

    /// The duration of an answer of this many tokens at the slowest recent pace; empty if there are no samples, or no number
    /// of tokens.
    std::optional<Duration> longest(std::string_view service, std::int64_t maximum_tokens) const
    {
        auto const found = this->slowest_seconds_per_token.find(service);
        if (found == this->slowest_seconds_per_token.end() || maximum_tokens <= 0)
            return {};
        return from_seconds(std::min(found->second * static_cast<double>(maximum_tokens), LONGEST_SECONDS));
    }

private:
    /// Shorter answers are too noisy to estimate the time per token.
    static constexpr std::int64_t MINIMUM_TOKENS = 8;
    /// A slow answer counts for roughly the next ten, because the time per token varies with the load of the engines.
    static constexpr double SMOOTHING = 0.1;
    /// Callers may state numbers whose duration overflows; no answer takes as long as a day.
    static constexpr double LONGEST_SECONDS = 86'400;

    std::map<std::string, double, std::less<>> slowest_seconds_per_token;
};

}
