// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Verify.h>
#include <LibDecision/RetryPolicy.h>
#include <array>

namespace Spurtide {

std::string_view to_string(SendOutcome end)
{
    constexpr std::array<std::string_view, 5> NAMES = { "not_sent", "not_executed", "success", "own_failure", "lost" };
    return NAMES.at(static_cast<std::size_t>(end));
}

std::string_view to_string(NextStep step)
{
    constexpr std::array<std::string_view, 4> NAMES = { "relay", "send_elsewhere", "refuse_not_run", "fail_may_have_run" };
    return NAMES.at(static_cast<std::size_t>(step));
}

NextStep next_step(SendOutcome end, SendHistory const& history)
{
    bool const is_repeatable = history.kind == RouteKind::Repeatable;
    bool const may_send = history.another_send == SendHistory::AnotherSend::Allowed;
    bool const ran_before = history.earlier == SendHistory::Earlier::MayHaveRun;
    switch (end) {
    case SendOutcome::Success:
        return NextStep::Relay;
    case SendOutcome::OwnFailure:
        return is_repeatable && may_send ? NextStep::SendElsewhere : NextStep::Relay;
    case SendOutcome::NotSent:
    case SendOutcome::NotExecuted:
        if (may_send && (is_repeatable || !ran_before))
            return NextStep::SendElsewhere;
        // A refusal promises that the request was not executed, also for repeatable requests.
        return ran_before ? NextStep::FailMayHaveRun : NextStep::RefuseNotRun;
    case SendOutcome::Lost:
        return is_repeatable && may_send ? NextStep::SendElsewhere : NextStep::FailMayHaveRun;
    }
    VERIFY_NOT_REACHED();
}

}
