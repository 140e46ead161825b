// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <LibDecision/AccountShares.h>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Spurtide {

/// An upstream of a plain service, as the queue sees it.
struct QueueUpstream {
    std::string identity;
    std::int64_t slots = 1;
    std::string data_centre;
};

/// A plain call that asks for a place at one of its service's upstreams.
struct CallAsk {
    std::string request;
    std::string account;
    /// 0 is the highest priority.
    std::int64_t priority = 0;
    /// The VM that sends the call.
    std::string origin;
    std::string data_centre;
    /// When the latency target of the call ends.
    MonotonicTime target_time;
    /// When the call has to be answered at the latest: its route's timeout or its caller's deadline.
    MonotonicTime timeout;
    /// The longest delay after which the caller can still retry; zero if it cannot.
    Duration retry_patience {};
    /// Upstreams that the call must not be sent to.
    std::vector<std::string> excluded_upstreams {};
};

struct CallGrant {
    std::string request;
    std::string upstream;
    Duration waited {};
    /// Predicted time from the ask to the response.
    Duration predicted {};
};

enum class CallRefusalReason {
    /// No upstream that the call may be sent to is listed.
    NoUpstream,
    /// It would miss its latency target, and its caller can retry.
    CannotMeetTarget,
    /// It cannot be answered before its timeout.
    CannotMeetTimeout,
    /// Calls of higher rank took its place in the queue.
    Displaced,
    QueueFull,
};

std::string_view to_string(CallRefusalReason reason);

struct CallRefusal {
    std::string request;
    CallRefusalReason reason = CallRefusalReason::NoUpstream;
    Duration retry_after {};
    Duration waited {};
    Duration predicted {};
};

using CallDecision = std::variant<CallGrant, CallRefusal>;

/// How a granted call ended.
enum class CallOutcome {
    Answered,
    /// The upstream had no room and did not run it.
    Shed,
    Failed,
    /// Not sent.
    Unused,
};

/// Admission control for the plain calls of all VMs to one service or one group of its upstreams: keeps the concurrency of each upstream
/// close to its slots, orders the calls that wait, and refuses those that cannot be answered in time. Performs no I/O; the
/// current time is an argument of each call.
class CallQueue {
public:
    struct Options {
        /// Calls in flight beyond an upstream's slots, as a share of them, rounded up; they cover the round trip between the
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
        /// Time after a call's timeout at which its place is returned even if nothing was heard of its end.
        Duration lost_return_grace = milliseconds(1000);
        std::size_t queue_limit = 2000;
        AccountShares::Options shares {};
    };

    explicit CallQueue(Options options);

    /// Replaces the upstreams. The state of those that remain is kept.
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
    Options options;
};

}
