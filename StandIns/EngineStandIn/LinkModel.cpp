// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <StandIns/EngineStandIn/LinkModel.h>
#include <algorithm>

namespace Spurtide {

namespace {

/// Less than this is nothing: it is lost in rounding to microseconds.
constexpr double SMALLEST_REST = 0.5;

}

double LinkModel::share() const
{
    auto const moving = std::count_if(this->transfers.begin(), this->transfers.end(), [](auto const& entry) { return !entry.second.stalled; });
    return moving > 0 ? this->rate / static_cast<double>(moving) : 0;
}

void LinkModel::move_bytes(MonotonicTime now)
{
    if (now <= this->updated)
        return;
    double const moved = this->share() * to_seconds(now - this->updated);
    for (auto& [name, transfer] : this->transfers) {
        if (!transfer.stalled)
            transfer.bytes_left = std::max(0.0, transfer.bytes_left - moved);
    }
    this->updated = now;
}

void LinkModel::start(std::string name, double bytes, MonotonicTime now)
{
    this->move_bytes(now);
    this->transfers.insert_or_assign(std::move(name), Transfer { bytes });
}

void LinkModel::cancel(std::string_view name, MonotonicTime now)
{
    this->move_bytes(now);
    auto const found = this->transfers.find(name);
    if (found != this->transfers.end())
        this->transfers.erase(found);
}

void LinkModel::stall(std::string_view name, MonotonicTime now)
{
    this->move_bytes(now);
    auto const found = this->transfers.find(name);
    if (found != this->transfers.end())
        found->second.stalled = true;
}

std::vector<std::string> LinkModel::advance(MonotonicTime now)
{
    std::vector<std::string> finished;
    // Each end gives the others a larger share, so time is passed from one end to the next.
    while (true) {
        auto const next = this->next_completion();
        this->move_bytes(next ? std::min(*next, now) : now);
        auto const before = finished.size();
        for (auto position = this->transfers.begin(); position != this->transfers.end();) {
            if (!position->second.stalled && position->second.bytes_left <= SMALLEST_REST) {
                finished.push_back(position->first);
                position = this->transfers.erase(position);
            } else {
                ++position;
            }
        }
        if (finished.size() == before && (!next || *next >= now))
            return finished;
    }
}

std::optional<MonotonicTime> LinkModel::next_completion() const
{
    double const share = this->share();
    std::optional<double> least;
    for (auto const& [name, transfer] : this->transfers) {
        if (!transfer.stalled)
            least = least ? std::min(*least, transfer.bytes_left) : transfer.bytes_left;
    }
    if (!least)
        return {};
    // Rounded up, so that the transfer has ended by then.
    return this->updated + Duration(static_cast<std::int64_t>(*least / share * 1e6) + 1);
}

}
