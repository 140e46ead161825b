// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Metrics.h>
#include <LibCore/MonotonicTimer.h>
#include <LibDecision/CallQueue.h>
#include <LibDecision/DeadOriginTracker.h>
#include <LibDecision/PauseDetector.h>
#include <LibDecision/UpstreamList.h>
#include <LibRouter/CallGroup.h>
#include <LibWire/Kernel.h>
#include <asio.hpp>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace Spurtide {

/// Hosts the admission controllers of plain services: grants the calls of all VMs places at upstreams, or refuses them. Every
/// VM hosts the service; VirtualMachineRanking determines which one is asked for a service or a group of its upstreams.
class CallAdmissionService {
public:
    struct Options {
        CallQueue::Options queue {};
        /// How long a queue without calls is kept. Its measured service times are lost with it.
        Duration idle_time = seconds(60);
        /// How long a process may be missing from the directory before its places are returned. Longer than it takes for news
        /// of a new VM to reach all others.
        Duration dead_origin_grace = seconds(2);
        Duration housekeeping_interval = milliseconds(500);
    };

    /// The list of upstreams is the one of this VM.
    CallAdmissionService(Options options, Kernel& kernel, UpstreamList const& upstreams, Metrics& metrics, asio::io_context& loop);

    /// Registers the service. Call before the kernel starts.
    void host();
    void start();
    /// Handles a message of this or another VM. The reply to an ask is sent once the queue has decided.
    void handle(wire::Envelope const& request, Kernel::Responder const& respond);
    /// Call when upstreams were added, removed, or changed their state.
    void note_upstreams_changed();

    std::size_t queue_count() const { return this->queues.size(); }
    std::size_t waiting_calls(std::string_view service) const;
    std::size_t calls_in_flight(std::string_view service) const;

private:
    struct PendingAsk {
        std::string request;
        std::string account;
        Kernel::Responder respond;
    };
    struct ServiceQueue {
        explicit ServiceQueue(CallQueue::Options const& options)
            : calls(options)
        {
        }

        CallQueue calls;
        /// By the names that the queue has for the calls.
        std::map<std::string, PendingAsk> pending;
        /// Processes that asked, or reported calls.
        std::set<std::string> origins;
        MonotonicTime used_at;
        bool has_outdated_upstreams = true;
        std::size_t upstreams = 0;
    };
    /// Service and index of the group.
    using QueueKey = std::pair<std::string, std::uint32_t>;

    void handle_ask(wire::CallPermitAsk const& message, Kernel::Responder const& respond);
    void handle_return(wire::CallPermitReturn const& message);
    void update_upstreams(QueueKey const& key, ServiceQueue& queue);
    void advance(QueueKey const& key, ServiceQueue& queue, MonotonicTime now);
    void send_decisions(QueueKey const& key, ServiceQueue& queue, MonotonicTime now);
    void send_grant(QueueKey const& key, ServiceQueue const& queue, PendingAsk const& ask, CallGrant const& grant, MonotonicTime now);
    void send_refusal(QueueKey const& key, ServiceQueue const& queue, PendingAsk const& ask, CallRefusal const& refusal, MonotonicTime now);
    void publish_waiting(QueueKey const& key, ServiceQueue const& queue);
    void set_timer(MonotonicTime now);
    void tick();
    void housekeep();
    void remove_dead_origins(MonotonicTime now);

    Options options;
    Kernel& kernel;
    UpstreamList const& upstreams;
    Metrics& metrics;
    MonotonicTimer timer;
    /// When the timer expires; empty if it is not set.
    std::optional<MonotonicTime> timer_due;
    std::map<QueueKey, ServiceQueue> queues;
    DeadOriginTracker missing_origins;
    PauseDetector pauses { PauseDetector::Options {} };
};

}
