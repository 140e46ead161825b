// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <LibCore/LogLine.h>
#include <LibRouter/InFlightRequest.h>
#include <LibRouter/UnaryRequestHandler.h>
#include <LibRouter/UpstreamCall.h>
#include <LibRouter/UpstreamLimiter.h>
#include <algorithm>
#include <map>

namespace Spurtide {

namespace {

/// With less time left, another send has little chance to succeed.
constexpr Duration MINIMUM_TIME_FOR_SEND = milliseconds(50);
/// Failed connection attempts are retried without charging the retry budget, since they put no load on upstreams.
constexpr int MAXIMUM_CONNECT_ATTEMPTS = 3;
/// The same for VMs that were asked to relay the request and did not send it.
constexpr int MAXIMUM_RELAY_ATTEMPTS = 6;
constexpr std::size_t MAXIMUM_RESPONSE_BYTES = 8UL * 1024 * 1024;
constexpr Duration FULL_UPSTREAM_RETRY_AFTER = milliseconds(300);
/// Share of the latency target that a request may wait for its turn at an upstream; the rest is for the response.
constexpr double TURN_WAIT_SHARE = 0.5;
/// Permits that name an upstream which this VM does not list as serving, after which it chooses one itself. Lists differ for
/// the time that news of the registry take.
constexpr int MAXIMUM_UNUSABLE_PERMITS = 3;
/// Accounts' priorities are multiplied by it, as they take precedence over those of routes.
constexpr std::int64_t LARGEST_PRIORITY = 1000;

Duration unix_time() { return milliseconds(unix_milliseconds()); }

UpstreamOutcome outcome_of(SendOutcome end)
{
    switch (end) {
    case SendOutcome::Success:
    case SendOutcome::OwnFailure:
        return UpstreamOutcome::Succeeded;
    case SendOutcome::NotExecuted:
        return UpstreamOutcome::Full;
    default:
        return UpstreamOutcome::Failed;
    }
}

}

std::vector<UpstreamRecord const*> UnaryRequestHandler::find_candidates(MonotonicTime now)
{
    std::vector<UpstreamRecord const*> records;
    this->state.upstreams.for_each([&](UpstreamRecord const& record) {
        if (record.service == this->service && record.life == UpstreamRecord::Life::Serving && this->may_use_data_centre(record.data_centre) && !this->tried_upstreams.contains(record.identity))
            records.push_back(&record);
    });
    this->keep_best_route(records, now);
    std::erase_if(records, [&](auto const* record) { return this->state.limiter->requested_pause_left(*record, now) > Duration::zero(); });
    this->exclude_cold_upstreams(records, now);
    this->exclude_limited_upstreams(records, now);
    return records;
}

bool UnaryRequestHandler::is_another_send_possible() const
{
    return this->sends < this->route.maximum_attempts && this->time_left() >= MINIMUM_TIME_FOR_SEND;
}

SilentRequest::Alternative UnaryRequestHandler::find_alternative(UpstreamRecord const& silent, MonotonicTime since)
{
    std::vector<UpstreamRecord const*> candidates;
    this->state.upstreams.for_each([&](UpstreamRecord const& record) {
        bool const may_serve = record.service == this->service && record.life == UpstreamRecord::Life::Serving && this->may_use_data_centre(record.data_centre);
        if (may_serve && record.identity != silent.identity && !this->tried_upstreams.contains(record.identity))
            candidates.push_back(&record);
    });
    return this->find_responsive(candidates, since);
}

std::optional<UpstreamRecord> UnaryRequestHandler::choose_upstream()
{
    auto const now = monotonic_now();
    auto const records = this->find_candidates(now);
    this->was_only_choice = records.size() == 1;
    std::vector<SelectableUpstream> selectable;
    for (auto const* record : records) {
        auto const place = record->data_centre == this->state.data_centre ? SelectableUpstream::Place::SameDataCentre : SelectableUpstream::Place::Elsewhere;
        selectable.push_back({ record->identity, record->slots, place });
    }
    auto const index = this->state.selector.choose(selectable, now);
    if (!index)
        return {};
    auto const& chosen = *records[*index];
    this->note_chosen(chosen, now);
    return chosen;
}

void UnaryRequestHandler::note_chosen(UpstreamRecord const& chosen, MonotonicTime now)
{
    if (this->is_cold(chosen, now))
        this->state.cold_turns.note_sent(chosen.identity, this->cold_rate(), this->state.sending_machines(), unix_time());
}

void UnaryRequestHandler::keep_best_route(std::vector<UpstreamRecord const*>& records, MonotonicTime now)
{
    RouteFinder finder(this->state, now);
    std::map<UpstreamRoute, std::vector<UpstreamRecord const*>> by_route;
    for (auto const* record : records) {
        auto const route = finder.find(*record);
        // What one VM did not relay, another one may.
        if (route == UpstreamRoute::Relayed || !this->unreached_upstreams.contains(record->identity))
            by_route[route].push_back(record);
    }
    auto& unreachable = by_route[UpstreamRoute::None];
    this->was_without_route = !unreachable.empty();
    // If none is known to be reachable, try one anyway: it may be reachable again. A partitioned VM would try in vain.
    if (this->state.reachability->is_partitioned(now))
        unreachable.clear();
    for (auto const route : { UpstreamRoute::Direct, UpstreamRoute::Relayed, UpstreamRoute::None }) {
        records = std::move(by_route[route]);
        if (!records.empty())
            break;
    }
}

SendHistory::AnotherSend UnaryRequestHandler::count_connection_failure(UpstreamRoute route)
{
    auto& attempts = route == UpstreamRoute::Relayed ? this->relay_attempts : this->connect_attempts;
    auto const maximum = route == UpstreamRoute::Relayed ? MAXIMUM_RELAY_ATTEMPTS : MAXIMUM_CONNECT_ATTEMPTS;
    return ++attempts < maximum ? SendHistory::AnotherSend::Allowed : SendHistory::AnotherSend::Spent;
}

double UnaryRequestHandler::cold_rate() const
{
    auto const* traits = this->routes->service(this->service);
    return traits ? traits->cold_rate : 0;
}

bool UnaryRequestHandler::is_cold(UpstreamRecord const& upstream, MonotonicTime now) const { return now<upstream.cold_until&& this->cold_rate()> 0; }

// A cold upstream can only take a limited rate from all VMs together, so each VM sends to it only in its turn.
void UnaryRequestHandler::exclude_cold_upstreams(std::vector<UpstreamRecord const*>& records, MonotonicTime now)
{
    this->next_cold_turn.reset();
    auto const is_cold_upstream = [&](auto const* record) { return this->is_cold(*record, now); };
    if (std::none_of(records.begin(), records.end(), is_cold_upstream))
        return;
    auto const machines = this->state.sending_machines();
    std::erase_if(records, [&](auto const* record) {
        if (!this->is_cold(*record, now))
            return false;
        auto const wait = this->state.cold_turns.time_until_turn(record->identity, this->cold_rate(), machines, unix_time());
        if (wait > Duration::zero())
            this->next_cold_turn = std::min(wait, this->next_cold_turn.value_or(wait));
        return wait > Duration::zero();
    });
}

void UnaryRequestHandler::exclude_limited_upstreams(std::vector<UpstreamRecord const*>& records, MonotonicTime now) const
{
    std::erase_if(records, [&](auto const* record) { return this->upstreams_without_turn.contains(record->identity); });
    auto const pause = [&](auto const* record) { return this->state.limiter->pause_left(record->identity, now); };
    auto const first_free = std::min_element(records.begin(), records.end(), [&](auto const* a, auto const* b) { return pause(a) < pause(b); });
    if (first_free == records.end())
        return;
    auto const* kept = *first_free;
    std::erase_if(records, [&](auto const* record) { return record != kept && pause(record) > Duration::zero(); });
}

Duration UnaryRequestHandler::longest_wait_for_turn() const
{
    auto const age = std::chrono::duration_cast<Duration>(monotonic_now() - this->exchange.received_at());
    return std::max(Duration::zero(), from_seconds(to_seconds(this->route.latency_target) * TURN_WAIT_SHARE) - age);
}

asio::awaitable<std::optional<UpstreamRecord>> UnaryRequestHandler::choose_upstream_with_turn()
{
    this->upstreams_without_turn.clear();
    while (!this->is_stopped()) {
        auto const upstream = this->choose_upstream();
        if (!upstream)
            co_return std::nullopt;
        auto const turn = co_await this->take_turn_at(upstream->identity);
        if (turn == Turn::Taken)
            co_return upstream;
        if (turn == Turn::Reserved)
            co_return std::nullopt;
    }
    co_return std::nullopt;
}

asio::awaitable<UnaryRequestHandler::Turn> UnaryRequestHandler::take_turn_at(std::string upstream)
{
    // Only wait for a turn if there is no other upstream to try.
    auto const wait = this->was_only_choice ? this->longest_wait_for_turn() : Duration::zero();
    auto const turn_patience = this->was_only_choice ? this->caller_time_left() : Duration::zero();
    bool const has_turn = co_await this->take_turn(upstream, wait, turn_patience);
    if (has_turn)
        co_return Turn::Taken;
    // The caller has been assigned a time to retry. Asking another upstream would reserve a second one.
    if (turn_patience > Duration::zero())
        co_return Turn::Reserved;
    this->upstreams_without_turn.insert(std::move(upstream));
    co_return Turn::Denied;
}

void UnaryRequestHandler::on_stop()
{
    if (this->pending_permit)
        this->pending_permit->give_up();
}

std::int64_t UnaryRequestHandler::permit_priority() const
{
    auto const* book = this->routes->configuration().accounts.get();
    auto const* found = book ? book->find_by_name(this->account) : nullptr;
    auto const of_account = found ? std::clamp<std::int64_t>(found->priority, 0, LARGEST_PRIORITY) : 0;
    return of_account * LARGEST_PRIORITY + std::clamp<std::int64_t>(this->route.priority, 0, LARGEST_PRIORITY - 1);
}

// Excludes all upstreams of the service that are no candidates for this request.
CallAdmissionClient::Ask UnaryRequestHandler::permit_ask(MonotonicTime now)
{
    auto candidates = this->find_candidates(now);
    this->was_only_choice = candidates.size() == 1;
    auto const is_suspended = [&](auto const* record) { return this->state.selector.is_suspended(record->identity, now); };
    // Like the selector, trust the ejections only if they leave half of the upstreams.
    if (static_cast<std::size_t>(std::count_if(candidates.begin(), candidates.end(), is_suspended)) * 2 <= candidates.size())
        std::erase_if(candidates, is_suspended);
    std::set<std::string_view> usable;
    for (auto const* record : candidates)
        usable.insert(record->identity);
    CallAdmissionClient::Ask ask;
    this->state.upstreams.for_each([&](UpstreamRecord const& record) {
        if (record.service != this->service || record.life != UpstreamRecord::Life::Serving)
            return;
        ++ask.upstreams;
        if (!usable.contains(record.identity))
            ask.excluded_upstreams.push_back(record.identity);
    });
    auto const groups = CallGroup::count_for(ask.upstreams);
    if (groups > 1 && !ask.excluded_upstreams.empty()) {
        for (auto const identity : usable)
            ask.usable_groups.insert(CallGroup::index_for(identity, groups));
    }
    ask.excluded_upstreams.insert(ask.excluded_upstreams.end(), this->unusable_upstreams.begin(), this->unusable_upstreams.end());
    ask.service = this->service;
    ask.request = this->request.identifier;
    ask.account = this->account;
    ask.priority = this->permit_priority();
    ask.target_time = this->exchange.received_at() + this->route.latency_target;
    ask.timeout = this->deadline;
    // A request that may have run is not refused with a time to retry. A retry needs time for its response, too.
    if (this->earlier == SendHistory::Earlier::HasNotRun)
        ask.retry_patience = std::max(Duration::zero(), this->caller_time_left() - this->route.latency_target);
    if (usable.empty())
        ask.upstreams = 0;
    return ask;
}

asio::awaitable<CallAdmissionClient::Answer> UnaryRequestHandler::ask_for_permit(CallAdmissionClient::Ask ask)
{
    auto const pending = std::make_shared<CallAdmissionClient::PendingAsk>(this->state.loop.get_executor());
    this->pending_permit = pending;
    auto answer = co_await this->state.call_admission->ask(std::move(ask), pending);
    this->pending_permit.reset();
    co_return answer;
}

std::optional<UpstreamRecord> UnaryRequestHandler::find_granted(std::string const& upstream) const
{
    auto const* record = this->state.upstreams.find(upstream);
    if (!record || record->service != this->service || record->life != UpstreamRecord::Life::Serving || !this->may_use_data_centre(record->data_centre))
        return {};
    return *record;
}

asio::awaitable<std::optional<UpstreamRecord>> UnaryRequestHandler::choose_upstream_without_permit(CallAdmissionClient::Ask ask)
{
    auto upstream = co_await this->choose_upstream_with_turn();
    if (upstream)
        this->permit = this->state.call_admission->note_unpermitted(ask, upstream->identity);
    co_return upstream;
}

asio::awaitable<std::optional<UpstreamRecord>> UnaryRequestHandler::choose_admitted_upstream()
{
    this->permit_refusal.reset();
    if (!this->state.call_admission) {
        auto upstream = co_await this->choose_upstream_with_turn();
        co_return upstream;
    }
    this->upstreams_without_turn.clear();
    this->unusable_upstreams.clear();
    while (!this->is_stopped()) {
        auto const ask = this->permit_ask(monotonic_now());
        if (ask.upstreams == 0)
            co_return std::nullopt;
        auto answer = co_await this->ask_for_permit(ask);
        if (auto const* refusal = std::get_if<CallAdmissionClient::Refusal>(&answer)) {
            this->permit_refusal = *refusal;
            co_return std::nullopt;
        }
        if (auto const* missing = std::get_if<CallAdmissionClient::NoAnswer>(&answer)) {
            if (*missing == CallAdmissionClient::NoAnswer::Withdrawn)
                co_return std::nullopt;
            auto upstream = co_await this->choose_upstream_without_permit(ask);
            co_return upstream;
        }
        auto& grant = std::get<CallAdmissionClient::Grant>(answer);
        auto const upstream = this->find_granted(grant.upstream);
        if (!upstream) {
            LogLine("call_permit_unusable").with("request", this->request.identifier).with("service", this->service).with("upstream", grant.upstream);
            this->unusable_upstreams.insert(grant.upstream);
            if (this->unusable_upstreams.size() < MAXIMUM_UNUSABLE_PERMITS)
                continue;
            grant.permit.end(CallOutcome::Unused, {});
            auto chosen = co_await this->choose_upstream_without_permit(ask);
            co_return chosen;
        }
        this->note_chosen(*upstream, monotonic_now());
        auto const turn = co_await this->take_turn_at(upstream->identity);
        if (turn == Turn::Taken) {
            this->permit = std::move(grant.permit);
            co_return upstream;
        }
        if (turn == Turn::Reserved)
            co_return std::nullopt;
    }
    co_return std::nullopt;
}

void UnaryRequestHandler::end_permit(Attempt const& attempt)
{
    auto outcome = CallOutcome::Unused;
    switch (attempt.end) {
    case SendOutcome::Success:
    case SendOutcome::OwnFailure:
        outcome = CallOutcome::Answered;
        break;
    case SendOutcome::NotExecuted:
        outcome = CallOutcome::Shed;
        break;
    case SendOutcome::NotSent:
        break;
    case SendOutcome::Lost:
        // A request whose caller left says nothing about the upstream's health.
        outcome = this->exchange.is_caller_gone() ? CallOutcome::Unused : CallOutcome::Failed;
        break;
    }
    this->permit.end(outcome, attempt.service_time);
}

bool UnaryRequestHandler::may_retry_tried() const
{
    // A refused request is not sent anywhere if it can be said that it has not run.
    bool const is_refused = this->permit_refusal && this->permit_refusal->reason != CallRefusalReason::NoUpstream && this->earlier == SendHistory::Earlier::HasNotRun;
    bool const has_tried = !this->tried_upstreams.empty() || this->connect_attempts > 0;
    return !is_refused && has_tried && this->route.kind == RouteKind::Repeatable && this->connect_attempts < MAXIMUM_CONNECT_ATTEMPTS;
}

asio::awaitable<void> UnaryRequestHandler::respond_without_upstream(Attempt const& last)
{
    // An upstream's error response tells the caller more than the lack of another upstream.
    if (last.end == SendOutcome::OwnFailure) {
        this->note_completed();
        co_await this->relay_response(last);
        co_return;
    }
    if (this->earlier == SendHistory::Earlier::MayHaveRun) {
        co_await this->fail(502, "no_upstream");
        co_return;
    }
    if (this->permit_refusal && this->permit_refusal->reason != CallRefusalReason::NoUpstream) {
        auto const permit_reason = "call_" + std::string(to_string(this->permit_refusal->reason));
        co_await this->refuse(permit_reason, this->permit_refusal->retry_after);
        co_return;
    }
    std::string reason = this->residency.is_restricted() ? "no_upstream_in_home_regions" : "no_upstream";
    if (this->was_without_route)
        reason = "upstreams_unreachable";
    auto retry_after = NO_UPSTREAM_RETRY_AFTER;
    if (this->next_cold_turn) {
        reason = "upstreams_cold";
        retry_after = *this->next_cold_turn;
    }
    if (this->next_turn) {
        reason = "upstreams_limited";
        retry_after = this->next_cold_turn ? std::min(*this->next_turn, *this->next_cold_turn) : *this->next_turn;
    }
    if (auto const after_pauses = this->assign_retry_after_pauses()) {
        reason = "upstreams_paused";
        retry_after = *after_pauses;
    }
    if (!last.reason.empty())
        reason = last.reason;
    co_await this->refuse(reason, retry_after);
}

asio::awaitable<void> UnaryRequestHandler::forward_request()
{
    Attempt last;
    while (true) {
        if (this->is_stopped()) {
            co_await this->send_stopped_response();
            co_return;
        }
        auto upstream = co_await this->choose_admitted_upstream();
        if (!upstream && this->may_retry_tried()) {
            // Without another upstream, retry those that failed before.
            this->tried_upstreams.clear();
            this->unreached_upstreams.clear();
            upstream = co_await this->choose_admitted_upstream();
        }
        if (this->is_stopped()) {
            co_await this->send_stopped_response();
            co_return;
        }
        if (!upstream) {
            co_await this->respond_without_upstream(last);
            co_return;
        }
        auto const send_began = monotonic_now();
        last = co_await this->send_to(*upstream);
        this->end_permit(last);
        auto const took = std::chrono::duration_cast<Duration>(monotonic_now() - send_began);
        if (last.end != SendOutcome::NotSent)
            this->tried_upstreams.insert(upstream->identity);
        else if (last.route == UpstreamRoute::Direct)
            this->unreached_upstreams.insert(upstream->identity);
        if (last.end == SendOutcome::NotExecuted) {
            this->refused_by.insert(upstream->identity);
            this->note_not_executed();
        }
        if (this->is_stopped() && last.end != SendOutcome::Success) {
            co_await this->send_stopped_response();
            co_return;
        }
        SendHistory history { this->route.kind, this->earlier, SendHistory::AnotherSend::Spent };
        if (last.end == SendOutcome::NotSent)
            history.another_send = this->count_connection_failure(last.route);
        else if (last.end != SendOutcome::Success)
            history.another_send = this->take_another_send(this->sends, MINIMUM_TIME_FOR_SEND);
        auto const step = next_step(last.end, history);
        LogLine("send_end").with("request", this->request.identifier).with("upstream", upstream->identity).with("end", to_string(last.end)).with("reason", last.reason).with("status", last.head.status).with("route", to_string(last.route)).with("ms", to_milliseconds(took)).with("next", to_string(step));
        switch (step) {
        case NextStep::SendElsewhere:
            continue;
        case NextStep::Relay:
            this->note_completed();
            if (last.end == SendOutcome::Success)
                this->note_served();
            co_await this->relay_response(last);
            co_return;
        case NextStep::RefuseNotRun:
            co_await this->refuse(last.reason, this->assign_retry_after_pauses().value_or(FULL_UPSTREAM_RETRY_AFTER));
            co_return;
        case NextStep::FailMayHaveRun:
            co_await this->fail(502, last.reason);
            co_return;
        }
    }
}

asio::awaitable<UnaryRequestHandler::Attempt> UnaryRequestHandler::send_to(UpstreamRecord upstream)
{
    Attempt attempt;
    auto const sent_at = monotonic_now();
    this->state.selector.note_sent(upstream.identity);
    auto options = this->link_options(this->route.kind);
    if (this->refused_by.contains(upstream.identity))
        options.freshness = ConnectionPool::Freshness::New;
    auto opened = co_await UpstreamLink::open(this->state, upstream, std::move(options));
    if (opened.is_error()) {
        auto const& error = opened.error();
        bool const is_relays = error.location == LinkError::Location::Relay;
        attempt.reason = error.reason();
        if (is_relays)
            attempt.route = UpstreamRoute::Relayed;
        // A path that failed elsewhere says nothing about the upstream's health.
        this->take_back_send(upstream.identity, is_relays ? UpstreamOutcome::Full : UpstreamOutcome::Failed);
        co_return attempt;
    }
    auto const link = opened.release_value();
    attempt.route = link->route();
    this->recheck_admission();
    // The upstream may have begun to leave, or the request may have been stopped, while the connection was established.
    auto const obstacle = find_send_obstacle(this->state, upstream);
    if (this->is_stopped() || obstacle != SendObstacle::None) {
        link->release_unused();
        this->take_back_send(upstream.identity, UpstreamOutcome::Full);
        attempt.reason = to_string(obstacle);
        co_return attempt;
    }
    Dispatch dispatch;
    dispatch.remaining_time = std::min(this->caller_time_left(), this->time_left());
    dispatch.expected_identity = upstream.identity;
    dispatch.account = this->account;
    this->set_active_connection(link->connection());
    this->note_sent();
    this->state.limiter->note_sent(upstream);
    auto const expected_body = this->exchange.request().head.method == "HEAD" ? MessageParser::ExpectedBody::None : MessageParser::ExpectedBody::AsFramed;
    link->send(format_request_head(this->state.dialect.upstream_request_head(this->exchange.request(), dispatch)), this->body, dispatch.remaining_time, expected_body);
    attempt = co_await this->read_response(*link);
    if (attempt.head.status != 0) {
        link->note_received();
        this->record_statements(upstream, this->state.dialect.read_response(attempt.head), attempt.head.status, link->send_time());
    }
    this->set_active_connection(nullptr);
    if (attempt.end == SendOutcome::NotSent) {
        this->note_not_delivered();
        link->release();
        this->take_back_send(upstream.identity, UpstreamOutcome::Full);
        co_return attempt;
    }
    auto const now = monotonic_now();
    auto const took = std::chrono::duration_cast<Duration>(now - sent_at);
    attempt.service_time = std::chrono::duration_cast<Duration>(now - link->send_time());
    // A request that was stopped on our side says nothing about the upstream's health.
    auto const outcome = this->is_stopped() && attempt.end == SendOutcome::Lost ? UpstreamOutcome::Full : outcome_of(attempt.end);
    this->state.selector.note_end(upstream.identity, outcome, took, now);
    if (attempt.end == SendOutcome::Lost)
        link->connection()->abort();
    if (attempt.connection_error)
        static_cast<void>(co_await this->report_crash(upstream, *attempt.connection_error, sent_at, link->route()));
    link->release();
    co_return attempt;
}

void UnaryRequestHandler::take_back_send(std::string const& upstream, UpstreamOutcome outcome)
{
    this->state.selector.note_end(upstream, outcome, Duration::zero(), monotonic_now());
    this->state.limiter->return_turn(upstream);
}

asio::awaitable<UnaryRequestHandler::Attempt> UnaryRequestHandler::read_response(UpstreamLink& link)
{
    auto const connection = link.connection();
    Attempt attempt;
    attempt.route = link.route();
    attempt.end = SendOutcome::Lost;
    auto head = co_await link.read_head();
    if (head.is_error()) {
        auto const& error = head.error();
        attempt.reason = error.reason();
        this->note_link_error(error);
        if (error.delivery == LinkError::Delivery::NotDelivered)
            attempt.end = SendOutcome::NotSent;
        else
            attempt.connection_error = error.error;
        co_return attempt;
    }
    attempt.head = head.release_value();
    auto body_result = co_await connection->read_body(MAXIMUM_RESPONSE_BYTES);
    if (body_result.is_error()) {
        attempt.reason = to_string(body_result.error());
        attempt.connection_error = body_result.error();
        co_return attempt;
    }
    attempt.body = body_result.release_value();
    // Held until the caller has taken it.
    attempt.body_memory.set_size(attempt.body.size());
    auto const info = this->state.dialect.read_response(attempt.head);
    bool const is_success = attempt.head.status / 100 == 2;
    attempt.reason = "answered";
    if (info.is_not_executed || attempt.head.status == 421) {
        attempt.end = SendOutcome::NotExecuted;
        attempt.reason = attempt.head.status == 421 ? "other_identity" : "upstream_full";
    } else if (is_success && info.is_signed && !info.is_encoded)
        attempt.end = SendOutcome::Success;
    else if (!is_success && info.is_signed && !info.is_encoded && attempt.head.status >= 300 && attempt.head.status != 429 && attempt.head.status != 503 && attempt.head.status != 408)
        attempt.end = SendOutcome::OwnFailure;
    else
        attempt.reason = "not_its_answer";
    co_return attempt;
}

asio::awaitable<void> UnaryRequestHandler::relay_response(Attempt const& attempt)
{
    auto head = this->state.dialect.caller_response_head(attempt.head);
    Result<Done, HttpError> result = Done {};
    if (this->exchange.request().head.method == "HEAD") {
        // Tells the length of the body that a GET would have.
        if (auto const length = attempt.head.headers.find("Content-Length"))
            head.headers.add("Content-Length", *length);
        result = co_await this->exchange.begin(std::move(head), BodyFraming::None);
        if (!result.is_error())
            result = co_await this->exchange.finish();
    } else {
        result = co_await this->exchange.respond(std::move(head), attempt.body);
    }
    this->log_end(result.is_error() ? "caller_left" : "answered", to_string(attempt.end), attempt.head.status);
}

}
