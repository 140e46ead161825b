// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibAccounts/ClientAccount.h>
#include <LibAsync/Signal.h>
#include <LibCore/Metrics.h>
#include <LibDecision/CallQueue.h>
#include <LibRouter/CallGroup.h>
#include <LibRouter/CallPermit.h>
#include <LibRouter/VirtualMachineRanking.h>
#include <LibWire/Kernel.h>
#include <asio.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace Spurtide {

/// Asks the admission controller of a service for a place at an upstream before a plain call is sent, and returns the place
/// after the send. If the controller does not answer, the next VM of the ranking is asked; if that does not answer either, the
/// call is sent without a permit.
class CallAdmissionClient {
public:
    struct Options {
        /// Time without an answer after which the controller's process is probed.
        Duration probe_delay = milliseconds(50);
        /// Allowed for the round trip, beyond the call's timeout, by which the controller has decided.
        Duration reply_slack = milliseconds(120);
    };

    /// A call that needs a place.
    struct Ask {
        std::string service;
        /// Upstreams of the service that serve, by this VM's list; determines the number of groups.
        std::size_t upstreams = 0;
        /// Groups with upstreams that the call may be sent to; empty if it may be sent to any.
        std::set<std::uint32_t> usable_groups {};
        std::string request;
        std::string account;
        /// 0 is the highest priority.
        std::int64_t priority = 0;
        MonotonicTime target_time;
        MonotonicTime timeout;
        /// Longest delay after which the caller can retry; zero if it cannot.
        Duration retry_patience {};
        std::vector<std::string> excluded_upstreams {};
    };

    /// A pending ask that its call can withdraw.
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
        friend class CallAdmissionClient;
        Signal signal;
        /// The permit whose answer is awaited; 0 if there is none.
        std::uint64_t permit = 0;
        std::optional<WireReply> reply;
        bool is_given_up = false;
        /// The process that was asked has been started again since, so it may not know the ask.
        bool is_lost = false;
    };

    struct Grant {
        std::string upstream;
        CallPermit permit;
    };
    struct Refusal {
        CallRefusalReason reason = CallRefusalReason::NoUpstream;
        Duration retry_after {};
    };
    enum class NoAnswer {
        /// The ask was given up. Whatever was granted to it is returned.
        Withdrawn,
        /// No controller answered.
        Unavailable,
    };
    using Answer = std::variant<Grant, Refusal, NoAnswer>;

    CallAdmissionClient(Options options, Kernel& kernel, VirtualMachineRanking& ranking, Metrics& metrics, std::string data_centre);
    ~CallAdmissionClient() = default;
    CallAdmissionClient(CallAdmissionClient const&) = delete;
    CallAdmissionClient& operator=(CallAdmissionClient const&) = delete;

    /// Sets the accounts that share the upstreams, in proportion to their rate limits.
    void set_accounts(std::span<ClientAccount const> accounts);

    asio::awaitable<Answer> ask(Ask ask, std::shared_ptr<PendingAsk> pending);
    /// Records a call that is sent without a permit, so that it is reported to the controllers that are asked while it runs.
    CallPermit note_unpermitted(Ask const& ask, std::string upstream);

    /// Places that calls of this VM have now, those of calls without a permit among them.
    std::size_t held_count() const { return this->held_places.size(); }

private:
    /// A controller that granted a place, or to which it was reported.
    struct Controller {
        std::string endpoint;
        CallGroup group;
    };
    struct HeldPlace {
        std::string service;
        std::string account;
        std::string upstream;
        MonotonicTime timeout;
        std::vector<Controller> controllers;
    };
    /// The process that was asked last for a group.
    struct LastController {
        std::string endpoint;
        /// Empty until it has answered.
        std::string incarnation;
    };
    /// An ask whose answer is awaited.
    struct SentAsk {
        std::string endpoint;
        std::weak_ptr<PendingAsk> pending;
    };
    using GroupKey = std::pair<std::string, std::uint32_t>;

    asio::awaitable<Answer> ask_group(Ask ask, CallGroup group, std::shared_ptr<PendingAsk> pending);
    asio::awaitable<Answer> ask_controller(Ask ask, CallGroup group, std::string virtual_machine, std::shared_ptr<PendingAsk> pending);
    wire::Envelope ask_message(Ask const& ask, CallGroup const& group, std::uint64_t permit, std::string const& endpoint);
    void report_held(CallGroup const& group, std::string const& endpoint, wire::CallPermitAsk& message);
    void send_ask(std::string const& endpoint, wire::Envelope envelope, Duration timeout, CallGroup const& group, std::shared_ptr<PendingAsk> const& pending);
    void note_failure(std::string const& virtual_machine, CallGroup const& group, std::string const& endpoint, Ask const& ask, WireErrorKind error);
    void note_answered(CallGroup const& group, std::string const& endpoint, std::string const& incarnation);
    /// Lets the calls that wait for an answer of the endpoint ask again.
    void repeat_asks(std::string const& endpoint);
    CallPermit hold(std::uint64_t permit, HeldPlace place);
    void return_place(std::uint64_t permit, CallOutcome outcome, Duration service_time);
    wire::Envelope return_message(CallGroup const& group, std::uint64_t permit) const;
    double weight_of(std::string const& account) const;

    Options options;
    Kernel& kernel;
    VirtualMachineRanking& ranking;
    Metrics& metrics;
    std::string data_centre;
    std::map<std::string, double> account_weights;
    std::uint64_t last_permit = 0;
    std::map<std::uint64_t, HeldPlace> held_places;
    /// By permit.
    std::map<std::uint64_t, SentAsk> sent_asks;
    std::map<GroupKey, LastController> last_controllers;
    /// Expires with this object, which permits and late replies may outlive at shutdown.
    std::shared_ptr<CallAdmissionClient*> self = std::make_shared<CallAdmissionClient*>(this);
};

}
