// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <cstdint>

namespace Spurtide {

/// How fast engines of one model read prompts, learned from what they took. A prompt keeps its engine busy for its
/// tokens at a rate; its result comes a fixed latency later, during which the engine reads the next one.
/// Taking the latency for reading time would make a queue of prompts look half as long again as it is.
class PrefillPace {
public:
    /// Tokens a second, before anything was measured.
    explicit PrefillPace(double first_rate)
        : first_rate(first_rate)
    {
    }

    /// A prompt that waited for no other took so long, from its sending to its result.
    void note(std::int64_t tokens, Duration taken);

    /// Time that the engine is busy with so many tokens.
    Duration reading_time(std::int64_t tokens) const;
    /// From the end of the reading to the result.
    Duration latency() const { return this->learned_latency; }
    /// Tokens a second.
    double rate() const { return this->learned_rate > 0 ? this->learned_rate : this->first_rate; }
    bool is_known() const { return this->samples >= FEWEST_SAMPLES; }

private:
    /// Fewer do not tell a rate from a latency.
    static constexpr double FEWEST_SAMPLES = 4;
    /// Before that, each moves the rate by this part of its distance: one prompt that was held up must not stand for all.
    static constexpr double FIRST_STEPS = 0.2;
    /// Part of the earlier samples' weight that is left with each new one: engines' versions change.
    static constexpr double KEPT = 0.97;
    /// Lengths that differ by less than this part of their mean (standard deviation) tell only the two together.
    static constexpr double LEAST_SPREAD = 0.1;

    void fit();

    double first_rate;
    double learned_rate = 0;
    Duration learned_latency {};
    double samples = 0;
    double tokens_sum = 0;
    double seconds_sum = 0;
    double tokens_squared_sum = 0;
    double product_sum = 0;
};

}
