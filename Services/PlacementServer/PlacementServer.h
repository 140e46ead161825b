// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Metrics.h>
#include <LibCore/SettingsReader.h>
#include <LibHttp/HttpListener.h>
#include <LibService/ConfigurationFollower.h>
#include <LibService/ServerSettings.h>
#include <LibService/ServerStartError.h>
#include <LibWire/Kernel.h>
#include <Services/PlacementServer/CellKeeper.h>
#include <memory>

namespace Spurtide {

/// The process that hosts the placement service of one VM.
class PlacementServer {
public:
    struct Options {
        ServerSettings server;
        /// Where this VM's ConfigServer listens.
        std::string directory_endpoint;
        CellKeeper::Options keeper {};
    };

    static Result<Options, SettingsError> read_options(nlohmann::json const& settings, std::string_view source);
    static Result<std::unique_ptr<PlacementServer>, ServerStartError> create(Options options);
    ~PlacementServer();
    PlacementServer(PlacementServer const&) = delete;
    PlacementServer& operator=(PlacementServer const&) = delete;

    /// Hands its cells over to the next keeper, then stops.
    void stop();
    std::string const& wire_endpoint() const { return this->kernel->endpoint(); }
    Address const& http_address() const { return this->listener->address(); }

private:
    PlacementServer() = default;
    void hand_over();

    bool stopped = false;
    Metrics metrics;
    std::unique_ptr<Kernel> kernel;
    std::unique_ptr<HttpListener> listener;
    std::unique_ptr<CellKeeper> keeper;
    std::unique_ptr<ConfigurationFollower> follower;
};

}
