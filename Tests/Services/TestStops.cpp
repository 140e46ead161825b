// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibConfiguration/Configuration.h>
#include <LibPlatform/HttpPlatform.h>
#include <Tests/Support/Deployment.h>
#include <Tests/Support/Waiting.h>
#include <atomic>
#include <catch2/catch.hpp>
#include <thread>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

constexpr auto PROMPT = "Bill of quantities for block C, roof and gutters.";

std::int64_t decoded(Deployment& deployment, std::size_t engine)
{
    return deployment.decode[engine]->totals().decoded_tokens;
}

}

TEST_CASE("A planned stop of an entry cuts no stream and refuses the next request as not run", "[planned-stop][whole][not-run]")
{
    Deployment::Options options;
    options.machines = 2;
    Deployment deployment(options);
    auto const undisturbed = deployment.post("/v1/completions", stream_completion(PROMPT, 60));
    auto const before = decoded(deployment, 0);
    Deployment::Answer answer;
    std::thread caller([&] { answer = deployment.post("/v1/completions", stream_completion(PROMPT, 60)); });
    REQUIRE(eventually([&] { return decoded(deployment, 0) >= before + 3; }));
    std::thread stopper([&] { deployment.machines[0].entry->stop(); });
    REQUIRE(eventually([&] { return deployment.client(0).Get("/readyz")->status == 503; }));
    auto const refused = deployment.post("/v1/completions", stream_completion(PROMPT, 5));
    CHECK(refused.status == 503);
    CHECK(refused.json()["error"]["code"] == "draining");
    CHECK(refused.json()["error"]["outcome"] == "not_run");
    caller.join();
    stopper.join();
    CHECK(answer.text() == undisturbed.text());
    CHECK(answer.is_done());
    CHECK(deployment.post("/v1/completions", whole_completion(PROMPT, 5), {}, 1).status == 200);
}

TEST_CASE("A PlacementServer that stops hands its cells over and no request is refused for it", "[planned-stop][not-run]")
{
    Deployment::Options options;
    options.machines = 2;
    Deployment deployment(options);
    for (std::size_t const stopped : { 0, 1 }) {
        std::atomic<bool> is_over = false;
        std::atomic<int> answered = 0;
        std::atomic<int> others = 0;
        std::vector<std::thread> callers;
        for (std::size_t machine = 0; machine < 2; ++machine) {
            callers.emplace_back([&, machine] {
                while (!is_over) {
                    auto const answer = deployment.post("/v1/completions", whole_completion(PROMPT, 3), {}, machine);
                    ++(answer.status == 200 ? answered : others);
                }
            });
        }
        REQUIRE(eventually([&] { return answered >= 4; }));
        deployment.machines[stopped].placement->stop();
        auto const so_far = answered.load();
        CHECK(eventually([&] { return answered >= so_far + 10; }));
        is_over = true;
        for (auto& caller : callers)
            caller.join();
        CHECK(others == 0);
        if (stopped == 0)
            deployment.restart_placement(0);
    }
}

TEST_CASE("An engine that the machine list says is leaving gets no new work after three seconds", "[leaving]")
{
    Deployment::Options options;
    options.decode_engines = 2;
    Deployment deployment(options);
    for (int i = 0; i < 4; ++i)
        REQUIRE(deployment.post("/v1/completions", whole_completion(PROMPT, 3)).status == 200);
    deployment.platform->set_machines({ { "decode-0", "hala-brasov", ListedMachine::Life::Leaving } });
    // Hints from the list cross the ConfigServer's watch, an announcement and a keeper's tick.
    auto const heard = [&] {
        auto const before = decoded(deployment, 0);
        for (int i = 0; i < 3; ++i)
            deployment.post("/v1/completions", whole_completion(PROMPT, 3));
        return decoded(deployment, 0) == before;
    };
    REQUIRE(eventually(heard, seconds(3)));
    auto const before = decoded(deployment, 0);
    for (int i = 0; i < 6; ++i)
        CHECK(deployment.post("/v1/completions", whole_completion(PROMPT, 3)).status == 200);
    CHECK(decoded(deployment, 0) == before);
}

TEST_CASE("A new generation is in force on every VM, and a platform restored from before changes nothing", "[config][platform-down]")
{
    Deployment::Options options;
    options.machines = 3;
    Deployment deployment(options);
    auto const generation_of = [&](EntryMachine& machine) {
        auto const metrics = make_http_client(machine.config->http_address(), seconds(2)).Get("/metrics")->body;
        auto const position = metrics.find("\nspurtide_configuration_generation ");
        return position == std::string::npos ? 0 : std::strtoll(metrics.c_str() + position + 35, nullptr, 10);
    };
    auto const all_have = [&](std::int64_t generation) {
        for (auto& machine : deployment.machines) {
            if (generation_of(machine) != generation)
                return false;
        }
        return true;
    };
    HttpPlatform port(deployment.platform->address(), seconds(2));
    auto const old_row = port.read("configuration/fleet").value();
    ConfigurationStore store(port, port);
    REQUIRE_FALSE(store.refresh().is_error());
    REQUIRE(store.apply({ "second", 1, store.held().content + "\n", "test" }, 0).value() == 2);
    CHECK(eventually([&] { return all_have(2); }, seconds(5)));
    auto const row = port.read("configuration/fleet").value();
    REQUIRE_FALSE(port.write("configuration/fleet", old_row.value, row.version).is_error());
    auto const reads = deployment.platform->usage().reads;
    REQUIRE(eventually([&] { return deployment.platform->usage().reads > reads + 20; }));
    CHECK(all_have(2));
}

TEST_CASE("With the platform down a request is served and a stream is whole", "[whole][platform-down]")
{
    Deployment deployment;
    deployment.platform->set_faults({ true, {}, 0 });
    auto const answer = deployment.post("/v1/completions", stream_completion(PROMPT, 20));
    CHECK(answer.status == 200);
    CHECK(answer.is_done());
    deployment.platform->set_faults({ false, milliseconds(3000), 0 });
    CHECK(deployment.post("/v1/completions", stream_completion(PROMPT, 20)).is_done());
}
