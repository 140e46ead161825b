// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibWire/WireCallPermits.h>

namespace Spurtide {

wire::CallRefusalReason wire_reason(CallRefusalReason reason)
{
    switch (reason) {
    case CallRefusalReason::NoUpstream:
        return wire::CALL_REFUSAL_REASON_NO_UPSTREAM;
    case CallRefusalReason::CannotMeetTarget:
        return wire::CALL_REFUSAL_REASON_CANNOT_MEET_TARGET;
    case CallRefusalReason::CannotMeetTimeout:
        return wire::CALL_REFUSAL_REASON_CANNOT_MEET_TIMEOUT;
    case CallRefusalReason::Displaced:
        return wire::CALL_REFUSAL_REASON_DISPLACED;
    case CallRefusalReason::QueueFull:
        return wire::CALL_REFUSAL_REASON_QUEUE_FULL;
    }
    return wire::CALL_REFUSAL_REASON_UNSPECIFIED;
}

CallRefusalReason read_reason(wire::CallRefusalReason reason)
{
    switch (reason) {
    case wire::CALL_REFUSAL_REASON_CANNOT_MEET_TARGET:
        return CallRefusalReason::CannotMeetTarget;
    case wire::CALL_REFUSAL_REASON_CANNOT_MEET_TIMEOUT:
        return CallRefusalReason::CannotMeetTimeout;
    case wire::CALL_REFUSAL_REASON_DISPLACED:
        return CallRefusalReason::Displaced;
    case wire::CALL_REFUSAL_REASON_QUEUE_FULL:
        return CallRefusalReason::QueueFull;
    default:
        return CallRefusalReason::NoUpstream;
    }
}

wire::CallOutcome wire_outcome(CallOutcome outcome)
{
    switch (outcome) {
    case CallOutcome::Answered:
        return wire::CALL_OUTCOME_ANSWERED;
    case CallOutcome::Shed:
        return wire::CALL_OUTCOME_SHED;
    case CallOutcome::Failed:
        return wire::CALL_OUTCOME_FAILED;
    case CallOutcome::Unused:
        return wire::CALL_OUTCOME_UNUSED;
    }
    return wire::CALL_OUTCOME_UNUSED;
}

CallOutcome read_outcome(wire::CallOutcome outcome)
{
    switch (outcome) {
    case wire::CALL_OUTCOME_ANSWERED:
        return CallOutcome::Answered;
    case wire::CALL_OUTCOME_SHED:
        return CallOutcome::Shed;
    case wire::CALL_OUTCOME_FAILED:
        return CallOutcome::Failed;
    default:
        return CallOutcome::Unused;
    }
}

}
