// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/SharedRetryBudget.h>
#include <algorithm>

namespace Spurtide {

void SharedRetryBudget::note_request(MonotonicTime now)
{
    this->requests.push_back(now);
    this->expire(now);
}

bool SharedRetryBudget::can_take(std::size_t count, double share, MonotonicTime now)
{
    this->expire(now);
    return static_cast<double>(this->extra_sends.size() + count) <= this->limit(share);
}

bool SharedRetryBudget::try_take(std::size_t count, double share, MonotonicTime now)
{
    if (!this->can_take(count, share, now))
        return false;
    this->extra_sends.insert(this->extra_sends.end(), count, now);
    return true;
}

void SharedRetryBudget::refund(MonotonicTime taken_at)
{
    auto const found = std::lower_bound(this->extra_sends.begin(), this->extra_sends.end(), taken_at);
    // A charge that has already left the window is no longer there.
    if (found != this->extra_sends.end() && *found == taken_at)
        this->extra_sends.erase(found);
}

void SharedRetryBudget::restart_window(MonotonicTime taken_at, MonotonicTime now)
{
    this->refund(taken_at);
    this->extra_sends.push_back(now);
}

SharedRetryBudget::Level SharedRetryBudget::level(double share, MonotonicTime now)
{
    this->expire(now);
    return { this->requests.size(), this->extra_sends.size(), this->limit(share) };
}

double SharedRetryBudget::limit(double share) const
{
    return this->options.safety_factor * (this->options.ratio * static_cast<double>(this->requests.size()) + this->options.allowance * share);
}

void SharedRetryBudget::expire(MonotonicTime now)
{
    while (!this->requests.empty() && now - this->requests.front() > this->options.window)
        this->requests.pop_front();
    while (!this->extra_sends.empty() && now - this->extra_sends.front() > this->options.window)
        this->extra_sends.pop_front();
}

}
