// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Result.h>
#include <string_view>

namespace Spurtide {

/// Where one request stands. Terminal phases are Finished, Refused, Cancelled and Failed.
enum class RequestPhase {
    Received,
    Admitted,
    SlotPromised,
    Prefilling,
    CacheHeld,
    Transferring,
    Decoding,
    Finished,
    Refused,
    Cancelled,
    Failed,
};

/// What can happen to a request.
enum class RequestEvent {
    Admit,
    PromiseSlot,
    DispatchPrefill,
    HoldCache,
    StartTransfer,
    StartDecode,
    Finish,
    Refuse,
    CallerLeft,
    LoseUpstream,
    GiveUp,
    Dispatch,
};

/// What a caller is told in the end. Decided by the state table alone.
enum class RequestOutcome {
    Pending,
    Answered,
    RefusedNotRun,
    FailedMayHaveRun,
    Cancelled,
};

/// An event that the table does not allow in a phase.
struct TransitionError {
    RequestPhase phase;
    RequestEvent event;
};

std::string_view to_string(RequestPhase phase);
std::string_view to_string(RequestEvent event);
std::string_view to_string(RequestOutcome outcome);

/// The state of one request, from arrival to its final answer.
class RequestState {
public:
    /// Moves to the next phase, or says that the event cannot happen now and changes nothing.
    Result<RequestPhase, TransitionError> apply(RequestEvent event);

    RequestPhase phase() const { return this->current; }
    bool is_terminal() const;

    /// True once anything may have left for an upstream.
    bool was_dispatched() const { return this->dispatched; }

    RequestOutcome outcome() const;

private:
    RequestPhase current = RequestPhase::Received;
    bool dispatched = false;
};

}
