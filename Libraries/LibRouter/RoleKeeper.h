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

/// Gives engines the roles that the requests need, while this VM keeps the engines and holds the lease for it.
class RoleKeeper {
public:
    struct Options {
        RoleBalancer::Options balancer {};
        LeaseTerm::Options lease {};
        /// How often it is looked whether a change is due.
        Duration look = milliseconds(250);
        /// A VM that has just become the keeper may be so only because it has not heard of others yet.
        Duration keeper_for = milliseconds(1200);
        /// Time that an order has to be answered in; the lease has to last for it.
        Duration order_timeout = milliseconds(700);
        /// After the store or an engine did not answer as it should.
        Duration pause_after_failure = milliseconds(800);
    };

    struct Hooks {
        /// Whether this VM keeps the engines now, and goes on.
        std::function<bool()> is_keeper;
        std::function<std::map<std::string, std::vector<CellScheduler::EngineState>>()> engine_states;
        /// What is_changing() says is other than before.
        std::function<void()> on_change;
    };

    /// The holder's name is that of one start of this process.
    RoleKeeper(Options options, RouterState& state, LeasePort& port, std::string holder, Hooks hooks);

    void start();
    /// A request came that asks for a place the first time.
    void note_request(std::string const& model, std::int64_t prompt_tokens, std::int64_t output_tokens);
    /// Whether the engine took an order of this VM and does not work in its new role yet.
    bool is_changing(std::string_view engine) const { return this->accepted.contains(engine); }

private:
    /// A change and what is needed to order it.
    struct Due {
        std::string model;
        RoleChange change;
        /// What decided it, for the log.
        std::string because;
    };

    asio::awaitable<void> run();
    std::optional<Due> find_due(MonotonicTime now);
    asio::awaitable<bool> hold_lease();
    asio::awaitable<void> order(Due due);
    asio::awaitable<std::optional<EngineStatus>> ask_status(Address address);
    asio::awaitable<int> send_order(Address address, RoleOrder order);
    asio::awaitable<void> pause(Duration duration);
    void forget_changed(MonotonicTime now);
    RoleBalancer& balancer_of(std::string const& model);

    Options options;
    RouterState& state;
    LeasePort& port;
    Hooks hooks;
    LeaseTerm lease;
    std::map<std::string, RoleBalancer> balancers;
    struct Accepted {
        EngineRole role;
        MonotonicTime since;
    };
    std::map<std::string, Accepted, std::less<>> accepted;
    std::optional<MonotonicTime> keeper_since;
};

}
