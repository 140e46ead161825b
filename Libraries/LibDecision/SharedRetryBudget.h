// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <cstddef>
#include <deque>

namespace Spurtide {

/// Limits extra sends to a service, beyond the first send of each request, within a sliding window. The limit is a
/// ratio of the requests plus a fixed allowance for all VMs together, of which each VM has a share.
class SharedRetryBudget {
public:
    struct Options {
        /// Extra sends per request of the service in the window.
        double ratio = 0.2;
        /// Extra sends that all VMs together may make regardless of the number of requests.
        double allowance = 20;
        Duration window = seconds(10);
        /// Fraction of the limit that is used; the margin covers requests that are counted differently on other VMs.
        double safety_factor = 0.7;
    };

    explicit SharedRetryBudget(Options options)
        : options(options)
    {
    }

    void note_request(MonotonicTime now);

    /// Whether the budget covers `count` extra sends now. `share` is this VM's share of the allowance.
    bool can_take(std::size_t count, double share, MonotonicTime now);
    /// Charges either all of `count` extra sends or none.
    bool try_take(std::size_t count, double share, MonotonicTime now);
    /// Refunds an extra send that was not made.
    void refund(MonotonicTime taken_at);
    /// Restarts the window of an extra send that was charged at `taken_at` but is made now.
    void restart_window(MonotonicTime taken_at, MonotonicTime now);

    /// The current state of the budget, for diagnostics.
    struct Level {
        /// Requests and extra sends of this VM within the window.
        std::size_t requests = 0;
        std::size_t extra_sends = 0;
        /// Extra sends that this VM may make within the window.
        double limit = 0;
    };

    Level level(double share, MonotonicTime now);

private:
    double limit(double share) const;
    void expire(MonotonicTime now);

    Options options;
    std::deque<MonotonicTime> requests;
    // In chronological order.
    std::deque<MonotonicTime> extra_sends;
};

}
