// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/CellScheduler.h>
#include <LibDecision/MemoryForecast.h>
#include <Tests/Support/VirtualClock.h>
#include <catch2/catch.hpp>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

constexpr double SPREAD = 0.6;

AnswerForecast answer(double prompt, double made, double expected, double maximum)
{
    return { prompt, made, expected, maximum };
}

MemoryForecast forecast_of(std::vector<AnswerForecast> const& answers)
{
    MemoryForecast forecast(MemoryForecast::Options { SPREAD });
    for (auto const& one : answers)
        forecast.add(one, milliseconds(1));
    return forecast;
}

/// One prefill engine, and decode engines with the given memory in tokens.
class MemoryCell {
public:
    MemoryCell(int decode_engines, std::int64_t memory_tokens, CellScheduler::Options options)
        : scheduler(std::move(options))
    {
        std::vector<EngineDescription> engines;
        EngineDescription prefill;
        prefill.name = "p";
        prefill.model = "llm";
        prefill.role = EngineRole::Prefill;
        prefill.prefill_rate = 50'000;
        engines.push_back(prefill);
        for (int i = 0; i < decode_engines; ++i) {
            EngineDescription decode;
            decode.name = "d" + std::to_string(i);
            decode.model = "llm";
            decode.role = EngineRole::Decode;
            decode.decode_slots = 64;
            decode.memory_tokens = memory_tokens;
            engines.push_back(decode);
        }
        this->scheduler.set_engines(engines);
        this->scheduler.set_accounts(std::vector<AccountDescription> { { "a", 1, 1e6, 1e6 } }, at_milliseconds(0));
    }

    static CellScheduler::Options options()
    {
        CellScheduler::Options made;
        made.report_need = CellScheduler::Options::ReportNeed::None;
        made.initial_step_time = milliseconds(1);
        made.token_target = milliseconds(250);
        made.memory_headroom = 0;
        made.stale_grant_timeout = seconds(60);
        made.grant_lease = seconds(60);
        return made;
    }

    PlacementAsk make_ask(std::string request, std::int64_t now, std::int64_t prompt, std::int64_t expected)
    {
        PlacementAsk ask;
        ask.request = std::move(request);
        ask.account = "a";
        ask.model = "llm";
        ask.origin = "entry";
        ask.prompt_tokens = prompt;
        ask.expected_output_tokens = expected;
        ask.maximum_output_tokens = 2 * expected;
        ask.first_token_deadline = at_milliseconds(now + 900);
        ask.decide_by = at_milliseconds(now + 200);
        return ask;
    }

    std::map<std::string, std::string> take()
    {
        std::map<std::string, std::string> made;
        for (auto const& decision : this->scheduler.take_decisions()) {
            if (auto const* grant = std::get_if<PlacementGrant>(&decision))
                made[grant->request] = grant->decode_engine;
            else
                made[std::get<PlacementRefusal>(decision).request] = "refused";
        }
        return made;
    }

    CellScheduler scheduler;
};

}

TEST_CASE("An answer's memory grows with its length and is freed at its expected end")
{
    auto const forecast = forecast_of({ answer(1000, 0, 1000, 4000) });
    REQUIRE(forecast.tokens_at(0) == Approx(1000));
    REQUIRE(forecast.tokens_at(1) > 1000);
    // Half of such answers have ended at the median length.
    REQUIRE(forecast.tokens_at(5) == Approx(1000).margin(30));
    REQUIRE(forecast.tokens_at(20) == 0);
}

TEST_CASE("An answer that exceeds its expected length is not considered finished")
{
    auto const expected = answer(0, 3000, 1000, 8000);
    REQUIRE(probability_of_exceeding(3000, expected, SPREAD) == 1);
    REQUIRE(probability_of_exceeding(3300, expected, SPREAD) > 0.7);
    REQUIRE(probability_of_exceeding(8000, expected, SPREAD) == 0);
}

// With the same expected use, more memory has to stay free for long answers than for long prompts, since only the
// length of answers is uncertain.
TEST_CASE("Memory is reserved for the uncertainty of answers, not for prompts")
{
    auto const room_for = [](double prompt, double made, double expected) {
        MemoryForecast forecast({ SPREAD, 1, 0.2 });
        for (int i = 0; i < 10; ++i)
            forecast.add(answer(prompt, made, expected, 4 * expected), milliseconds(1));
        MemoryForecast next({ SPREAD, 1, 0.2 });
        next.add(answer(prompt, 0, expected, 4 * expected), milliseconds(1));
        double memory = 0;
        while (!forecast.has_capacity_for(next, Duration::zero(), memory))
            memory += 100;
        // Compared with the expected use alone.
        MemoryForecast expected_alone({ SPREAD, 0, 0 });
        for (int i = 0; i < 10; ++i)
            expected_alone.add(answer(prompt, made, expected, 4 * expected), milliseconds(1));
        double expected_memory = 0;
        while (!expected_alone.has_capacity_for(next, Duration::zero(), expected_memory))
            expected_memory += 100;
        return memory / expected_memory;
    };
    auto const long_prompts = room_for(4000, 100, 300);
    auto const long_answers = room_for(1000, 2000, 4000);
    CHECK(long_prompts < 1.05);
    CHECK(long_answers > 1.2);
}

TEST_CASE("A request that does not fit now fits after the shortest delay")
{
    auto const running = forecast_of({ answer(5000, 2000, 2100, 2600), answer(5000, 1500, 2100, 2600) });
    auto const next = forecast_of({ answer(6000, 0, 1000, 2000) });
    REQUIRE_FALSE(running.has_capacity_for(next, Duration::zero(), 16'000));
    auto const delay = running.shortest_delay(next, 16'000);
    REQUIRE(delay > Duration::zero());
    REQUIRE(delay < seconds(2));
    REQUIRE(running.has_capacity_for(next, delay, 16'000));
    // A request larger than the memory never fits.
    REQUIRE(running.shortest_delay(next, 5'000) == MemoryForecast::STEP * static_cast<std::int64_t>(MemoryForecast::STEPS));
}

TEST_CASE("A prefill starts only if decode memory will be available", "[held]")
{
    MemoryCell cell(1, 20'000, MemoryCell::options());
    cell.scheduler.ask(cell.make_ask("one", 0, 8000, 1000), at_milliseconds(0));
    cell.scheduler.ask(cell.make_ask("two", 0, 8000, 1000), at_milliseconds(0));
    cell.scheduler.ask(cell.make_ask("three", 0, 8000, 1000), at_milliseconds(0));
    auto const first = cell.take();
    REQUIRE(first.at("one") == "d0");
    REQUIRE(first.at("two") == "d0");
    // The running answers may or may not end in time.
    REQUIRE_FALSE(first.contains("three"));
    cell.scheduler.advance(at_milliseconds(200));
    REQUIRE(cell.take().at("three") == "refused");
    cell.scheduler.release("one", 0, at_milliseconds(250));
    cell.scheduler.ask(cell.make_ask("four", 260, 8000, 1000), at_milliseconds(260));
    REQUIRE(cell.take().at("four") == "d0");
}

TEST_CASE("A request that will not fit into any engine in time is refused at once")
{
    MemoryCell cell(1, 20'000, MemoryCell::options());
    cell.scheduler.ask(cell.make_ask("large", 0, 30'000, 1000), at_milliseconds(0));
    REQUIRE(cell.take().at("large") == "refused");
}

TEST_CASE("Requests are placed on the engine with the most free memory")
{
    MemoryCell cell(2, 20'000, MemoryCell::options());
    cell.scheduler.ask(cell.make_ask("one", 0, 6000, 1000), at_milliseconds(0));
    cell.scheduler.ask(cell.make_ask("two", 0, 2000, 1000), at_milliseconds(0));
    cell.scheduler.ask(cell.make_ask("three", 0, 1000, 1000), at_milliseconds(0));
    auto const placed = cell.take();
    REQUIRE(placed.at("one") != placed.at("two"));
    REQUIRE(placed.at("three") == placed.at("two"));
}

TEST_CASE("Retry delays of refused callers are spread over the configured width")
{
    auto options = MemoryCell::options();
    options.return_spread = seconds(4);
    MemoryCell cell(1, 10'000, options);
    std::set<std::int64_t> times;
    for (int i = 0; i < 50; ++i)
        cell.scheduler.ask(cell.make_ask("r" + std::to_string(i), 0, 9000, 500), at_milliseconds(0));
    for (auto const& decision : cell.scheduler.take_decisions()) {
        if (auto const* refusal = std::get_if<PlacementRefusal>(&decision)) {
            REQUIRE(refusal->retry_after < seconds(5));
            times.insert(to_milliseconds(refusal->retry_after));
        }
    }
    REQUIRE(times.size() > 40);
}

TEST_CASE("With backfill a smaller request precedes one that has to wait")
{
    auto const backfill = GENERATE(SchedulerPolicy::Backfill::On, SchedulerPolicy::Backfill::Off);
    auto options = MemoryCell::options();
    options.policy.backfill = backfill;
    MemoryCell cell(1, 20'000, options);
    // Ends early enough for the large request to wait for it.
    cell.scheduler.ask(cell.make_ask("running", 0, 12'000, 400), at_milliseconds(0));
    cell.scheduler.progress("running", GrantProgress::CacheHeld, at_milliseconds(250));
    cell.scheduler.progress("running", GrantProgress::Decoding, at_milliseconds(260));
    static_cast<void>(cell.take());
    cell.scheduler.ask(cell.make_ask("large", 300, 12'000, 400), at_milliseconds(300));
    cell.scheduler.ask(cell.make_ask("small", 300, 1000, 200), at_milliseconds(300));
    auto const decisions = cell.take();
    REQUIRE_FALSE(decisions.contains("large"));
    REQUIRE(decisions.contains("small") == (backfill == SchedulerPolicy::Backfill::On));
}

TEST_CASE("A request that is not placed by its decision time is refused")
{
    MemoryCell cell(1, 20'000, MemoryCell::options());
    cell.scheduler.ask(cell.make_ask("running", 0, 12'000, 400), at_milliseconds(0));
    cell.scheduler.progress("running", GrantProgress::Decoding, at_milliseconds(10));
    static_cast<void>(cell.take());
    cell.scheduler.ask(cell.make_ask("large", 20, 12'000, 400), at_milliseconds(20));
    REQUIRE(cell.take().empty());
    cell.scheduler.advance(at_milliseconds(219));
    REQUIRE(cell.take().empty());
    cell.scheduler.advance(at_milliseconds(220));
    REQUIRE(cell.take().at("large") == "refused");
}

TEST_CASE("Without prefill engines a decode engine runs the prefill if the policy allows it", "[kill][cut]")
{
    auto const decode_prefill = GENERATE(SchedulerPolicy::DecodePrefill::WithoutPrefillEngines, SchedulerPolicy::DecodePrefill::Off);
    auto options = MemoryCell::options();
    options.policy.decode_prefill = decode_prefill;
    MemoryCell cell(1, 20'000, options);
    cell.scheduler.set_leaving("p", EngineReport::Life::Leaving);
    cell.scheduler.ask(cell.make_ask("one", 0, 5000, 1000), at_milliseconds(0));
    cell.scheduler.advance(at_milliseconds(250));
    REQUIRE(cell.take().at("one") == (decode_prefill == SchedulerPolicy::DecodePrefill::WithoutPrefillEngines ? "d0" : "refused"));
}

TEST_CASE("The engines of a role are never all excluded", "[answer-lost]")
{
    auto options = MemoryCell::options();
    options.policy.last_resort = SchedulerPolicy::LastResort::On;
    MemoryCell cell(3, 20'000, options);
    for (auto const* engine : { "p", "d0", "d1", "d2" })
        cell.scheduler.note_failure(engine, at_milliseconds(0));
    cell.scheduler.note_failure("d1", at_milliseconds(600));
    cell.scheduler.note_failure("d2", at_milliseconds(600));
    cell.scheduler.note_failure("d0", at_milliseconds(601));
    cell.scheduler.note_failure("p", at_milliseconds(601));
    cell.scheduler.ask(cell.make_ask("one", 610, 5000, 1000), at_milliseconds(610));
    REQUIRE(cell.take().contains("one"));
    // An engine that recovered is preferred to all engines in backoff.
    cell.scheduler.progress("one", GrantProgress::CacheHeld, at_milliseconds(700));
    cell.scheduler.progress("one", GrantProgress::Decoding, at_milliseconds(710));
    auto const well = cell.scheduler.locate("one")->decode_engine;
    cell.scheduler.ask(cell.make_ask("two", 900, 1000, 500), at_milliseconds(900));
    REQUIRE(cell.take().at("two") == well);
}

TEST_CASE("A new keeper counts the grants that entries restore, with their age", "[held][kill]")
{
    MemoryCell cell(1, 20'000, MemoryCell::options());
    cell.scheduler.restore(cell.make_ask("old", 0, 12'000, 4000), "p", "d0", GrantProgress::Decoding, seconds(1), at_milliseconds(0));
    cell.scheduler.ask(cell.make_ask("new", 0, 12'000, 1000), at_milliseconds(0));
    REQUIRE(cell.take().at("new") == "refused");
    cell.scheduler.release("old", 0, at_milliseconds(10));
    cell.scheduler.ask(cell.make_ask("newer", 20, 12'000, 1000), at_milliseconds(20));
    REQUIRE(cell.take().at("newer") == "d0");
}

namespace {

/// Number of requests refused in the four seconds after half of the VMs died, with the given timeout of stale grants.
/// Streams of 7,000 tokens arrive at engines that they nearly fill.
int refused_after_kill(Duration stale_grant_timeout)
{
    auto options = MemoryCell::options();
    options.stale_grant_timeout = stale_grant_timeout;
    MemoryCell cell(10, 60'000, options);
    constexpr std::int64_t KILL = 8000;
    constexpr std::int64_t END = KILL + 4000;
    constexpr std::int64_t ANSWER = 3000;
    struct Running {
        PlacementAsk ask;
        std::string engine;
        bool dies;
        std::int64_t since;
    };
    std::map<std::string, Running> running;
    std::map<std::string, PlacementAsk> asked;
    int refused = 0;
    for (std::int64_t now = 0; now < END; now += 10) {
        std::erase_if(running, [&](auto const& entry) {
            bool const is_over = now - entry.second.since >= ANSWER;
            bool const is_dead = entry.second.dies && now >= KILL;
            if (is_over && !is_dead)
                cell.scheduler.release(entry.first, ANSWER, at_milliseconds(now));
            return is_over || is_dead;
        });
        if (now % 700 == 0) {
            for (auto const& [name, stream] : running)
                cell.scheduler.restore(stream.ask, "p", stream.engine, GrantProgress::Decoding, milliseconds(now - stream.since), at_milliseconds(now));
        }
        // Slightly below the capacity of the engines.
        if (now % 30 == 0) {
            auto ask = cell.make_ask("r" + std::to_string(now), now, 3500, ANSWER);
            asked.emplace(ask.request, ask);
            cell.scheduler.ask(ask, at_milliseconds(now));
        }
        cell.scheduler.advance(at_milliseconds(now));
        for (auto const& [name, engine] : cell.take()) {
            if (engine == "refused") {
                refused += now >= KILL ? 1 : 0;
                continue;
            }
            cell.scheduler.progress(name, GrantProgress::CacheHeld, at_milliseconds(now));
            cell.scheduler.progress(name, GrantProgress::Decoding, at_milliseconds(now));
            running.emplace(name, Running { asked.at(name), engine, now / 30 % 2 == 0 && now < KILL, now });
        }
    }
    return refused;
}

}

// When half of the VMs of a large deployment are killed at once, their engines' memory is free immediately, but the
// keeper refuses requests of other VMs until the grants of the dead VMs time out.
TEST_CASE("Memory held by VMs that died at once is promised again soon", "[held][kill][burst]")
{
    auto const soon = refused_after_kill(milliseconds(1600));
    auto const late = refused_after_kill(milliseconds(3500));
    CAPTURE(soon, late);
    CHECK(late >= 20);
    CHECK(soon * 2 < late);
}
