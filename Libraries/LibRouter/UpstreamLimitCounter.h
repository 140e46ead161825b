// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibDecision/UpstreamLimitTable.h>
#include <LibDecision/UpstreamPacer.h>
#include <LibDecision/VirtualMachineCount.h>
#include <LibRouter/KeeperRanking.h>
#include <LibWire/Kernel.h>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace Spurtide {

constexpr std::string_view UPSTREAM_LIMIT_SERVICE = "upstream-limit";

/// Hosts the service that gives all VMs their turns at upstreams that named a limit. Every VM hosts one; each upstream's turns
/// are given by the VM that the ranking names first for it. Where VMs do not agree on that one, turns stay inside the limit by
/// parts:
/// - A VM that is asked and is not the first by its own ranking stands in with a quarter of the limit.
/// - Whoever gives turns gives the part of the limit that its reachable VMs are of all, so data centres that are cut off
///   from each other stay inside the limit together.
/// - A VM that reaches none gives turns to itself, with one VM's part.
class UpstreamLimitCounter {
public:
    struct Hooks {
        /// Whether this VM has met most of the others since its start.
        std::function<bool()> is_settled = [] { return true; };
        std::function<VirtualMachineCount()> virtual_machines = [] { return VirtualMachineCount { 1, 0 }; };
        /// Whether this VM knows the upstream; what others tell of one that is gone would be kept and told on for ever.
        std::function<bool(std::string_view)> is_listed = [](std::string_view) { return true; };
    };

    enum class Standing {
        /// By the ranking, first or standing in.
        Ranked,
        /// Nobody else answered.
        Alone,
    };

    /// A request that asks for a turn at an upstream.
    struct Ask {
        std::string upstream;
        /// How long the request may wait for its turn; zero where it would rather go elsewhere.
        Duration longest_wait {};
        /// How long its caller can wait to come back; zero where it does not have to.
        Duration patience {};
    };

    /// The book is this VM's, and takes what others tell.
    UpstreamLimitCounter(Kernel& kernel, KeeperRanking& ranking, UpstreamLimitTable& book, Hooks hooks);

    /// Makes the service known. Call before the kernel starts.
    void host();
    /// Empty while this VM does not know the others yet: it would give turns beside the one that does.
    std::optional<UpstreamPacer::Turn> take(Ask const& ask, Standing standing);
    void give_back(std::string_view upstream);
    /// Takes what another VM tells.
    void note(wire::UpstreamLimitStatement const& statement);
    void note(wire::UpstreamLimitStatements const& statements);
    /// Forgets upstreams that the book has no limit of.
    void forget_unlimited();
    bool is_settled() const { return this->hooks.is_settled(); }

private:
    void answer(wire::Envelope const& request, Kernel::Responder const& respond);
    void answer_turn(wire::UpstreamTurnAsk const& message, Kernel::Responder const& respond);
    void answer_limits(Kernel::Responder const& respond) const;
    double part_of_limit(std::string const& upstream, Standing standing) const;

    Kernel& kernel;
    KeeperRanking& ranking;
    UpstreamLimitTable& book;
    Hooks hooks;
    UpstreamPacer pacer;
};

}
