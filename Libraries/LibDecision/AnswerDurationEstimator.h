// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <LibDecision/EventSize.h>
#include <LibDecision/RecentMaximum.h>
#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Spurtide {

/// Estimates how long the answers of a service take at most, from the streams of this VM.
class AnswerDurationEstimator {
public:
    /// A stream as its VM has seen it. The maximum and the tokens per event are those of its caller and of the configuration.
    struct Stream {
        std::string_view service;
        std::int64_t events = 0;
        std::int64_t maximum_tokens = 0;
        std::int64_t announced_tokens_per_event = 1;
        /// Engines that it has run on.
        std::int64_t engines = 1;
    };

    /// Call with each event: a stream of more events than its maximum length allows shows that events hold fewer tokens.
    void note_events(Stream const& stream) { this->service(stream.service).size.note_events(stream.events, stream.maximum_tokens, stream.announced_tokens_per_event, stream.engines); }

    /// Adds the time from a send to the first event.
    void note_begin(std::string_view service, Duration wait, MonotonicTime now) { this->service(service).slowest_begin.add(to_seconds(wait), now); }

    /// Adds the time from the first event of a stream that ended whole to its last.
    void note_complete(Stream const& stream, Duration duration, MonotonicTime now)
    {
        auto& seen = this->service(stream.service);
        seen.size.note_complete(stream.announced_tokens_per_event);
        if (stream.events >= MINIMUM_EVENTS && stream.events * stream.announced_tokens_per_event >= MINIMUM_TOKENS && duration > Duration::zero()) {
            seen.slowest_pause.add(to_seconds(duration) / static_cast<double>(stream.events - 1), now);
            seen.pace_measured_at = now;
        }
    }

    /// How long ago the last answer ended that counts for the slowest pace; empty if none does.
    std::optional<Duration> pace_age(std::string_view service, MonotonicTime now) const
    {
        auto const found = this->services.find(service);
        if (found == this->services.end() || !found->second.slowest_pause.value())
            return {};
        return std::chrono::duration_cast<Duration>(now - found->second.pace_measured_at);
    }

    /// The slowest recent time from a send to the first event; zero if none is known.
    Duration slowest_begin(std::string_view service) const
    {
        auto const found = this->services.find(service);
        return from_seconds(found == this->services.end() ? 0 : found->second.slowest_begin.value().value_or(0));
    }

    /// The time from the first event to the last of an answer of this many tokens at the slowest recent pace; empty if no pace
    /// is known, or no number of tokens.
    std::optional<Duration> longest(std::string_view service, std::int64_t maximum_tokens, std::int64_t announced_tokens_per_event) const
    {
        auto const found = this->services.find(service);
        if (found == this->services.end() || maximum_tokens <= 0)
            return {};
        auto const pause = found->second.slowest_pause.value();
        if (!pause)
            return {};
        auto const events = found->second.size.most_events(maximum_tokens, announced_tokens_per_event);
        return from_seconds(std::min(*pause * static_cast<double>(events - 1), LONGEST_SECONDS));
    }

private:
    struct Service {
        EventSize size;
        /// In seconds.
        RecentMaximum slowest_begin;
        /// Mean time between the events of a stream, in seconds.
        RecentMaximum slowest_pause;
        MonotonicTime pace_measured_at {};
    };

    Service& service(std::string_view name)
    {
        auto const found = this->services.find(name);
        return found == this->services.end() ? this->services.emplace(name, Service {}).first->second : found->second;
    }

    /// Shorter answers are too noisy to estimate the time between events.
    static constexpr std::int64_t MINIMUM_EVENTS = 3;
    static constexpr std::int64_t MINIMUM_TOKENS = 8;
    /// Callers may state numbers whose duration overflows; no answer takes as long as a day.
    static constexpr double LONGEST_SECONDS = 86'400;

    std::map<std::string, Service, std::less<>> services;
};

}
