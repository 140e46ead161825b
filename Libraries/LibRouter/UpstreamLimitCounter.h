// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibDecision/UpstreamIncarnation.h>
#include <LibDecision/UpstreamLimitTable.h>
#include <LibDecision/UpstreamPacer.h>
#include <LibDecision/VirtualMachineCount.h>
#include <LibRouter/VirtualMachineRanking.h>
#include <LibWire/Kernel.h>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Spurtide {

constexpr std::string_view UPSTREAM_LIMIT_SERVICE = "upstream-limit";

/// Hosts the service that grants turns, each of which permits one request, at upstreams with a rate limit. All VMs host it;
/// the first VM in an upstream's ranking grants the turns there. While VMs disagree on the ranking, partial limits keep the
/// total within the limit:
/// - A VM that is asked but is not first in its own ranking grants a quarter of the limit.
/// - A granting VM grants the fraction of the limit that corresponds to the fraction of VMs that it can reach, so that data
///   centres that are partitioned from each other stay within the limit together.
/// - A VM that reaches no granting VM grants turns to itself, with the share of one VM.
class UpstreamLimitCounter {
public:
    struct Hooks {
        /// Whether this VM has discovered most of the others since its start.
        std::function<bool()> is_settled = [] { return true; };
        std::function<VirtualMachineCount()> virtual_machines = [] { return VirtualMachineCount { 1, 0 }; };
        /// Whether this VM lists the upstream. Without this check, the limits of removed upstreams would be exchanged between
        /// VMs forever.
        std::function<bool(std::string_view)> is_listed = [](std::string_view) { return true; };
        /// The upstreams that announced their departure in a response, to be passed on to other VMs.
        std::function<std::vector<UpstreamIncarnation>()> departures = [] { return std::vector<UpstreamIncarnation>(); };
        /// Called for each departure that another VM passes on.
        std::function<void(UpstreamIncarnation const&)> on_departure = [](UpstreamIncarnation const&) {};
    };

    enum class Mode {
        /// Chosen by the ranking, as the first VM or as a fallback.
        Ranked,
        /// No other VM answered.
        Alone,
    };

    /// A request that asks for a turn at an upstream.
    struct TurnRequest {
        std::string upstream;
        /// How long the request may wait for its turn; zero if it should go to another upstream instead.
        Duration longest_wait {};
        /// How long the caller can delay a retry; zero if it does not have to retry.
        Duration patience {};
    };

    /// The book is the one of this VM; limits received from other VMs are added to it.
    UpstreamLimitCounter(Kernel& kernel, VirtualMachineRanking& ranking, UpstreamLimitTable& book, Hooks hooks);

    /// Registers the service. Call before the kernel starts.
    void host();
    /// Empty while this VM has not discovered the others: it might grant turns in parallel with another VM.
    std::optional<UpstreamPacer::Turn> grant_turn(TurnRequest const& turn_request, Mode mode);
    void return_turn(std::string_view upstream);
    /// Adds limits and departures that were received from another VM.
    void note(wire::UpstreamLimitStatement const& statement);
    void note(wire::UpstreamLimitStatements const& statements);
    /// Removes the state of upstreams without a limit in the book.
    void forget_unlimited();
    bool is_settled() const { return this->hooks.is_settled(); }

private:
    void answer(wire::Envelope const& request, Kernel::Responder const& respond);
    void answer_turn(wire::UpstreamTurnAsk const& message, Kernel::Responder const& respond);
    void answer_limits(Kernel::Responder const& respond) const;
    double share_of_limit(std::string const& upstream, Mode mode) const;

    Kernel& kernel;
    VirtualMachineRanking& ranking;
    UpstreamLimitTable& book;
    Hooks hooks;
    UpstreamPacer pacer;
};

}
