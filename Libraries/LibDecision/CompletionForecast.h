// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <LibDecision/MemoryForecast.h>
#include <optional>

namespace Spurtide {

/// Whether an answer is complete by the time it has to be.
enum class CompletionOutlook {
    /// Not even at its expected length.
    Missed,
    /// At its expected length, but not at its likely greatest length.
    Expected,
    /// At its likely greatest length, or there is no limit.
    Likely,
};

/// The remaining output tokens of an answer: at its expected length, and at a length that nine of ten answers do not exceed.
struct RemainingLength {
    double expected_tokens = 0;
    double likely_greatest_tokens = 0;
};

/// The length is log-normally distributed around the forecast's median, with the given standard deviation of its logarithm, up
/// to its maximum.
RemainingLength remaining_length(AnswerForecast const& answer, double spread);

/// Outlook of an answer whose first token comes at the given time and the rest at the given time per token.
CompletionOutlook completion_outlook(RemainingLength const& length, Duration per_token, MonotonicTime first_token, std::optional<MonotonicTime> finish_by);

/// Value of placing an answer on an engine of the given relative pace (time per token, compared with a typical engine), as a
/// fraction of an engine's capacity. Answers that need most of their time prefer fast engines; those that need little
/// of it prefer slow ones, which leaves fast engines to the others. The urgency is the likely time at a typical engine divided by the
/// time left.
double pace_preference(double relative_pace, double urgency);

}
