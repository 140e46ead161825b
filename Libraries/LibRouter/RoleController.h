// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibDecision/LeaseTerm.h>
#include <LibDecision/RoleBalancer.h>
#include <LibRouter/LeasePort.h>
#include <LibRouter/RouterState.h>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace Spurtide {

/// Assigns roles to engines according to the load, while this VM manages the engines and holds the lease for role changes.
class RoleController {
public:
    struct Options {
        RoleBalancer::Options balancer {};
        LeaseTerm::Options lease {};
        /// How often to check whether a role change is due.
        Duration evaluation_interval = milliseconds(250);
        /// How long this VM has to be the keeper before it orders changes: a VM that has just started may take itself for the
        /// keeper only because it has not discovered the others yet.
        Duration minimum_keeper_time = milliseconds(1200);
        /// Timeout of an order; the lease has to last at least this long.
        Duration order_timeout = milliseconds(700);
        /// Delay after the store or an engine failed to answer.
        Duration failure_delay = milliseconds(800);
    };

    struct Hooks {
        /// Whether this VM is the keeper of the engines and is not stopping.
        std::function<bool()> is_keeper;
        std::function<std::map<std::string, std::vector<CellScheduler::EngineState>>()> engine_states;
        /// The result of is_changing() has changed for an engine.
        std::function<void()> on_change;
    };

    /// The holder's name is the incarnation of this process.
    RoleController(Options options, RouterState& state, LeasePort& port, std::string holder, Hooks hooks);

    void start();
    /// Records a request that asks for placement for the first time.
    void note_request(std::string const& model, std::int64_t prompt_tokens, std::int64_t output_tokens);
    /// Whether the engine accepted an order from this VM and does not yet serve in its new role.
    bool is_changing(std::string_view engine) const { return this->accepted_orders.contains(engine); }

private:
    /// A role change that is due.
    struct DueChange {
        std::string model;
        RoleChange change;
        /// The inputs of the decision, for the log.
        std::string inputs;
    };

    asio::awaitable<void> run();
    std::optional<DueChange> find_due(MonotonicTime now);
    asio::awaitable<bool> acquire_lease();
    asio::awaitable<void> order(DueChange due);
    asio::awaitable<std::optional<EngineStatus>> fetch_status(UpstreamRecord engine);
    asio::awaitable<int> send_order(UpstreamRecord engine, RoleOrder order);
    asio::awaitable<void> pause(Duration duration);
    void remove_finished_changes(MonotonicTime now);
    RoleBalancer& balancer_of(std::string const& model);

    Options options;
    RouterState& state;
    LeasePort& port;
    Hooks hooks;
    LeaseTerm lease;
    std::map<std::string, RoleBalancer> balancers;
    struct AcceptedOrder {
        EngineRole role;
        MonotonicTime since;
    };
    std::map<std::string, AcceptedOrder, std::less<>> accepted_orders;
    std::optional<MonotonicTime> keeper_since;
};

}
