// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <cstddef>
#include <deque>

namespace Spurtide {

/// Bounds what is sent to a service beyond the first time of each request, over a sliding window. All VMs
/// together share the ratio of their requests and a fixed allowance; each VM takes a part of the latter.
class SharedRetryBudget {
public:
    struct Options {
        /// Of the service's requests in the window.
        double ratio = 0.2;
        /// Extra sends of all VMs together that are allowed whatever the requests.
        double allowance = 20;
        Duration window = seconds(10);
        /// Part of both that is used; the rest is for requests that other VMs counted otherwise.
        double safety_factor = 0.7;
    };

    explicit SharedRetryBudget(Options options)
        : options(options)
    {
    }

    void note_request(MonotonicTime now);

    /// Takes all of so many extra sends where the budget has them, else none. The part is this VM's of the allowance.
    bool try_take(std::size_t count, double share, MonotonicTime now);
    /// Gives back an extra send that was not used.
    void refund(MonotonicTime taken_at);
    /// An extra send that was taken earlier leaves only now, and counts within the window from now on.
    void restart_window(MonotonicTime taken_at, MonotonicTime now);

    /// What the budget holds now, for those who ask why a send was or was not allowed.
    struct Level {
        /// Requests and extra sends of this VM within the window.
        std::size_t requests = 0;
        std::size_t extra_sends = 0;
        /// Extra sends that this VM may have within the window.
        double limit = 0;
    };

    Level level(double share, MonotonicTime now);

private:
    double limit(double share) const;
    void expire(MonotonicTime now);

    Options options;
    std::deque<MonotonicTime> requests;
    // In the order of their times.
    std::deque<MonotonicTime> extra_sends;
};

}
