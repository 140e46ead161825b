// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/RequestState.h>
#include <catch2/catch.hpp>
#include <set>

using namespace Spurtide;

namespace {

constexpr int EVENTS = static_cast<int>(RequestEvent::Dispatch) + 1;

/// Applies every sequence of events up to the given depth and calls the check after each event.
template<typename Check>
void explore(RequestState const& state, int depth, Check const& check)
{
    check(state);
    if (depth == 0)
        return;
    for (int event = 0; event < EVENTS; ++event) {
        auto next = state;
        if (!next.apply(static_cast<RequestEvent>(event)).is_error())
            explore(next, depth - 1, check);
    }
}

void apply_all(RequestState& state, std::initializer_list<RequestEvent> events)
{
    for (auto const event : events)
        REQUIRE_FALSE(state.apply(event).is_error());
}

}

TEST_CASE("A request that was dispatched is never refused as not run", "[not-run][kill]")
{
    int refused = 0;
    int failed = 0;
    explore({}, 14, [&](RequestState const& state) {
        if (state.outcome() == RequestOutcome::RefusedNotRun) {
            ++refused;
            REQUIRE_FALSE(state.was_dispatched());
        }
        if (state.outcome() == RequestOutcome::FailedMayHaveRun)
            ++failed;
    });
    CHECK(refused > 0);
    CHECK(failed > 0);
}

TEST_CASE("A terminal phase accepts no event", "[twice]")
{
    explore({}, 14, [](RequestState const& state) {
        if (!state.is_terminal())
            return;
        for (int event = 0; event < EVENTS; ++event) {
            auto next = state;
            REQUIRE(next.apply(static_cast<RequestEvent>(event)).is_error());
            REQUIRE(next.phase() == state.phase());
        }
    });
}

TEST_CASE("Every phase is reachable, and the caller can leave in each that is not terminal")
{
    std::set<RequestPhase> reached;
    explore({}, 14, [&](RequestState const& state) {
        reached.insert(state.phase());
        if (state.is_terminal())
            return;
        auto next = state;
        REQUIRE_FALSE(next.apply(RequestEvent::CallerLeft).is_error());
        REQUIRE(next.outcome() == RequestOutcome::Cancelled);
    });
    CHECK(reached.size() == 11);
}

TEST_CASE("The usual sequence of events ends with an answer")
{
    RequestState state;
    apply_all(state, { RequestEvent::Admit, RequestEvent::PromiseSlot, RequestEvent::DispatchPrefill, RequestEvent::HoldCache, RequestEvent::StartTransfer, RequestEvent::StartDecode, RequestEvent::Finish });
    CHECK(state.outcome() == RequestOutcome::Answered);
}

TEST_CASE("An event that is not in the table changes nothing and is reported")
{
    RequestState state;
    auto const result = state.apply(RequestEvent::Finish);
    REQUIRE(result.is_error());
    CHECK(result.error().phase == RequestPhase::Received);
    CHECK(result.error().event == RequestEvent::Finish);
    CHECK(state.phase() == RequestPhase::Received);
}

TEST_CASE("After a lost upstream a request can be placed again or fail, but not be refused", "[not-run][kill]")
{
    RequestState state;
    apply_all(state, { RequestEvent::Admit, RequestEvent::PromiseSlot, RequestEvent::DispatchPrefill, RequestEvent::LoseUpstream });
    CHECK(state.phase() == RequestPhase::Admitted);
    CHECK(state.apply(RequestEvent::Refuse).is_error());
    apply_all(state, { RequestEvent::GiveUp });
    CHECK(state.outcome() == RequestOutcome::FailedMayHaveRun);
}
