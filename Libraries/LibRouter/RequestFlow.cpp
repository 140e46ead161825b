// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <LibCore/LogLine.h>
#include <LibRouter/CrashReporter.h>
#include <LibRouter/QuotaClient.h>
#include <LibRouter/ReplicatedQuarantine.h>
#include <LibRouter/RequestFlow.h>
#include <LibRouter/UpstreamLimiter.h>
#include <algorithm>
#include <array>
#include <cstdio>
#include <xxhash.h>

namespace Spurtide {

namespace {

/// A caller that comes back sooner meets the same trouble.
constexpr Duration SHORTEST_RETRY_AFTER = milliseconds(100);

std::string format_seconds(Duration duration)
{
    std::array<char, 24> text {};
    std::snprintf(text.data(), text.size(), "%.2f", to_seconds(duration));
    return text.data();
}

/// The tokens that a request names, prompt and longest answer together. Callers may name any number, so that whole ones
/// would not hold the sum.
std::optional<double> tokens_of(CallerRequest const& request)
{
    if (!request.prompt)
        return {};
    return static_cast<double>(request.prompt->prompt_tokens) + static_cast<double>(request.prompt->maximum_output_tokens);
}

RequestFingerprint fingerprint_of(HttpRequest const& request, ClientAccount const* account)
{
    RequestFingerprint::Parts parts;
    parts.method = request.head.method;
    parts.host = request.head.headers.find("host").value_or("");
    parts.target = request.head.target;
    parts.account = account ? std::string_view(account->name) : std::string_view();
    parts.body = request.body;
    return RequestFingerprint::of(parts);
}

}

RequestFlow::RequestFlow(RouterState& state, HttpExchange& exchange, std::shared_ptr<RouteTable const> routes, Route const& route, ClientAccount const* account, CallerRequest request)
    : state(state)
    , exchange(exchange)
    , routes(std::move(routes))
    , route(route)
    , request(std::move(request))
    , fingerprint(fingerprint_of(exchange.request(), account))
    , service(route.target_for(XXH3_64bits(this->request.identifier.data(), this->request.identifier.size())))
    , account(account ? account->name : std::string())
    , body(std::make_shared<std::string const>(exchange.request().body))
    , residency(route.home_regions, account ? account->home_regions : std::vector<std::string>())
    , ledger(state.budget_of(this->service))
    , until(exchange.received_at() + std::min(route.timeout, this->request.patience))
    , counted_account(this->account)
    , cost(account ? account->cost_of(tokens_of(this->request)) : 0)
    , limit(state.loop)
{
}

asio::awaitable<void> RequestFlow::run()
{
    auto const self = this->shared_from_this();
    std::weak_ptr<RequestFlow> const weak = self;
    this->exchange.when_caller_leaves([weak] {
        if (auto const flow = weak.lock())
            flow->stop(StopReason::CallerLeft);
    });
    this->limit.expires_at(this->until);
    this->limit.async_wait([weak](asio::error_code error) {
        auto const flow = weak.lock();
        if (!error && flow)
            flow->stop(StopReason::OutOfTime);
    });
    this->state.budget_of(this->service).note_request(monotonic_now());
    bool const is_let_in = co_await this->let_in();
    if (is_let_in) {
        if (this->is_stopped())
            co_await this->answer_stopped();
        else
            co_await this->carry();
        // What has not run costs the account nothing.
        if (this->cost > 0 && this->earlier == SendHistory::Earlier::HasNotRun)
            this->state.quota->refund(this->counted_account, this->cost);
    }
    this->ledger.give_back_unused();
    this->limit.cancel();
}

asio::awaitable<bool> RequestFlow::let_in()
{
    // What crashes whatever runs it costs its account nothing.
    if (this->state.quarantine->held_for(this->fingerprint)) {
        this->stop(StopReason::Quarantined);
        co_await this->answer_stopped();
        co_return false;
    }
    if (this->cost <= 0)
        co_return true;
    auto const decision = co_await this->state.quota->acquire(this->account, this->cost, this->patience_left());
    if (decision.outcome == QuotaClient::Outcome::Admitted)
        co_return true;
    if (this->stop_reason == StopReason::CallerLeft)
        this->log_end("caller_left", "over_limit", 0);
    else
        co_await this->reject(429, "over_limit", decision.retry_after);
    co_return false;
}

void RequestFlow::check_may_send()
{
    this->check_key();
    if (this->state.quarantine->held_for(this->fingerprint))
        this->stop(StopReason::Quarantined);
}

void RequestFlow::check_key()
{
    auto const newest = this->state.routes;
    if (newest == this->routes)
        return;
    auto const identity = identify_caller(newest->configuration().accounts.get(), this->route.access, this->request.key);
    if (identity.standing == CallerIdentity::Standing::Refused)
        this->stop(StopReason::KeyRevoked);
    else
        this->account = identity.account ? identity.account->name : std::string();
}

void RequestFlow::stop(StopReason reason)
{
    if (this->is_stopped())
        return;
    this->stop_reason = reason;
    if (this->active)
        this->active->abort();
    this->on_stop();
}

void RequestFlow::note_sent()
{
    ++this->sends;
    this->ledger.note_run(monotonic_now());
    this->state.metrics.increment("spurtide_sends_total", "Requests sent to upstreams", { { "service", this->service }, { "stage", "run" } });
    this->before_send = std::exchange(this->earlier, SendHistory::Earlier::MayHaveRun);
}

void RequestFlow::note_not_executed() { this->earlier = this->before_send; }

void RequestFlow::note_completed() { this->state.crashes->note_completed(this->service, this->fingerprint); }

void RequestFlow::note_limit(std::string_view upstream, AnswerFacts const& facts, int status, MonotonicTime sent_at)
{
    // An answer to another request tells nothing, and behind 421 is another upstream.
    if (facts.identifier != this->request.identifier || status == 421)
        return;
    if (facts.limit.state == LimitField::State::Unreadable) {
        LogLine("upstream_limit_unreadable").with("request", this->request.identifier).with("upstream", upstream);
        return;
    }
    // One that only turns requests away may leave out what it names in others.
    if (facts.limit.state == LimitField::State::Absent && facts.is_not_executed)
        return;
    UpstreamLimitStatement statement { {}, sent_at };
    if (facts.limit.state == LimitField::State::Named)
        statement = { facts.limit.rate, monotonic_now() };
    auto const before = this->state.limiter->rate_of(upstream);
    if (this->state.limiter->note(upstream, statement) == UpstreamLimitBook::Change::None)
        return;
    LogLine line(statement.rate ? "upstream_limit_named" : "upstream_limit_over");
    line.with("request", this->request.identifier).with("upstream", upstream).with("service", this->service);
    if (statement.rate)
        line.with("rate", *statement.rate);
    if (before)
        line.with("before", *before);
}

asio::awaitable<bool> RequestFlow::take_turn(std::string upstream, Duration longest_wait, Duration turn_patience)
{
    auto const rate = this->state.limiter->rate_of(upstream);
    if (!rate)
        co_return true;
    UpstreamLimiter::TurnRequest ask { upstream, longest_wait, turn_patience };
    auto const turn = co_await this->state.limiter->request_turn(std::move(ask));
    bool const is_granted = turn.outcome == UpstreamLimiter::Turn::Outcome::Granted;
    std::string const outcome = is_granted ? "granted" : "denied";
    LogLine("upstream_turn").with("request", this->request.identifier).with("upstream", upstream).with("rate", *rate).with("outcome", outcome).with("wait_ms", to_milliseconds(turn.wait));
    this->state.metrics.increment("spurtide_upstream_turns_total", "Turns asked for at upstreams that named a limit", { { "service", this->service }, { "outcome", outcome } });
    if (!is_granted) {
        // The time that is kept for the caller goes before those of others.
        this->next_turn = turn_patience > Duration::zero() ? turn.wait : std::min(turn.wait, this->next_turn.value_or(turn.wait));
        co_return false;
    }
    if (turn.wait > Duration::zero()) {
        asio::steady_timer timer(this->state.loop, turn.wait);
        asio::error_code error;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }
    if (!this->is_stopped())
        co_return true;
    this->state.limiter->return_turn(upstream);
    co_return false;
}

asio::awaitable<bool> RequestFlow::report_crash(UpstreamRecord upstream, HttpError error, MonotonicTime since)
{
    auto const ran_for = std::chrono::duration_cast<Duration>(monotonic_now() - since);
    // What was broken off for the caller or the clock tells nothing, and one that leaves stops as planned.
    if (this->is_stopped() || !this->state.upstreams.takes_work(upstream.identity))
        co_return false;
    auto process = this->state.prober.known_process_state(upstream);
    if (process != ReachabilityProber::ProcessState::Gone && error == HttpError::Closed)
        process = co_await this->state.prober.probe_process(upstream);
    // Of a data centre that is cut off all connections may be refused.
    if (process != ReachabilityProber::ProcessState::Gone || this->state.reachability->is_cut_off(upstream.data_centre, monotonic_now()))
        co_return false;
    LogLine("upstream_crashed")
        .with("request", this->request.identifier)
        .with("fingerprint", this->fingerprint.to_hex())
        .with("upstream", upstream.identity)
        .with("started", upstream.started)
        .with("ran_ms", to_milliseconds(ran_for));
    this->state.metrics.increment("spurtide_upstream_crashes_total", "Requests that an upstream had when it crashed", { { "service", this->service } });
    UpstreamIncarnation const incarnation { upstream.identity, upstream.started };
    auto const verdict = co_await this->state.crashes->report(this->service, this->fingerprint, incarnation, ran_for);
    if (verdict == CrashVerdict::Quarantined)
        this->stop(StopReason::Quarantined);
    co_return true;
}

Duration RequestFlow::patience_left() const
{
    return std::chrono::duration_cast<Duration>(this->exchange.received_at() + this->request.patience - monotonic_now());
}

Duration RequestFlow::time_left() const
{
    return std::chrono::duration_cast<Duration>(this->until - monotonic_now());
}

SendHistory::AnotherSend RequestFlow::take_another_send(std::int64_t sends_so_far, Duration least_time)
{
    if (sends_so_far >= this->route.maximum_attempts || this->time_left() < least_time || this->is_stopped())
        return SendHistory::AnotherSend::Spent;
    return this->try_pay(SendLedger::Send::Run) ? SendHistory::AnotherSend::Allowed : SendHistory::AnotherSend::Spent;
}

bool RequestFlow::try_pay(SendLedger::Send send)
{
    auto const count = this->ledger.unpaid(send);
    if (count == 0)
        return true;
    auto const part = this->state.retry_allowance_part();
    bool const is_taken = this->ledger.try_pay(send, part, monotonic_now());
    auto const level = this->state.budget_of(this->service).level(part, monotonic_now());
    std::string const outcome = is_taken ? "taken" : "spent";
    LogLine("extra_send")
        .with("request", this->request.identifier)
        .with("service", this->service)
        .with("for", send == SendLedger::Send::Run ? "run" : "prefill")
        .with("count", count)
        .with("outcome", outcome)
        .with("requests", level.requests)
        .with("extras", level.extras)
        .with("limit", level.limit)
        .with("part", part);
    this->state.metrics.increment("spurtide_extra_sends_total", "Sends beyond a request's first that were asked of the retry budget", { { "service", this->service }, { "outcome", outcome } }, static_cast<double>(count));
    return is_taken;
}

asio::awaitable<void> RequestFlow::refuse(std::string_view reason, Duration retry_after)
{
    if (this->is_stopped() && this->stop_reason == StopReason::CallerLeft) {
        this->log_end("caller_left", reason, 0);
        co_return;
    }
    co_await this->reject(503, reason, retry_after);
}

asio::awaitable<void> RequestFlow::fail(int status, std::string_view reason)
{
    if (this->exchange.has_begun()) {
        this->log_end("broken_off", reason, 0);
        this->exchange.abort();
        co_return;
    }
    this->log_end("failed_may_have_run", reason, status);
    static_cast<void>(co_await this->exchange.respond(this->state.dialect.own_head(status, this->request.identifier), {}));
}

asio::awaitable<void> RequestFlow::answer_stopped()
{
    if (this->stop_reason == StopReason::CallerLeft) {
        this->log_end("caller_left", "caller_left", 0);
        co_return;
    }
    bool const has_not_run = this->earlier == SendHistory::Earlier::HasNotRun && !this->exchange.has_begun();
    if (this->stop_reason == StopReason::Quarantined && has_not_run)
        co_await this->refuse("quarantined", this->state.quarantine->held_for(this->fingerprint).value_or(Duration::zero()));
    else if (this->stop_reason == StopReason::Quarantined)
        co_await this->fail(502, "quarantined");
    else if (this->stop_reason == StopReason::KeyRevoked && has_not_run)
        co_await this->reject(401, "key_revoked", {});
    else if (this->stop_reason == StopReason::KeyRevoked)
        co_await this->fail(502, "key_revoked");
    else if (has_not_run)
        co_await this->refuse("out_of_time", SHORTEST_RETRY_AFTER);
    else
        co_await this->fail(504, "out_of_time");
}

asio::awaitable<void> RequestFlow::reject(int status, std::string_view reason, std::optional<Duration> retry_after)
{
    auto head = this->state.dialect.own_head(status, this->request.identifier);
    if (retry_after)
        head.headers.add("Retry-After", format_seconds(std::max(*retry_after, SHORTEST_RETRY_AFTER)));
    this->log_end(status == 503 ? "refused_not_run" : "rejected", reason, status);
    // A caller that does not take the answer is gone; there is nobody left to tell.
    static_cast<void>(co_await this->exchange.respond(std::move(head), {}));
}

void RequestFlow::log_end(std::string_view outcome, std::string_view reason, int status)
{
    auto const took = std::chrono::duration_cast<Duration>(monotonic_now() - this->exchange.received_at());
    LogLine line("request_end");
    line.with("request", this->request.identifier)
        .with("route", this->route.name)
        .with("service", this->service)
        .with("account", this->account)
        .with("fingerprint", this->fingerprint.to_hex())
        .with("outcome", outcome)
        .with("reason", reason)
        .with("status", status)
        .with("sends", this->sends)
        .with("target_ms", to_milliseconds(this->route.latency_target))
        .with("patience_ms", to_milliseconds(this->request.patience))
        .with("ms", to_milliseconds(took));
    this->describe_end(line);
    std::string const kind = this->request.prompt ? "stream" : "call";
    this->state.metrics.increment("spurtide_requests_total", "Requests by kind, outcome and reason", { { "outcome", std::string(outcome) }, { "kind", kind }, { "reason", std::string(reason) } });
    this->state.metrics.observe_seconds("spurtide_request_seconds", "From a request's last byte to its end", to_seconds(took), { { "outcome", std::string(outcome) }, { "kind", kind } });
}

}
