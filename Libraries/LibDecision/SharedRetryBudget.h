// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <deque>

namespace Spurtide {

/// Bounds what is sent to a service beyond the first time of each request, over a sliding window. All VMs
/// together share the ratio of their requests and a fixed allowance; each VM takes an even part of the latter.
class SharedRetryBudget {
public:
    struct Options {
        /// Of the service's requests in the window.
        double ratio = 0.2;
        /// Extra sends of all VMs together that are allowed whatever the requests.
        double allowance = 20;
        Duration window = seconds(10);
        /// Part of both that is used; the rest is for requests that other VMs counted otherwise.
        double safety = 0.7;
    };

    explicit SharedRetryBudget(Options options)
        : options(options)
    {
    }

    void note_request(MonotonicTime now)
    {
        this->requests.push_back(now);
        this->expire(now);
    }

    /// Takes one extra send where the budget has it.
    bool try_take(std::size_t virtual_machines, MonotonicTime now)
    {
        this->expire(now);
        if (static_cast<double>(this->extras.size()) + 1 > this->limit(virtual_machines))
            return false;
        this->extras.push_back(now);
        return true;
    }

    /// What the budget holds now, for those who ask why a send was or was not allowed.
    struct Level {
        /// Requests and extra sends of this VM within the window.
        std::size_t requests = 0;
        std::size_t extras = 0;
        /// Extra sends that this VM may have within the window.
        double limit = 0;
    };

    Level level(std::size_t virtual_machines, MonotonicTime now)
    {
        this->expire(now);
        return { this->requests.size(), this->extras.size(), this->limit(virtual_machines) };
    }

    /// What may be sent extra within one window now.
    double limit(std::size_t virtual_machines) const
    {
        auto const share = this->options.allowance / static_cast<double>(virtual_machines == 0 ? 1 : virtual_machines);
        return this->options.safety * (this->options.ratio * static_cast<double>(this->requests.size()) + share);
    }

private:
    void expire(MonotonicTime now)
    {
        while (!this->requests.empty() && now - this->requests.front() > this->options.window)
            this->requests.pop_front();
        while (!this->extras.empty() && now - this->extras.front() > this->options.window)
            this->extras.pop_front();
    }

    Options options;
    std::deque<MonotonicTime> requests;
    std::deque<MonotonicTime> extras;
};

}
