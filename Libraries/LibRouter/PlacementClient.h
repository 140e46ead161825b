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
#include <string>

namespace Spurtide {

/// Asks the keeper of the engines for places, tells it of progress and ends, and names to it what is held.
/// Where the keeper does not answer, the next VM in the same order is asked, and at last the own one.
class PlacementClient {
public:
    struct Options {
        /// Beyond the time that the keeper may take to decide.
        Duration answer_slack = milliseconds(120);
        /// Silence after which the keeper's process is asked whether it is there.
        Duration silence = milliseconds(120);
        /// A keeper that did not answer is not asked again for so long.
        Duration suspicion = milliseconds(1500);
        /// How often held grants are named to the keeper. Two that did not come free what a dead VM held: the shorter, the
        /// sooner its engines' memory is promised again; the messages of some 350 open streams are 100 KB a second.
        Duration renewal = milliseconds(700);
        /// How often the keeper is looked up while nothing is asked.
        Duration keeper_check = milliseconds(100);
    };

    /// A wait that its request may give up.
    class Ask {
    public:
        explicit Ask(asio::any_io_executor const& executor)
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

    /// How long an ask may take, each from when it is made.
    struct AskTimes {
        Duration decide_within {};
        Duration first_token_within {};
        /// A late first token is of use for so long; zero where it is of none.
        Duration late_within {};
    };

    /// What went wrong with the engines of a grant.
    struct EngineFaults {
        /// It did not answer, or not as it should; empty where none failed.
        std::string failed;
        /// One of them is at fault for a place that was promised and refused.
        std::vector<std::string> refusing;
    };

    PlacementClient(Options options, Kernel& kernel);
    /// The order in which VMs are asked; shared with whoever else needs a keeper.
    VirtualMachineRanking& ranking() { return this->keepers; }

    void start();

    /// Empty when the ask was given up. Whatever was granted then is released.
    asio::awaitable<std::optional<PlacementDecision>> ask(PlacementAsk ask, std::shared_ptr<Ask> wait, AskTimes const& times);
    void progress(std::string const& request, GrantProgress progress);
    /// The request needs its grant no more.
    void release(std::string const& request, std::int64_t output_tokens, EngineFaults const& faults);

    /// Whether this VM keeps the engines, as far as it knows.
    bool is_keeper() const { return this->present_keeper() == this->kernel.endpoint(); }
    std::size_t held_count() const { return this->held.size(); }

private:
    struct Held {
        PlacementAsk ask;
        PlacementGrant grant;
        /// Who granted it; another may keep the engines by the time of its end.
        std::string keeper;
        GrantProgress phase = GrantProgress::Prefilling;
        MonotonicTime since;
    };

    std::string present_keeper() const;
    void send(wire::Envelope envelope);
    void follow_keeper();
    void renew();
    wire::Envelope ask_message(PlacementAsk const& ask, AskTimes const& times, Duration spent) const;

    Options options;
    Kernel& kernel;
    VirtualMachineRanking keepers;
    std::map<std::string, Held> held;
    std::string last_keeper;
};

}
