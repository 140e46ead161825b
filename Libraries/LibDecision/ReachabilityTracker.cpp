// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/ReachabilityTracker.h>
#include <algorithm>

namespace Spurtide {

ReachabilityTracker::ReachabilityTracker(Options options, std::string own_data_centre)
    : options(options)
    , own_data_centre(std::move(own_data_centre))
{
}

void ReachabilityTracker::note_sent(std::string_view identity, std::string_view data_centre, MonotonicTime now)
{
    auto& entry = this->entries[std::string(identity)];
    entry.data_centre = data_centre;
    if (entry.in_flight++ == 0)
        entry.waiting_since = now;
}

// Keeps the unreachable counts in step with the upstream's state.
void ReachabilityTracker::set_reachability(Entry& entry, Reachability reachability)
{
    if (entry.reachability == reachability)
        return;
    entry.reachability = reachability;
    auto& data_centre = this->data_centres[entry.data_centre];
    if (reachability == Reachability::Unreachable) {
        ++data_centre.unreachable;
        ++this->unreachable;
    } else {
        --data_centre.unreachable;
        --this->unreachable;
    }
}

void ReachabilityTracker::note_response(std::string_view identity, MonotonicTime now)
{
    auto const found = this->entries.find(identity);
    if (found == this->entries.end())
        return;
    found->second.waiting_since = now;
    found->second.last_response = now;
    this->set_reachability(found->second, Reachability::Reachable);
    this->note_contact(found->second.data_centre, now);
}

void ReachabilityTracker::note_finished(std::string_view identity)
{
    auto const found = this->entries.find(identity);
    if (found != this->entries.end())
        found->second.in_flight = std::max<std::int64_t>(0, found->second.in_flight - 1);
}

void ReachabilityTracker::note_probe(std::string_view identity, MonotonicTime now)
{
    this->entries[std::string(identity)].last_probe = now;
}

void ReachabilityTracker::note_reached(std::string_view identity, std::string_view data_centre, MonotonicTime now)
{
    auto const found = this->entries.find(identity);
    if (found != this->entries.end()) {
        found->second.last_response = now;
        this->set_reachability(found->second, Reachability::Reachable);
    }
    this->note_contact(data_centre, now);
    this->failing_since.reset();
    this->new_failures = 0;
}

void ReachabilityTracker::note_contact(std::string_view data_centre, MonotonicTime now)
{
    this->data_centres[std::string(data_centre)].last_response = now;
    this->last_response = now;
}

void ReachabilityTracker::note_unreachable(std::string_view identity, std::string_view data_centre, MonotonicTime now)
{
    auto& entry = this->entries[std::string(identity)];
    entry.data_centre = data_centre;
    entry.last_probe = now;
    if (entry.reachability == Reachability::Reachable) {
        ++this->new_failures;
        entry.unreachable_since = now;
    }
    this->set_reachability(entry, Reachability::Unreachable);
    auto const failures = std::max(this->new_failures, this->unreachable_count());
    if (!this->failing_since && failures >= this->options.partition_failures)
        this->failing_since = now;
}

bool ReachabilityTracker::is_cut_off(std::string_view data_centre, MonotonicTime now) const
{
    if (data_centre == this->own_data_centre)
        return false;
    auto const found = this->data_centres.find(data_centre);
    bool const has_answered = found != this->data_centres.end() && found->second.last_response && this->isolated_since && *found->second.last_response >= *this->isolated_since;
    if (this->isolated_since && !has_answered)
        return true;
    if (found == this->data_centres.end() || found->second.unreachable < this->options.data_centre_failures)
        return false;
    auto const& last = found->second.last_response;
    return !last || now - *last >= this->options.data_centre_silence;
}

void ReachabilityTracker::set_isolation(Isolation isolation, MonotonicTime now)
{
    if (isolation == Isolation::None)
        this->isolated_since.reset();
    else if (!this->isolated_since)
        this->isolated_since = now;
}

bool ReachabilityTracker::is_any_cut_off(MonotonicTime now) const
{
    if (this->isolated_since)
        return true;
    return std::any_of(this->data_centres.begin(), this->data_centres.end(), [&](auto const& entry) { return this->is_cut_off(entry.first, now); });
}

std::optional<MonotonicTime> ReachabilityTracker::suspected_since(MonotonicTime now) const
{
    if (!this->failing_since)
        return {};
    // Open connections may go on while new ones fail.
    if (this->new_failures >= this->options.partition_failures)
        return this->failing_since;
    if (this->unreachable_count() < this->options.partition_failures)
        return {};
    auto const silent_since = this->last_response ? *this->last_response + this->options.data_centre_silence : *this->failing_since;
    if (now < silent_since)
        return {};
    return std::max(*this->failing_since, silent_since);
}

bool ReachabilityTracker::is_partitioned(MonotonicTime now) const
{
    auto const since = this->suspected_since(now);
    return since && now - *since >= this->options.partition_confirmation;
}

bool ReachabilityTracker::is_reachable(std::string_view identity, std::string_view data_centre, MonotonicTime now) const
{
    auto const found = this->entries.find(identity);
    if (found != this->entries.end() && found->second.reachability == Reachability::Unreachable)
        return false;
    return !this->is_cut_off(data_centre, now);
}

bool ReachabilityTracker::is_unresponsive(std::string_view identity, MonotonicTime now) const
{
    auto const found = this->entries.find(identity);
    if (found == this->entries.end() || found->second.reachability == Reachability::Reachable)
        return false;
    return found->second.in_flight > 0 && now - found->second.waiting_since >= this->options.silence_while_refusing;
}

bool ReachabilityTracker::has_responded_since(std::string_view identity, MonotonicTime since) const
{
    auto const found = this->entries.find(identity);
    return found != this->entries.end() && found->second.last_response && *found->second.last_response >= since;
}

bool ReachabilityTracker::may_probe(std::string_view identity, MonotonicTime now) const
{
    auto const found = this->entries.find(identity);
    return found == this->entries.end() || !this->was_probed(found->second, now);
}

std::optional<MonotonicTime> ReachabilityTracker::unreachable_since(std::string_view identity) const
{
    auto const found = this->entries.find(identity);
    if (found == this->entries.end() || found->second.reachability == Reachability::Reachable)
        return {};
    return found->second.unreachable_since;
}

bool ReachabilityTracker::needs_probe(Entry const& entry, MonotonicTime now) const
{
    bool const is_silent = entry.in_flight > 0 && now - entry.waiting_since >= this->options.silence;
    return entry.reachability == Reachability::Unreachable || is_silent;
}

std::vector<std::string> ReachabilityTracker::due_probes(MonotonicTime now)
{
    std::vector<std::string> due;
    for (auto const& [identity, entry] : this->entries) {
        if (this->needs_probe(entry, now) && !this->was_probed(entry, now))
            due.push_back(identity);
    }
    if (!this->is_partitioned(now) || due.size() <= this->options.probes_per_round)
        return due;
    // Nearly all of them are unreachable for the same reason, and any one of them detects the end of the partition.
    this->round_rotation = (this->round_rotation + this->options.probes_per_round) % due.size();
    std::rotate(due.begin(), due.begin() + static_cast<std::ptrdiff_t>(this->round_rotation), due.end());
    due.resize(this->options.probes_per_round);
    return due;
}

std::vector<std::string> ReachabilityTracker::due_partition_probes(std::span<UpstreamLocation const> upstreams, MonotonicTime now)
{
    bool const is_suspected = this->may_be_partitioned(now);
    std::map<std::string_view, std::vector<std::string_view>> candidates;
    std::vector<std::string_view> others;
    for (auto const& upstream : upstreams) {
        auto const found = this->entries.find(upstream.identity);
        bool const is_probed_already = found != this->entries.end() && (this->needs_probe(found->second, now) || this->was_probed(found->second, now));
        if (is_probed_already)
            continue;
        if (is_suspected || this->is_cut_off(upstream.data_centre, now))
            candidates[upstream.data_centre].push_back(upstream.identity);
        else
            others.push_back(upstream.identity);
    }
    std::vector<std::string> due;
    for (auto const& [data_centre, identities] : candidates) {
        for (std::size_t i = 0; i < std::min(this->options.partition_probes, identities.size()); ++i)
            due.emplace_back(identities[this->probe_rotation++ % identities.size()]);
    }
    if (due.empty() && this->new_failures > 0 && !others.empty())
        due.emplace_back(others[this->probe_rotation++ % others.size()]);
    return due;
}

void ReachabilityTracker::retain(std::function<bool(std::string_view)> const& is_listed)
{
    for (auto position = this->entries.begin(); position != this->entries.end();) {
        auto& [identity, entry] = *position;
        if (entry.in_flight > 0 || is_listed(identity)) {
            ++position;
            continue;
        }
        this->set_reachability(entry, Reachability::Reachable);
        position = this->entries.erase(position);
    }
}

}
