// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

// Bursts of long prompts that arrive twice as fast as the prefill engines can process them, while decode engines have
// spare capacity. The figures are typical of large models on fast accelerators: 33,333 prompt tokens per second, 5 ms
// per step, and 40,000 tokens of memory per engine.

#include <LibDecision/CellScheduler.h>
#include <Tests/Support/VirtualClock.h>
#include <algorithm>
#include <catch2/catch.hpp>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

constexpr double RATE = 33'333;

class Pool {
public:
    explicit Pool(SchedulerPolicy::DecodePrefill decode_prefill, std::int64_t tokens_per_event = 9, std::int64_t memory_tokens = 40'000)
        : scheduler(options(decode_prefill))
    {
        std::vector<EngineDescription> engines;
        engines.push_back({ "p0", "llm", EngineRole::Prefill, 64, RATE, 0, 1, memory_tokens, "", tokens_per_event });
        engines.push_back({ "d0", "llm", EngineRole::Decode, 64, RATE, 0, 1, memory_tokens, "", tokens_per_event });
        engines.push_back({ "d1", "llm", EngineRole::Decode, 64, RATE, 0, 1, memory_tokens, "", tokens_per_event });
        this->scheduler.set_engines(engines);
        this->scheduler.set_accounts(std::vector<AccountDescription> { { "a", 1, 1e6, 1e6 } }, at_milliseconds(0));
    }

    static CellScheduler::Options options(SchedulerPolicy::DecodePrefill decode_prefill)
    {
        CellScheduler::Options made;
        made.report_need = CellScheduler::Options::ReportNeed::None;
        made.initial_step_time = milliseconds(5);
        made.token_target = milliseconds(250);
        made.memory_headroom = 0;
        made.stale_grant_timeout = seconds(60);
        made.grant_lease = seconds(60);
        made.policy.decode_prefill = decode_prefill;
        made.policy.backfill = SchedulerPolicy::Backfill::On;
        return made;
    }

    PlacementAsk make_ask(std::string request, std::int64_t now, std::int64_t prompt) const
    {
        PlacementAsk ask;
        ask.request = std::move(request);
        ask.account = "a";
        ask.model = "llm";
        ask.origin = "entry";
        ask.prompt_tokens = prompt;
        ask.expected_output_tokens = 600;
        ask.maximum_output_tokens = 1500;
        ask.first_token_deadline = at_milliseconds(now + 900);
        ask.decide_by = at_milliseconds(now + 200);
        ask.longest_pause = milliseconds(300);
        return ask;
    }

    void run(std::string const& request, std::int64_t now)
    {
        this->scheduler.progress(request, GrantProgress::CacheHeld, at_milliseconds(now));
        this->scheduler.progress(request, GrantProgress::Decoding, at_milliseconds(now));
    }

    /// "prefill>decode" by request, "itself>decode" if the decode engine runs the prefill, or "refused".
    std::map<std::string, std::string> take()
    {
        std::map<std::string, std::string> made;
        for (auto const& decision : this->scheduler.take_decisions()) {
            if (auto const* grant = std::get_if<PlacementGrant>(&decision))
                made[grant->request] = (grant->prefill_engine.empty() ? "itself" : grant->prefill_engine) + ">" + grant->decode_engine;
            else
                made[std::get<PlacementRefusal>(decision).request] = "refused";
        }
        return made;
    }

    CellScheduler scheduler;
};

std::int64_t count_of(std::map<std::string, std::string> const& made, std::string_view start)
{
    return std::count_if(made.begin(), made.end(), [&](auto const& entry) { return entry.second.starts_with(start); });
}

std::map<std::string, std::string> burst(Pool& pool, int count, std::int64_t prompt)
{
    for (int i = 0; i < count; ++i)
        pool.scheduler.ask(pool.make_ask("r" + std::to_string(i), 0, prompt), at_milliseconds(0));
    for (int now = 20; now <= 200; now += 20)
        pool.scheduler.advance(at_milliseconds(now));
    return pool.take();
}

}

TEST_CASE("Prompts that prefill engines would finish too late run on decode engines, one at a time each", "[burst]")
{
    Pool without(SchedulerPolicy::DecodePrefill::WithoutPrefillEngines);
    auto const refused_without = count_of(burst(without, 16, 3000), "refused");
    Pool pool(SchedulerPolicy::DecodePrefill::Overflow);
    auto const made = burst(pool, 16, 3000);
    CHECK(count_of(made, "itself>d0") == 1);
    CHECK(count_of(made, "itself>d1") == 1);
    CHECK(count_of(made, "refused") == refused_without - 2);
    // Prompts that prefill engines can process in time stay there.
    CHECK(made.at("r0") == "p0>d0");
}

TEST_CASE("A decode engine may run the next prefill once it has finished one", "[burst]")
{
    Pool pool(SchedulerPolicy::DecodePrefill::Overflow);
    pool.scheduler.set_leaving("d1", EngineReport::Life::Leaving);
    // A prefill of 840 ms, which would delay any prompt behind it beyond its deadline.
    pool.scheduler.ask(pool.make_ask("long", 0, 28'000), at_milliseconds(0));
    pool.scheduler.ask(pool.make_ask("first", 0, 3000), at_milliseconds(0));
    pool.scheduler.ask(pool.make_ask("early", 100, 3000), at_milliseconds(100));
    auto made = pool.take();
    CHECK(made.at("long") == "p0>d0");
    CHECK(made.at("first") == "itself>d0");
    CHECK_FALSE(made.contains("early"));
    pool.run("first", 235);
    // The prefill engine could still meet the deadline, but the decision is due.
    CHECK(pool.take().empty());
    pool.scheduler.advance(at_milliseconds(265));
    made = pool.take();
    CHECK(made.at("early") == "itself>d0");
}

// With 64 tokens per event, a whole prefill falls between two events of each running answer.
TEST_CASE("A prefill does not make the other answers of a decode engine late", "[burst]")
{
    auto const prompt = GENERATE(2000, 8000);
    Pool pool(SchedulerPolicy::DecodePrefill::Overflow, 64, 400'000);
    for (auto const* name : { "a", "b" }) {
        pool.scheduler.ask(pool.make_ask(name, -600, 1000), at_milliseconds(-600));
        pool.run(name, -500);
    }
    pool.take();
    auto const made = burst(pool, 30, prompt);
    // The steps of one event alone take 320 ms of the 300 ms that a pause may last, so no prefill runs next to answers.
    CHECK(count_of(made, "itself") == 0);

    Pool idle(SchedulerPolicy::DecodePrefill::Overflow, 64, 400'000);
    idle.scheduler.set_leaving("p0", EngineReport::Life::Leaving);
    CHECK(count_of(burst(idle, 1, prompt), "itself") == 1);
}

TEST_CASE("A prefill on a decode engine accounts for the memory that other answers hold longer", "[burst][held]")
{
    // Each answer fits, but the additional memory held by twelve others during a prefill does not.
    auto const memory_tokens = GENERATE(46'000, 80'000);
    Pool pool(SchedulerPolicy::DecodePrefill::Overflow, 9, memory_tokens);
    for (int i = 0; i < 24; ++i) {
        auto const name = "running" + std::to_string(i);
        auto const now = -4000 + 100 * i;
        pool.scheduler.ask(pool.make_ask(name, now, 3000), at_milliseconds(now));
        pool.run(name, now + 91);
    }
    pool.take();
    auto const made = burst(pool, 16, 3000);
    CHECK(count_of(made, "itself") == (memory_tokens == 80'000 ? 2 : 0));
}

TEST_CASE("A request behind more prompts than can be processed in time is refused at once", "[burst]")
{
    Pool pool(SchedulerPolicy::DecodePrefill::WithoutPrefillEngines);
    for (int i = 0; i < 40; ++i)
        pool.scheduler.ask(pool.make_ask("r" + std::to_string(i), 0, 3000), at_milliseconds(0));
    auto const made = pool.take();
    // Ten prompts of 90 ms are processed within 900 ms; waiting would not help the remaining ones.
    CHECK(count_of(made, "refused") >= 30);
    CHECK(made.at("r39") == "refused");
}

TEST_CASE("A retried request waits as long as a late answer is useful", "[burst]")
{
    Pool pool(SchedulerPolicy::DecodePrefill::WithoutPrefillEngines);
    for (int i = 0; i < 20; ++i) {
        auto ask = pool.make_ask("back" + std::to_string(i), 0, 3000);
        ask.first_token_deadline = at_milliseconds(2500);
        ask.decide_by = at_milliseconds(2500);
        ask.priority = -1;
        pool.scheduler.ask(std::move(ask), at_milliseconds(0));
    }
    pool.scheduler.ask(pool.make_ask("fresh", 10, 3000), at_milliseconds(10));
    std::map<std::string, std::string> made;
    std::vector<std::string> order;
    for (int now = 20; now <= 2500; now += 20) {
        pool.scheduler.advance(at_milliseconds(now));
        for (auto const& [request, where] : pool.take()) {
            made[request] = where;
            order.push_back(request);
        }
        if (now % 100 == 0 && static_cast<std::size_t>(now / 100) <= order.size())
            pool.run(order[now / 100 - 1], now);
    }
    CHECK(count_of(made, "refused") == 0);
    CHECK(made.size() == 21);
    // A request that can meet its deadline precedes those that are already late.
    auto const fresh = std::find(order.begin(), order.end(), "fresh");
    REQUIRE(fresh != order.end());
    CHECK(fresh - order.begin() <= 4);
}

TEST_CASE("A prompt that an engine has cached is not prefilled again", "[cached]")
{
    Pool pool(SchedulerPolicy::DecodePrefill::Overflow);
    auto const ask = [&](std::string request, std::int64_t now, std::string part) {
        auto made = pool.make_ask(std::move(request), now, 3000);
        made.own_part = std::move(part);
        return made;
    };
    pool.scheduler.ask(ask("first", 0, "s1"), at_milliseconds(0));
    auto const where = pool.take().at("first");
    REQUIRE(where.starts_with("p0>"));
    pool.run("first", 95);
    // The caller retries after its answer was interrupted, while a burst is queued at the prefill engine.
    pool.scheduler.release("first", 100, at_milliseconds(500));
    burst(pool, 16, 3000);
    pool.scheduler.ask(ask("again", 600, "s1"), at_milliseconds(600));
    CHECK(pool.take().at("again") == "itself" + where.substr(2));

    SECTION("A leaving engine is not used")
    {
        pool.scheduler.set_leaving(where.substr(3), EngineReport::Life::Leaving);
        pool.scheduler.ask(ask("third", 4000, "s1"), at_milliseconds(4000));
        CHECK(pool.take()["third"] != "itself" + where.substr(2));
    }
    SECTION("An engine that failed the request is not used")
    {
        auto made = ask("third", 4000, "s1");
        made.excluded_engines = { where.substr(3) };
        pool.scheduler.ask(std::move(made), at_milliseconds(4000));
        CHECK(pool.take()["third"] != "itself" + where.substr(2));
    }
    SECTION("An old cache entry has expired")
    {
        for (int i = 0; i < 16; ++i)
            pool.scheduler.release("r" + std::to_string(i), 0, at_milliseconds(5000));
        pool.scheduler.advance(at_milliseconds(30'000));
        pool.scheduler.ask(ask("third", 30'000, "s1"), at_milliseconds(30'000));
        CHECK(pool.take()["third"].starts_with("p0>"));
    }
}

TEST_CASE("A new keeper uses the cached prompts that engines report", "[cached][kill]")
{
    Pool pool(SchedulerPolicy::DecodePrefill::Overflow);
    pool.scheduler.note_cached("d1", std::vector<std::string> { "shared", "s7" }, at_milliseconds(0));
    auto made = pool.make_ask("back", 10, 3000);
    made.own_part = "s7";
    pool.scheduler.ask(std::move(made), at_milliseconds(10));
    auto other = pool.make_ask("other", 10, 3000);
    other.own_part = "s8";
    pool.scheduler.ask(std::move(other), at_milliseconds(10));
    auto const decisions = pool.take();
    CHECK(decisions.at("back") == "itself>d1");
    CHECK(decisions.at("other").starts_with("p0>"));
}
