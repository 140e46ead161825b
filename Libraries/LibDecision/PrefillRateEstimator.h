// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <cstdint>

namespace Spurtide {

/// How fast engines of one model read prompts, learned from what they took. A prompt keeps its engine busy for its
/// tokens at a rate; its result comes a fixed latency later, during which the engine reads the next one.
/// Taking the latency for reading time would make a queue of prompts look half as long again as it is.
class PrefillRateEstimator {
public:
    /// Tokens a second, before anything was measured.
    explicit PrefillRateEstimator(double initial_rate)
        : initial_rate(initial_rate)
    {
    }

    /// A prompt that waited for no other took so long, from its sending to its result.
    void add_sample(std::int64_t tokens, Duration duration);

    /// Time that the engine is busy with so many tokens.
    Duration compute_time(std::int64_t tokens) const;
    /// From the end of the reading to the result.
    Duration latency() const { return this->learned_latency; }
    /// Tokens a second.
    double rate() const { return this->learned_rate > 0 ? this->learned_rate : this->initial_rate; }
    bool is_known() const { return this->samples >= MINIMUM_SAMPLES; }

private:
    /// Fewer do not tell a rate from a latency.
    static constexpr double MINIMUM_SAMPLES = 4;
    /// Before that, each moves the rate by this part of its distance: one prompt that was held up must not stand for all.
    static constexpr double INITIAL_SMOOTHING = 0.2;
    /// Part of the earlier samples' weight that is left with each new one: engines' versions change.
    static constexpr double DECAY = 0.97;
    /// Lengths that differ by less than this part of their mean (standard deviation) tell only the two together.
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
