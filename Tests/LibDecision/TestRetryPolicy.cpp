// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/RetryPolicy.h>
#include <catch2/catch.hpp>

using namespace Spurtide;

namespace {

constexpr std::array ENDS { SendOutcome::NotSent, SendOutcome::NotExecuted, SendOutcome::Success, SendOutcome::OwnFailure, SendOutcome::Lost };
constexpr std::array KINDS { RouteKind::Repeatable, RouteKind::NotRepeatable, RouteKind::Stream };
constexpr std::array EARLIER { SendHistory::Earlier::HasNotRun, SendHistory::Earlier::MayHaveRun };
constexpr std::array ANOTHER { SendHistory::AnotherSend::Allowed, SendHistory::AnotherSend::Spent };

template<typename Check>
void for_all(Check const& check)
{
    for (auto const end : ENDS) {
        for (auto const kind : KINDS) {
            for (auto const earlier : EARLIER) {
                for (auto const another : ANOTHER)
                    check(end, SendHistory { kind, earlier, another });
            }
        }
    }
}

}

TEST_CASE("A request that is not repeatable is not sent again once it may have run", "[at-most-once][answer-lost]")
{
    int sent_again = 0;
    for_all([&](SendOutcome end, SendHistory const& history) {
        if (next_step(end, history) != NextStep::SendElsewhere)
            return;
        ++sent_again;
        REQUIRE(history.another_send == SendHistory::AnotherSend::Allowed);
        if (history.kind == RouteKind::Repeatable)
            return;
        REQUIRE(history.earlier == SendHistory::Earlier::HasNotRun);
        REQUIRE((end == SendOutcome::NotSent || end == SendOutcome::NotExecuted));
    });
    REQUIRE(sent_again > 0);
}

TEST_CASE("A request is reported as not run only if it has not run", "[not-run][answer-lost]")
{
    int refused = 0;
    for_all([&](SendOutcome end, SendHistory const& history) {
        if (next_step(end, history) != NextStep::RefuseNotRun)
            return;
        ++refused;
        REQUIRE((end == SendOutcome::NotSent || end == SendOutcome::NotExecuted));
        REQUIRE(history.earlier == SendHistory::Earlier::HasNotRun);
    });
    REQUIRE(refused > 0);
}

TEST_CASE("A complete answer is always relayed", "[whole]")
{
    for_all([](SendOutcome end, SendHistory const& history) {
        if (end == SendOutcome::Success)
            REQUIRE(next_step(end, history) == NextStep::Relay);
        else if (end != SendOutcome::OwnFailure)
            REQUIRE(next_step(end, history) != NextStep::Relay);
    });
}

TEST_CASE("An upstream failure is retried only for repeatable requests")
{
    SendHistory const repeatable { RouteKind::Repeatable, SendHistory::Earlier::MayHaveRun, SendHistory::AnotherSend::Allowed };
    SendHistory const once { RouteKind::NotRepeatable, SendHistory::Earlier::MayHaveRun, SendHistory::AnotherSend::Allowed };
    REQUIRE(next_step(SendOutcome::OwnFailure, repeatable) == NextStep::SendElsewhere);
    REQUIRE(next_step(SendOutcome::OwnFailure, once) == NextStep::Relay);
}
