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
    auto& entry = this->known[std::string(identity)];
    entry.data_centre = data_centre;
    if (entry.in_flight++ == 0)
        entry.waiting_since = now;
}

void ReachabilityTracker::note_heard(std::string_view identity, MonotonicTime now)
{
    auto const found = this->known.find(identity);
    if (found == this->known.end())
        return;
    found->second.waiting_since = now;
    found->second.is_unreachable = false;
    this->heard_from.insert_or_assign(found->second.data_centre, now);
}

void ReachabilityTracker::note_over(std::string_view identity)
{
    auto const found = this->known.find(identity);
    if (found != this->known.end())
        found->second.in_flight = std::max<std::int64_t>(0, found->second.in_flight - 1);
}

void ReachabilityTracker::note_probe(std::string_view identity, MonotonicTime now)
{
    this->known[std::string(identity)].last_probe = now;
}

void ReachabilityTracker::note_reached(std::string_view identity, std::string_view data_centre, MonotonicTime now)
{
    auto const found = this->known.find(identity);
    if (found != this->known.end())
        found->second.is_unreachable = false;
    this->heard_from.insert_or_assign(std::string(data_centre), now);
}

void ReachabilityTracker::note_unreachable(std::string_view identity, std::string_view data_centre, MonotonicTime now)
{
    auto& entry = this->known[std::string(identity)];
    entry.data_centre = data_centre;
    entry.is_unreachable = true;
    entry.last_probe = now;
}

bool ReachabilityTracker::is_cut_off(std::string_view data_centre, MonotonicTime now) const
{
    if (data_centre == this->own_data_centre)
        return false;
    auto const heard = this->heard_from.find(data_centre);
    if (heard != this->heard_from.end() && now - heard->second < this->options.data_centre_silence)
        return false;
    auto const failures = std::count_if(this->known.begin(), this->known.end(), [&](auto const& entry) {
        return entry.second.is_unreachable && entry.second.data_centre == data_centre;
    });
    return static_cast<std::size_t>(failures) >= this->options.data_centre_failures;
}

bool ReachabilityTracker::is_reachable(std::string_view identity, std::string_view data_centre, MonotonicTime now) const
{
    auto const found = this->known.find(identity);
    if (found != this->known.end() && found->second.is_unreachable)
        return false;
    return !this->is_cut_off(data_centre, now);
}

std::vector<std::string> ReachabilityTracker::due_probes(std::span<UpstreamPlace const> upstreams, MonotonicTime now)
{
    std::vector<std::string> due;
    std::map<std::string_view, std::vector<std::string_view>> untried;
    for (auto const& upstream : upstreams) {
        auto const found = this->known.find(upstream.identity);
        bool const is_unreachable = found != this->known.end() && found->second.is_unreachable;
        bool const is_silent = found != this->known.end() && found->second.in_flight > 0 && now - found->second.waiting_since >= this->options.silence;
        bool const was_probed = found != this->known.end() && now - found->second.last_probe < this->options.probe_interval;
        if ((is_unreachable || is_silent) && !was_probed)
            due.push_back(upstream.identity);
        else if (!is_unreachable && !was_probed)
            untried[upstream.data_centre].push_back(upstream.identity);
    }
    // Of a data centre that counts as cut off, something has to tell when it is back.
    for (auto const& [data_centre, identities] : untried) {
        if (!this->is_cut_off(data_centre, now))
            continue;
        for (std::size_t i = 0; i < std::min(this->options.scouts, identities.size()); ++i)
            due.emplace_back(identities[this->turn++ % identities.size()]);
    }
    return due;
}

void ReachabilityTracker::retain(std::set<std::string, std::less<>> const& identities)
{
    std::erase_if(this->known, [&](auto const& entry) { return entry.second.in_flight == 0 && !identities.contains(entry.first); });
}

}
