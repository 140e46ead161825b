// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibConfiguration/Configuration.h>
#include <LibCore/Metrics.h>
#include <LibDecision/CellMap.h>
#include <LibDecision/CellScheduler.h>
#include <LibDecision/DeadOriginTracker.h>
#include <LibDecision/OrphanReaper.h>
#include <LibUpstream/EnginePort.h>
#include <LibWire/Kernel.h>
#include <asio/thread_pool.hpp>
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace Spurtide {

/// Keeps the cells that fall to this VM: answers the asks of entries, listens to the engines and
/// cancels what they hold for nobody. Runs on the kernel's thread; calls to engines run in a pool.
class CellKeeper {
public:
    using EngineFactory = std::function<std::shared_ptr<EnginePort>(ConfiguredEngine const&)>;

    struct Options {
        std::string virtual_machine;
        std::string data_centre;
        Duration report_interval = milliseconds(250);
        std::size_t engine_callers = 8;
        CellScheduler::Options scheduler {};
        OrphanReaper::Options reaper {};
        /// A keeper that is new to an engine waits this long for what entries were granted before.
        Duration settle_time = milliseconds(500);
        /// An origin that is missing from the directory for this long is gone.
        Duration origin_grace = seconds(2);
        EngineFactory make_engine;
    };

    CellKeeper(Options options, Kernel& kernel, Metrics& metrics);
    ~CellKeeper();
    CellKeeper(CellKeeper const&) = delete;
    CellKeeper& operator=(CellKeeper const&) = delete;

    void start();
    void stop();
    void configure(std::shared_ptr<Configuration const> configuration);
    void handle(wire::Envelope const& request, Kernel::Responder const& respond);
    /// Sends those who wait to the next keeper and takes nothing new.
    void hand_over();
    bool is_ready() const { return this->configured; }

private:
    struct Engine {
        std::shared_ptr<EnginePort> port;
        ConfiguredEngine description;
        bool is_polled = false;
        MonotonicTime kept_since;
    };

    void tick();
    void update_cells();
    void handle_ask(wire::PlacementAsk const& message, Kernel::Responder const& respond);
    void handle_locate(wire::Locate const& message, Kernel::Responder const& respond);
    void handle_drain(wire::Drain const& message);
    void take_grant_records(wire::GrantRecords const& records);
    void update_leaving();
    void publish_decisions();
    void answer_grant(PlacementGrant const& grant);
    void answer_refusal(PlacementRefusal const& refusal);
    void poll_engines();
    void take_report(std::string const& name, EngineReport const& report);
    void reap(std::string const& name, EngineReport const& report);
    void ask_origin(OrphanReaper::Question const& question);
    void cancel(OrphanReaper::Cancellation const& cancellation);
    void forget_dead_origins();
    wire::Envelope status_reply() const;

    Options options;
    Kernel& kernel;
    Metrics& metrics;
    CellScheduler scheduler;
    OrphanReaper reaper;
    std::shared_ptr<Configuration const> configuration;
    std::atomic<bool> configured = false;
    std::int64_t mapped_generation = 0;
    std::vector<std::string> mapped_machines;
    std::map<std::string, Engine> engines;
    std::set<std::string> drained;
    std::vector<std::string> listed_leaving;
    bool is_handing_over = false;
    std::map<std::string, Kernel::Responder, std::less<>> pending_asks;
    DeadOriginTracker missing_origins;
    asio::thread_pool pool;
};

}
