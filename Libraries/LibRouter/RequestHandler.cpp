// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <LibCore/LogLine.h>
#include <LibDecision/StopPolicy.h>
#include <LibRouter/CrashReporter.h>
#include <LibRouter/QuotaClient.h>
#include <LibRouter/RelayClient.h>
#include <LibRouter/ReplicatedQuarantine.h>
#include <LibRouter/RequestHandler.h>
#include <LibRouter/StopDecision.h>
#include <LibRouter/UpstreamLimiter.h>
#include <LibRouter/UpstreamStatements.h>
#include <algorithm>
#include <array>
#include <cstdio>

namespace Spurtide {

namespace {

/// A caller that retries sooner fails for the same reason.
constexpr Duration MINIMUM_RETRY_AFTER = milliseconds(100);
/// Another VM serves the retry.
constexpr Duration STOPPING_RETRY_AFTER = milliseconds(200);
/// A service may have thousands of upstreams to search.
constexpr Duration ALTERNATIVE_SEARCH_INTERVAL = milliseconds(200);
/// Upstreams probed in one search.
constexpr int MAXIMUM_PROBED = 2;

std::string format_seconds(Duration duration)
{
    std::array<char, 24> text {};
    std::snprintf(text.data(), text.size(), "%.2f", to_seconds(duration));
    return text.data();
}

/// Sum of a request's prompt tokens and maximum output tokens. A double, since callers may state numbers whose sum overflows
/// an integer.
std::optional<double> total_tokens(CallerRequest const& request)
{
    if (!request.prompt)
        return {};
    return static_cast<double>(request.prompt->prompt_tokens) + static_cast<double>(request.prompt->maximum_output_tokens);
}

RequestFingerprint compute_fingerprint(HttpRequest const& request, ClientAccount const* account)
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

RequestHandler::RequestHandler(RouterState& state, HttpExchange& exchange, std::shared_ptr<RouteTable const> routes, Route const& route, std::string service, ClientAccount const* account, CallerRequest request)
    : state(state)
    , exchange(exchange)
    , routes(std::move(routes))
    , route(route)
    , request(std::move(request))
    , fingerprint(compute_fingerprint(exchange.request(), account))
    , service(std::move(service))
    , account(account ? account->name : std::string())
    , body(exchange.shared_body())
    , residency(route.home_regions, account ? account->home_regions : std::vector<std::string>())
    , ledger(state.retry_budget_for(this->service))
    , deadline(exchange.received_at() + std::min(route.timeout, this->request.caller_timeout))
    , running_requests(state.running_requests)
    , counted_account(this->account)
    , quota_cost(account ? account->cost_of(total_tokens(this->request)) : 0)
    , deadline_timer(state.loop)
    , turn_timer(state.loop)
{
}

asio::awaitable<void> RequestHandler::run()
{
    auto const self = this->shared_from_this();
    std::weak_ptr<RequestHandler> const weak = self;
    this->exchange.when_caller_leaves([weak] {
        if (auto const handler = weak.lock())
            handler->stop(StopReason::CallerLeft);
    });
    // The caller may have left while the origin of its stream was looked up.
    if (this->exchange.is_caller_gone())
        this->stop(StopReason::CallerLeft);
    this->deadline_timer.expires_at(this->deadline);
    this->deadline_timer.async_wait([weak](asio::error_code error) {
        auto const handler = weak.lock();
        if (!error && handler)
            handler->stop(StopReason::OutOfTime);
    });
    this->state.retry_budget_for(this->service).note_request(monotonic_now());
    this->running_requests->insert(this);
    bool const is_admitted = co_await this->admit();
    if (is_admitted) {
        if (this->is_stopped())
            co_await this->send_stopped_response();
        else
            co_await this->forward_request();
        // Requests that have not run are not charged to the account.
        if (this->quota_cost > 0 && this->earlier == SendHistory::Earlier::HasNotRun)
            this->state.quota->refund(this->counted_account, this->quota_cost);
    }
    this->running_requests->erase(this);
    this->ledger.refund_unused();
    this->deadline_timer.cancel();
}

asio::awaitable<bool> RequestHandler::admit()
{
    // Checked before the quota: requests that are refused are not charged to the account.
    if (this->quarantine_left())
        this->stop(StopReason::Quarantined);
    this->recheck_exit();
    if (this->is_stopped()) {
        co_await this->send_stopped_response();
        co_return false;
    }
    if (this->quota_cost <= 0)
        co_return true;
    auto const decision = co_await this->state.quota->acquire(this->account, this->quota_cost, this->caller_time_left());
    if (decision.outcome == QuotaClient::Outcome::Admitted)
        co_return true;
    if (this->stop_reason == StopReason::CallerLeft)
        this->log_end("caller_left", "over_limit", 0);
    else
        co_await this->reject(429, "over_limit", decision.retry_after);
    co_return false;
}

void RequestHandler::recheck_admission()
{
    this->check_key();
    if (this->quarantine_left())
        this->stop(StopReason::Quarantined);
    this->recheck_exit();
    if (!this->is_stopped())
        this->log_send_before_exit();
}

void RequestHandler::recheck_exit()
{
    auto const until_exit = this->state.time_until_exit();
    // What may have run already could not be refused.
    bool const may_be_refused = this->earlier == SendHistory::Earlier::HasNotRun && !this->exchange.has_begun() && !this->is_stopped();
    if (!until_exit || !may_be_refused)
        return;
    if (may_begin_before_exit(this->time_left(), *until_exit))
        return;
    LogLine("not_begun_before_exit").with("request", this->request.identifier).with("exit_in_ms", to_milliseconds(*until_exit)).with("deadline_in_ms", to_milliseconds(this->time_left()));
    count_stop_decision(this->state, StopDecision::Refused, this->request);
    this->stop(StopReason::ProcessExits);
}

void RequestHandler::interrupt()
{
    if (this->is_stopped())
        return;
    LogLine line("interrupted_by_exit");
    line.with("request", this->request.identifier).with("deadline_in_ms", to_milliseconds(this->time_left())).with("sends", this->sends);
    this->describe_progress(line);
    count_stop_decision(this->state, StopDecision::Interrupted, this->request);
    this->stop(StopReason::ProcessExits);
}

void RequestHandler::log_send_before_exit() const
{
    auto const until_exit = this->state.time_until_exit();
    if (!until_exit)
        return;
    LogLine("sent_before_exit")
        .with("request", this->request.identifier)
        .with("exit_in_ms", to_milliseconds(*until_exit))
        .with("deadline_in_ms", to_milliseconds(this->time_left()))
        .with("may_have_run", this->earlier == SendHistory::Earlier::HasNotRun ? "no" : "yes");
    count_stop_decision(this->state, StopDecision::Sent, this->request);
}

std::optional<Duration> RequestHandler::quarantine_left() const
{
    auto const of_request = this->state.quarantine->held_for(this->fingerprint);
    return std::max(of_request, this->state.quarantine->held_for(this->shared_parts()));
}

void RequestHandler::check_key()
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

void RequestHandler::stop(StopReason reason)
{
    if (this->is_stopped())
        return;
    this->stop_reason = reason;
    if (this->active_connection)
        this->active_connection->abort();
    this->turn_timer.cancel();
    this->on_stop();
}

void RequestHandler::note_sent()
{
    ++this->sends;
    this->ledger.note_run(monotonic_now());
    this->state.metrics.increment("spurtide_sends_total", "Requests sent to upstreams", { { "service", this->service }, { "stage", "run" } });
    this->earlier_before_send = std::exchange(this->earlier, SendHistory::Earlier::MayHaveRun);
}

void RequestHandler::note_continuation_sent()
{
    this->ledger.note_run(monotonic_now());
    this->state.metrics.increment("spurtide_sends_total", "Requests sent to upstreams", { { "service", this->service }, { "stage", "continuation" } });
}

void RequestHandler::note_continuation_not_delivered() { this->ledger.note_not_delivered(monotonic_now()); }

void RequestHandler::note_not_executed() { this->earlier = this->earlier_before_send; }

void RequestHandler::note_not_delivered()
{
    --this->sends;
    this->ledger.note_not_delivered(monotonic_now());
    this->earlier = this->earlier_before_send;
}

void RequestHandler::note_link_error(LinkError const& error)
{
    if (!error.relay.empty())
        this->declining_relays.insert(error.relay);
}

bool RequestHandler::may_abandon(UpstreamRecord const& upstream, MonotonicTime silent_since)
{
    static SilencePolicy const s_policy { SilencePolicy::Options {} };
    auto const now = monotonic_now();
    SilentRequest silent;
    silent.silent_for = std::chrono::duration_cast<Duration>(now - silent_since);
    silent.usual_wait = this->usual_wait();
    silent.caller_patience = this->part_patience();
    silent.time_elsewhere = this->route.latency_target;
    bool const is_due = silent.silent_for >= s_policy.shortest_silence(silent) && now >= this->next_search;
    if (!is_due || this->is_stopped() || !this->is_another_send_possible() || !this->could_pay(this->next_send()))
        return false;
    this->next_search = now + ALTERNATIVE_SEARCH_INTERVAL;
    auto const failing_since = this->state.reachability->unreachable_since(upstream.identity).value_or(now);
    silent.alternative = this->find_alternative(upstream, std::max(silent_since, failing_since));
    // Charged before the response is given up: others that wait as long may need the same budget.
    return s_policy.may_abandon(silent) && this->try_pay(this->next_send());
}

SilentRequest::Alternative RequestHandler::find_responsive(std::span<UpstreamRecord const* const> candidates, MonotonicTime since)
{
    auto const now = monotonic_now();
    bool const is_partitioned = this->state.reachability->is_partitioned(now);
    RouteFinder finder(this->state, now);
    auto found = SilentRequest::Alternative::None;
    std::vector<UpstreamRecord const*> unknown;
    for (auto const* candidate : candidates) {
        if (this->state.limiter->requested_pause_left(*candidate, now) > Duration::zero())
            continue;
        auto const route_to_candidate = finder.find(*candidate);
        if (route_to_candidate == UpstreamRoute::Direct && this->state.reachability->has_responded_since(candidate->identity, since))
            return SilentRequest::Alternative::Direct;
        if (route_to_candidate == UpstreamRoute::Direct)
            unknown.push_back(candidate);
        // Without a partition, an upstream that does not accept connections is silent, and a relay would not help.
        else if (route_to_candidate == UpstreamRoute::Relayed && is_partitioned)
            found = SilentRequest::Alternative::ThroughRelay;
    }
    for (std::size_t i = 0; i < std::min<std::size_t>(MAXIMUM_PROBED, unknown.size()); ++i)
        this->state.prober.probe(unknown[i]->identity);
    return found;
}

UpstreamLink::Options RequestHandler::link_options(RouteKind kind)
{
    UpstreamLink::Options options;
    options.request = this->request.identifier;
    if (kind != RouteKind::Repeatable)
        options.freshness = ConnectionPool::Freshness::Recent;
    else
        options.may_abandon = [weak = this->weak_from_this()](UpstreamRecord const& upstream, MonotonicTime silent_since) {
            auto const handler = weak.lock();
            return handler && handler->may_abandon(upstream, silent_since);
        };
    options.relayed_silence = SilencePolicy::Options {}.silence_before_relay;
    // The request's data must not be passed to other regions than those of its homes and its caller.
    options.may_relay = [this](RelayCandidate const& relay) {
        auto const own_region = region_of(this->state.data_centre, this->state.regions);
        bool const is_own_region = relay.data_centre == this->state.data_centre || (!own_region.empty() && relay.region == own_region);
        return !this->declining_relays.contains(relay.virtual_machine) && (is_own_region || this->may_use_data_centre(relay.data_centre));
    };
    return options;
}

void RequestHandler::note_completed() { this->state.crashes->note_completed(this->service, this->fingerprint); }

PromptParts const& RequestHandler::shared_parts() const
{
    static PromptParts const s_none;
    return this->request.prompt ? this->request.prompt->shared_parts : s_none;
}

void RequestHandler::note_served()
{
    if (this->request.prompt)
        this->state.crashes->note_served(this->shared_parts());
}

void RequestHandler::record_statements(UpstreamRecord const& upstream, ResponseInfo const& info, int status, MonotonicTime sent_at)
{
    // Another incarnation answered.
    if (status == 421)
        return;
    record_upstream_statements(this->state, upstream, info, status, this->request.identifier);
    this->record_rate_limit(upstream.identity, info, sent_at);
}

void RequestHandler::record_rate_limit(std::string_view upstream, ResponseInfo const& info, MonotonicTime sent_at)
{
    if (info.limit.state == RateLimitHeader::State::Malformed) {
        LogLine("upstream_limit_unreadable").with("request", this->request.identifier).with("upstream", upstream);
        return;
    }
    // Upstreams may omit the header from responses that only refuse a request.
    if (info.limit.state == RateLimitHeader::State::Absent && info.is_not_executed)
        return;
    UpstreamLimitStatement statement { {}, sent_at };
    if (info.limit.state == RateLimitHeader::State::Present)
        statement = { info.limit.rate, monotonic_now() };
    auto const before = this->state.limiter->rate_of(upstream);
    if (this->state.limiter->note(upstream, statement) == UpstreamLimitTable::Change::None)
        return;
    LogLine line(statement.rate ? "upstream_limit_named" : "upstream_limit_over");
    line.with("request", this->request.identifier).with("upstream", upstream).with("service", this->service);
    if (statement.rate)
        line.with("rate", *statement.rate);
    if (before)
        line.with("before", *before);
}

std::optional<Duration> RequestHandler::assign_retry_after_pauses()
{
    auto const now = monotonic_now();
    bool is_any_available = false;
    std::optional<UpstreamRecord> next;
    Duration shortest {};
    this->state.upstreams.for_each([&](UpstreamRecord const& record) {
        bool const may_respond = record.service == this->service && record.life == UpstreamRecord::Life::Serving && record.role != EngineRole::Prefill && this->may_use_data_centre(record.data_centre);
        if (!may_respond || is_any_available)
            return;
        auto const left = this->state.limiter->requested_pause_left(record, now);
        is_any_available = left == Duration::zero();
        if (next && left >= shortest)
            return;
        next = record;
        shortest = left;
    });
    if (is_any_available || !next)
        return {};
    return this->state.limiter->assign_retry(*next);
}

asio::awaitable<bool> RequestHandler::take_turn(std::string upstream, Duration longest_wait, Duration turn_patience)
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
        // A turn that was reserved for the caller takes precedence over estimates for other upstreams.
        this->next_turn = turn_patience > Duration::zero() ? turn.wait : std::min(turn.wait, this->next_turn.value_or(turn.wait));
        co_return false;
    }
    if (turn.wait > Duration::zero()) {
        this->turn_timer.expires_after(turn.wait);
        asio::error_code error;
        co_await this->turn_timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }
    if (!this->is_stopped())
        co_return true;
    this->state.limiter->return_turn(upstream);
    co_return false;
}

asio::awaitable<ReachabilityProber::ProcessState> RequestHandler::determine_process_state(UpstreamRecord upstream, HttpError error, UpstreamRoute route)
{
    using ProcessState = ReachabilityProber::ProcessState;
    auto state = ProcessState::Unknown;
    if (route == UpstreamRoute::Direct) {
        if (this->state.prober.known_process_state(upstream) != ProcessState::Gone && error != HttpError::Closed)
            co_return ProcessState::Unknown;
        state = co_await this->state.prober.probe_process(upstream);
        if (state != ProcessState::Gone)
            co_return state;
    }
    // Only this VM's path to the upstream may be cut, so another VM has to confirm it.
    if (this->state.relays && this->state.relays->is_available(monotonic_now())) {
        auto const outcome = co_await this->state.relays->probe(this->state.pool, upstream.identity);
        co_return outcome == RelayOutcome::NobodyListens ? ProcessState::Gone : ProcessState::Unknown;
    }
    co_return state;
}

asio::awaitable<bool> RequestHandler::report_crash(UpstreamRecord upstream, HttpError error, MonotonicTime since, UpstreamRoute route)
{
    auto const ran_for = std::chrono::duration_cast<Duration>(monotonic_now() - since);
    // A connection that we aborted ourselves does not indicate a crash, and an upstream that is leaving stops as planned.
    if (this->is_stopped() || error == HttpError::Unresponsive || !this->state.upstreams.takes_work(upstream.identity))
        co_return false;
    auto const process = co_await this->determine_process_state(upstream, error, route);
    // All connections to a data centre that is cut off may be refused.
    if (process != ReachabilityProber::ProcessState::Gone || this->state.reachability->is_cut_off(upstream.data_centre, monotonic_now()))
        co_return false;
    LogLine("upstream_crashed")
        .with("request", this->request.identifier)
        .with("fingerprint", this->fingerprint.to_hex())
        .with("parts", describe(this->shared_parts()))
        .with("upstream", upstream.identity)
        .with("started", upstream.started)
        .with("ran_ms", to_milliseconds(ran_for));
    this->state.metrics.increment("spurtide_upstream_crashes_total", "Requests that an upstream had when it crashed", { { "service", this->service } });
    UpstreamIncarnation const incarnation { upstream.identity, upstream.started };
    auto const verdict = co_await this->state.crashes->report(this->service, this->fingerprint, this->shared_parts(), incarnation, ran_for);
    if (verdict == CrashVerdict::Quarantined)
        this->stop(StopReason::Quarantined);
    co_return true;
}

Duration RequestHandler::caller_time_left() const
{
    return std::chrono::duration_cast<Duration>(this->exchange.received_at() + this->request.caller_timeout - monotonic_now());
}

Duration RequestHandler::time_left() const
{
    return std::chrono::duration_cast<Duration>(this->deadline - monotonic_now());
}

SendHistory::AnotherSend RequestHandler::take_another_send(std::int64_t sends_so_far, Duration minimum_time)
{
    if (sends_so_far >= this->route.maximum_attempts || this->time_left() < minimum_time || this->is_stopped())
        return SendHistory::AnotherSend::Spent;
    return this->try_pay(SendAccounting::Send::Run) ? SendHistory::AnotherSend::Allowed : SendHistory::AnotherSend::Spent;
}

bool RequestHandler::try_pay(SendAccounting::Send send)
{
    auto const count = this->ledger.uncharged(send);
    if (count == 0)
        return true;
    auto const part = this->state.retry_allowance_part();
    bool const is_taken = this->ledger.try_charge(send, part, monotonic_now());
    auto const level = this->state.retry_budget_for(this->service).level(part, monotonic_now());
    std::string const outcome = is_taken ? "taken" : "spent";
    LogLine("extra_send")
        .with("request", this->request.identifier)
        .with("service", this->service)
        .with("for", send == SendAccounting::Send::Run ? "run" : "prefill")
        .with("count", count)
        .with("outcome", outcome)
        .with("requests", level.requests)
        .with("extras", level.extra_sends)
        .with("limit", level.limit)
        .with("part", part);
    this->state.metrics.increment("spurtide_extra_sends_total", "Sends beyond a request's first that were asked of the retry budget", { { "service", this->service }, { "outcome", outcome } }, static_cast<double>(count));
    return is_taken;
}

bool RequestHandler::could_pay(SendAccounting::Send send) const
{
    return this->ledger.can_charge(send, this->state.retry_allowance_part(), monotonic_now());
}

asio::awaitable<void> RequestHandler::refuse(std::string_view reason, Duration retry_after)
{
    if (this->is_stopped() && this->stop_reason == StopReason::CallerLeft) {
        this->log_end("caller_left", reason, 0);
        co_return;
    }
    co_await this->reject(503, reason, retry_after);
}

asio::awaitable<void> RequestHandler::fail(int status, std::string_view reason)
{
    if (this->exchange.has_begun()) {
        this->log_end("broken_off", reason, 0);
        this->exchange.abort();
        co_return;
    }
    this->log_end("failed_may_have_run", reason, status);
    static_cast<void>(co_await this->exchange.respond(this->state.dialect.router_response_head(status, this->request.identifier), {}));
}

asio::awaitable<void> RequestHandler::send_stopped_response()
{
    if (this->stop_reason == StopReason::CallerLeft) {
        this->log_end("caller_left", "caller_left", 0);
        co_return;
    }
    bool const has_not_run = this->earlier == SendHistory::Earlier::HasNotRun && !this->exchange.has_begun();
    if (this->stop_reason == StopReason::Quarantined && has_not_run)
        co_await this->refuse("quarantined", this->quarantine_left().value_or(Duration::zero()));
    else if (this->stop_reason == StopReason::Quarantined)
        co_await this->fail(502, "quarantined");
    else if (this->stop_reason == StopReason::KeyRevoked && has_not_run)
        co_await this->reject(401, "key_revoked", {});
    else if (this->stop_reason == StopReason::KeyRevoked)
        co_await this->fail(502, "key_revoked");
    else if (this->stop_reason == StopReason::ProcessExits && has_not_run)
        co_await this->refuse("stopping", STOPPING_RETRY_AFTER);
    else if (this->stop_reason == StopReason::ProcessExits)
        co_await this->fail(502, "stopping");
    else if (has_not_run)
        co_await this->refuse("out_of_time", MINIMUM_RETRY_AFTER);
    else
        co_await this->fail(504, "out_of_time");
}

asio::awaitable<void> RequestHandler::reject(int status, std::string_view reason, std::optional<Duration> retry_after)
{
    auto head = this->state.dialect.router_response_head(status, this->request.identifier);
    if (retry_after)
        head.headers.add("Retry-After", format_seconds(std::max(*retry_after, MINIMUM_RETRY_AFTER)));
    this->log_end(status == 503 ? "refused_not_run" : "rejected", reason, status);
    // If sending fails, the caller has disconnected.
    static_cast<void>(co_await this->exchange.respond(std::move(head), {}));
}

void RequestHandler::log_end(std::string_view outcome, std::string_view reason, int status)
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
        .with("patience_ms", to_milliseconds(this->request.caller_timeout))
        .with("ms", to_milliseconds(took));
    this->describe_end(line);
    if (this->request.prompt)
        line.with("parts", describe(this->shared_parts()));
    std::string const kind = this->request.prompt ? "stream" : "call";
    this->state.metrics.increment("spurtide_requests_total", "Requests by kind, outcome and reason", { { "outcome", std::string(outcome) }, { "kind", kind }, { "reason", std::string(reason) } });
    this->state.metrics.observe_seconds("spurtide_request_seconds", "From a request's last byte to its end", to_seconds(took), { { "outcome", std::string(outcome) }, { "kind", kind } });
}

}
