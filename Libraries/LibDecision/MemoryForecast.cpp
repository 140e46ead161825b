// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/MemoryForecast.h>
#include <algorithm>
#include <cmath>

namespace Spurtide {

namespace {

/// A logistic curve with this slope approximates the normal distribution to within 0.01.
constexpr double LOGISTIC_SLOPE = 1.702;

double upper_tail(double length, double median, double spread)
{
    if (length <= 0)
        return 1;
    return 1 / (1 + std::exp(LOGISTIC_SLOPE * std::log(length / median) / spread));
}

}

double probability_of_exceeding(double length, AnswerForecast const& answer, double spread)
{
    if (length >= answer.maximum_tokens)
        return 0;
    if (length <= answer.generated_tokens)
        return 1;
    auto const median = std::max(1.0, answer.expected_tokens);
    return upper_tail(length, median, spread) / upper_tail(answer.generated_tokens, median, spread);
}

void MemoryForecast::add(AnswerForecast const& answer, Duration per_token)
{
    auto const tokens_per_step = to_seconds(STEP) / std::max(1e-6, to_seconds(per_token));
    auto const median = std::max(1.0, answer.expected_tokens);
    auto const reached_probability = upper_tail(answer.generated_tokens, median, this->options.spread);
    for (std::size_t i = 0; i < STEPS; ++i) {
        auto const length = answer.generated_tokens + tokens_per_step * static_cast<double>(i);
        if (length >= answer.maximum_tokens)
            return;
        auto const continuation_probability = i == 0 ? 1.0 : upper_tail(length, median, this->options.spread) / reached_probability;
        if (continuation_probability < 0.001)
            return;
        auto const held = answer.prompt_tokens + length;
        this->tokens[i] += continuation_probability * held;
        this->answer_tokens[i] += continuation_probability * length;
        this->variance[i] += continuation_probability * (1 - continuation_probability) * held * held;
    }
}

double MemoryForecast::committed(double expected, double variance_sum, double answers) const
{
    return expected + this->options.progress_error * answers + this->options.deviations * std::sqrt(variance_sum);
}

double MemoryForecast::committed_peak() const
{
    double peak = 0;
    for (std::size_t i = 0; i < STEPS; ++i)
        peak = std::max(peak, this->committed(this->tokens[i], this->variance[i], this->answer_tokens[i]));
    return peak;
}

bool MemoryForecast::fits(MemoryForecast const& other, std::size_t delay_steps, double memory_tokens, double count) const
{
    for (std::size_t i = 0; i + delay_steps < STEPS; ++i) {
        auto const expected = this->tokens[i + delay_steps] + count * other.tokens[i];
        auto const variance_sum = this->variance[i + delay_steps] + count * other.variance[i];
        if (this->committed(expected, variance_sum, this->answer_tokens[i + delay_steps] + count * other.answer_tokens[i]) > memory_tokens)
            return false;
    }
    return true;
}

bool MemoryForecast::has_capacity_for(MemoryForecast const& other, Duration delay, double memory_tokens, double count) const
{
    return this->fits(other, std::min(STEPS - 1, static_cast<std::size_t>(std::max(Duration::zero(), delay) / STEP)), memory_tokens, count);
}

Duration MemoryForecast::shortest_delay(MemoryForecast const& other, double memory_tokens) const
{
    for (std::size_t delay = 0; delay < STEPS; ++delay) {
        if (this->fits(other, delay, memory_tokens, 1))
            return STEP * static_cast<std::int64_t>(delay);
    }
    return STEP * static_cast<std::int64_t>(STEPS);
}

double MemoryForecast::peak() const
{
    return *std::max_element(this->tokens.begin(), this->tokens.end());
}

}
