// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <array>
#include <cstddef>
#include <cstdint>

namespace Spurtide {

/// An answer that an engine makes or will make, as far as its memory is concerned.
struct AnswerForecast {
    /// What it holds before the first token of the answer.
    double prompt_tokens = 0;
    /// Tokens made so far.
    double generated_tokens = 0;
    /// The median of what is expected in all.
    double expected_tokens = 1;
    /// It never has more.
    double maximum_tokens = 1;
};

/// What an engine's memory will probably hold over the next seconds. An answer takes memory as it grows and
/// gives all of it back when it ends; lengths are spread about their medians as log-normal ones are.
class MemoryForecast {
public:
    static constexpr std::size_t STEPS = 32;
    static constexpr Duration STEP = milliseconds(200);

    struct Options {
        /// Standard deviation of the logarithm of a length against what was expected.
        double spread = 0.6;
        /// Standard deviations of the sum that have to fit beside what is expected, so that answers which turn out
        /// longer are not put back in the middle. Little where prompts are most of the memory, since those are
        /// known; much where answers are.
        double deviations = 0;
        /// Part by which the tokens made so far may be more than reckoned from the pace.
        double progress_error = 0;
    };

    MemoryForecast() = default;
    explicit MemoryForecast(Options options)
        : options(options)
    {
    }

    /// Adds an answer that is made at the given pace.
    void add(AnswerForecast const& answer, Duration per_token);
    /// Whether another forecast, begun after a delay, fits so many times beside this one into so much memory.
    bool has_capacity_for(MemoryForecast const& other, Duration delay, double memory_tokens, double count = 1) const;
    /// The shortest delay after which it fits; the horizon's end where none is seen.
    Duration shortest_delay(MemoryForecast const& other, double memory_tokens) const;
    double tokens_at(std::size_t step) const { return this->tokens.at(step); }
    /// The most that is held at any time that is seen.
    double peak() const;

private:
    bool fits(MemoryForecast const& other, std::size_t delay_steps, double memory_tokens, double count) const;

    Options options {};
    std::array<double, STEPS> tokens {};
    std::array<double, STEPS> variance {};
    /// The part of it that the answers' own tokens are.
    std::array<double, STEPS> answer_tokens {};
};

/// The probability that an answer that has come so far goes on beyond a length.
double probability_of_exceeding(double length, AnswerForecast const& answer, double spread);

}
