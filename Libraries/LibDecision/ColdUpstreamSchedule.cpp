// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/ColdUpstreamSchedule.h>
#include <algorithm>
#include <xxhash.h>

namespace Spurtide {

namespace {

/// Upstreams are cold only for seconds, so with more entries most of them are outdated.
constexpr std::size_t MAXIMUM_TRACKED_UPSTREAMS = 1024;
constexpr double MINIMUM_RATE = 0.01;

}

ColdUpstreamSchedule::Turn ColdUpstreamSchedule::turn_at(std::string_view upstream, double rate, SendingMachines const& machines, Duration time_of_day)
{
    auto const count = static_cast<std::int64_t>(std::max<std::size_t>(1, machines.count));
    Turn turn;
    turn.period = std::max(Duration { 1 }, from_seconds(static_cast<double>(count) / std::max(MINIMUM_RATE, rate)));
    // Offsets the turns of upstreams that are cold at the same time.
    auto const phase_offset = XXH3_64bits(upstream.data(), upstream.size()) % static_cast<std::uint64_t>(turn.period.count());
    auto const vm_offset = turn.period * static_cast<std::int64_t>(machines.rank) / count;
    auto const elapsed = time_of_day + Duration(static_cast<std::int64_t>(phase_offset)) - vm_offset;
    turn.number = elapsed / turn.period;
    turn.since_begin = elapsed % turn.period;
    return turn;
}

Duration ColdUpstreamSchedule::time_until_turn(std::string_view upstream, double rate, SendingMachines const& machines, Duration time_of_day) const
{
    auto const turn = turn_at(upstream, rate, machines, time_of_day);
    auto const used = this->last_used.find(upstream);
    bool const is_used = used != this->last_used.end() && used->second == turn.number;
    if (!is_used && turn.since_begin < this->options.turn)
        return {};
    return turn.period - turn.since_begin;
}

void ColdUpstreamSchedule::note_sent(std::string_view upstream, double rate, SendingMachines const& machines, Duration time_of_day)
{
    if (this->last_used.size() >= MAXIMUM_TRACKED_UPSTREAMS)
        this->last_used.clear();
    this->last_used.insert_or_assign(std::string(upstream), turn_at(upstream, rate, machines, time_of_day).number);
}

}
