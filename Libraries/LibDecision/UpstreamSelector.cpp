// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/UpstreamSelector.h>
#include <algorithm>

namespace Spurtide {

namespace {

constexpr int MAXIMUM_DOUBLINGS = 6;
/// Initial estimate, typical of a short service call.
constexpr double FIRST_MEAN_SECONDS = 0.05;

}

double UpstreamSelector::expected_seconds(SelectableUpstream const& upstream, UpstreamState const& states) const
{
    auto const mean = states.mean_seconds > 0 ? states.mean_seconds : FIRST_MEAN_SECONDS;
    auto const queued = static_cast<double>(states.in_flight) / static_cast<double>(std::max<std::int64_t>(1, upstream.slots));
    auto const remote_penalty = upstream.place == SelectableUpstream::Place::SameDataCentre ? 0.0 : to_seconds(this->options.remote_penalty);
    return mean * (1 + queued) + remote_penalty;
}

std::optional<std::size_t> UpstreamSelector::choose(std::span<SelectableUpstream const> upstreams, MonotonicTime now)
{
    if (upstreams.empty())
        return {};
    std::size_t ejected = 0;
    for (auto const& upstream : upstreams)
        ejected += this->is_ejected(upstream.identity, now) ? 1 : 0;
    bool const may_eject = ejected * 2 <= upstreams.size();
    auto const rank = [&](std::size_t index) {
        auto const found = this->states.find(upstreams[index].identity);
        auto const& state = found == this->states.end() ? UpstreamState {} : found->second;
        bool const is_excluded = may_eject && (now < state.ejected_until || (state.needs_trial && state.in_flight > 0));
        bool const is_full = now < state.full_until;
        return std::make_pair((is_excluded ? 2 : 0) + (is_full ? 1 : 0), this->expected_seconds(upstreams[index], state));
    };
    // Ties are broken in rotation, so that VMs without any data do not all begin with the same upstream.
    std::size_t const first = static_cast<std::size_t>(this->next_start++) % upstreams.size();
    std::size_t best = first;
    for (std::size_t step = 1; step < upstreams.size(); ++step) {
        std::size_t const index = (first + step) % upstreams.size();
        if (rank(index) < rank(best))
            best = index;
    }
    return best;
}

void UpstreamSelector::note_sent(std::string_view identity)
{
    ++this->states[std::string(identity)].in_flight;
}

void UpstreamSelector::note_end(std::string_view identity, UpstreamOutcome outcome, Duration took, MonotonicTime now)
{
    auto const found = this->states.find(identity);
    if (found == this->states.end())
        return;
    auto& state = found->second;
    state.in_flight = std::max<std::int64_t>(0, state.in_flight - 1);
    if (outcome == UpstreamOutcome::NotSent)
        return;
    if (outcome == UpstreamOutcome::Full) {
        state.full_until = now + this->options.full_backoff;
        return;
    }
    if (outcome == UpstreamOutcome::Succeeded) {
        auto const sample = to_seconds(took);
        state.mean_seconds = state.mean_seconds > 0 ? state.mean_seconds + this->options.smoothing * (sample - state.mean_seconds) : sample;
        state.failures_in_a_row = 0;
        state.ejections = 0;
        state.needs_trial = false;
        return;
    }
    ++state.failures_in_a_row;
    bool const was_trial = state.needs_trial && now >= state.ejected_until;
    if (was_trial || state.failures_in_a_row >= this->options.failures_before_ejection) {
        auto const doublings = std::min(state.ejections++, MAXIMUM_DOUBLINGS);
        state.ejected_until = now + std::min(this->options.maximum_ejection, this->options.first_ejection * (1 << doublings));
        state.failures_in_a_row = 0;
        state.needs_trial = true;
    }
}

void UpstreamSelector::retain(std::function<bool(std::string_view)> const& is_listed)
{
    std::erase_if(this->states, [&](auto const& entry) {
        return entry.second.in_flight == 0 && !is_listed(entry.first);
    });
}

std::int64_t UpstreamSelector::in_flight(std::string_view identity) const
{
    auto const found = this->states.find(identity);
    return found == this->states.end() ? 0 : found->second.in_flight;
}

bool UpstreamSelector::is_ejected(std::string_view identity, MonotonicTime now) const
{
    auto const found = this->states.find(identity);
    return found != this->states.end() && now < found->second.ejected_until;
}

bool UpstreamSelector::is_suspended(std::string_view identity, MonotonicTime now) const
{
    auto const found = this->states.find(identity);
    return found != this->states.end() && (now < found->second.ejected_until || (found->second.needs_trial && found->second.in_flight > 0));
}

bool UpstreamSelector::is_full(std::string_view identity, MonotonicTime now) const
{
    auto const found = this->states.find(identity);
    return found != this->states.end() && now < found->second.full_until;
}

}
