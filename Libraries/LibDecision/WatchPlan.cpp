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
    this->told.clear();
    this->own_part = Part::Watcher;
    if (this->virtual_machines.size() < this->options.smallest_data_centre)
        return;
    auto const watchers = choose_watchers(this->virtual_machines, this->options.watchers);
    auto const is_watcher = [&](std::string const& name) { return std::find(watchers.begin(), watchers.end(), name) != watchers.end(); };
    if (!is_watcher(this->own_virtual_machine)) {
        this->own_part = Part::Listener;
        return;
    }
    std::copy_if(this->virtual_machines.begin(), this->virtual_machines.end(), std::back_inserter(this->told), [&](auto const& name) { return !is_watcher(name); });
}

void WatchPlan::note_told(MonotonicTime now)
{
    bool const was_silent = !this->last_told || now - *this->last_told >= this->options.silence;
    if (was_silent)
        this->told_since = now;
    this->last_told = now;
}

bool WatchPlan::watches(MonotonicTime now) const
{
    if (this->own_part == Part::Watcher || !this->last_told || now - *this->last_told >= this->options.silence)
        return true;
    return now - *this->told_since < this->options.settling;
}

}
