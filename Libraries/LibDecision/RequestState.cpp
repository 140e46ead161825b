// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/RequestState.h>
#include <algorithm>
#include <array>

namespace Spurtide {

namespace {

struct Transition {
    RequestPhase from;
    RequestEvent event;
    RequestPhase to;
};

using enum RequestPhase;

// A plain service call has neither prefill nor transfer and goes from Admitted to Decoding by Dispatch.
constexpr std::array TRANSITIONS = {
    Transition { Received, RequestEvent::Admit, Admitted },
    Transition { Received, RequestEvent::Refuse, Refused },
    Transition { Received, RequestEvent::CallerLeft, Cancelled },
    Transition { Admitted, RequestEvent::PromiseSlot, SlotPromised },
    Transition { Admitted, RequestEvent::Dispatch, Decoding },
    Transition { Admitted, RequestEvent::Refuse, Refused },
    Transition { Admitted, RequestEvent::CallerLeft, Cancelled },
    Transition { SlotPromised, RequestEvent::DispatchPrefill, Prefilling },
    Transition { SlotPromised, RequestEvent::Refuse, Refused },
    Transition { SlotPromised, RequestEvent::CallerLeft, Cancelled },
    Transition { Prefilling, RequestEvent::HoldCache, CacheHeld },
    Transition { Prefilling, RequestEvent::LoseUpstream, Admitted },
    Transition { Prefilling, RequestEvent::CallerLeft, Cancelled },
    Transition { Prefilling, RequestEvent::GiveUp, Failed },
    Transition { CacheHeld, RequestEvent::StartTransfer, Transferring },
    Transition { CacheHeld, RequestEvent::LoseUpstream, Admitted },
    Transition { CacheHeld, RequestEvent::CallerLeft, Cancelled },
    Transition { CacheHeld, RequestEvent::GiveUp, Failed },
    Transition { Transferring, RequestEvent::StartDecode, Decoding },
    Transition { Transferring, RequestEvent::LoseUpstream, Admitted },
    Transition { Transferring, RequestEvent::CallerLeft, Cancelled },
    Transition { Transferring, RequestEvent::GiveUp, Failed },
    Transition { Decoding, RequestEvent::Finish, Finished },
    Transition { Decoding, RequestEvent::LoseUpstream, Admitted },
    Transition { Decoding, RequestEvent::CallerLeft, Cancelled },
    Transition { Decoding, RequestEvent::GiveUp, Failed },
    // A request that was executed before and cannot be placed again fails; it is never refused as not run.
    Transition { Admitted, RequestEvent::GiveUp, Failed },
    Transition { SlotPromised, RequestEvent::GiveUp, Failed },
};

bool is_dispatch(RequestEvent event)
{
    return event == RequestEvent::DispatchPrefill || event == RequestEvent::Dispatch;
}

}

Result<RequestPhase, TransitionError> RequestState::apply(RequestEvent event)
{
    // After a dispatch "not run" would be wrong in any phase.
    if (event == RequestEvent::Refuse && this->dispatched)
        return Failure { TransitionError { this->current, event } };
    auto const matches = [&](Transition const& transition) { return transition.from == this->current && transition.event == event; };
    auto const* const found = std::find_if(TRANSITIONS.begin(), TRANSITIONS.end(), matches);
    if (found == TRANSITIONS.end())
        return Failure { TransitionError { this->current, event } };
    this->current = found->to;
    this->dispatched = this->dispatched || is_dispatch(event);
    return this->current;
}

bool RequestState::is_terminal() const
{
    return this->outcome() != RequestOutcome::Pending;
}

RequestOutcome RequestState::outcome() const
{
    switch (this->current) {
    case Finished:
        return RequestOutcome::Answered;
    case Refused:
        return RequestOutcome::RefusedNotRun;
    case Cancelled:
        return RequestOutcome::Cancelled;
    case Failed:
        return RequestOutcome::FailedMayHaveRun;
    default:
        return RequestOutcome::Pending;
    }
}

std::string_view to_string(RequestPhase phase)
{
    constexpr std::array<std::string_view, 11> NAMES = { "received", "admitted", "slot_promised", "prefilling", "cache_held", "transferring", "decoding", "finished", "refused", "cancelled", "failed" };
    return NAMES.at(static_cast<std::size_t>(phase));
}

std::string_view to_string(RequestEvent event)
{
    constexpr std::array<std::string_view, 12> NAMES = { "admit", "promise_slot", "dispatch_prefill", "hold_cache", "start_transfer", "start_decode", "finish", "refuse", "caller_left", "lose_upstream", "give_up", "dispatch" };
    return NAMES.at(static_cast<std::size_t>(event));
}

std::string_view to_string(RequestOutcome outcome)
{
    constexpr std::array<std::string_view, 5> NAMES = { "pending", "answered", "not_run", "may_have_run", "cancelled" };
    return NAMES.at(static_cast<std::size_t>(outcome));
}

}
