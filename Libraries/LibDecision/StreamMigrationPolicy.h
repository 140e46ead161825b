// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace Spurtide {

/// Why a running stream is moved to another engine.
enum class MigrationCause {
    /// The engine is leaving, and the response will not be complete before it stops.
    EngineLeaving,
    /// At the engine's present pace the response will not be complete in time.
    MissesDeadline,
    /// The engine has stopped sending events.
    Stalled,
};

std::string_view to_string(MigrationCause cause);

/// What a VM knows of a stream that it relays.
struct RunningStream {
    /// Events and output tokens relayed so far, from all engines that ran the stream.
    std::int64_t events = 0;
    std::int64_t tokens = 0;
    /// Events and output tokens that the present engine sent after its first piece.
    std::int64_t later_events_here = 0;
    std::int64_t later_tokens_here = 0;
    /// When the present engine's first piece arrived, and when the stream's last event had been passed on.
    MonotonicTime first_event_here;
    MonotonicTime last_event;
    /// The caller has not taken the last event yet, so that the engine's further ones are not read.
    bool is_waiting_for_caller = false;
    /// Median of the expected length in output tokens; 0 if unknown.
    std::int64_t expected_tokens = 0;
    /// Upper bound of the length; 0 if there is none.
    std::int64_t maximum_tokens = 0;
    /// Time by which the response has to be complete.
    MonotonicTime finish_by;
    /// Longest acceptable pause between two events; zero if there is no limit.
    Duration longest_pause {};
    /// Since when this VM has known that the engine is leaving; empty if it is not.
    std::optional<MonotonicTime> leaving_since {};
    /// When a leaving engine stops, if that is known.
    std::optional<MonotonicTime> serves_until {};
    /// Moves that were begun.
    int moves = 0;
    /// Attempts since the last successful move that found no target or failed, and when the last one ended.
    int failed_attempts = 0;
    std::optional<MonotonicTime> last_attempt {};
};

/// A move to begin now.
struct MigrationDecision {
    MigrationCause cause = MigrationCause::EngineLeaving;
    /// The longest time that the move may take.
    Duration time_limit {};
    /// Expected time until the response is complete at the present engine; empty if unknown.
    std::optional<Duration> remaining {};
    /// Events relayed so far.
    std::int64_t events = 0;
};

/// Decides whether a running stream is moved to another engine. Lengths are modelled as log-normally distributed around their
/// median; the pace is that of the stream's own events.
class StreamMigrationPolicy {
public:
    struct Options {
        /// Standard deviation of the logarithm of the ratio of actual to expected length.
        double length_spread = 0.6;
        /// How long an engine serves what it runs after it announced that it leaves.
        Duration service_after_announcement = seconds(3);
        /// Moves of one stream. A stream that is moved more often gains little, and each move costs a repeated send.
        int maximum_moves = 2;
        /// Moves of one VM at a time. Copies to one engine share its link.
        std::size_t maximum_moves_per_machine = 4;
        /// Delays of this length are noise: engines slow down by 2.5 times for 600 ms, which costs 360 ms, and events are delayed in
        /// transit.
        Duration noise = milliseconds(500);
        /// The pace is measured over at least this time before it decides anything.
        Duration minimum_observation = seconds(1);
        /// A stream that ends within this time is not moved; a move takes about as long.
        Duration ends_soon = milliseconds(300);
        /// With less time left, a move does not meet the deadline either.
        Duration minimum_time_left = milliseconds(800);
        /// The longest time of a move, whatever its cause allows.
        Duration longest_move = seconds(2);
        /// The least time that a move is given where its cause leaves none.
        Duration shortest_move = milliseconds(600);
        /// A stream stalls if its pause is this many times the engine's time between events.
        double stalled_paces = 5;
        /// Time between two attempts of a stream. Doubles with each failed attempt up to the longest one: where no engine is fast enough,
        /// each slow stream would go on asking the keeper. A leaving engine leaves no time for that.
        Duration retry_interval = milliseconds(400);
        Duration longest_retry_interval = milliseconds(3200);
    };

    explicit StreamMigrationPolicy(Options options)
        : options(options)
    {
    }

    /// Whether to begin a move of a stream that has none, while this VM makes the given number of moves of other streams.
    std::optional<MigrationDecision> decide(RunningStream const& stream, std::size_t moves_on_machine, MonotonicTime now) const;
    /// Whether the stream will probably end before a move is complete.
    bool is_about_to_end(RunningStream const& stream) const;

private:
    std::optional<MigrationDecision> decide_leaving(RunningStream const& stream, MonotonicTime now) const;
    std::optional<MigrationDecision> decide_stalled(RunningStream const& stream, MonotonicTime now) const;
    std::optional<MigrationDecision> decide_deadline(RunningStream const& stream, MonotonicTime now) const;
    Duration retry_interval(RunningStream const& stream) const;
    /// Output tokens still to come with the given probability at most; empty if the length is not known.
    std::optional<double> remaining_tokens(RunningStream const& stream, double quantile) const;

    Options options;
};

}
