// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibRouter/PlacementService.h>
#include <Tests/Support/StorePositions.h>
#include <catch2/catch.hpp>
#include <google/protobuf/stubs/logging.h>
#include <random>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

constexpr int DECODE_SLOTS = 8;

/// A configuration whose engines serve model "m".
RoutingConfiguration engines_of_model()
{
    ServiceTraits service;
    service.name = "m";
    service.engine = EngineTraits { DECODE_SLOTS, 50'000, 1000, 1e9, 1, milliseconds(500) };
    RoutingConfiguration configuration;
    configuration.services.push_back(service);
    return configuration;
}

/// A placement service on its own event loop, called directly instead of over the network.
struct PlacementServiceTest {
    explicit PlacementServiceTest(CellScheduler::Options scheduler_options = {})
    {
        Kernel::Options options;
        options.virtual_machine = "vm-1";
        options.listen_endpoint = "tcp://127.0.0.1:0";
        options.loop = &this->loop;
        this->kernel = Kernel::create(std::move(options)).release_value();
        this->placement_service = std::make_unique<PlacementService>(std::move(scheduler_options), *this->kernel, this->metrics, this->loop);
    }

    /// Adds one engine of each role for model "m".
    void add_engines()
    {
        UpstreamList upstreams { UpstreamList::Options {} };
        UpstreamRecord prefill { "p", "m", "127.0.0.1:1", "dc", 8, UpstreamRecord::Life::Serving, EngineRole::Prefill, 0 };
        UpstreamRecord decode { "d", "m", "127.0.0.1:2", "dc", 8, UpstreamRecord::Life::Serving, EngineRole::Decode, 0 };
        upstreams.replace({ { prefill.identity, prefill, 1_v }, { decode.identity, decode, 1_v } }, 1_v, MonotonicTime {});
        this->placement_service->set_engines(engines_of_model(), upstreams);
    }

    std::optional<wire::Envelope> ask(std::string const& request, std::string const& origin = "vm-2.1", std::uint64_t number = 0)
    {
        auto const reply = std::make_shared<std::optional<wire::Envelope>>();
        this->ask(request, origin, number, [reply](wire::Envelope message) { *reply = std::move(message); });
        return *reply;
    }

    void ask(std::string const& request, std::string const& origin, std::uint64_t number, Kernel::Responder const& respond)
    {
        wire::Envelope envelope;
        auto* message = envelope.mutable_placement_ask();
        message->set_request(request);
        message->set_model("m");
        message->set_origin(origin);
        message->set_number(number);
        message->set_prompt_tokens(100);
        message->set_maximum_output_tokens(100);
        message->set_first_token_within_microseconds(900'000);
        this->placement_service->handle(envelope, respond);
    }

    void progress(std::string const& request, wire::GrantProgress progress)
    {
        wire::Envelope envelope;
        envelope.mutable_progress()->set_request(request);
        envelope.mutable_progress()->set_progress(progress);
        this->placement_service->handle(envelope, [](wire::Envelope const&) {});
    }

    void release(std::string const& request, std::string const& origin, std::uint64_t number)
    {
        wire::Envelope envelope;
        envelope.mutable_release()->set_request(request);
        envelope.mutable_release()->set_origin(origin);
        envelope.mutable_release()->set_number(number);
        this->placement_service->handle(envelope, [](wire::Envelope const&) {});
    }

    asio::io_context loop { 1 };
    Metrics metrics;
    std::unique_ptr<Kernel> kernel;
    std::unique_ptr<PlacementService> placement_service;
};

}

TEST_CASE("A keeper without engines replies that it is not ready instead of refusing requests", "[not-run][kill]")
{
    PlacementServiceTest test;
    auto const reply = test.ask("r1");
    REQUIRE(reply);
    CHECK(reply->error().code() == wire::ERROR_CODE_NOT_READY);
    CHECK_FALSE(reply->has_placement_refusal());
}

TEST_CASE("A keeper that only knows engines of other models refuses the request", "[not-run]")
{
    PlacementServiceTest test;
    RoutingConfiguration configuration;
    ServiceTraits service;
    service.name = "other";
    service.engine = EngineTraits {};
    configuration.services.push_back(service);
    UpstreamList upstreams { UpstreamList::Options {} };
    UpstreamRecord record;
    record.identity = "e1";
    record.service = "other";
    record.address = "127.0.0.1:1";
    record.role = EngineRole::Decode;
    upstreams.replace({ { record.identity, record, 1_v } }, 1_v, MonotonicTime {});
    test.placement_service->set_engines(configuration, upstreams);
    auto const reply = test.ask("r1");
    REQUIRE(reply);
    CHECK(reply->has_placement_refusal());
}

TEST_CASE("A keeper that was suspended holds no slots for asks from the meantime", "[freeze][held]")
{
    CellScheduler::Options options;
    options.report_need = CellScheduler::Options::ReportNeed::None;
    PlacementServiceTest test(options);
    // From here on, the test controls the clock.
    auto now = monotonic_now();
    PlacementService::Hooks hooks;
    hooks.clock = [&] { return now; };
    test.placement_service->set_hooks(std::move(hooks));
    test.add_engines();
    REQUIRE(test.ask("before"));
    now += seconds(7);
    CHECK_FALSE(test.ask("stale-1"));
    now += milliseconds(20);
    CHECK_FALSE(test.ask("stale-2"));
    CHECK(test.placement_service->engine_states().at("m").size() == 2);
    // Asks from this VM itself cannot predate the pause.
    CHECK(test.ask("own", test.kernel->incarnation()));
    now += milliseconds(100);
    auto const reply = test.ask("after");
    REQUIRE(reply);
    CHECK(reply->has_placement_grant());
}

// Guards against engine memory that is assigned twice: a release that arrives after the request was placed again, as over a new
// connection, would free the later grant while its stream runs.
TEST_CASE("A delayed release of an earlier grant leaves the later grant of the request in force", "[held]")
{
    CellScheduler::Options options;
    options.report_need = CellScheduler::Options::ReportNeed::None;
    PlacementServiceTest test(options);
    test.add_engines();
    REQUIRE(test.ask("r1", "vm-2.1", 7));
    struct Row {
        std::string origin;
        std::uint64_t number;
        bool frees;
    };
    auto const row = GENERATE(values<Row>({
        { "vm-2.1", 6, false },
        { "vm-3.1", 7, false },
        { "vm-2.1", 7, true },
        { "", 0, true },
    }));
    CAPTURE(row.origin, row.number);
    test.release("r1", row.origin, row.number);
    auto const reply = test.ask("r1", "vm-2.1", 8);
    REQUIRE(reply);
    CHECK(reply->has_placement_grant() == row.frees);
}

TEST_CASE("A delayed release of an earlier ask leaves a waiting one its reply", "[held]")
{
    CellScheduler::Options options;
    options.report_need = CellScheduler::Options::ReportNeed::None;
    PlacementServiceTest test(options);
    test.add_engines();
    for (int i = 0; i < DECODE_SLOTS; ++i) {
        auto const name = "running-" + std::to_string(i);
        test.ask(name, "vm-2.1", 100 + static_cast<std::uint64_t>(i));
        test.progress(name, wire::GRANT_PROGRESS_CACHE_HELD);
        test.progress(name, wire::GRANT_PROGRESS_DECODING);
    }
    std::optional<wire::Envelope> reply;
    test.ask("r1", "vm-2.1", 7, [&](wire::Envelope const& message) { reply = message; });
    REQUIRE_FALSE(reply);
    test.release("r1", "vm-2.1", 6);
    test.release("running-0", "vm-2.1", 100);
    REQUIRE(reply);
    CHECK(reply->has_placement_grant());
}

// Messages may come from peers that run another version, or from processes that are not peers.
TEST_CASE("Malformed messages from peers never crash the keeper, and it continues to decide asks", "[whole]")
{
    auto const seed = GENERATE(range(1, 9));
    CAPTURE(seed);
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    // The library logs every string that is not valid UTF-8.
    google::protobuf::LogSilencer const silencer;
    PlacementServiceTest test;
    test.add_engines();
    std::vector<std::string> corpus;
    for (int kind = 0; kind < 4; ++kind) {
        wire::Envelope envelope;
        if (kind == 0) {
            auto* ask = envelope.mutable_placement_ask();
            ask->set_request("r");
            ask->set_model("m");
            ask->set_prompt_tokens(5000);
            ask->set_maximum_output_tokens(10'000);
            ask->set_first_token_within_microseconds(900'000);
            ask->set_decide_within_microseconds(200'000);
        } else if (kind == 1) {
            envelope.mutable_progress()->set_request("r");
            envelope.mutable_progress()->set_progress(wire::GRANT_PROGRESS_DECODING);
        } else if (kind == 2) {
            envelope.mutable_release()->set_request("r");
            envelope.mutable_release()->set_output_tokens(400);
            envelope.mutable_release()->add_refusing_engines("d");
        } else {
            auto* record = envelope.mutable_grant_records()->add_records();
            record->set_request("r");
            record->set_decode_engine("d");
            record->set_prefill_engine("p");
            record->set_prompt_tokens(5000);
            record->set_age_microseconds(1000);
        }
        corpus.push_back(envelope.SerializeAsString());
    }
    for (int turn = 0; turn < 3000; ++turn) {
        auto bytes = corpus[random() % corpus.size()];
        auto const changes = random() % 4;
        for (std::uint64_t i = 0; i < changes && !bytes.empty(); ++i) {
            auto const at = random() % bytes.size();
            if (random() % 5 == 0)
                bytes.erase(at, 1 + random() % 4);
            else
                bytes[at] = static_cast<char>(random());
        }
        wire::Envelope envelope;
        if (envelope.ParseFromString(bytes))
            test.placement_service->handle(envelope, [](wire::Envelope const&) {});
    }
    // Nothing that the damaged messages left behind may keep a new request from being decided.
    wire::Envelope release;
    release.mutable_release()->set_request("r");
    test.placement_service->handle(release, [](wire::Envelope const&) {});
    auto const reply = test.ask("r-last");
    if (reply)
        CHECK((reply->has_placement_grant() || reply->has_placement_refusal()));
}

TEST_CASE("A keeper with thousands of engines uses a subset and extends it when it becomes crowded", "[fleet][burst]")
{
    CellScheduler::Options options;
    options.report_need = CellScheduler::Options::ReportNeed::None;
    PlacementServiceTest test(options);
    UpstreamList upstreams { UpstreamList::Options {} };
    std::vector<UpstreamChange> listed;
    for (int i = 0; i < 4000; ++i) {
        UpstreamRecord engine { "e" + std::to_string(i), "m", "127.0.0.1:1", "dc-" + std::to_string(i % 2), 8, UpstreamRecord::Life::Serving, i % 3 == 0 ? EngineRole::Prefill : EngineRole::Decode, 0 };
        listed.push_back({ engine.identity, engine, 1_v });
    }
    upstreams.replace(listed, 1_v, MonotonicTime {});
    test.placement_service->offer_engines(std::make_shared<RouteTable const>(engines_of_model()), upstreams);
    int granted = 0;
    auto const ask = [&] {
        auto const reply = test.ask("r" + std::to_string(granted));
        REQUIRE(reply);
        REQUIRE(reply->has_placement_grant());
        // The prefill is finished and the request keeps its decode slot.
        wire::Envelope read;
        read.mutable_progress()->set_request("r" + std::to_string(granted));
        read.mutable_progress()->set_progress(wire::GRANT_PROGRESS_CACHE_HELD);
        test.placement_service->handle(read, [](wire::Envelope) {});
        ++granted;
    };
    ask();
    auto const at_first = test.placement_service->engine_states().at("m").size();
    CHECK(at_first == 64);
    // 400 concurrent requests take more than a quarter of the first engines' slots.
    while (granted < 400)
        ask();
    auto const at_last = test.placement_service->engine_states().at("m").size();
    CHECK(at_last > at_first);
    CHECK(at_last < 1024);
}
