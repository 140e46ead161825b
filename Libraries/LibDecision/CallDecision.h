// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <string>
#include <string_view>
#include <variant>

namespace Spurtide {

/// A place at one upstream for one call.
struct CallGrant {
    std::string request;
    std::string upstream;
    Duration waited {};
    /// Predicted time from the ask to the response.
    Duration predicted {};
    /// Whether the call waited as late, behind those that could still meet their targets.
    bool is_late = false;
};

/// Why a call is refused.
enum class CallRefusalReason {
    /// No upstream that the call may be sent to is listed.
    NoUpstream,
    /// It would miss its latency target, and its caller can retry.
    CannotMeetTarget,
    /// It cannot be answered before its timeout.
    CannotMeetTimeout,
    /// Calls of higher rank took its place in the queue.
    Displaced,
    QueueFull,
};

std::string_view to_string(CallRefusalReason reason);

/// A call that must not be sent now.
struct CallRefusal {
    std::string request;
    CallRefusalReason reason = CallRefusalReason::NoUpstream;
    /// When there is expected to be capacity for the call. Different callers are told different times.
    Duration retry_after {};
    Duration waited {};
    Duration predicted {};
};

using CallDecision = std::variant<CallGrant, CallRefusal>;

}
