// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/CellScheduler.h>
#include <LibDecision/EngineSubset.h>
#include <LibDecision/RouteTable.h>
#include <LibDecision/UpstreamList.h>
#include <Tests/Support/StorePositions.h>
#include <Tests/Support/VirtualClock.h>
#include <algorithm>
#include <catch2/catch.hpp>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

constexpr Duration LOOKBACK = seconds(30);

UpstreamRecord record(std::string identity, std::string version, std::int64_t started = 0)
{
    UpstreamRecord made;
    made.identity = std::move(identity);
    made.service = "engines";
    made.address = "127.0.0.1:1";
    made.started = started;
    made.software_version = std::move(version);
    return made;
}

/// Two upstreams of v1, listed at 0 s.
UpstreamList list_of_one_version()
{
    UpstreamList list({ milliseconds(1800) });
    list.replace({ { "a", record("a", "v1"), 1_v }, { "b", record("b", "v1"), 2_v } }, 2_v, at_milliseconds(0));
    return list;
}

/// Engines of which each two have a version of their own.
class VersionedCell {
public:
    explicit VersionedCell(std::vector<EngineDescription> engines)
        : scheduler(options())
    {
        for (auto& engine : engines) {
            engine.model = "llm";
            engine.decode_slots = 4;
            engine.prefill_rate = 10'000;
        }
        this->scheduler.set_engines(engines);
        this->scheduler.set_accounts(std::vector<AccountDescription> { { "a", 1, 1000, 1000 } }, at_milliseconds(0));
    }

    static CellScheduler::Options options()
    {
        CellScheduler::Options options;
        options.report_need = CellScheduler::Options::ReportNeed::None;
        options.policy.decode_prefill = SchedulerPolicy::DecodePrefill::Overflow;
        options.policy.backfill = SchedulerPolicy::Backfill::On;
        return options;
    }

    void ask(std::string request, std::string version = {}, std::vector<std::string> excluded = {})
    {
        PlacementAsk ask;
        ask.request = std::move(request);
        ask.account = "a";
        ask.model = "llm";
        ask.prompt_tokens = 1000;
        ask.maximum_output_tokens = 100;
        ask.first_token_deadline = at_milliseconds(950);
        ask.software_version = std::move(version);
        ask.excluded_engines = std::move(excluded);
        this->scheduler.ask(std::move(ask), at_milliseconds(0));
    }

    /// Grants since the last call, as "REQUEST PREFILL DECODE".
    std::vector<std::string> grants()
    {
        std::vector<std::string> texts;
        for (auto const& decision : this->scheduler.take_decisions()) {
            if (auto const* grant = std::get_if<PlacementGrant>(&decision))
                texts.push_back(grant->request + " " + grant->prefill_engine + " " + grant->decode_engine);
        }
        return texts;
    }

    CellScheduler scheduler;
};

EngineDescription engine(std::string name, EngineRole role, std::string version)
{
    EngineDescription made;
    made.name = std::move(name);
    made.role = role;
    made.software_version = std::move(version);
    return made;
}

using Texts = std::vector<std::string>;

}

// Guards against VMs that take a service for one of a single version because they missed another.
TEST_CASE("A service has had one software version only if the list can have missed no other", "[stream-versions]")
{
    struct Case {
        std::string name;
        std::function<void(UpstreamList&)> change;
        /// Whether v1 is the only version at 40 s.
        bool is_only = false;
    };
    auto const given = GENERATE(values<Case>({
        { "unchanged", [](auto&) {}, true },
        { "another of the version came", [](auto& list) { list.apply({ "c", record("c", "v1"), 3_v }, at_milliseconds(20'000)); }, true },
        { "another of the version came and left, perhaps as another", [](auto& list) {
             list.apply({ "c", record("c", "v1"), 3_v }, at_milliseconds(20'000));
             list.apply({ "c", {}, 4_v }, at_milliseconds(30'000)); },
            false },
        { "another of the version came and left long ago", [](auto& list) {
             list.apply({ "c", record("c", "v1"), 3_v }, at_milliseconds(5'000));
             list.apply({ "c", {}, 4_v }, at_milliseconds(9'000)); },
            true },
        { "one that had left long ago came back", [](auto& list) {
             list.apply({ "c", {}, 3_v }, at_milliseconds(5'000));
             list.apply({ "c", record("c", "v1"), 4_v }, at_milliseconds(12'000)); },
            false },
        { "one was restarted, perhaps twice", [](auto& list) {
             auto restarted = record("a", "v1");
             restarted.started = 2000;
             list.apply({ "a", restarted, 3_v }, at_milliseconds(12'000)); },
            false },
        { "another version is listed", [](auto& list) { list.apply({ "c", record("c", "v2"), 3_v }, at_milliseconds(39'000)); }, false },
        { "another version left lately", [](auto& list) {
             list.apply({ "c", record("c", "v2"), 3_v }, at_milliseconds(5'000));
             list.apply({ "c", {}, 4_v }, at_milliseconds(11'000)); },
            false },
        { "another version left long ago", [](auto& list) {
             list.apply({ "c", record("c", "v2"), 3_v }, at_milliseconds(5'000));
             list.apply({ "c", {}, 4_v }, at_milliseconds(9'000)); },
            true },
        { "an upstream changed its version lately", [](auto& list) {
             list.apply({ "b", record("b", "v2"), 3_v }, at_milliseconds(5'000));
             list.apply({ "b", record("b", "v1"), 4_v }, at_milliseconds(12'000)); },
            false },
        { "a version is not known", [](auto& list) { list.apply({ "c", record("c", ""), 3_v }, at_milliseconds(1'000)); }, false },
        { "an upstream came and went unseen", [](auto& list) { list.apply({ "c", {}, 4_v }, at_milliseconds(12'000)); }, false },
        { "the list was read anew", [](auto& list) { list.replace({ { "a", record("a", "v1"), 1_v } }, 9_v, at_milliseconds(12'000)); }, false },
        { "the list was read anew long ago", [](auto& list) { list.replace({ { "a", record("a", "v1"), 1_v } }, 9_v, at_milliseconds(9'000)); }, true },
        { "the registry came back older", [](auto& list) { list.apply({ "a", record("a", "v1"), StorePosition(1, 1) }, at_milliseconds(12'000)); }, false },
    }));
    auto list = list_of_one_version();
    given.change(list);
    CAPTURE(given.name);
    auto const only = list.only_software_version("engines", LOOKBACK, at_milliseconds(40'000));
    CHECK(only.has_value() == given.is_only);
    CHECK(only.value_or("v1") == "v1");
    CHECK_FALSE(list.only_software_version("others", LOOKBACK, at_milliseconds(40'000)));
    // A list that was first read within the lookback tells nothing of what was before.
    CHECK_FALSE(list_of_one_version().only_software_version("engines", LOOKBACK, at_milliseconds(29'000)));
    CHECK_FALSE(UpstreamList({}).only_software_version("engines", Duration::zero(), at_milliseconds(40'000)));
}

// Guards against streams that continue by an entry of an incarnation that was replaced by one with other software.
TEST_CASE("An entry of an earlier incarnation than the known one names no software version", "[stream-versions]")
{
    UpstreamList list({ milliseconds(1800) });
    list.apply({ "a", record("a", "v2", 2000), 5_v }, at_milliseconds(0));
    list.replace({ { "a", record("a", "v1", 1000), StorePosition(1, 2) } }, StorePosition(1, 2), at_milliseconds(100));
    REQUIRE(list.find("a"));
    CHECK(list.find("a")->software_version.empty());
    list.apply({ "a", record("a", "v2", 2000), StorePosition(1, 3) }, at_milliseconds(200));
    CHECK(list.find("a")->software_version == "v2");
    list.apply({ "a", record("a", "v3", 3000), StorePosition(1, 4) }, at_milliseconds(300));
    CHECK(list.find("a")->software_version == "v3");
}

// Guards against decode engines that read a cache which another software version has written.
TEST_CASE("A prefill and its decode engine have one software version", "[stream-versions]")
{
    VersionedCell cell({ engine("p1", EngineRole::Prefill, "v1"), engine("p2", EngineRole::Prefill, "v2"), engine("d1", EngineRole::Decode, "v1"), engine("d2", EngineRole::Decode, "v2") });
    for (int i = 0; i < 6; ++i)
        cell.ask("r" + std::to_string(i));
    auto const grants = cell.grants();
    CHECK(grants.size() == 6);
    for (auto const& grant : grants) {
        CAPTURE(grant);
        CHECK((grant.ends_with("p1 d1") || grant.ends_with("p2 d2")));
    }
}

// Guards against requests that wait although a decode engine could read the prompt itself.
TEST_CASE("Where no prefill engine has a decode engine's version, the decode engine runs the prefill", "[stream-versions]")
{
    VersionedCell cell({ engine("p1", EngineRole::Prefill, "v1"), engine("d2", EngineRole::Decode, "v2") });
    cell.ask("r1");
    CHECK(cell.grants() == Texts { "r1  d2" });
}

// Guards against streams that continue at another version, or wait behind new ones for the few engines of theirs.
TEST_CASE("A stream that continues is placed at its version only, and before new streams", "[stream-versions]")
{
    VersionedCell cell({ engine("p1", EngineRole::Prefill, "v1"), engine("p2", EngineRole::Prefill, "v2"), engine("d1", EngineRole::Decode, "v1"), engine("d2", EngineRole::Decode, "v2") });
    for (int i = 0; i < 8; ++i)
        cell.ask("r" + std::to_string(i));
    CHECK(cell.grants().size() == 8);
    cell.ask("new");
    cell.ask("resumed", "v2");
    cell.ask("unserved", "v3");
    CHECK(cell.grants().empty());
    // A slot of each version becomes free.
    cell.scheduler.release("r0", 0, at_milliseconds(10));
    cell.scheduler.release("r1", 0, at_milliseconds(10));
    auto const grants = cell.grants();
    CHECK(std::count(grants.begin(), grants.end(), "resumed p2 d2") == 1);
    CHECK(std::count(grants.begin(), grants.end(), "new p1 d1") == 1);
    CHECK(grants.size() == 2);
}

// Guards against new streams that wait although their engines are free, behind resumed ones whose version is full.
TEST_CASE("Many streams that wait for a full version do not hold up new ones", "[stream-versions]")
{
    VersionedCell cell({ engine("p1", EngineRole::Prefill, "v1"), engine("p2", EngineRole::Prefill, "v2"), engine("d1", EngineRole::Decode, "v1"), engine("d2", EngineRole::Decode, "v2") });
    for (int i = 0; i < 24; ++i)
        cell.ask("resumed" + std::to_string(i), "v1");
    CHECK(cell.grants().size() == 4);
    cell.ask("new");
    CHECK(cell.grants() == Texts { "new p2 d2" });
}

// Guards against keepers whose subset of the engines has none of a stream's version.
TEST_CASE("The subset has engines of each software version", "[stream-versions]")
{
    std::vector<std::string> names;
    for (int i = 0; i < 200; ++i)
        names.push_back("engine-" + std::to_string(i));
    std::vector<SubsetCandidate> candidates;
    for (std::size_t i = 0; i < names.size(); ++i)
        candidates.push_back({ names[i], "model", "dc", SubsetCandidate::Life::Serving, i < 198 ? "v1" : "v2" });
    EngineSubset subset({ 32 });
    auto const chosen = subset.choose(candidates);
    CHECK(chosen.size() == 34);
    CHECK(std::count_if(chosen.begin(), chosen.end(), [](auto index) { return index >= 198; }) == 2);
}

// Guards against streams that continue at a service to which their route has been moved since they began.
TEST_CASE("A route table tells whether another one sends each of its routes' requests where it does", "[stream-versions]")
{
    auto const table_of = [](std::vector<RouteTarget> targets, std::string prefix = "/a/") {
        Route route;
        route.name = "r";
        route.host = "h.example";
        route.path_prefix = std::move(prefix);
        route.targets = std::move(targets);
        RoutingConfiguration configuration;
        configuration.routes = { route };
        return RouteTable(configuration);
    };
    auto const table = table_of({ { "one", 1 } });
    CHECK(table.has_same_targets_in(table_of({ { "one", 1 } })));
    CHECK_FALSE(table.has_same_targets_in(table_of({ { "other", 1 } })));
    CHECK_FALSE(table.has_same_targets_in(table_of({ { "one", 1 }, { "other", 1 } })));
    CHECK_FALSE(table.has_same_targets_in(table_of({ { "one", 1 } }, "/b/")));
    // A longer prefix that is not there any more falls to a shorter one.
    CHECK_FALSE(table.has_same_targets_in(table_of({ { "one", 1 } }, "/")));
}
