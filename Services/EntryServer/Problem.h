// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <LibDecision/RequestState.h>
#include <string>
#include <string_view>

namespace Spurtide {

/// Every way in which a caller's request can end without its answer.
enum class ProblemKind {
    InvalidBody,
    MissingKey,
    UnknownKey,
    UnknownModel,
    UnknownService,
    PromptTooLong,
    BodyTooLarge,
    UnknownPath,
    RateLimited,
    Overloaded,
    NoUpstream,
    NotReady,
    Draining,
    AlreadySubmitted,
    ClaimInDoubt,
    UpstreamFailed,
    DeadlinePassed,
    StreamGone,
    TakenOver,
    CallerGone,
};

/// One refusal or failure as the caller sees it.
struct Problem {
    ProblemKind kind;
    std::string detail;
    /// NotRun only where the state table says so.
    RequestOutcome outcome = RequestOutcome::RefusedNotRun;
    /// When to come back; zero where coming back does not help.
    Duration retry_after {};
};

std::string_view to_string(ProblemKind kind);
int status_of(ProblemKind kind);

/// The JSON body: {"error": {"message", "type", "code", "outcome", "retry_after_milliseconds", "request_id"}}.
std::string problem_body(Problem const& problem, std::string_view request);

}
