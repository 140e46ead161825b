// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/CellScheduler.h>
#include <LibDecision/RefusalHistory.h>
#include <catch2/catch.hpp>

using namespace Spurtide;

namespace {

MonotonicTime at(std::int64_t time) { return MonotonicTime(milliseconds(1'000'000 + time)); }

RequestTraits traits(std::string_view part) { return { "one", "m", part, 3000, 10'000, 4000 }; }

/// One prefill and one decode engine with capacity for two of the answers requested below.
CellScheduler scheduler_for_two()
{
    CellScheduler::Options options;
    options.report_need = CellScheduler::Options::ReportNeed::None;
    options.memory_headroom = 0;
    // An answer of 2,000 tokens takes two seconds.
    options.initial_step_time = milliseconds(1);
    CellScheduler scheduler(options);
    EngineDescription reader;
    reader.name = "reader";
    reader.model = "m";
    reader.prefill_rate = 50'000;
    EngineDescription maker = reader;
    maker.name = "maker";
    maker.role = EngineRole::Decode;
    maker.decode_slots = 16;
    maker.memory_tokens = 20'000;
    std::vector<EngineDescription> const engines { reader, maker };
    scheduler.set_engines(engines);
    AccountDescription account;
    account.name = "one";
    account.requests_per_second = 1e9;
    account.burst = 1e9;
    scheduler.set_accounts({ &account, 1 }, at(0));
    return scheduler;
}

PlacementAsk ask_at(MonotonicTime now, std::string request, std::string part)
{
    PlacementAsk ask;
    ask.request = std::move(request);
    ask.account = "one";
    ask.model = "m";
    ask.prompt_tokens = 7000;
    ask.expected_output_tokens = 2000;
    ask.maximum_output_tokens = 2000;
    ask.own_part = std::move(part);
    ask.first_token_deadline = now + milliseconds(900);
    ask.decide_by = now + milliseconds(200);
    ask.late_deadline = now + milliseconds(8000);
    return ask;
}

/// Expects exactly one decision.
PlacementDecision decision_of(CellScheduler& scheduler)
{
    auto decisions = scheduler.take_decisions();
    REQUIRE(decisions.size() == 1);
    return decisions.front();
}

}

TEST_CASE("A retried request is recognized, once for each refusal", "[returns]")
{
    RefusalHistory history;
    history.note_refused(traits("a"), at(900), at(8000));
    CHECK_FALSE(history.take_matching_refusal(traits("b"), at(100)));
    REQUIRE(history.take_matching_refusal(traits("a"), at(1500)) == at(900));
    CHECK_FALSE(history.take_matching_refusal(traits("a"), at(1600)));
    // Two callers with the same request are both recognized.
    history.note_refused(traits("a"), at(900), at(8000));
    history.note_refused(traits("a"), at(1000), at(8000));
    CHECK(history.take_matching_refusal(traits("a"), at(1500)));
    CHECK(history.take_matching_refusal(traits("a"), at(1500)));
    CHECK_FALSE(history.take_matching_refusal(traits("a"), at(1500)));
}

TEST_CASE("Requests that differ in any trait do not match", "[returns]")
{
    RefusalHistory history;
    auto const same = traits("a");
    history.note_refused(same, at(900), at(8000));
    auto other = same;
    other.account = "two";
    CHECK_FALSE(history.take_matching_refusal(other, at(1000)));
    other = same;
    other.model = "n";
    CHECK_FALSE(history.take_matching_refusal(other, at(1000)));
    other = same;
    ++other.prompt_tokens;
    CHECK_FALSE(history.take_matching_refusal(other, at(1000)));
    other = same;
    ++other.maximum_output_tokens;
    CHECK_FALSE(history.take_matching_refusal(other, at(1000)));
    other = same;
    ++other.expected_output_tokens;
    CHECK_FALSE(history.take_matching_refusal(other, at(1000)));
    CHECK(history.take_matching_refusal(same, at(1000)));
}

TEST_CASE("A request that arrives after the retry window is not a retry", "[returns]")
{
    RefusalHistory history;
    history.note_refused(traits("a"), at(900), at(8000));
    CHECK_FALSE(history.take_matching_refusal(traits("a"), at(8001)));
    history.remove_expired(at(8001));
    CHECK(history.size() == 0);
}

TEST_CASE("A retry is held to the deadline of its first attempt, or served late behind others", "[returns][overload]")
{
    auto scheduler = scheduler_for_two();
    scheduler.ask(ask_at(at(0), "full-1", "x"), at(0));
    scheduler.ask(ask_at(at(0), "full-2", "y"), at(0));
    REQUIRE(scheduler.take_decisions().size() == 2);
    // Both answers occupy the engine for longer than the next caller can wait.
    scheduler.progress("full-1", GrantProgress::Decoding, at(100));
    scheduler.progress("full-2", GrantProgress::Decoding, at(100));
    scheduler.ask(ask_at(at(100), "first-try", "z"), at(100));
    scheduler.advance(at(400));
    auto const refused = decision_of(scheduler);
    REQUIRE(std::holds_alternative<PlacementRefusal>(refused));
    CHECK(std::get<PlacementRefusal>(refused).caller_attempt == CallerAttempt::First);

    SECTION("capacity is available before the deadline")
    {
        scheduler.release("full-1", 2000, at(500));
        scheduler.ask(ask_at(at(600), "second-try", "z"), at(600));
        auto const granted = decision_of(scheduler);
        REQUIRE(std::holds_alternative<PlacementGrant>(granted));
        CHECK(std::get<PlacementGrant>(granted).caller_attempt == CallerAttempt::Retry);
    }
    SECTION("capacity is available only after the deadline")
    {
        scheduler.ask(ask_at(at(1200), "second-try", "z"), at(1200));
        // Unlike a first attempt it keeps waiting, behind requests that can meet their deadline.
        scheduler.advance(at(1500));
        CHECK(scheduler.take_decisions().empty());
        scheduler.ask(ask_at(at(1550), "fresh", "w"), at(1550));
        scheduler.release("full-1", 2000, at(1600));
        auto const first = decision_of(scheduler);
        REQUIRE(std::holds_alternative<PlacementGrant>(first));
        CHECK(std::get<PlacementGrant>(first).request == "fresh");
        scheduler.progress("fresh", GrantProgress::CacheHeld, at(1800));
        scheduler.progress("fresh", GrantProgress::Decoding, at(1800));
        scheduler.release("full-2", 2000, at(2000));
        auto const second = decision_of(scheduler);
        REQUIRE(std::holds_alternative<PlacementGrant>(second));
        CHECK(std::get<PlacementGrant>(second).request == "second-try");
        CHECK(std::get<PlacementGrant>(second).caller_attempt == CallerAttempt::Retry);
    }
}
