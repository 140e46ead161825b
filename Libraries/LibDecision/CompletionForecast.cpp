// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/CompletionForecast.h>
#include <algorithm>
#include <cmath>

namespace Spurtide {

namespace {

/// The 90th percentile of the normal distribution.
constexpr double DEVIATIONS_OF_LIKELY_GREATEST = 1.2816;
/// An answer that exceeded its expected length is taken to last this fraction of it longer, since its end is not known.
constexpr double MINIMUM_REST = 0.2;
/// Bounds of the relative pace, so that an engine that hangs does not outweigh free memory.
constexpr double MINIMUM_RELATIVE_PACE = 0.5;
constexpr double MAXIMUM_RELATIVE_PACE = 2;

}

RemainingLength remaining_length(AnswerForecast const& answer, double spread)
{
    auto const expected = std::min(answer.expected_tokens, answer.maximum_tokens);
    auto const greatest = std::min(answer.expected_tokens * std::exp(DEVIATIONS_OF_LIKELY_GREATEST * spread), answer.maximum_tokens);
    auto const least = MINIMUM_REST * expected;
    return { std::max(expected - answer.generated_tokens, least), std::max(greatest - answer.generated_tokens, least) };
}

CompletionOutlook completion_outlook(RemainingLength const& length, Duration per_token, MonotonicTime first_token, std::optional<MonotonicTime> finish_by)
{
    if (!finish_by)
        return CompletionOutlook::Likely;
    auto const pace = to_seconds(per_token);
    if (first_token + from_seconds(length.likely_greatest_tokens * pace) <= *finish_by)
        return CompletionOutlook::Likely;
    return first_token + from_seconds(length.expected_tokens * pace) <= *finish_by ? CompletionOutlook::Expected : CompletionOutlook::Missed;
}

double pace_preference(double relative_pace, double urgency)
{
    auto const slower = std::clamp(relative_pace, MINIMUM_RELATIVE_PACE, MAXIMUM_RELATIVE_PACE) - 1;
    return slower * (1 - 2 * std::clamp(urgency, 0.0, 1.0));
}

}
