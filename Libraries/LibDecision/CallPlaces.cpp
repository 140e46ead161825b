// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/CallPlaces.h>
#include <algorithm>
#include <cmath>
#include <limits>

namespace Spurtide {

namespace {

/// Mean relative deviation of a log-normal distribution with a spread of 0.5; assumed until calls have been measured.
constexpr double FIRST_DEVIATION = 0.38;
/// Of several hundred calls per second, so that an interval of half a second hardly changes the average.
constexpr double USUAL_SMOOTHING = 0.01;
constexpr double DEVIATION_SMOOTHING = 0.02;
constexpr double OVERHEAD_SMOOTHING = 0.05;
/// Upstreams that are about equally fast share the calls by their load: their estimates differ by noise.
constexpr double LOAD_WEIGHT = 0.2;
/// The pause between two completions exceeds this multiple of its mean in 1 of 20 cases if the upstream is as fast as before.
constexpr double UNUSUAL_PAUSE = 3;
/// Bounds the calls beyond the slots where messages take long compared with calls. They wait at the upstream.
constexpr double LARGEST_AHEAD_SHARE = 0.25;

UpstreamOutcome to_upstream_outcome(CallOutcome outcome)
{
    switch (outcome) {
    case CallOutcome::Answered:
        return UpstreamOutcome::Succeeded;
    case CallOutcome::Shed:
        return UpstreamOutcome::Full;
    case CallOutcome::Failed:
        return UpstreamOutcome::Failed;
    case CallOutcome::Unused:
        break;
    }
    return UpstreamOutcome::NotSent;
}

bool is_allowed(CallAsk const* ask, std::string_view upstream)
{
    if (!ask)
        return true;
    return std::find(ask->excluded_upstreams.begin(), ask->excluded_upstreams.end(), upstream) == ask->excluded_upstreams.end();
}

UpstreamSelector::Options health_options(CallPlaces::Options const& options)
{
    UpstreamSelector::Options health;
    health.full_backoff = options.shed_backoff;
    return health;
}

}

CallPlaces::CallPlaces(Options options)
    : options(options)
    , health(health_options(options))
    , usual_seconds(to_seconds(options.initial_service_time))
    , deviation(FIRST_DEVIATION)
{
}

CallPlaces::Upstream& CallPlaces::find_or_add(std::string_view identity)
{
    auto const found = this->upstreams.find(identity);
    if (found != this->upstreams.end())
        return found->second;
    Upstream added { .listed = { std::string(identity), 1, {} }, .service_time = ServiceTimeEstimator(this->options.smoothing), .progressed_at = {} };
    return this->upstreams.emplace(identity, std::move(added)).first->second;
}

void CallPlaces::set_upstreams(std::span<QueueUpstream const> upstreams)
{
    this->known_capacity.reset();
    for (auto& [identity, upstream] : this->upstreams)
        upstream.is_listed = false;
    for (auto const& listed : upstreams) {
        auto& upstream = this->find_or_add(listed.identity);
        upstream.listed = listed;
        upstream.is_listed = true;
    }
    // Calls in flight at an upstream that is not listed any more still count if it is listed again.
    std::erase_if(this->upstreams, [](auto const& entry) { return !entry.second.is_listed && entry.second.in_flight == 0; });
    this->health.retain([&](std::string_view identity) { return this->upstreams.contains(identity); });
}

void CallPlaces::take(std::string_view upstream, MonotonicTime now)
{
    this->known_capacity.reset();
    auto& taken = this->find_or_add(upstream);
    if (taken.in_flight++ == 0)
        taken.progressed_at = now;
    this->health.note_sent(upstream);
}

void CallPlaces::give_back(std::string_view upstream, CallOutcome outcome, Duration service_time, std::optional<Duration> held, MonotonicTime now)
{
    this->known_capacity.reset();
    auto const found = this->upstreams.find(upstream);
    if (found == this->upstreams.end())
        return;
    auto& returned = found->second;
    returned.in_flight = std::max<std::int64_t>(0, returned.in_flight - 1);
    returned.progressed_at = now;
    this->health.note_end(upstream, to_upstream_outcome(outcome), service_time, now);
    if (outcome == CallOutcome::Answered)
        this->measure(returned, service_time, held, now);
    if (!returned.is_listed && returned.in_flight == 0)
        this->upstreams.erase(found);
}

void CallPlaces::measure(Upstream& upstream, Duration service_time, std::optional<Duration> held, MonotonicTime now)
{
    if (upstream.service_time.has_samples()) {
        auto const mean = upstream.service_time.estimate(this->usual_seconds, now);
        auto const relative = std::min(2.0, std::abs(to_seconds(service_time) - mean) / mean);
        this->deviation += DEVIATION_SMOOTHING * (relative - this->deviation);
    }
    upstream.service_time.add(service_time, now);
    auto const weight = std::max(USUAL_SMOOTHING, 1 / static_cast<double>(++this->samples));
    this->usual_seconds += weight * (to_seconds(service_time) - this->usual_seconds);
    if (held) {
        auto const overhead = std::clamp(to_seconds(*held - service_time), 0.0, to_seconds(service_time));
        this->overhead_seconds += OVERHEAD_SMOOTHING * (overhead - this->overhead_seconds);
    }
}

std::int64_t CallPlaces::limit(Upstream const& upstream) const
{
    auto const slots = std::max<std::int64_t>(1, upstream.listed.slots);
    // A slot also waits for the next call to reach the upstream, which takes about as long as its grant and the last return.
    auto const travel_share = 2 * this->overhead_seconds / std::max(1e-6, this->usual_seconds);
    auto const share = std::max(this->options.ahead_share, std::min(LARGEST_AHEAD_SHARE, travel_share));
    return slots + static_cast<std::int64_t>(std::ceil(static_cast<double>(slots) * share));
}

double CallPlaces::service_seconds(Upstream const& upstream, MonotonicTime now) const
{
    auto const measured = upstream.service_time.estimate(this->usual_seconds, now) + this->overhead_seconds;
    if (upstream.in_flight == 0)
        return measured;
    // Calls that do not end show a slow upstream before the first of them is measured.
    auto const pause = std::max(0.0, to_seconds(now - upstream.progressed_at));
    return std::max(measured, pause * static_cast<double>(upstream.in_flight) / UNUSUAL_PAUSE);
}

double CallPlaces::preference(Upstream const& upstream, CallAsk const& ask, double service) const
{
    auto const slots = static_cast<double>(std::max<std::int64_t>(1, upstream.listed.slots));
    auto const load = static_cast<double>(upstream.in_flight) / slots;
    bool const waits_for_slot = upstream.in_flight >= upstream.listed.slots;
    auto const remote = upstream.listed.data_centre == ask.data_centre ? 0.0 : to_seconds(this->options.remote_penalty);
    return service * (1 + LOAD_WEIGHT * load + (waits_for_slot ? 1 / slots : 0)) + remote;
}

bool CallPlaces::may_suspend(CallAsk const* ask, MonotonicTime now) const
{
    std::size_t allowed = 0;
    std::size_t ejected = 0;
    for (auto const& [identity, upstream] : this->upstreams) {
        if (!upstream.is_listed || !is_allowed(ask, identity))
            continue;
        ++allowed;
        ejected += this->health.is_ejected(identity, now) ? 1 : 0;
    }
    return ejected * 2 <= allowed;
}

std::optional<CallPlaces::Choice> CallPlaces::choose(CallAsk const& ask, MonotonicTime now) const
{
    bool const may_suspend = this->may_suspend(&ask, now);
    auto lowest = std::numeric_limits<double>::infinity();
    std::optional<Choice> best;
    for (auto const& [identity, upstream] : this->upstreams) {
        if (!upstream.is_listed || upstream.in_flight >= this->limit(upstream) || !is_allowed(&ask, identity))
            continue;
        if (this->health.is_full(identity, now) || (may_suspend && this->health.is_suspended(identity, now)))
            continue;
        auto const service = this->service_seconds(upstream, now);
        auto const preference = this->preference(upstream, ask, service);
        if (preference < lowest) {
            lowest = preference;
            best = Choice { identity, service };
        }
    }
    return best;
}

CallPlaces::Capacity CallPlaces::capacity(CallAsk const* ask, MonotonicTime now) const
{
    if (ask && !ask->excluded_upstreams.empty())
        return this->determine_capacity(ask, now);
    if (!this->known_capacity || this->known_capacity->first != now)
        this->known_capacity = { now, this->determine_capacity(nullptr, now) };
    return this->known_capacity->second;
}

CallPlaces::Capacity CallPlaces::determine_capacity(CallAsk const* ask, MonotonicTime now) const
{
    bool const may_suspend = this->may_suspend(ask, now);
    Capacity capacity;
    double places = 0;
    capacity.fastest_service_seconds = std::numeric_limits<double>::infinity();
    for (auto const& [identity, upstream] : this->upstreams) {
        if (!upstream.is_listed || !is_allowed(ask, identity))
            continue;
        capacity.has_upstream = true;
        if (may_suspend && this->health.is_suspended(identity, now))
            continue;
        auto const service = this->service_seconds(upstream, now);
        auto const limit = static_cast<double>(this->limit(upstream));
        capacity.rate += limit / service;
        places += limit;
        capacity.fastest_service_seconds = std::min(capacity.fastest_service_seconds, service);
    }
    // The mean over calls: an upstream gets calls in proportion to its rate.
    if (capacity.rate > 0)
        capacity.service_seconds = places / capacity.rate;
    else
        capacity.service_seconds = capacity.fastest_service_seconds = this->usual_seconds;
    return capacity;
}

bool CallPlaces::has_free_place() const
{
    return std::any_of(this->upstreams.begin(), this->upstreams.end(), [this](auto const& entry) {
        return entry.second.is_listed && entry.second.in_flight < this->limit(entry.second);
    });
}

std::int64_t CallPlaces::in_flight(std::string_view upstream) const
{
    auto const found = this->upstreams.find(upstream);
    return found == this->upstreams.end() ? 0 : found->second.in_flight;
}

}
