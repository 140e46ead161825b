// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/CellMap.h>
#include <LibDecision/WatchPlan.h>
#include <algorithm>

namespace Spurtide {

namespace {

constexpr std::string_view RENDEZVOUS = "registry-watch";

}

std::vector<std::string> choose_watchers(std::span<std::string const> virtual_machines, std::size_t count)
{
    std::vector<std::string> chosen(virtual_machines.begin(), virtual_machines.end());
    std::sort(chosen.begin(), chosen.end(), [](auto const& one, auto const& other) { return rendezvous_score(RENDEZVOUS, one) > rendezvous_score(RENDEZVOUS, other); });
    chosen.resize(std::min(count, chosen.size()));
    return chosen;
}

WatchPlan::WatchPlan(Options options, std::string own_virtual_machine)
    : options(options)
    , own_virtual_machine(std::move(own_virtual_machine))
{
}

void WatchPlan::set_virtual_machines(std::vector<std::string> now_live)
{
    if (now_live == this->virtual_machines)
        return;
    this->virtual_machines = std::move(now_live);
    this->order.clear();
    this->told.clear();
    this->preferred_watcher.clear();
    this->own_part = Part::Watcher;
    this->own_rank = 0;
    if (this->virtual_machines.size() < this->options.smallest_data_centre)
        return;
    this->order = choose_watchers(this->virtual_machines, this->virtual_machines.size());
    this->own_rank = static_cast<std::size_t>(std::find(this->order.begin(), this->order.end(), this->own_virtual_machine) - this->order.begin());
    std::copy_if(this->order.begin(), this->order.end(), std::back_inserter(this->told), [&](auto const& name) { return name != this->own_virtual_machine; });
    if (this->own_rank < this->options.watchers)
        return;
    this->own_part = Part::Listener;
    auto const first_listener = this->order.begin() + static_cast<std::ptrdiff_t>(this->options.watchers);
    this->preferred_watcher = *std::max_element(this->order.begin(), first_listener, [&](auto const& one, auto const& other) { return rendezvous_score(this->own_virtual_machine, one) < rendezvous_score(this->own_virtual_machine, other); });
}

// A VM behind this one stops to watch once it is told itself; did this one rely on it, both would stop.
void WatchPlan::note_told(std::string_view teller, MonotonicTime now)
{
    this->last_heard = now;
    if (rendezvous_score(RENDEZVOUS, teller) <= rendezvous_score(RENDEZVOUS, this->own_virtual_machine))
        return;
    bool const was_silent = !this->last_told || now - *this->last_told >= this->silence_borne();
    if (was_silent)
        this->told_since = now;
    this->last_told = now;
}

Duration WatchPlan::silence_borne() const
{
    bool const is_first = this->own_rank < this->options.watchers + this->options.first_stand_ins;
    return is_first || this->present_company == Company::None ? this->options.silence : this->options.longer_silence;
}

bool WatchPlan::watches(MonotonicTime now) const
{
    if (this->own_part == Part::Watcher || !this->last_told || now - *this->last_told >= this->silence_borne())
        return true;
    return now - *this->told_since < this->options.settling;
}

bool WatchPlan::is_told(MonotonicTime now) const
{
    return this->last_heard && now - *this->last_heard < this->options.silence;
}

Duration WatchPlan::gathering(Duration news_time) const
{
    return from_seconds(to_seconds(news_time) * (this->own_rank == 0 ? this->options.first_gathering : this->options.other_gathering));
}

Duration WatchPlan::longest_pause(Duration usual) const
{
    if (this->own_part == Part::Watcher || this->present_company == Company::None)
        return usual;
    auto const shared = from_seconds(static_cast<double>(this->order.size()) / this->options.stand_in_tries_per_second);
    return std::max(usual, shared);
}

}
