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

bool SharedRetryBudget::try_take(std::size_t count, double part, MonotonicTime now)
{
    this->expire(now);
    if (static_cast<double>(this->extras.size() + count) > this->limit(part))
        return false;
    this->extras.insert(this->extras.end(), count, now);
    return true;
}

void SharedRetryBudget::give_back(MonotonicTime taken_at)
{
    auto const found = std::lower_bound(this->extras.begin(), this->extras.end(), taken_at);
    // One that has left the window already is not there any more.
    if (found != this->extras.end() && *found == taken_at)
        this->extras.erase(found);
}

void SharedRetryBudget::move(MonotonicTime taken_at, MonotonicTime now)
{
    this->give_back(taken_at);
    this->extras.push_back(now);
}

SharedRetryBudget::Level SharedRetryBudget::level(double part, MonotonicTime now)
{
    this->expire(now);
    return { this->requests.size(), this->extras.size(), this->limit(part) };
}

double SharedRetryBudget::limit(double part) const
{
    return this->options.safety * (this->options.ratio * static_cast<double>(this->requests.size()) + this->options.allowance * part);
}

void SharedRetryBudget::expire(MonotonicTime now)
{
    while (!this->requests.empty() && now - this->requests.front() > this->options.window)
        this->requests.pop_front();
    while (!this->extras.empty() && now - this->extras.front() > this->options.window)
        this->extras.pop_front();
}

}
