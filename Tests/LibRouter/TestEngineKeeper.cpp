// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibRouter/EngineKeeper.h>
#include <catch2/catch.hpp>

using namespace Spurtide;

namespace {

/// A keeper on a loop of its own, that is asked without the wire.
struct KeeperTest {
    KeeperTest()
    {
        Kernel::Options options;
        options.virtual_machine = "vm-1";
        options.listen_endpoint = "tcp://127.0.0.1:0";
        options.loop = &this->loop;
        this->kernel = Kernel::create(std::move(options)).release_value();
        this->keeper = std::make_unique<EngineKeeper>(CellScheduler::Options {}, *this->kernel, this->metrics, this->loop);
    }

    std::optional<wire::Envelope> ask(std::string const& request)
    {
        wire::Envelope envelope;
        auto* message = envelope.mutable_placement_ask();
        message->set_request(request);
        message->set_model("m");
        message->set_origin("vm-2.1");
        message->set_prompt_tokens(100);
        message->set_maximum_output_tokens(100);
        message->set_first_token_within_microseconds(900'000);
        std::optional<wire::Envelope> reply;
        this->keeper->handle(envelope, [&](wire::Envelope message_back) { reply = std::move(message_back); });
        return reply;
    }

    asio::io_context loop { 1 };
    Metrics metrics;
    std::unique_ptr<Kernel> kernel;
    std::unique_ptr<EngineKeeper> keeper;
};

}

TEST_CASE("A keeper that has not heard of engines says so, and refuses nobody", "[not-run][kill]")
{
    KeeperTest test;
    auto const reply = test.ask("r1");
    REQUIRE(reply);
    CHECK(reply->error().code() == wire::ERROR_CODE_NOT_READY);
    CHECK_FALSE(reply->has_placement_refusal());
}

TEST_CASE("A keeper that knows engines of other models refuses", "[not-run]")
{
    KeeperTest test;
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
    upstreams.replace({ record }, 1, MonotonicTime {});
    test.keeper->set_engines(configuration, upstreams);
    auto const reply = test.ask("r1");
    REQUIRE(reply);
    CHECK(reply->has_placement_refusal());
}
