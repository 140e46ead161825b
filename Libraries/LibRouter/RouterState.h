// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibAsync/ConnectionPool.h>
#include <LibCore/Metrics.h>
#include <LibDecision/AnswerPace.h>
#include <LibDecision/ColdTurns.h>
#include <LibDecision/Residency.h>
#include <LibDecision/RouteTable.h>
#include <LibDecision/SharedRetryBudget.h>
#include <LibDecision/StopPolicy.h>
#include <LibDecision/UpstreamList.h>
#include <LibDecision/UpstreamSelector.h>
#include <LibRouter/CallerDialect.h>
#include <LibRouter/ReachabilityProber.h>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace Spurtide {

class CrashReporter;
class PlacementClient;
class ReplicatedQuarantine;
class QuotaClient;
class UpstreamLimiter;

/// What all requests of a VM share. Lives on the one event loop.
struct RouterState {
    asio::io_context& loop;
    CallerDialect const& dialect;
    Metrics& metrics;
    std::string data_centre;
    RegionMap regions {};
    SharedRetryBudget::Options retry_options {};
    /// Empty before the first configuration came.
    std::shared_ptr<RouteTable const> routes {};
    UpstreamList upstreams { UpstreamList::Options {} };
    /// Shared with the requests at upstreams.
    std::shared_ptr<ReachabilityTracker> reachability = std::make_shared<ReachabilityTracker>(ReachabilityTracker::Options {}, data_centre);
    UpstreamSelector selector { UpstreamSelector::Options {} };
    ConnectionPool pool { ConnectionPool::Options {} };
    ReachabilityProber prober { ReachabilityProber::Options {}, loop, reachability, pool, upstreams };
    std::map<std::string, SharedRetryBudget> budgets {};
    /// This VM's part of what cold upstreams bear.
    ColdTurns cold_turns { ColdTurns::Options {} };
    /// Those that are alive, or on the other side of a cut.
    std::function<SendingMachines()> sending_machines = [] { return SendingMachines {}; };
    AnswerPace answer_pace {};
    /// How far answers' lengths are from what callers expect: standard deviation of the logarithm.
    double length_spread = 0.6;
    PlacementClient* placement = nullptr;
    QuotaClient* quota = nullptr;
    ReplicatedQuarantine* quarantine = nullptr;
    CrashReporter* crashes = nullptr;
    UpstreamLimiter* limiter = nullptr;
    /// This VM's part of the retry budgets' allowance, which all VMs share.
    std::function<double()> retry_allowance_part = [] { return 1.0; };

    /// Empty while this process goes on.
    std::function<std::optional<StopTime>()> stop_time = [] { return std::optional<StopTime> {}; };

    SharedRetryBudget& budget_of(std::string const& service) { return this->budgets.try_emplace(service, this->retry_options).first->second; }
};

}
