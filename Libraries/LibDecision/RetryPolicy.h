// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibDecision/RouteTable.h>
#include <string_view>

namespace Spurtide {

/// How a send to an upstream ended, as far as can be told.
enum class SendOutcome {
    /// No connection came up: nothing was sent.
    NotSent,
    /// The upstream said that it did not run the request.
    NotExecuted,
    /// A whole, signed answer.
    Success,
    /// The upstream's own failure, signed or not.
    OwnFailure,
    /// Sent, and what came back was nothing, broken off, or not this request's answer.
    Lost,
};

/// What to do with a request after one of its sends ended.
enum class NextStep {
    /// Hand the upstream's answer on.
    Relay,
    /// Send it to another upstream.
    SendElsewhere,
    /// Tell the caller that it has not run, and when to come back.
    RefuseNotRun,
    /// Tell the caller that it may have run.
    FailMayHaveRun,
};

std::string_view to_string(SendOutcome end);
std::string_view to_string(NextStep step);

/// What is known of a request when a send ended.
struct SendHistory {
    RouteKind kind = RouteKind::Repeatable;
    /// Whether an earlier send may have run.
    enum class Earlier {
        HasNotRun,
        MayHaveRun,
    } earlier
        = Earlier::HasNotRun;
    /// Whether attempts, time and budget are left for another send.
    enum class AnotherSend {
        Allowed,
        Spent,
    } another_send
        = AnotherSend::Spent;
};

/// The one table that decides what follows a send. At most once: what may have run is not sent again unless
/// it is repeatable, and is never called not run.
NextStep next_step(SendOutcome end, SendHistory const& history);

}
