// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/CallQueue.h>
#include <algorithm>

namespace Spurtide {

namespace {

/// Bounds the search for a call that may be sent to one of the free places, where calls exclude upstreams.
constexpr int MAXIMUM_CALLS_TRIED = 64;
/// Bounds the calls that one new call displaces: it takes one place.
constexpr int MAXIMUM_CALLS_DISPLACED = 2;
/// While calls wait, upstreams that shed calls, failed or slowed down are reviewed this often.
constexpr Duration REVIEW_INTERVAL = milliseconds(20);
/// Capacity that is missing because an upstream is slow for a while is back after this time. In the simulation of a burst of 3.3
/// times the usual load, retries after this time instead of after the backlog serve 0.722 of the callers on time, not 0.705.
constexpr Duration USUAL_SLOWDOWN = milliseconds(400);
constexpr Duration ACCOUNT_REVIEW_INTERVAL = seconds(10);

CallPlaces::Options places_options(CallQueue::Options const& options)
{
    return { options.ahead_share, options.initial_service_time, options.smoothing, options.remote_penalty, options.shed_backoff };
}

/// What is left of the delay after which the caller could retry when it asked.
Duration patience_left(WaitingCall const& call, MonotonicTime now)
{
    return std::max(Duration {}, call.ask.retry_patience - (now - call.asked_at));
}

}

CallQueue::CallQueue(Options options)
    : options(options)
    , shares(options.shares)
    , places(places_options(options))
    , waiting(this->shares)
    , predictor(this->places, this->waiting)
{
}

void CallQueue::set_upstreams(std::span<QueueUpstream const> upstreams)
{
    this->places.set_upstreams(upstreams);
    this->have_upstreams_changed = true;
}

void CallQueue::set_account_weight(std::string_view account, double weight)
{
    this->shares.set_weight(account, weight);
    this->waiting.note_usage_changed(account);
}

void CallQueue::ask(CallAsk ask, MonotonicTime now)
{
    // A request asks again only if it no longer uses what it asked for before.
    this->withdraw(ask.request, now);
    this->return_expired_places(now);
    this->forget_inactive_accounts(now);
    auto const request = ask.request;
    if (!this->places.capacity(&ask, now).has_upstream) {
        this->decisions.emplace_back(CallRefusal { .request = request, .reason = CallRefusalReason::NoUpstream });
        return;
    }
    this->shares.note_active(ask.account, now);
    auto const expires_at = this->predictor.last_start(ask, now, now);
    // A call whose target has passed is sent if there is a place, and waits behind the others if there is none.
    auto const timeliness = ask.target_time > now ? Timeliness::OnTime : Timeliness::Late;
    this->waiting.add({ .ask = std::move(ask), .asked_at = now, .expires_at = expires_at, .timeliness = timeliness });
    this->refuse_expired_calls(now);
    this->grant_places(now);
    if (!this->waiting.find(request))
        return;
    this->decide_whether_to_wait(request, now);
    this->displace_last(request, now);
    this->limit_queue(request, now);
}

void CallQueue::withdraw(std::string_view request, MonotonicTime now)
{
    if (this->waiting.take(request))
        return;
    this->complete(request, CallOutcome::Unused, {}, now);
}

void CallQueue::complete(std::string_view request, CallOutcome outcome, Duration service_time, MonotonicTime now)
{
    if (this->return_place(request, outcome, service_time, now))
        this->grant_places(now);
}

void CallQueue::restore(std::string_view request, std::string_view account, std::string_view origin, std::string_view upstream, MonotonicTime timeout, MonotonicTime now)
{
    if (this->granted.contains(std::string(request)) || this->waiting.find(request))
        return;
    this->add_granted(request,
        { .account = std::string(account),
            .origin = std::string(origin),
            .upstream = std::string(upstream),
            .granted_at = {},
            .expires_at = timeout + this->options.lost_return_grace,
            .amount = this->places.capacity(nullptr, now).service_seconds },
        now);
}

void CallQueue::remove_origin(std::string_view origin, MonotonicTime now)
{
    for (auto const& request : this->waiting.requests_from(origin))
        this->waiting.take(request);
    std::vector<std::string> lost;
    for (auto const& [request, call] : this->granted) {
        if (call.origin == origin)
            lost.push_back(request);
    }
    for (auto const& request : lost)
        this->return_place(request, CallOutcome::Unused, {}, now);
    this->grant_places(now);
}

void CallQueue::advance(MonotonicTime now)
{
    this->return_expired_places(now);
    this->refuse_calls_without_upstream(now);
    this->refuse_expired_calls(now);
    this->grant_places(now);
    this->forget_inactive_accounts(now);
}

std::optional<MonotonicTime> CallQueue::next_event(MonotonicTime now) const
{
    auto const* first = this->waiting.first_to_expire();
    if (!first)
        return {};
    auto next = std::min(first->expires_at, now + REVIEW_INTERVAL);
    if (!this->grant_expiries.empty())
        next = std::min(next, this->grant_expiries.begin()->first);
    return std::max(next, now);
}

std::vector<CallDecision> CallQueue::take_decisions()
{
    return std::exchange(this->decisions, {});
}

std::size_t CallQueue::waiting_calls() const
{
    return this->waiting.size();
}

std::size_t CallQueue::calls_in_flight() const
{
    return this->granted.size();
}

std::int64_t CallQueue::calls_in_flight(std::string_view upstream) const
{
    return this->places.in_flight(upstream);
}

double CallQueue::usage(std::string_view account, MonotonicTime now) const
{
    return this->shares.usage(account, now);
}

void CallQueue::add_granted(std::string_view request, GrantedCall call, MonotonicTime now)
{
    this->places.take(call.upstream, now);
    this->shares.hold(call.account, call.amount, now);
    this->waiting.note_usage_changed(call.account);
    this->grant_expiries.emplace(call.expires_at, request);
    this->granted.emplace(request, std::move(call));
}

bool CallQueue::return_place(std::string_view request, CallOutcome outcome, Duration service_time, MonotonicTime now)
{
    auto const found = this->granted.find(std::string(request));
    if (found == this->granted.end())
        return false;
    auto const call = std::move(found->second);
    this->grant_expiries.erase({ call.expires_at, found->first });
    this->granted.erase(found);
    auto const held = call.granted_at ? std::optional(now - *call.granted_at) : std::nullopt;
    this->places.give_back(call.upstream, outcome, service_time, held, now);
    this->shares.release(call.account, call.amount, now);
    if (outcome == CallOutcome::Answered || outcome == CallOutcome::Failed)
        this->shares.consume(call.account, to_seconds(service_time), now);
    this->waiting.note_usage_changed(call.account);
    return true;
}

void CallQueue::return_expired_places(MonotonicTime now)
{
    while (!this->grant_expiries.empty() && this->grant_expiries.begin()->first <= now)
        this->return_place(std::string(this->grant_expiries.begin()->second), CallOutcome::Unused, {}, now);
}

void CallQueue::refuse_expired_calls(MonotonicTime now)
{
    for (auto const* first = this->waiting.first_to_expire(); first && first->expires_at <= now; first = this->waiting.first_to_expire())
        this->refuse_waiting(std::string(first->ask.request), CallRefusalReason::CannotMeetTimeout, now);
}

void CallQueue::refuse_calls_without_upstream(MonotonicTime now)
{
    if (!std::exchange(this->have_upstreams_changed, false))
        return;
    std::vector<std::string> refused;
    this->waiting.visit(
        [&](WaitingCall const& call) {
            if (!this->places.capacity(&call.ask, now).has_upstream)
                refused.push_back(call.ask.request);
            return true;
        },
        now);
    for (auto const& request : refused)
        this->refuse_waiting(request, CallRefusalReason::NoUpstream, now);
}

void CallQueue::grant_places(MonotonicTime now)
{
    while (this->grant_next(now)) { }
}

bool CallQueue::grant_next(MonotonicTime now)
{
    if (this->waiting.empty() || !this->places.has_free_place())
        return false;
    std::string request;
    std::optional<CallPlaces::Choice> choice;
    int tried = 0;
    // If one call that may use any upstream finds no place, no other such call does.
    bool is_any_unusable = false;
    this->waiting.visit(
        [&](WaitingCall const& call) {
            bool const may_use_any = call.ask.excluded_upstreams.empty();
            if (may_use_any && is_any_unusable)
                return true;
            choice = this->places.choose(call.ask, now);
            is_any_unusable |= may_use_any && !choice;
            bool const is_too_late = choice && call.timeliness == Timeliness::OnTime && now > this->predictor.last_start_on_time(call.ask, call.asked_at, now);
            if (choice || is_too_late)
                request = call.ask.request;
            if (is_too_late)
                choice.reset();
            return request.empty() && ++tried < MAXIMUM_CALLS_TRIED;
        },
        now);
    if (request.empty())
        return false;
    if (choice)
        this->grant(request, *choice, now);
    else
        this->handle_late(request, CallRefusalReason::CannotMeetTarget, now);
    return true;
}

void CallQueue::grant(std::string_view request, CallPlaces::Choice const& choice, MonotonicTime now)
{
    auto const call = *this->waiting.take(request);
    auto const waited = now - call.asked_at;
    std::string const upstream(choice.upstream);
    this->add_granted(request,
        { .account = call.ask.account,
            .origin = call.ask.origin,
            .upstream = upstream,
            .granted_at = now,
            .expires_at = call.ask.timeout + this->options.lost_return_grace,
            .amount = choice.service_seconds },
        now);
    this->decisions.emplace_back(CallGrant { call.ask.request, upstream, waited, waited + from_seconds(choice.service_seconds), call.timeliness == Timeliness::Late });
}

void CallQueue::decide_whether_to_wait(std::string_view request, MonotonicTime now)
{
    auto const& call = *this->waiting.find(request);
    bool const is_on_time = call.timeliness == Timeliness::OnTime
        && now + this->predictor.predict(call, now).wait <= this->predictor.last_likely_start(call.ask, call.asked_at, now);
    if (!is_on_time)
        this->handle_late(request, CallRefusalReason::CannotMeetTarget, now);
}

void CallQueue::handle_late(std::string_view request, CallRefusalReason reason, MonotonicTime now)
{
    auto const patience = patience_left(*this->waiting.find(request), now);
    bool const can_retry = patience > Duration {} && this->retry_delay(patience, now) <= patience;
    bool const is_refused = this->options.late_calls == LateCalls::Refuse || (this->options.late_calls == LateCalls::RefuseIfRetryHelps && can_retry);
    if (is_refused)
        this->refuse_waiting(request, reason, now);
    else
        this->wait_as_late(request, now);
}

void CallQueue::wait_as_late(std::string_view request, MonotonicTime now)
{
    auto call = *this->waiting.take(request);
    call.timeliness = Timeliness::Late;
    auto const& added = this->waiting.add(std::move(call));
    if (now + this->predictor.predict(added, now).wait >= added.expires_at)
        this->refuse_waiting(request, CallRefusalReason::CannotMeetTimeout, now);
}

void CallQueue::displace_last(std::string_view newest, MonotonicTime now)
{
    for (int i = 0; i < MAXIMUM_CALLS_DISPLACED; ++i) {
        auto const* placed = this->waiting.find(newest);
        auto const* last = this->waiting.last(WaitingCalls::Include::OnTimeCalls, now);
        if (!placed || placed->timeliness == Timeliness::Late || !last || last == placed)
            return;
        // Less strict than at its arrival, so that it does not lose its place to changes of the measured times.
        if (now + this->predictor.predict(*last, now).total() <= last->ask.target_time)
            return;
        this->handle_late(std::string(last->ask.request), CallRefusalReason::Displaced, now);
    }
}

void CallQueue::limit_queue(std::string_view newest, MonotonicTime now)
{
    while (this->waiting.size() > this->options.queue_limit) {
        auto const last = std::string(this->waiting.last(WaitingCalls::Include::AllCalls, now)->ask.request);
        this->refuse_waiting(last, last == newest ? CallRefusalReason::QueueFull : CallRefusalReason::Displaced, now);
    }
}

Duration CallQueue::retry_delay(Duration patience, MonotonicTime now) const
{
    auto const capacity = this->places.capacity(nullptr, now);
    // What waits as late gives way to a retry.
    auto const backlog = from_seconds(capacity.rate > 0 ? static_cast<double>(this->waiting.on_time()) / capacity.rate : capacity.service_seconds);
    return this->retries.next(std::max(backlog, std::min(USUAL_SLOWDOWN, patience * 4 / 5)), now);
}

void CallQueue::refuse_waiting(std::string_view request, CallRefusalReason reason, MonotonicTime now)
{
    auto const predicted = this->predictor.predict(*this->waiting.find(request), now).total();
    this->refuse(*this->waiting.take(request), reason, predicted, now);
}

void CallQueue::refuse(WaitingCall const& call, CallRefusalReason reason, Duration predicted, MonotonicTime now)
{
    auto const patience = patience_left(call, now);
    auto const delay = this->retry_delay(patience, now);
    // A caller that cannot wait for so long does not retry, so that time remains available.
    if (delay <= patience) {
        auto const rate = this->places.capacity(nullptr, now).rate;
        this->retries.reserve(delay, from_seconds(rate > 0 ? 1 / rate : 1), now);
    }
    auto const waited = now - call.asked_at;
    this->decisions.emplace_back(CallRefusal { call.ask.request, reason, delay, waited, waited + predicted });
}

void CallQueue::forget_inactive_accounts(MonotonicTime now)
{
    if (now - this->accounts_reviewed_at < ACCOUNT_REVIEW_INTERVAL)
        return;
    this->shares.forget_inactive(now);
    this->accounts_reviewed_at = now;
}

}
