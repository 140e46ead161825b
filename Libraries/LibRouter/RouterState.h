// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibAsync/ConnectionPool.h>
#include <LibCore/Metrics.h>
#include <LibDecision/ColdUpstreamSchedule.h>
#include <LibDecision/Residency.h>
#include <LibDecision/RouteTable.h>
#include <LibDecision/SharedRetryBudget.h>
#include <LibDecision/UpstreamList.h>
#include <LibDecision/UpstreamSelector.h>
#include <LibRouter/CallerDialect.h>
#include <LibRouter/ReachabilityProber.h>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace Spurtide {

class CallAdmissionClient;
class CrashReporter;
class PlacementClient;
class ReplicatedQuarantine;
class RelayClient;
class RequestHandler;
struct StreamMoves;
class StreamOriginDirectory;
class QuotaClient;
class UpstreamLimiter;

/// The state that all requests of a VM share. Only accessed from the event loop's thread.
struct RouterState {
    asio::io_context& loop;
    CallerDialect const& dialect;
    Metrics& metrics;
    std::string data_centre;
    RegionMap regions {};
    SharedRetryBudget::Options retry_options {};
    /// Null until the first configuration has arrived.
    std::shared_ptr<RouteTable const> routes {};
    /// Since when each route has had its targets, as far as this VM knows.
    MonotonicTime targets_since {};
    /// A stream that neither a VM nor the registry knows is taken up only if one software version can have begun it in this time.
    Duration longest_absence = seconds(600);
    UpstreamList upstreams { UpstreamList::Options {} };
    /// Shared with the requests in flight.
    std::shared_ptr<ReachabilityTracker> reachability = std::make_shared<ReachabilityTracker>(ReachabilityTracker::Options {}, data_centre);
    UpstreamSelector selector { UpstreamSelector::Options {} };
    ConnectionPool pool { ConnectionPool::Options {} };
    ReachabilityProber prober { ReachabilityProber::Options {}, loop, reachability, pool, upstreams, metrics };
    std::map<std::string, SharedRetryBudget> retry_budgets {};
    /// Schedules this VM's share of the requests to cold upstreams.
    ColdUpstreamSchedule cold_turns { ColdUpstreamSchedule::Options {} };
    /// The VMs that may send requests: those that are alive, and those beyond a network partition.
    std::function<SendingMachines()> sending_machines = [] { return SendingMachines {}; };
    PlacementClient* placement = nullptr;
    QuotaClient* quota = nullptr;
    ReplicatedQuarantine* quarantine = nullptr;
    CrashReporter* crashes = nullptr;
    UpstreamLimiter* limiter = nullptr;
    /// Null if plain calls are sent without asking for a permit.
    CallAdmissionClient* call_admission = nullptr;
    StreamOriginDirectory* stream_origins = nullptr;
    /// Null where running streams are not moved to other engines. Shared with the moves, which may outlive this state at shutdown.
    std::shared_ptr<StreamMoves> stream_moves {};
    /// Null where no VM relays requests of others.
    RelayClient* relays = nullptr;
    /// Reads what has changed in the list of upstreams. Returns whether the list is current as of the call.
    std::function<asio::awaitable<bool>()> confirm_upstreams = []() -> asio::awaitable<bool> { co_return false; };
    /// Call when an upstream announces its departure in a response.
    std::function<void(UpstreamIncarnation const&)> note_departure = [](UpstreamIncarnation const&) {};
    /// This VM's share of the retry budgets' allowance, which is common to all VMs.
    std::function<double()> retry_allowance_part = [] { return 1.0; };

    /// The requests without a final response.
    std::shared_ptr<std::set<RequestHandler*>> running_requests = std::make_shared<std::set<RequestHandler*>>();

    /// Empty unless this process is stopping.
    std::function<std::optional<Duration>()> time_until_exit = [] { return std::optional<Duration> {}; };

    SharedRetryBudget& retry_budget_for(std::string const& service) { return this->retry_budgets.try_emplace(service, this->retry_options).first->second; }
};

}
