// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibAsync/Signal.h>
#include <LibCore/Time.h>
#include <LibDecision/CellScheduler.h>
#include <LibRouter/VirtualMachineRanking.h>
#include <LibWire/Kernel.h>
#include <asio.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Spurtide {

/// Requests placements from the keeper of the engines, reports their progress and release to it, and renews the grants that
/// are held. If the keeper does not respond, asks the next VM of the ranking, and finally the local placement service.
class PlacementClient {
public:
    struct Options {
        /// Allowed for the round trip, beyond the time in which the keeper decides.
        Duration reply_slack = milliseconds(120);
        /// Time without a reply after which the keeper's process is probed.
        Duration silence = milliseconds(120);
        /// How long a keeper that did not respond is not asked again.
        Duration suspicion_time = milliseconds(1500);
        /// How often held grants are renewed. The keeper frees the grants of a VM after two missed renewals, so a shorter interval
        /// makes the engine memory of a dead VM available sooner. Renewing some 350 open streams takes 100 KB per second.
        Duration renewal_interval = milliseconds(700);
        /// How often to check for a change of the keeper between asks.
        Duration keeper_check_interval = milliseconds(100);
    };

    /// A pending ask that its request can cancel.
    class PendingAsk {
    public:
        explicit PendingAsk(asio::any_io_executor const& executor)
            : signal(executor)
        {
        }
        void give_up()
        {
            this->is_given_up = true;
            this->signal.notify();
        }

    private:
        friend class PlacementClient;
        Signal signal;
        std::optional<WireReply> reply;
        bool is_given_up = false;
    };

    /// Time limits of an ask, counted from when it is made.
    struct AskTimes {
        Duration decide_within {};
        Duration first_token_within {};
        /// How long a late first token is still useful; zero if it is not.
        Duration late_within {};
    };

    /// The engines of a grant that failed.
    struct EngineFaults {
        /// The engine that did not respond, or responded incorrectly; empty if there is none.
        std::string failed_engine;
        /// The engines of which one is responsible for refusing a request that was granted a placement.
        std::vector<std::string> refusing_engines;
    };

    PlacementClient(Options options, Kernel& kernel);
    /// The order in which VMs are asked; shared with other clients of a keeper.
    VirtualMachineRanking& ranking() { return this->keepers; }

    void start();

    /// Returns nothing if the ask was given up; whatever was granted to it is released. The grant of an ask of a running
    /// request (PlacementAsk::migrates_from) adds a second decode engine to the grant that the request holds.
    asio::awaitable<std::optional<PlacementDecision>> ask(PlacementAsk ask, std::shared_ptr<PendingAsk> pending, AskTimes const& times);
    void progress(std::string const& request, GrantProgress progress);
    /// Reports the end of a move that was granted to a running request. Until then the request holds a place at both engines.
    void end_move(std::string const& request, MoveEnd end);
    /// Releases the request's grant.
    void release(std::string const& request, std::int64_t output_tokens, EngineFaults const& faults);

    /// Whether this VM is the keeper of the engines, to its knowledge.
    bool is_keeper() const { return this->current_keeper() == this->kernel.endpoint(); }
    std::size_t held_count() const { return this->held_grants.size(); }

private:
    struct HeldGrant {
        PlacementAsk ask;
        PlacementGrant grant;
        /// The VMs that know of it: the one that granted it, and each that was the keeper since.
        std::set<std::string> keepers;
        GrantProgress phase = GrantProgress::Prefilling;
        MonotonicTime since;
        /// The engine that the request is moving to; empty if none.
        std::string moves_to;
    };

    std::string current_keeper() const;
    AskIdentity identity_of(PlacementAsk const& ask) const { return { this->kernel.incarnation(), ask.number }; }
    void send(wire::Envelope envelope);
    void check_for_keeper_change();
    void renew_grants();
    void note_released(std::string const& request, std::uint64_t number);
    void forget_old_releases(MonotonicTime now);
    wire::Envelope ask_message(PlacementAsk const& ask, AskTimes const& times, Duration elapsed) const;

    Options options;
    Kernel& kernel;
    VirtualMachineRanking keepers;
    std::map<std::string, HeldGrant> held_grants;
    std::string last_keeper;
    /// Of the last ask.
    std::uint64_t last_number = 0;
    struct ReleasedAsk {
        std::uint64_t number = 0;
        MonotonicTime when;
    };
    /// The asks that were recently released or given up, by request.
    std::map<std::string, std::vector<ReleasedAsk>> released_asks;
};

}
