// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/ColdTurns.h>
#include <algorithm>
#include <xxhash.h>

namespace Spurtide {

namespace {

/// Upstreams are cold for seconds; what is remembered of more of them is of the past.
constexpr std::size_t MOST_REMEMBERED = 1024;
constexpr double SLOWEST_RATE = 0.01;

}

ColdTurns::Turn ColdTurns::turn_at(std::string_view upstream, double rate, SendingMachines const& machines, Duration time_of_day)
{
    auto const count = static_cast<std::int64_t>(std::max<std::size_t>(1, machines.count));
    Turn turn;
    turn.period = std::max(Duration { 1 }, from_seconds(static_cast<double>(count) / std::max(SLOWEST_RATE, rate)));
    // Upstreams that are cold together have their turns at different times.
    auto const spread = XXH3_64bits(upstream.data(), upstream.size()) % static_cast<std::uint64_t>(turn.period.count());
    auto const begin = turn.period * static_cast<std::int64_t>(machines.rank) / count;
    auto const since = time_of_day + Duration(static_cast<std::int64_t>(spread)) - begin;
    turn.number = since / turn.period;
    turn.since_begin = since % turn.period;
    return turn;
}

Duration ColdTurns::time_until_turn(std::string_view upstream, double rate, SendingMachines const& machines, Duration time_of_day) const
{
    auto const turn = turn_at(upstream, rate, machines, time_of_day);
    auto const used = this->last_used.find(upstream);
    bool const is_used = used != this->last_used.end() && used->second == turn.number;
    if (!is_used && turn.since_begin < this->options.turn)
        return {};
    return turn.period - turn.since_begin;
}

void ColdTurns::note_sent(std::string_view upstream, double rate, SendingMachines const& machines, Duration time_of_day)
{
    if (this->last_used.size() >= MOST_REMEMBERED)
        this->last_used.clear();
    this->last_used.insert_or_assign(std::string(upstream), turn_at(upstream, rate, machines, time_of_day).number);
}

}
