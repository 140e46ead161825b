// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Metrics.h>
#include <LibDecision/RetryBudget.h>
#include <LibService/ConfigurationFollower.h>
#include <LibUpstream/EnginePort.h>
#include <LibUpstream/ServicePort.h>
#include <LibWire/Kernel.h>
#include <Services/EntryServer/OwnedWork.h>
#include <Services/EntryServer/PlacementClient.h>
#include <functional>
#include <memory>
#include <mutex>

namespace Spurtide {

/// Where the entry's behaviour can be set.
struct EntryLimits {
    Duration first_token_target = milliseconds(950);
    Duration longest_deadline = seconds(600);
    /// Time for a caller whose stream broke to come back for it.
    Duration resume_grace = seconds(2);
    int most_attempts = 3;
    double retries_per_request = 0.1;
    double retry_burst = 20;
};

/// What the requests of one entry share. Safe to use from any thread.
struct EntryContext {
    using EngineFactory = std::function<std::shared_ptr<EnginePort>(std::string_view address)>;
    using ServiceFactory = std::function<std::shared_ptr<ServicePort>(std::string_view address)>;

    EntryLimits limits;
    std::string data_centre;
    Kernel& kernel;
    ConfigurationFollower& follower;
    Metrics& metrics;
    PlacementClient& placement;
    OwnedWork& owned;
    EngineFactory make_engine;
    ServiceFactory make_service;
    std::mutex retry_mutex {};
    RetryBudget retries { limits.retries_per_request, limits.retry_burst };

    void note_request()
    {
        std::scoped_lock const lock(this->retry_mutex);
        this->retries.note_request();
    }

    bool try_spend_retry()
    {
        std::scoped_lock const lock(this->retry_mutex);
        return this->retries.try_spend();
    }
};

}
