// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Metrics.h>
#include <LibCore/SettingsReader.h>
#include <LibHttp/HttpListener.h>
#include <LibPlatform/HttpPlatform.h>
#include <LibService/ServerSettings.h>
#include <LibService/ServerStartError.h>
#include <LibWire/Kernel.h>
#include <Services/ConfigServer/ClaimKeeper.h>
#include <Services/ConfigServer/ConfigurationStore.h>
#include <Services/ConfigServer/MembershipService.h>
#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace Spurtide {

/// The only process of a VM that talks to the platform. Hosts the directory of services, the
/// configuration and the claims.
class ConfigServer {
public:
    struct Options {
        ServerSettings server;
        Address platform_address;
        Duration platform_timeout = milliseconds(2000);
        /// Endpoints of the data centre's other ConfigServers, to meet the first of them.
        std::vector<std::string> peers;
        Duration heartbeat_interval = seconds(1);
        Duration watch_interval = seconds(1);
        MembershipTable::Options membership {};
    };

    static Result<Options, SettingsError> read_options(nlohmann::json const& settings, std::string_view source);
    static Result<std::unique_ptr<ConfigServer>, ServerStartError> create(Options options);
    ~ConfigServer();
    ConfigServer(ConfigServer const&) = delete;
    ConfigServer& operator=(ConfigServer const&) = delete;

    /// Tells the peers that this VM is leaving, then stops.
    void stop();
    std::string const& wire_endpoint() const { return this->kernel->endpoint(); }
    Address const& http_address() const { return this->listener->address(); }

private:
    explicit ConfigServer(Options options);
    void leave();
    void host_services();
    void handle_directory(wire::Envelope const& request, Kernel::Responder const& respond);
    void handle_config(wire::Envelope const& request, Kernel::Responder const& respond);
    void watch();
    void watch_machines();
    bool is_watcher() const;
    void fetch_from_peer(std::string const& endpoint);
    void run_on_worker(std::function<void()> work);
    void work();

    Options options;
    Metrics metrics;
    HttpPlatform platform;
    std::unique_ptr<Kernel> kernel;
    std::unique_ptr<HttpListener> listener;
    std::unique_ptr<MembershipService> membership;
    ConfigurationStore store;
    ClaimKeeper claims;
    std::atomic<bool> platform_reachable = false;
    std::mutex mutex;
    std::condition_variable wake;
    bool stopping = false;
    std::vector<std::function<void()>> queue;
    std::vector<std::thread> workers;
    std::thread watcher;
};

}
