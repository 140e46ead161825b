// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <LibDecision/AccountShares.h>
#include <LibDecision/CallAsk.h>
#include <LibDecision/CallDecision.h>
#include <LibDecision/CallOutcome.h>
#include <LibDecision/CallPlaces.h>
#include <LibDecision/CallTimePredictor.h>
#include <LibDecision/QueueUpstream.h>
#include <LibDecision/RetryReservations.h>
#include <LibDecision/WaitingCalls.h>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Spurtide {

/// Admission control for the plain calls of all VMs to one service or one group of its upstreams: keeps the concurrency of each upstream
/// close to its slots, orders the calls that wait, and refuses those that cannot be answered in time. Performs no I/O; the
/// current time is an argument of each call.
class CallQueue {
public:
    /// What becomes of calls that would miss their latency target.
    enum class LateCalls {
        /// Refused at once.
        Refuse,
        /// They wait behind the others until their timeout.
        Wait,
        /// Refused where the caller can retry at a time with capacity, else they wait.
        RefuseIfRetryHelps,
    };

    struct Options {
        /// Least number of calls in flight beyond an upstream's slots, as a share of them, rounded up; they cover the round trip between the
        /// end of one call and the start of the next.
        double ahead_share = 0.125;
        /// Assumed until calls have been measured.
        Duration initial_service_time = milliseconds(50);
        /// Weight of a new sample in the moving averages of service times.
        double smoothing = 0.15;
        /// Penalty for an upstream in another data centre than the sending VM.
        Duration remote_penalty = milliseconds(4);
        /// How long an upstream that shed a call gets no other one.
        Duration shed_backoff = milliseconds(150);
        /// Time after a call's timeout at which its place is returned even if nothing was heard of its end. A VM ends the call at
        /// its timeout, so only its message has to arrive. In the simulation of a partition, places that are lost for 1000 ms
        /// longer reduce the callers served on time from 0.926 to 0.895.
        Duration lost_return_grace = milliseconds(250);
        std::size_t queue_limit = 2000;
        AccountShares::Options shares {};
        LateCalls late_calls = LateCalls::RefuseIfRetryHelps;
    };

    explicit CallQueue(Options options);
    CallQueue(CallQueue const&) = delete;
    CallQueue& operator=(CallQueue const&) = delete;

    /// Replaces the upstreams. The state of those that remain is kept. Call advance() afterwards.
    void set_upstreams(std::span<QueueUpstream const> upstreams);
    void set_account_weight(std::string_view account, double weight);

    void ask(CallAsk ask, MonotonicTime now);
    /// Withdraws a call that waits, or returns its place as unused if it was granted one.
    void withdraw(std::string_view request, MonotonicTime now);
    /// Returns the place of a granted call. The service time is from the send to the response.
    void complete(std::string_view request, CallOutcome outcome, Duration service_time, MonotonicTime now);
    /// Adds a call that was granted by another queue, as its VM reports it. Ignored if it is known.
    void restore(std::string_view request, std::string_view account, std::string_view origin, std::string_view upstream, MonotonicTime timeout, MonotonicTime now);
    /// Returns the places of a VM that is gone, and drops its waiting calls.
    void remove_origin(std::string_view origin, MonotonicTime now);

    /// Returns expired places, refuses calls that can no longer be answered in time, and grants places to those that wait.
    void advance(MonotonicTime now);
    /// When advance() should be called next, if nothing else happens; empty if nothing waits.
    std::optional<MonotonicTime> next_event(MonotonicTime now) const;
    /// Returns the decisions made since the last call, in order.
    std::vector<CallDecision> take_decisions();

    std::size_t waiting_calls() const;
    std::size_t calls_in_flight() const;
    std::int64_t calls_in_flight(std::string_view upstream) const;
    double usage(std::string_view account, MonotonicTime now) const;

private:
    struct GrantedCall {
        std::string account;
        std::string origin;
        std::string upstream;
        /// Empty if another queue granted it.
        std::optional<MonotonicTime> granted_at;
        MonotonicTime expires_at;
        /// What its account holds for it, in seconds of an upstream.
        double amount = 0;
    };

    void add_granted(std::string_view request, GrantedCall call, MonotonicTime now);
    /// Returns false if no such call is in flight.
    bool return_place(std::string_view request, CallOutcome outcome, Duration service_time, MonotonicTime now);
    void return_expired_places(MonotonicTime now);
    void refuse_calls_without_upstream(MonotonicTime now);
    void refuse_expired_calls(MonotonicTime now);
    void grant_places(MonotonicTime now);
    /// Grants one place, or decides about one call that has become late. Returns false if there is nothing to do.
    bool grant_next(MonotonicTime now);
    void grant(std::string_view request, CallPlaces::Choice const& choice, MonotonicTime now);
    /// Decides whether a call that would miss its target is refused or waits as late.
    void handle_late(std::string_view request, CallRefusalReason reason, MonotonicTime now);
    void wait_as_late(std::string_view request, MonotonicTime now);
    void decide_whether_to_wait(std::string_view request, MonotonicTime now);
    void displace_last(std::string_view newest, MonotonicTime now);
    void limit_queue(std::string_view newest, MonotonicTime now);
    Duration retry_delay(Duration patience, MonotonicTime now) const;
    void refuse(WaitingCall const& call, CallRefusalReason reason, Duration predicted, MonotonicTime now);
    void refuse_waiting(std::string_view request, CallRefusalReason reason, MonotonicTime now);
    void forget_inactive_accounts(MonotonicTime now);

    Options options;
    AccountShares shares;
    CallPlaces places;
    WaitingCalls waiting;
    CallTimePredictor predictor;
    RetryReservations retries;
    std::unordered_map<std::string, GrantedCall> granted;
    std::set<std::pair<MonotonicTime, std::string>> grant_expiries;
    std::vector<CallDecision> decisions;
    MonotonicTime accounts_reviewed_at;
    bool have_upstreams_changed = false;
};

}
