// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/CellScheduler.h>
#include <Tests/Support/VirtualClock.h>
#include <catch2/catch.hpp>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

/// A cell with prefill engines p0, p1, ... of 10,000 tokens/s and decode engines d0, d1, ... with a few slots each.
class Cell {
public:
    Cell(int prefill_engines, int decode_engines, std::int64_t slots, CellScheduler::Options options = {})
        : scheduler(std::move(options))
    {
        for (int i = 0; i < prefill_engines; ++i)
            this->engines.push_back({ "p" + std::to_string(i), "llm", EngineRole::Prefill, 0, 10'000, 0, 1 });
        for (int i = 0; i < decode_engines; ++i)
            this->engines.push_back({ "d" + std::to_string(i), "llm", EngineRole::Decode, slots, 10'000, 0, 1 });
        this->scheduler.set_engines(this->engines);
        this->scheduler.set_accounts(std::vector<AccountDescription> { { "a", 1, 1000, 1000 }, { "b", 1, 1000, 1000 }, { "limited", 1, 1, 2 } }, at_milliseconds(0));
        this->report_all(at_milliseconds(0));
    }

    void report_all(MonotonicTime now)
    {
        for (auto const& engine : this->engines)
            this->scheduler.report(engine.name, this->reports[engine.name], now);
    }

    void ask(std::string request, std::int64_t now_milliseconds, std::int64_t tokens = 1000, std::string account = "a", std::int64_t priority = 0)
    {
        auto ask = make_ask(std::move(request), tokens, std::move(account));
        ask.first_token_deadline = at_milliseconds(now_milliseconds + 950);
        ask.priority = priority;
        this->scheduler.ask(std::move(ask), at_milliseconds(now_milliseconds));
    }

    /// Decisions since the last call, as "grant NAME PREFILL DECODE" or "refuse NAME REASON".
    std::vector<std::string> decisions()
    {
        std::vector<std::string> texts;
        for (auto const& decision : this->scheduler.take_decisions()) {
            if (auto const* grant = std::get_if<PlacementGrant>(&decision))
                texts.push_back("grant " + grant->request + " " + grant->prefill_engine + " " + grant->decode_engine);
            else
                texts.push_back("refuse " + std::get<PlacementRefusal>(decision).request + " " + std::string(to_string(std::get<PlacementRefusal>(decision).reason)));
        }
        return texts;
    }

    void decode(std::string const& request, std::int64_t now_milliseconds)
    {
        this->scheduler.progress(request, GrantProgress::Prefilling, at_milliseconds(now_milliseconds));
        this->scheduler.progress(request, GrantProgress::CacheHeld, at_milliseconds(now_milliseconds));
        this->scheduler.progress(request, GrantProgress::Decoding, at_milliseconds(now_milliseconds));
    }

    /// An ask that has a number, after others of the same request that were released.
    void ask_numbered(std::string request, std::int64_t now_milliseconds, std::uint64_t number, std::vector<std::uint64_t> released = {}, std::string origin = "entry-1")
    {
        auto ask = make_ask(std::move(request), 100, "a");
        ask.first_token_deadline = at_milliseconds(now_milliseconds + 950);
        ask.origin = std::move(origin);
        ask.number = number;
        ask.released_numbers = std::move(released);
        this->scheduler.ask(std::move(ask), at_milliseconds(now_milliseconds));
    }

    /// The request's VM reports the grant that it holds at d0, whose phase began so long ago.
    void renew(std::string request, std::int64_t now_milliseconds, Duration age, std::uint64_t number = 0, GrantProgress progress = GrantProgress::Decoding)
    {
        auto ask = make_ask(std::move(request), 100, "a");
        ask.number = number;
        this->scheduler.restore(std::move(ask), "p0", "d0", progress, age, at_milliseconds(now_milliseconds));
    }

    CellScheduler scheduler;
    std::vector<EngineDescription> engines;
    std::map<std::string, EngineReport> reports;

private:
    static PlacementAsk make_ask(std::string request, std::int64_t tokens, std::string account)
    {
        PlacementAsk ask;
        ask.request = std::move(request);
        ask.account = std::move(account);
        ask.model = "llm";
        ask.origin = "entry-1";
        ask.prompt_tokens = tokens;
        ask.maximum_output_tokens = 100;
        return ask;
    }
};

using Texts = std::vector<std::string>;

}

TEST_CASE("A request gets the earliest prefill engine and the decode engine with the most free slots")
{
    Cell cell(2, 2, 4);
    cell.ask("r1", 0, 2000);
    cell.ask("r2", 0, 1000);
    cell.ask("r3", 0, 1000);
    CHECK(cell.decisions() == Texts { "grant r1 p0 d0", "grant r2 p1 d1", "grant r3 p1 d0" });
}

// Guards against KV cache transfers between data centres that gain little: with identical engines and long prompts, a
// transfer within a data centre takes half as long as one between two.
TEST_CASE("Prefill engines in the requesting VM's data centre are preferred within the configured delay")
{
    struct Row {
        std::string name;
        std::string asks_from;
        /// Prompt tokens already queued at the local engine, which processes 10 per millisecond.
        std::int64_t home_busy_tokens;
        std::string reader;
    };
    auto const row = GENERATE(values<Row>({
        { "both idle", "dc-b", 0, "p1" },
        { "local engine slightly later", "dc-b", 250, "p1" },
        { "local engine too late", "dc-b", 350, "p0" },
        { "no local engine", "dc-c", 0, "p0" },
        { "requesting data centre unknown", "", 0, "p0" },
    }));
    CAPTURE(row.name);
    Cell cell(2, 2, 4);
    cell.engines[0].data_centre = "dc-a";
    cell.engines[1].data_centre = "dc-b";
    cell.scheduler.set_engines(cell.engines);
    auto const ask = [&](std::string request, std::int64_t tokens, std::string data_centre, std::vector<std::string> excluded) {
        PlacementAsk ask;
        ask.request = std::move(request);
        ask.account = "a";
        ask.model = "llm";
        ask.origin = "entry-1";
        ask.prompt_tokens = tokens;
        ask.maximum_output_tokens = 100;
        ask.first_token_deadline = at_milliseconds(950);
        ask.data_centre = std::move(data_centre);
        ask.excluded_engines = std::move(excluded);
        cell.scheduler.ask(std::move(ask), at_milliseconds(0));
    };
    if (row.home_busy_tokens > 0)
        ask("before", row.home_busy_tokens, "dc-b", { "p0" });
    cell.scheduler.take_decisions();
    ask("request", 1000, row.asks_from, {});
    auto const decisions = cell.decisions();
    REQUIRE(decisions.size() == 1);
    CHECK(decisions[0].substr(0, 16) == "grant request " + row.reader);
}

TEST_CASE("No prefill starts without a promised decode slot")
{
    Cell cell(1, 1, 1);
    cell.ask("r1", 0, 100);
    CHECK(cell.decisions() == Texts { "grant r1 p0 d0" });
    cell.decode("r1", 20);
    cell.ask("r2", 30, 100);
    CHECK(cell.decisions().empty());
    cell.scheduler.release("r1", 20, at_milliseconds(300));
    CHECK(cell.decisions() == Texts { "grant r2 p0 d0" });
}

TEST_CASE("Without slot promises a prefill starts at once")
{
    CellScheduler::Options options;
    options.policy.slot_promise = SchedulerPolicy::SlotPromise::Ignored;
    Cell cell(1, 1, 1, options);
    cell.ask("r1", 0, 100);
    cell.decode("r1", 20);
    cell.ask("r2", 30, 100);
    CHECK(cell.decisions() == Texts { "grant r1 p0 d0", "grant r2 p0 d0" });
}

TEST_CASE("A slot that is predicted to be free in time is promised in advance")
{
    Cell cell(1, 1, 1);
    for (int i = 0; i < 200; ++i) {
        auto const name = "warm" + std::to_string(i);
        cell.ask(name, i * 40, 10);
        cell.decode(name, i * 40 + 1);
        cell.scheduler.release(name, 10, at_milliseconds(i * 40 + 30));
        cell.report_all(at_milliseconds(i * 40 + 31));
    }
    cell.decisions();
    cell.ask("r1", 10'000, 100);
    cell.decode("r1", 10'020);
    // Ten tokens at 25 ms end at about 10.27 s, well before a prefill of 700 ms does.
    cell.ask("r2", 10'030, 7000);
    CHECK(cell.decisions() == Texts { "grant r1 p0 d0", "grant r2 p0 d0" });
}

TEST_CASE("A request that cannot meet its first token deadline is refused at once with a retry delay")
{
    Cell cell(1, 1, 4);
    cell.ask("hopeless", 0, 9800);
    auto const decisions = cell.scheduler.take_decisions();
    REQUIRE(decisions.size() == 1);
    auto const& refusal = std::get<PlacementRefusal>(decisions.front());
    CHECK(refusal.reason == RefusalReason::CannotMeetFirstToken);
    CHECK(refusal.retry_after >= milliseconds(100));
}

TEST_CASE("A waiting request is refused as soon as its deadline cannot be met")
{
    Cell cell(1, 1, 1);
    cell.ask("r1", 0, 100);
    cell.decode("r1", 20);
    cell.decisions();
    cell.ask("r2", 100, 4000);
    cell.scheduler.advance(at_milliseconds(500));
    CHECK(cell.decisions().empty());
    // 400 ms of prefill and a decode step no longer fit before 1050 ms.
    cell.scheduler.advance(at_milliseconds(640));
    CHECK(cell.decisions() == Texts { "refuse r2 cannot_meet_first_token" });
}

TEST_CASE("Requests are ordered by priority, account usage and deadline")
{
    Cell cell(1, 1, 1);
    cell.ask("first", 0, 100, "a");
    cell.decode("first", 10);
    cell.decisions();
    cell.ask("a1", 20, 100, "a");
    cell.ask("a2", 21, 100, "a");
    cell.ask("b1", 22, 100, "b");
    cell.ask("urgent", 23, 100, "a", 5);
    Texts order;
    std::string running = "first";
    for (int i = 0; i < 4; ++i) {
        cell.scheduler.release(running, 5, at_milliseconds(30 + i * 20));
        auto const next = cell.decisions();
        REQUIRE(next.size() == 1);
        order.push_back(next.front());
        running = next.front().substr(6, next.front().find(' ', 6) - 6);
        cell.decode(running, 40 + i * 20);
    }
    CHECK(order == Texts { "grant urgent p0 d0", "grant b1 p0 d0", "grant a1 p0 d0", "grant a2 p0 d0" });
}

TEST_CASE("An account over its rate is refused with a retry delay")
{
    Cell cell(1, 1, 20);
    for (int i = 0; i < 3; ++i)
        cell.ask("r" + std::to_string(i), 0, 10, "limited");
    CHECK(cell.decisions() == Texts { "grant r0 p0 d0", "grant r1 p0 d0", "refuse r2 rate_limited" });
    cell.ask("r3", 1000, 10, "limited");
    cell.scheduler.advance(at_milliseconds(1000));
    CHECK(cell.decisions() == Texts { "grant r3 p0 d0" });
}

TEST_CASE("Unknown models, unknown accounts and duplicate requests are refused with the reason")
{
    Cell cell(1, 1, 4);
    cell.ask("r1", 0);
    cell.ask("r1", 0);
    cell.ask("r2", 0, 10, "nobody");
    PlacementAsk other;
    other.request = "r3";
    other.account = "a";
    other.model = "no-model";
    cell.scheduler.ask(other, at_milliseconds(0));
    CHECK(cell.decisions() == Texts { "grant r1 p0 d0", "refuse r1 duplicate", "refuse r2 unknown_account", "refuse r3 unknown_model" });
}

TEST_CASE("A leaving engine gets no new requests, whatever the source of that information", "[leaving]")
{
    SECTION("engine report")
    {
        Cell cell(1, 2, 4);
        cell.reports["d0"].life = EngineReport::Life::Leaving;
        cell.report_all(at_milliseconds(10));
        cell.ask("r1", 20);
        CHECK(cell.decisions() == Texts { "grant r1 p0 d1" });
    }
    SECTION("a drain or the VM list")
    {
        Cell cell(1, 2, 4);
        cell.scheduler.set_leaving("d0", EngineReport::Life::Leaving);
        cell.ask("r1", 20);
        CHECK(cell.decisions() == Texts { "grant r1 p0 d1" });
        cell.scheduler.set_leaving("d0", EngineReport::Life::Serving);
        cell.ask("r2", 21);
        CHECK(cell.decisions() == Texts { "grant r2 p0 d0" });
    }
    SECTION("no reports")
    {
        Cell cell(1, 2, 4);
        cell.scheduler.report("p0", {}, at_milliseconds(3500));
        cell.scheduler.report("d1", {}, at_milliseconds(3500));
        cell.ask("r1", 3600);
        CHECK(cell.decisions() == Texts { "grant r1 p0 d1" });
    }
}

TEST_CASE("A failed engine gets no new requests until it reports and its backoff has expired", "[held][kill]")
{
    Cell cell(1, 2, 4);
    cell.scheduler.note_failure("d0", at_milliseconds(0));
    cell.ask("r1", 20);
    CHECK(cell.decisions() == Texts { "grant r1 p0 d1" });
    cell.report_all(at_milliseconds(30));
    cell.ask("r2", 40);
    CHECK(cell.decisions() == Texts { "grant r2 p0 d1" });
    cell.ask("r3", 510);
    CHECK(cell.decisions() == Texts { "grant r3 p0 d0" });
}

TEST_CASE("The backoff of a failing engine doubles and is reset by a success", "[held][stalled-transfer]")
{
    Cell cell(1, 1, 20);
    auto const is_used_at = [&](std::int64_t now) {
        cell.report_all(at_milliseconds(now));
        auto const request = "r" + std::to_string(now);
        cell.ask(request, now, 10);
        bool const is_granted = !cell.decisions().empty();
        // A request that is still waiting would become the probe of the next call.
        if (!is_granted)
            cell.scheduler.release(request, 0, at_milliseconds(now));
        return is_granted;
    };
    cell.scheduler.note_failure("d0", at_milliseconds(0));
    cell.scheduler.note_failure("d0", at_milliseconds(10));
    CHECK_FALSE(is_used_at(490));
    CHECK(is_used_at(501));
    cell.scheduler.note_failure("d0", at_milliseconds(600));
    cell.scheduler.release("r501", 0, at_milliseconds(600));
    CHECK_FALSE(is_used_at(1590));
    CHECK(is_used_at(1601));
    cell.decode("r1601", 1610);
    cell.scheduler.note_failure("d0", at_milliseconds(1700));
    CHECK(is_used_at(2201));
}

TEST_CASE("A failed engine gets a single probe request first", "[held][stalled-transfer]")
{
    Cell cell(1, 1, 20);
    cell.scheduler.note_failure("d0", at_milliseconds(0));
    cell.report_all(at_milliseconds(600));
    cell.ask("r1", 600, 10);
    cell.ask("r2", 601, 10);
    CHECK(cell.decisions() == Texts { "grant r1 p0 d0" });
    cell.decode("r1", 620);
    CHECK(cell.decisions() == Texts { "grant r2 p0 d0" });
}

TEST_CASE("A new keeper grants nothing until engines have reported, and counts the requests they hold", "[held][kill]")
{
    CellScheduler scheduler({});
    std::vector<EngineDescription> const engines = { { "p0", "llm", EngineRole::Prefill, 0, 10'000, 0, 1 }, { "d0", "llm", EngineRole::Decode, 2, 10'000, 0, 1 } };
    scheduler.set_engines(engines);
    scheduler.set_accounts(std::vector<AccountDescription> { { "a", 1, 100, 100 } }, at_milliseconds(0));
    PlacementAsk ask { "r1", "a", "llm", "entry-1", 100, 10, 0, at_milliseconds(950), 0 };
    scheduler.ask(ask, at_milliseconds(0));
    CHECK(scheduler.take_decisions().empty());
    scheduler.report("p0", {}, at_milliseconds(10));
    EngineReport busy;
    busy.held = { { "old-1", "entry-0", "a", HeldWork::Reader::Attached }, { "old-2", "entry-0", "a", HeldWork::Reader::Attached } };
    scheduler.report("d0", busy, at_milliseconds(20));
    CHECK(scheduler.take_decisions().empty());
    busy.held.pop_back();
    scheduler.report("d0", busy, at_milliseconds(100));
    REQUIRE(scheduler.take_decisions().size() == 1);
    CHECK(scheduler.locate("old-1")->decode_engine == "d0");
}

TEST_CASE("A restarted engine has all slots free and none of its previous requests", "[kill]")
{
    Cell cell(1, 1, 1);
    cell.ask("a", 0);
    REQUIRE(cell.decisions() == Texts { "grant a p0 d0" });
    cell.decode("a", 100);
    cell.engines.back().started = 2;
    cell.scheduler.set_engines(cell.engines);
    cell.report_all(at_milliseconds(200));
    cell.ask("b", 200);
    CHECK(cell.decisions() == Texts { "grant b p0 d0" });
    // Releasing the request of the previous process must not free the slot of the new one.
    cell.scheduler.release("a", 10, at_milliseconds(210));
    cell.ask("c", 220);
    CHECK(cell.decisions().empty());
}

TEST_CASE("A delayed report does not restore released requests", "[held][slow]")
{
    Cell cell(1, 1, 1);
    cell.ask("r1", 0, 100);
    cell.decode("r1", 10);
    cell.scheduler.release("r1", 5, at_milliseconds(100));
    cell.decisions();
    cell.reports["d0"].held = { { "r1", "entry-1", "a", HeldWork::Reader::None } };
    cell.report_all(at_milliseconds(150));
    cell.ask("r2", 160, 100);
    CHECK(cell.decisions() == Texts { "grant r2 p0 d0" });
}

// Guards against a keeper that assigns an engine's memory twice, since it ignores the renewed grant of a request that it released before.
TEST_CASE("A renewed grant is counted if its request was placed elsewhere after its release here", "[held]")
{
    Cell cell(1, 1, 1);
    cell.ask("r1", 0, 100);
    cell.decode("r1", 10);
    cell.scheduler.release("r1", 5, at_milliseconds(100));
    cell.decisions();
    SECTION("placed elsewhere")
    {
        cell.renew("r1", 300, milliseconds(50));
        cell.ask("r2", 310, 100);
        CHECK(cell.decisions().empty());
    }
    SECTION("a delayed record of the released grant")
    {
        cell.renew("r1", 110, milliseconds(90));
        cell.ask("r2", 120, 100);
        CHECK(cell.decisions() == Texts { "grant r2 p0 d0" });
    }
}

// Guards against the same after a keeper that missed some renewals, because another VM was taken for the keeper, becomes the keeper again.
TEST_CASE("A grant that expired for want of renewals is counted once it is renewed", "[held][slow]")
{
    CellScheduler::Options options;
    options.stale_grant_timeout = milliseconds(1000);
    Cell cell(1, 1, 1, options);
    cell.ask("r1", 0, 100);
    cell.decode("r1", 10);
    cell.decisions();
    cell.scheduler.advance(at_milliseconds(1500));
    cell.renew("r1", 1600, milliseconds(1590));
    cell.ask("r2", 1610, 100);
    CHECK(cell.decisions().empty());
}

// Guards against a prefill engine that is taken for busy, and requests that are refused for it: another VM was the keeper while the
// origin reported the progress.
TEST_CASE("A keeper learns from a renewal how far a grant has come in the meantime", "[held]")
{
    Cell cell(1, 1, 2);
    cell.ask("r1", 0, 9000);
    cell.scheduler.progress("r1", GrantProgress::Prefilling, at_milliseconds(10));
    cell.decisions();
    cell.renew("r1", 300, milliseconds(50));
    cell.ask("r2", 310, 3000);
    CHECK(cell.decisions() == Texts { "grant r2 p0 d0" });
    SECTION("and not from a renewal that is delayed")
    {
        cell.scheduler.progress("r2", GrantProgress::CacheHeld, at_milliseconds(600));
        cell.renew("r2", 610, milliseconds(100), 0, GrantProgress::Prefilling);
        cell.scheduler.release("r1", 100, at_milliseconds(620));
        cell.ask("r3", 630, 3000);
        CHECK(cell.decisions() == Texts { "grant r3 p0 d0" });
    }
}

// Guards against a request that is refused as a duplicate of itself when it is placed again.
TEST_CASE("The next ask of a request frees the grant whose release was lost", "[held][cut]")
{
    Cell cell(1, 1, 1);
    cell.ask_numbered("r1", 0, 1);
    REQUIRE(cell.decisions() == Texts { "grant r1 p0 d0" });
    SECTION("granted")
    {
        cell.ask_numbered("r1", 100, 2, { 1 });
        CHECK(cell.decisions() == Texts { "grant r1 p0 d0" });
    }
    SECTION("waiting")
    {
        cell.ask_numbered("r2", 50, 2);
        REQUIRE(cell.decisions().empty());
        cell.ask_numbered("r2", 100, 3, { 2 });
        REQUIRE(cell.decisions().empty());
        cell.scheduler.release("r1", 0, at_milliseconds(110));
        CHECK(cell.decisions() == Texts { "grant r2 p0 d0" });
    }
    SECTION("another request of the same name keeps its grant")
    {
        cell.ask_numbered("r1", 100, 2);
        CHECK(cell.decisions() == Texts { "refuse r1 duplicate" });
        cell.ask_numbered("r1", 110, 2, { 1 }, "entry-2");
        CHECK(cell.decisions() == Texts { "refuse r1 duplicate" });
        cell.ask_numbered("r1", 120, 4, { 3 });
        CHECK(cell.decisions() == Texts { "refuse r1 duplicate" });
    }
}

TEST_CASE("The renewal of a later grant replaces the earlier one whose release was lost", "[held][cut]")
{
    Cell cell(1, 2, 1);
    cell.ask_numbered("r1", 0, 1);
    cell.ask_numbered("r2", 0, 2);
    REQUIRE(cell.decisions() == Texts { "grant r1 p0 d0", "grant r2 p0 d1" });
    // The second request was placed again by another VM, at d0.
    cell.scheduler.release("r1", 0, at_milliseconds(100));
    cell.renew("r2", 150, milliseconds(20), 3);
    CHECK(cell.scheduler.locate("r2")->decode_engine == "d0");
    cell.ask("r3", 160, 100);
    CHECK(cell.decisions() == Texts { "grant r3 p0 d1" });
    // A record of the earlier grant is delayed.
    cell.renew("r2", 170, milliseconds(160), 2);
    cell.scheduler.release("r2", 0, at_milliseconds(180), { "entry-1", 3 });
    CHECK_FALSE(cell.scheduler.knows("r2"));
}

TEST_CASE("An unconfirmed grant is withdrawn after its lease", "[held][lapsed-lease]")
{
    Cell cell(1, 1, 1);
    cell.ask("r1", 0, 100);
    cell.decisions();
    cell.report_all(at_milliseconds(1400));
    cell.ask("r2", 1400, 100);
    cell.scheduler.advance(at_milliseconds(1450));
    CHECK(cell.decisions().empty());
    cell.scheduler.advance(at_milliseconds(1510));
    CHECK(cell.decisions() == Texts { "grant r2 p0 d0" });
}

TEST_CASE("Grants of a dead origin are released, except for requests that an engine still holds", "[held][kill]")
{
    Cell cell(1, 1, 2);
    cell.ask("r1", 0, 100);
    cell.ask("r2", 0, 100);
    cell.decode("r1", 10);
    cell.decode("r2", 10);
    cell.decisions();
    cell.scheduler.remove_origin("entry-1", at_milliseconds(100));
    cell.reports["d0"].held = { { "r1", "entry-1", "a", HeldWork::Reader::None } };
    cell.report_all(at_milliseconds(110));
    cell.ask("r3", 120, 100);
    cell.ask("r4", 120, 100);
    CHECK(cell.decisions() == Texts { "grant r3 p0 d0" });
    CHECK(cell.scheduler.knows("r1"));
    CHECK_FALSE(cell.scheduler.knows("r2"));
}

TEST_CASE("Two concurrent keepers count each other's requests and keep their own")
{
    Cell first(1, 1, 1);
    Cell second(1, 1, 1);
    first.ask("r1", 0, 100);
    second.ask("r2", 0, 100);
    CHECK(first.decisions() == Texts { "grant r1 p0 d0" });
    CHECK(second.decisions() == Texts { "grant r2 p0 d0" });
    // Both keepers learn of the other's request from the next engine report and keep their own.
    EngineReport both;
    both.held = { { "r1", "entry-1", "a", HeldWork::Reader::Attached }, { "r2", "entry-2", "a", HeldWork::Reader::Attached } };
    first.scheduler.report("d0", both, at_milliseconds(50));
    second.scheduler.report("d0", both, at_milliseconds(50));
    for (auto* cell : { &first, &second }) {
        CHECK(cell->scheduler.knows("r1"));
        CHECK(cell->scheduler.knows("r2"));
        CHECK(cell->scheduler.summary(at_milliseconds(50)).free_slots == 0);
    }
}
