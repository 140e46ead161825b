// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Result.h>
#include <string_view>

namespace Spurtide {

/// The phase of a request. Finished, Refused, Cancelled and Failed are terminal.
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

/// Events that change the phase of a request.
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

/// The result reported to the caller, determined only by the state table.
enum class RequestOutcome {
    Pending,
    Answered,
    RefusedNotRun,
    FailedMayHaveRun,
    Cancelled,
};

/// An event that is not allowed in the current phase.
struct TransitionError {
    RequestPhase phase;
    RequestEvent event;
};

std::string_view to_string(RequestPhase phase);
std::string_view to_string(RequestEvent event);
std::string_view to_string(RequestOutcome outcome);

/// The state of a request, from arrival to its final answer.
class RequestState {
public:
    /// Applies the event. Returns an error and leaves the state unchanged if the event is not allowed in this phase.
    Result<RequestPhase, TransitionError> apply(RequestEvent event);

    RequestPhase phase() const { return this->current; }
    bool is_terminal() const;

    /// Whether anything may have been sent to an upstream.
    bool was_dispatched() const { return this->dispatched; }

    RequestOutcome outcome() const;

private:
    RequestPhase current = RequestPhase::Received;
    bool dispatched = false;
};

}
