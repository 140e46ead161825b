// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Metrics.h>
#include <LibDecision/CellScheduler.h>
#include <LibDecision/EngineSubset.h>
#include <LibDecision/MissingOrigins.h>
#include <LibDecision/PauseDetector.h>
#include <LibDecision/RouteTable.h>
#include <LibDecision/UpstreamList.h>
#include <LibWire/Kernel.h>
#include <asio.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace Spurtide {

/// Hosts the placement service: schedules the engines exactly, by what entries ask, take up and release.
/// Every VM hosts one; entries agree by themselves on the one that they ask.
class PlacementService {
public:
    PlacementService(CellScheduler::Options options, Kernel& kernel, Metrics& metrics, asio::io_context& loop);

    void start();
    /// Takes the engines from the configuration and the list of upstreams.
    void set_engines(RoutingConfiguration const& configuration, UpstreamList const& upstreams);
    /// The same when they are needed next. Most VMs are never asked for a place, and with thousands of engines taking them
    /// up at each change would be most of what a small VM does. The list has to live as long as this.
    void offer_engines(std::shared_ptr<RouteTable const> routes, UpstreamList const& upstreams);
    /// Whether the engine is one of those that this keeper works with.
    bool uses_engine(std::string_view engine);

    /// The accounts that share the engines.
    void set_accounts(std::span<ClientAccount const> accounts);

    /// The engine has the prompts with these parts in memory.
    void note_cached(std::string_view engine, std::span<std::string const> own_parts)
    {
        this->apply_offered_engines();
        this->scheduler.note_cached(engine, own_parts, this->hooks.clock());
    }
    void handle(wire::Envelope const& request, Kernel::Responder const& respond);

    struct Hooks {
        /// A request asks for its first place.
        std::function<void(PlacementAsk const&)> on_first_ask = [](auto const&) {};
        /// Whether an engine is between two roles and takes nothing.
        std::function<bool(std::string_view engine)> is_changing_role = [](auto) { return false; };
        std::function<MonotonicTime()> clock = monotonic_now;
    };
    void set_hooks(Hooks new_hooks) { this->hooks = std::move(new_hooks); }
    std::map<std::string, std::vector<CellScheduler::EngineState>> engine_states();

private:
    void handle_placement_ask(wire::PlacementAsk const& message, Kernel::Responder const& respond);
    void handle_grant_records(wire::GrantRecords const& message);
    void keep_granted_engines(wire::GrantRecords const& message);
    void ensure_account(std::string const& account);
    void update_account_weights();
    MonotonicTime note_activity();
    void apply_offered_engines();
    void grow_subset(MonotonicTime now);
    void refresh_engines();
    void send_decisions();
    void tick();
    void forget_dead_origins(MonotonicTime now);

    CellScheduler scheduler;
    EngineSubset subset { EngineSubset::Options {} };
    /// Of the subset.
    std::set<std::string, std::less<>> subset_engine_names;
    /// What the engines are taken from when they are needed; empty where they were set.
    std::shared_ptr<RouteTable const> offered_routes;
    UpstreamList const* offered_upstreams = nullptr;
    bool has_newer_offer = false;
    bool was_asked = false;
    Hooks hooks;
    Kernel& kernel;
    Metrics& metrics;
    asio::steady_timer timer;
    bool is_timer_set = false;
    std::map<std::string, Kernel::Responder> pending_responders;
    std::map<std::string, double> account_weights;
    MissingOrigins missing_origins;
    PauseDetector pauses { PauseDetector::Options {} };
};

}
