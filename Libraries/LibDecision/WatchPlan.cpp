// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/CellMap.h>
#include <LibDecision/WatchPlan.h>
#include <algorithm>

namespace Spurtide {

namespace {

constexpr std::string_view RENDEZVOUS_KEY = "registry-watch";

}

std::vector<std::string> choose_watchers(std::span<std::string const> virtual_machines, std::size_t count)
{
    std::vector<std::string> chosen(virtual_machines.begin(), virtual_machines.end());
    std::sort(chosen.begin(), chosen.end(), [](auto const& one, auto const& other) { return rendezvous_score(RENDEZVOUS_KEY, one) > rendezvous_score(RENDEZVOUS_KEY, other); });
    chosen.resize(std::min(count, chosen.size()));
    return chosen;
}

WatchPlan::WatchPlan(Options options, std::string own_virtual_machine)
    : options(options)
    , own_virtual_machine(std::move(own_virtual_machine))
{
}

void WatchPlan::set_virtual_machines(std::vector<std::string> live)
{
    if (live == this->virtual_machines)
        return;
    this->virtual_machines = std::move(live);
    this->order.clear();
    this->listener_names.clear();
    this->assigned_watcher_name.clear();
    this->own_role = Role::Watcher;
    this->own_rank = 0;
    if (this->virtual_machines.size() < this->options.minimum_data_centre_size)
        return;
    this->order = choose_watchers(this->virtual_machines, this->virtual_machines.size());
    this->own_rank = static_cast<std::size_t>(std::find(this->order.begin(), this->order.end(), this->own_virtual_machine) - this->order.begin());
    std::copy_if(this->order.begin(), this->order.end(), std::back_inserter(this->listener_names), [&](auto const& name) { return name != this->own_virtual_machine; });
    if (this->own_rank < this->options.watchers)
        return;
    this->own_role = Role::Listener;
    auto const first_listener = this->order.begin() + static_cast<std::ptrdiff_t>(this->options.watchers);
    this->assigned_watcher_name = *std::max_element(this->order.begin(), first_listener, [&](auto const& one, auto const& other) { return rendezvous_score(this->own_virtual_machine, one) < rendezvous_score(this->own_virtual_machine, other); });
}

// A VM further back in the order stops watching once it receives updates itself. If this VM relied on it, both would
// stop.
void WatchPlan::note_update(std::string_view sender, MonotonicTime now)
{
    this->last_update = now;
    if (rendezvous_score(RENDEZVOUS_KEY, sender) <= rendezvous_score(RENDEZVOUS_KEY, this->own_virtual_machine))
        return;
    bool const was_silent = !this->last_trusted_update || now - *this->last_trusted_update >= this->silence_limit();
    if (was_silent)
        this->trusted_since = now;
    this->last_trusted_update = now;
}

Duration WatchPlan::silence_limit() const
{
    bool const is_first = this->own_rank < this->options.watchers + this->options.first_backups;
    return is_first || this->peer_reachability == PeerReachability::None ? this->options.silence : this->options.late_backup_silence;
}

bool WatchPlan::watches(MonotonicTime now) const
{
    if (this->own_role == Role::Watcher || !this->last_trusted_update || now - *this->last_trusted_update >= this->silence_limit())
        return true;
    return now - *this->trusted_since < this->options.settling_time;
}

bool WatchPlan::has_recent_update(MonotonicTime now) const
{
    return this->last_update && now - *this->last_update < this->options.silence;
}

Duration WatchPlan::batching_delay(Duration news_time) const
{
    return from_seconds(to_seconds(news_time) * (this->own_rank == 0 ? this->options.first_batching_share : this->options.other_batching_share));
}

Duration WatchPlan::maximum_retry_interval(Duration usual) const
{
    if (this->own_role == Role::Watcher || this->peer_reachability == PeerReachability::None)
        return usual;
    auto const shared = from_seconds(static_cast<double>(this->order.size()) / this->options.backup_attempts_per_second);
    return std::max(usual, shared);
}

}
