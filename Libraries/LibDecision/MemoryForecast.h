// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <array>
#include <cstddef>
#include <cstdint>

namespace Spurtide {

/// The expected memory use of a running or future answer.
struct AnswerForecast {
    /// Tokens held before the first output token.
    double prompt_tokens = 0;
    /// Output tokens generated so far.
    double generated_tokens = 0;
    /// Median of the expected total length.
    double expected_tokens = 1;
    /// Upper bound of the total length.
    double maximum_tokens = 1;
};

/// Forecasts the memory use of an engine over the next seconds. An answer's memory grows with each token and is freed
/// when it ends; lengths are modelled as log-normally distributed around their median.
class MemoryForecast {
public:
    static constexpr std::size_t STEPS = 32;
    static constexpr Duration STEP = milliseconds(200);

    struct Options {
        /// Standard deviation of the logarithm of the ratio of actual to expected length.
        double spread = 0.6;
        /// Number of standard deviations of the total that are reserved on top of the expected use, so that answers
        /// that grow longer than expected are not preempted. Has little effect where memory is mostly used by prompts,
        /// whose length is known, and more where it is used by answers.
        double deviations = 0;
        /// Fraction by which the actual number of generated tokens may exceed the estimate from the step time.
        double progress_error = 0;
    };

    MemoryForecast() = default;
    explicit MemoryForecast(Options options)
        : options(options)
    {
    }

    /// Adds an answer that is generated at the given time per token.
    void add(AnswerForecast const& answer, Duration per_token);
    /// Whether the given number of copies of another forecast, started after a delay, fits into the memory next to this
    /// one.
    bool has_capacity_for(MemoryForecast const& other, Duration delay, double memory_tokens, double count = 1) const;
    /// The shortest delay after which the other forecast fits; the end of the horizon if there is none.
    Duration shortest_delay(MemoryForecast const& other, double memory_tokens) const;
    double tokens_at(std::size_t step) const { return this->tokens.at(step); }
    /// Maximum expected use within the horizon.
    double peak() const;
    /// Like peak(), with the memory reserved for deviations from what is expected.
    double committed_peak() const;

private:
    double committed(double expected, double variance, double answers) const;
    bool fits(MemoryForecast const& other, std::size_t delay_steps, double memory_tokens, double count) const;

    Options options {};
    std::array<double, STEPS> tokens {};
    std::array<double, STEPS> variance {};
    /// The part of the expected use that consists of output tokens.
    std::array<double, STEPS> answer_tokens {};
};

/// The probability that an answer that has reached its current length exceeds the given length.
double probability_of_exceeding(double length, AnswerForecast const& answer, double spread);

}
