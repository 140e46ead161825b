// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Metrics.h>
#include <LibDecision/CellScheduler.h>
#include <LibDecision/RouteTable.h>
#include <LibDecision/UpstreamList.h>
#include <LibWire/Kernel.h>
#include <asio.hpp>
#include <map>
#include <string>

namespace Spurtide {

/// Hosts the placement service: schedules the engines exactly, by what entries ask, take up and release.
/// Every VM hosts one; entries agree by themselves on the one that they ask.
class EngineKeeper {
public:
    EngineKeeper(CellScheduler::Options options, Kernel& kernel, Metrics& metrics, asio::io_context& loop);

    void start();
    /// Takes the engines from the configuration and the list of upstreams.
    void set_engines(RoutingConfiguration const& configuration, UpstreamList const& upstreams);

    void handle(wire::Envelope const& request, Kernel::Responder const& respond);

private:
    void handle_ask(wire::PlacementAsk const& message, Kernel::Responder const& respond);
    void handle_records(wire::GrantRecords const& message);
    void flush();
    void tick();
    void forget_gone_origins(MonotonicTime now);

    CellScheduler scheduler;
    Kernel& kernel;
    Metrics& metrics;
    asio::steady_timer timer;
    bool is_timer_set = false;
    std::map<std::string, Kernel::Responder> waiting;
    /// Origins that no live VM has, and since when.
    std::map<std::string, MonotonicTime> missing_origins;
};

}
