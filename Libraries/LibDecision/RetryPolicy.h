// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibDecision/RouteTable.h>
#include <string_view>

namespace Spurtide {

/// The outcome of sending a request to an upstream.
enum class SendOutcome {
    /// No connection was established, so nothing was sent.
    NotSent,
    /// The upstream reported that it did not execute the request.
    NotExecuted,
    /// A complete, signed answer.
    Success,
    /// The upstream reported a failure, signed or not.
    OwnFailure,
    /// The request was sent, but the answer is missing, truncated or belongs to another request.
    Lost,
};

/// What to do with a request after a send has ended.
enum class NextStep {
    /// Relay the upstream's answer.
    Relay,
    /// Send the request to another upstream.
    SendElsewhere,
    /// Report that the request was not executed and when to retry.
    RefuseNotRun,
    /// Report that the request may have been executed.
    FailMayHaveRun,
};

std::string_view to_string(SendOutcome end);
std::string_view to_string(NextStep step);

/// What is known about a request when a send ends.
struct SendHistory {
    RouteKind kind = RouteKind::Repeatable;
    /// Whether an earlier send may have been executed.
    enum class Earlier {
        HasNotRun,
        MayHaveRun,
    } earlier
        = Earlier::HasNotRun;
    /// Whether attempts, time and retry budget are left for another send.
    enum class AnotherSend {
        Allowed,
        Spent,
    } another_send
        = AnotherSend::Spent;
};

/// Decides what follows a send. Guarantees at-most-once execution: a request that may have been executed is only sent
/// again if it is repeatable, and is never reported as not run.
NextStep next_step(SendOutcome end, SendHistory const& history);

}
