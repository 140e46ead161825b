// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Metrics.h>
#include <LibCore/MonotonicTimer.h>
#include <LibDecision/CellScheduler.h>
#include <LibDecision/DeadOriginTracker.h>
#include <LibDecision/EngineSubset.h>
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

/// Hosts the placement service, which assigns requests to engines from the asks, progress reports and releases of all VMs.
/// Every VM hosts one. The VMs agree without coordination on the one that they ask, the keeper of the engines.
class PlacementService {
public:
    PlacementService(CellScheduler::Options options, Kernel& kernel, Metrics& metrics, asio::io_context& loop);

    void start();
    /// Replaces the engines with those of the configuration and the upstream list.
    void set_engines(RoutingConfiguration const& configuration, UpstreamList const& upstreams);
    /// Like set_engines(), but deferred until the engines are next needed. Most VMs are never asked for a placement, and with
    /// thousands of engines, applying each change would take up most of a small VM's processing time. The upstream list must
    /// outlive this object.
    void offer_engines(std::shared_ptr<RouteTable const> routes, UpstreamList const& upstreams);
    /// Whether the engine is in the subset that this service schedules.
    bool uses_engine(std::string_view engine);

    /// Sets the accounts that share the engines.
    void set_accounts(std::span<ClientAccount const> accounts);

    /// Records that the engine has cached the prompts with these parts.
    void note_cached(std::string_view engine, std::span<std::string const> own_parts)
    {
        this->apply_offered_engines();
        this->scheduler.note_cached(engine, own_parts, this->hooks.clock());
    }
    void handle(wire::Envelope const& request, Kernel::Responder const& respond);

    struct Hooks {
        /// Called when a request asks for its first placement.
        std::function<void(PlacementAsk const&)> on_first_ask = [](auto const&) {};
        /// Whether an engine is switching roles and accepts no requests.
        std::function<bool(std::string_view engine)> is_changing_role = [](auto) { return false; };
        std::function<MonotonicTime()> clock = monotonic_now;
    };
    void set_hooks(Hooks new_hooks) { this->hooks = std::move(new_hooks); }
    std::map<std::string, std::vector<CellScheduler::EngineState>> engine_states();

private:
    struct PendingReply {
        AskIdentity identity;
        Kernel::Responder respond;
    };

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
    std::set<std::string, std::less<>> subset_engine_names;
    /// The source of deferred engine updates; null if the engines were set directly.
    std::shared_ptr<RouteTable const> offered_routes;
    UpstreamList const* offered_upstreams = nullptr;
    bool has_newer_offer = false;
    bool was_asked = false;
    Hooks hooks;
    Kernel& kernel;
    Metrics& metrics;
    MonotonicTimer timer;
    bool is_timer_set = false;
    /// By request.
    std::map<std::string, PendingReply> pending_replies;
    std::map<std::string, double> account_weights;
    DeadOriginTracker missing_origins;
    PauseDetector pauses { PauseDetector::Options {} };
};

}
