// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <LibService/ServerCore.h>
#include <LibUpstream/HttpEngine.h>
#include <LibWire/WireMetrics.h>
#include <Services/PlacementServer/PlacementServer.h>
#include <thread>

namespace Spurtide {

namespace {

constexpr Duration HAND_OVER_LIMIT = milliseconds(1500);
constexpr Duration HAND_OVER_POLL = milliseconds(20);

}

Result<PlacementServer::Options, SettingsError> PlacementServer::read_options(nlohmann::json const& settings, std::string_view source)
{
    std::vector<SettingsFault> faults;
    SettingsReader reader(settings, std::string(source), "", faults);
    Options options;
    options.server = read_server_settings(reader, 4);
    options.directory_endpoint = read_endpoint(reader, "directory_address", Presence::Required);
    auto& keeper = options.keeper;
    keeper.virtual_machine = options.server.virtual_machine;
    keeper.data_centre = options.server.data_centre;
    keeper.report_interval = reader.milliseconds("report_interval_milliseconds", 20, 60000, 250);
    keeper.scheduler.report_validity = reader.milliseconds("report_validity_milliseconds", 100, 600'000, 3000);
    keeper.scheduler.cache_hold = reader.milliseconds("cache_hold_milliseconds", 10, 60000, 900);
    keeper.scheduler.prefill_ahead = reader.milliseconds("prefill_ahead_milliseconds", 1, 60000, 300);
    keeper.scheduler.token_target = reader.milliseconds("token_target_milliseconds", 1, 60000, 37);
    keeper.reaper.dead_origin_grace = reader.milliseconds("dead_origin_grace_milliseconds", 100, 60000, 2000);
    keeper.origin_grace = keeper.reaper.dead_origin_grace;
    reader.finish();
    if (!faults.empty())
        return Failure { SettingsError { std::move(faults) } };
    return options;
}

Result<std::unique_ptr<PlacementServer>, ServerStartError> PlacementServer::create(Options options)
{
    std::unique_ptr<PlacementServer> server(new PlacementServer);
    auto core = TRY(open_server_core(options.server, options.directory_endpoint));
    server->listener = std::move(core.listener);
    server->kernel = std::move(core.kernel);
    if (!options.keeper.make_engine) {
        options.keeper.make_engine = [](ConfiguredEngine const& engine) {
            return std::make_shared<HttpEngine>(parse_address(engine.address).value_or(Address {}), HttpEngine::Options {});
        };
    }
    server->keeper = std::make_unique<CellKeeper>(options.keeper, *server->kernel, server->metrics);
    auto* keeper = server->keeper.get();
    server->follower = std::make_unique<ConfigurationFollower>(*server->kernel, [keeper](auto configuration) { keeper->configure(std::move(configuration)); });
    server->kernel->host("placement", [keeper](auto const& request, auto respond) { keeper->handle(request, respond); });
    server->listener->serve_operations(server->metrics, [keeper] { return keeper->is_ready(); });
    server->keeper->start();
    keep_wire_metrics_published(*server->kernel, server->metrics);
    server->follower->start();
    server->kernel->start();
    server->listener->start();
    return server;
}

PlacementServer::~PlacementServer() { this->stop(); }

void PlacementServer::hand_over()
{
    this->kernel->withdraw("placement");
    this->kernel->post([keeper = this->keeper.get()] { keeper->hand_over(); });
    // Peers that did not hear of it yet are told by this process itself that it keeps nothing.
    auto const until = monotonic_now() + HAND_OVER_LIMIT;
    while (monotonic_now() < until && this->kernel->directory().resolve_on(this->kernel->virtual_machine(), "placement"))
        std::this_thread::sleep_for(HAND_OVER_POLL);
}

void PlacementServer::stop()
{
    if (this->stopped)
        return;
    this->stopped = true;
    if (this->keeper && this->kernel)
        this->hand_over();
    if (this->keeper)
        this->keeper->stop();
    if (this->kernel)
        this->kernel->stop();
    if (this->listener)
        this->listener->stop();
}

}
