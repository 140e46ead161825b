// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/StreamMigrationPolicy.h>
#include <algorithm>
#include <array>
#include <cmath>

namespace Spurtide {

namespace {

constexpr double MEDIAN = 0.5;
constexpr double LIKELY_LATEST = 0.9;
/// A logistic curve with this slope approximates the normal distribution to within 0.01.
constexpr double LOGISTIC_SLOPE = 1.702;
/// With fewer events, neither the pace nor a pause means anything.
constexpr std::int64_t MINIMUM_EVENTS = 3;

Duration between(MonotonicTime from, MonotonicTime until) { return std::chrono::duration_cast<Duration>(until - from); }

/// Seconds per output token as the stream was received; empty before there is a measurement.
std::optional<double> seconds_per_token(RunningStream const& stream)
{
    auto const span = to_seconds(between(stream.first_event_here, stream.last_event));
    if (stream.later_tokens_here <= 0 || span <= 0)
        return {};
    return span / static_cast<double>(stream.later_tokens_here);
}

}

std::string_view to_string(MigrationCause cause)
{
    constexpr std::array<std::string_view, 3> NAMES = { "engine_leaving", "misses_deadline", "stalled" };
    return NAMES.at(static_cast<std::size_t>(cause));
}

// The logistic approximation of the log-normal distribution, given that the stream is longer than its present length, has a closed
// form for its quantiles.
std::optional<double> StreamMigrationPolicy::remaining_tokens(RunningStream const& stream, double quantile) const
{
    auto const generated = static_cast<double>(stream.tokens);
    auto const maximum = static_cast<double>(stream.maximum_tokens);
    std::optional<double> total;
    if (stream.expected_tokens > 0) {
        auto const median = static_cast<double>(stream.expected_tokens);
        auto const exponent = LOGISTIC_SLOPE / this->options.length_spread;
        auto const reached = generated > 0 ? std::pow(generated / median, exponent) : 0;
        total = median * std::pow((1 + reached) / (1 - quantile) - 1, 1 / exponent);
    }
    if (stream.maximum_tokens > 0)
        total = std::min(total.value_or(maximum), maximum);
    if (!total)
        return {};
    return std::max(0.0, *total - generated);
}

bool StreamMigrationPolicy::is_about_to_end(RunningStream const& stream) const
{
    auto const per_token = seconds_per_token(stream);
    auto const tokens = this->remaining_tokens(stream, LIKELY_LATEST);
    return per_token && tokens && from_seconds(*per_token * *tokens) <= this->options.ends_soon;
}

std::optional<MigrationDecision> StreamMigrationPolicy::decide(RunningStream const& stream, std::size_t moves_on_machine, MonotonicTime now) const
{
    if (stream.moves >= this->options.maximum_moves || moves_on_machine >= this->options.maximum_moves_per_machine)
        return {};
    if (stream.last_attempt && now - *stream.last_attempt < this->retry_interval(stream))
        return {};
    if (between(now, stream.finish_by) < this->options.minimum_time_left || this->is_about_to_end(stream))
        return {};
    auto decision = this->decide_leaving(stream, now);
    // A caller that reads slowly says nothing about the engine.
    if (!decision && !stream.is_waiting_for_caller)
        decision = this->decide_stalled(stream, now);
    if (!decision && !stream.is_waiting_for_caller)
        decision = this->decide_deadline(stream, now);
    if (decision)
        decision->events = stream.events;
    return decision;
}

Duration StreamMigrationPolicy::retry_interval(RunningStream const& stream) const
{
    auto interval = this->options.retry_interval;
    for (int i = 1; i < stream.failed_attempts && !stream.leaving_since && interval < this->options.longest_retry_interval; ++i)
        interval *= 2;
    return std::min(interval, this->options.longest_retry_interval);
}

std::optional<MigrationDecision> StreamMigrationPolicy::decide_leaving(RunningStream const& stream, MonotonicTime now) const
{
    if (!stream.leaving_since)
        return {};
    auto const serves_until = stream.serves_until.value_or(*stream.leaving_since + this->options.service_after_announcement);
    auto const per_token = seconds_per_token(stream);
    auto const latest = this->remaining_tokens(stream, LIKELY_LATEST);
    // The engine aborts what is still running, so the response has to end in time with high probability.
    if (per_token && latest && stream.last_event + from_seconds(*per_token * *latest) <= serves_until)
        return {};
    MigrationDecision decision;
    decision.cause = MigrationCause::EngineLeaving;
    decision.time_limit = std::clamp(between(now, serves_until), this->options.shortest_move, this->options.longest_move);
    if (auto const median = this->remaining_tokens(stream, MEDIAN); median && per_token)
        decision.remaining = from_seconds(*per_token * *median);
    return decision;
}

std::optional<MigrationDecision> StreamMigrationPolicy::decide_stalled(RunningStream const& stream, MonotonicTime now) const
{
    if (stream.longest_pause <= Duration::zero() || stream.later_events_here < MINIMUM_EVENTS)
        return {};
    auto const pause = between(stream.last_event, now);
    auto const per_event = between(stream.first_event_here, stream.last_event) / stream.later_events_here;
    bool const is_long = pause > stream.longest_pause / 2 && pause > from_seconds(to_seconds(per_event) * this->options.stalled_paces);
    if (!is_long || pause <= per_event + this->options.noise)
        return {};
    MigrationDecision decision;
    decision.cause = MigrationCause::Stalled;
    decision.time_limit = std::clamp(stream.longest_pause - pause, this->options.shortest_move, this->options.longest_move);
    return decision;
}

std::optional<MigrationDecision> StreamMigrationPolicy::decide_deadline(RunningStream const& stream, MonotonicTime now) const
{
    // The maximum alone says nothing about the length.
    if (stream.expected_tokens <= 0 || stream.later_events_here < MINIMUM_EVENTS)
        return {};
    auto const observed = between(stream.first_event_here, now);
    if (observed < this->options.minimum_observation)
        return {};
    auto const tokens = this->remaining_tokens(stream, MEDIAN);
    // Takes a part of the observed time for noise, so that the engine's own pace alone has to miss the deadline.
    auto const per_token = to_seconds(observed - this->options.noise) / static_cast<double>(stream.later_tokens_here);
    auto const remaining = from_seconds(per_token * tokens.value_or(0));
    auto const time_left = between(now, stream.finish_by);
    if (remaining <= time_left)
        return {};
    MigrationDecision decision;
    decision.cause = MigrationCause::MissesDeadline;
    decision.time_limit = std::clamp(time_left / 2, Duration::zero(), this->options.longest_move);
    decision.remaining = remaining;
    return decision;
}

}
