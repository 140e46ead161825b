// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/CellScheduler.h>
#include <Tests/Support/VirtualClock.h>
#include <catch2/catch.hpp>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

/// One prefill engine, and two decode engines of 20,000 tokens whose model takes 1 ms per output token. Request "r1" of 8,000
/// prompt tokens runs at d0.
class MoveCell {
public:
    MoveCell()
        : scheduler(options())
    {
        this->add_engine("p", EngineRole::Prefill);
        this->add_engine("d0", EngineRole::Decode);
        this->add_engine("d1", EngineRole::Decode);
        this->scheduler.set_engines(this->engines);
        this->scheduler.set_accounts(std::vector<AccountDescription> { { "a", 1, 1e6, 1e6 } }, at_milliseconds(0));
        this->scheduler.ask(make_ask("r1"), at_milliseconds(0));
        this->run("r1", 100);
        REQUIRE(this->scheduler.locate("r1")->decode_engine == "d0");
        static_cast<void>(this->scheduler.take_decisions());
    }

    static CellScheduler::Options options()
    {
        CellScheduler::Options made;
        made.report_need = CellScheduler::Options::ReportNeed::None;
        made.initial_step_time = milliseconds(1);
        made.token_target = milliseconds(250);
        made.memory_headroom = 0;
        made.stale_grant_timeout = seconds(60);
        return made;
    }

    void add_engine(std::string name, EngineRole role, std::string version = "v1")
    {
        EngineDescription engine;
        engine.name = std::move(name);
        engine.model = "llm";
        engine.role = role;
        engine.prefill_rate = 50'000;
        engine.decode_slots = 12;
        engine.memory_tokens = 20'000;
        engine.software_version = std::move(version);
        this->engines.push_back(engine);
    }

    static PlacementAsk make_ask(std::string request)
    {
        PlacementAsk ask;
        ask.request = std::move(request);
        ask.account = "a";
        ask.model = "llm";
        ask.origin = "entry";
        ask.prompt_tokens = 8000;
        ask.expected_output_tokens = 2000;
        ask.maximum_output_tokens = 4000;
        ask.first_token_deadline = at_milliseconds(100'000);
        return ask;
    }

    void run(std::string const& request, std::int64_t now)
    {
        this->scheduler.progress(request, GrantProgress::CacheHeld, at_milliseconds(now));
        this->scheduler.progress(request, GrantProgress::Decoding, at_milliseconds(now));
    }

    /// An ask of r1 to move because its engine is leaving.
    static PlacementAsk move_ask()
    {
        auto ask = make_ask("r1");
        ask.migrates_from = "d0";
        ask.relayed_tokens = 500;
        ask.excluded_engines = { "d0" };
        ask.software_version = "v1";
        return ask;
    }

    /// The target and prefill engine of the only decision, or the reason of its refusal.
    std::string decide(PlacementAsk ask, std::int64_t now)
    {
        this->scheduler.ask(std::move(ask), at_milliseconds(now));
        auto const decisions = this->scheduler.take_decisions();
        REQUIRE(decisions.size() == 1);
        if (auto const* grant = std::get_if<PlacementGrant>(&decisions.front()))
            return grant->decode_engine + "/" + grant->prefill_engine;
        return std::string(to_string(std::get<PlacementRefusal>(decisions.front()).reason));
    }

    std::int64_t work_of(std::string_view name)
    {
        auto const states = this->scheduler.engine_states();
        for (auto const& engine : states.at("llm")) {
            if (engine.name == name)
                return engine.work;
        }
        return -1;
    }

    CellScheduler scheduler;
    std::vector<EngineDescription> engines;
};

}

// Guards against memory that is promised to others while a move is under way, and against memory that stays taken after it.
TEST_CASE("A request that moves holds a place at both engines until the end of the move")
{
    MoveCell cell;
    REQUIRE(cell.decide(MoveCell::move_ask(), 600) == "d1/");
    CHECK(cell.work_of("d0") == 1);
    CHECK(cell.work_of("d1") == 1);
    CHECK(cell.scheduler.locate("r1")->decode_engine == "d0");
    SECTION("moved")
    {
        cell.scheduler.end_move("r1", MoveEnd::Moved, "d1", at_milliseconds(700));
        CHECK(cell.work_of("d0") == 0);
        CHECK(cell.work_of("d1") == 1);
        CHECK(cell.scheduler.locate("r1")->decode_engine == "d1");
    }
    SECTION("abandoned")
    {
        cell.scheduler.end_move("r1", MoveEnd::Abandoned, "d1", at_milliseconds(700));
        CHECK(cell.work_of("d0") == 1);
        CHECK(cell.work_of("d1") == 0);
        CHECK(cell.scheduler.locate("r1")->decode_engine == "d0");
    }
    SECTION("released in the middle")
    {
        cell.scheduler.release("r1", 600, at_milliseconds(700));
        CHECK(cell.work_of("d0") == 0);
        CHECK(cell.work_of("d1") == 0);
    }
    SECTION("the report that it moved is lost, and the renewed grant names the new engine")
    {
        cell.scheduler.restore(MoveCell::make_ask("r1"), "", "d1", GrantProgress::Decoding, {}, at_milliseconds(800));
        CHECK(cell.work_of("d0") == 0);
        CHECK(cell.work_of("d1") == 1);
    }
    SECTION("the report that it was abandoned is lost")
    {
        cell.scheduler.restore(MoveCell::make_ask("r1"), "", "d0", GrantProgress::Decoding, {}, at_milliseconds(1000));
        CHECK(cell.work_of("d1") == 1);
        cell.scheduler.restore(MoveCell::make_ask("r1"), "", "d0", GrantProgress::Decoding, {}, at_milliseconds(2200));
        CHECK(cell.work_of("d1") == 0);
        CHECK(cell.work_of("d0") == 1);
    }
}

// A new keeper that knows only one of the two engines would promise the memory at the other one again.
TEST_CASE("A new keeper learns of a move from the renewed grant, or from the ask itself")
{
    MoveCell cell;
    cell.scheduler.release("r1", 0, at_milliseconds(200));
    SECTION("renewed grant")
    {
        cell.scheduler.restore(MoveCell::make_ask("r2"), "", "d0", GrantProgress::Decoding, seconds(1), at_milliseconds(300), "d1");
        CHECK(cell.work_of("d0") == 1);
        CHECK(cell.work_of("d1") == 1);
    }
    SECTION("ask")
    {
        auto ask = MoveCell::move_ask();
        ask.request = "r2";
        CHECK(cell.decide(ask, 300) == "d1/");
        CHECK(cell.work_of("d0") == 1);
        CHECK(cell.work_of("d1") == 1);
    }
    SECTION("a request that was released does not move")
    {
        CHECK(cell.decide(MoveCell::move_ask(), 300) == "no_upstream");
        CHECK(cell.work_of("d0") == 0);
        CHECK(cell.work_of("d1") == 0);
    }
}

// Guards against memory that is promised twice at the target of a move that another VM granted while it was the keeper.
TEST_CASE("A keeper learns from the renewal of a grant that it knows where the request is moving to")
{
    MoveCell cell;
    cell.scheduler.restore(MoveCell::make_ask("r1"), "", "d0", GrantProgress::Decoding, milliseconds(100), at_milliseconds(600), "d1");
    CHECK(cell.work_of("d0") == 1);
    CHECK(cell.work_of("d1") == 1);
    cell.scheduler.restore(MoveCell::make_ask("r1"), "", "d1", GrantProgress::Decoding, milliseconds(100), at_milliseconds(700));
    CHECK(cell.work_of("d0") == 0);
    CHECK(cell.work_of("d1") == 1);
    SECTION("a request that it knows as not begun")
    {
        REQUIRE(cell.decide(MoveCell::make_ask("r2"), 800) == "d0/p");
        cell.scheduler.restore(MoveCell::make_ask("r2"), "", "d1", GrantProgress::Decoding, milliseconds(100), at_milliseconds(1600));
        CHECK(cell.work_of("p") == 0);
        CHECK(cell.work_of("d0") == 0);
        CHECK(cell.work_of("d1") == 2);
    }
}

TEST_CASE("A move is refused at once if no engine has capacity or none would finish earlier")
{
    MoveCell cell;
    SECTION("no engine has capacity")
    {
        auto large = MoveCell::make_ask("r2");
        large.prompt_tokens = 15'000;
        large.excluded_engines = { "d0" };
        CHECK(cell.decide(large, 200) == "d1/p");
        CHECK(cell.decide(MoveCell::move_ask(), 600) == "no_upstream");
    }
    SECTION("none is faster than its engine, which stays")
    {
        auto ask = MoveCell::move_ask();
        ask.excluded_engines.clear();
        CHECK(cell.decide(ask, 600) == "cannot_finish_in_time");
    }
    SECTION("all others run other software")
    {
        auto ask = MoveCell::move_ask();
        ask.software_version = "v2";
        CHECK(cell.decide(ask, 600) == "no_upstream");
    }
    CHECK(cell.scheduler.locate("r1")->decode_engine == "d0");
    CHECK(cell.work_of("d0") == 1);
}

// Guards against moves that cost a copy and a send, although the response misses its deadline at the target as well.
TEST_CASE("A request that would miss its deadline moves only to an engine that meets it")
{
    MoveCell cell;
    // d0 takes 3 ms per token or more, d1 takes 1 ms.
    for (int i = 0; i < 20; ++i) {
        auto const request = "m" + std::to_string(i);
        cell.scheduler.restore(MoveCell::make_ask(request), "", "d0", GrantProgress::Decoding, milliseconds(4000), at_milliseconds(500));
        cell.scheduler.release(request, 1000, at_milliseconds(500));
    }
    // 1500 tokens are left: 1.5 s at d1, over 4 s at d0.
    auto ask = MoveCell::move_ask();
    SECTION("the target ends before the present engine, but late")
    {
        ask.excluded_engines.clear();
        ask.finish_by = at_milliseconds(600 + 1200);
        CHECK(cell.decide(ask, 600) == "cannot_finish_in_time");
        CHECK(cell.work_of("d1") == 0);
    }
    SECTION("the target ends in time")
    {
        ask.excluded_engines.clear();
        ask.finish_by = at_milliseconds(600 + 2500);
        CHECK(cell.decide(ask, 600) == "d1/");
    }
    SECTION("the present engine is leaving, so that a late end is better than none")
    {
        ask.finish_by = at_milliseconds(600 + 1200);
        CHECK(cell.decide(ask, 600) == "d1/");
    }
}

// An engine that counts tokens of another one as its own seems faster than it is, and is promised more answers than it has
// memory for.
TEST_CASE("Tokens that were produced before a move do not count for the pace of the target")
{
    MoveCell cell;
    auto const step_time = [&] { return cell.scheduler.engine_states().at("llm").front().step_time; };
    REQUIRE(step_time() == milliseconds(1));
    // d0 has stopped after 500 tokens, long before the move. d1 then takes 2 ms per token.
    auto const is_stalled = GENERATE(false, true);
    auto const moved_at = is_stalled ? 5000 : 600;
    REQUIRE(cell.decide(MoveCell::move_ask(), moved_at) == "d1/");
    cell.scheduler.end_move("r1", MoveEnd::Moved, "d1", at_milliseconds(moved_at));
    cell.scheduler.release("r1", 1000, at_milliseconds(moved_at + 1000));
    // The sample has a weight of a fifth at one of the two engines.
    CHECK(step_time() == Duration(1100));
}
