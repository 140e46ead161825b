// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <LibCore/LogLine.h>
#include <LibRouter/CacheRelease.h>
#include <LibRouter/StreamingRequestHandler.h>
#include <LibRouter/UpstreamCall.h>
#include <LibRouter/UpstreamLimiter.h>
#include <algorithm>

namespace Spurtide {

namespace {

/// Share of the first event's latency target. A caller that is refused within it still has time to be served elsewhere.
constexpr double DECISION_TIME_SHARE = 0.22;
/// Share of the time that callers wait for an event before they disconnect.
constexpr double FIRST_EVENT_WAIT_SHARE = 0.7;
/// Part of the latency target that the first event takes once a request is sent.
constexpr int FIRST_EVENT_SHARE_OF_TARGET = 4;
/// With less time left, a placement has little chance to succeed.
constexpr Duration MINIMUM_TIME_FOR_PLACEMENT = milliseconds(200);
/// Longer than the prefill of the longest prompts, including the queue ahead of them.
constexpr Duration PREFILL_TIMEOUT = milliseconds(1200);
/// Sends are limited by the route; this limits placements at engines that are not reached.
constexpr int MAXIMUM_FRUITLESS_PLACEMENTS = 3;
constexpr Duration LOST_ENGINE_RETRY_AFTER = milliseconds(400);
/// With more engines unreachable, this VM's own paths are the likely cause, and other VMs may go on using the engines.
constexpr std::size_t UNREACHABLE_REPORTED = 1;

std::vector<std::string> engines_of(PlacementGrant const& grant)
{
    std::vector<std::string> engines { grant.decode_engine };
    if (!grant.prefill_engine.empty())
        engines.push_back(grant.prefill_engine);
    return engines;
}

}

void StreamingRequestHandler::on_stop()
{
    if (this->pending_ask)
        this->pending_ask->give_up();
}

void StreamingRequestHandler::describe_end(LogLine& line) const
{
    line.with("visit", this->visit == CallerAttempt::Retry ? "return" : "first").with("placements", this->placements);
    line.with("resumes", this->request.resumed_request).with("software", this->origin ? this->origin->software_version : std::string());
    if (this->first_event_after)
        line.with("first_event_ms", to_milliseconds(*this->first_event_after)).with("longest_pause_ms", to_milliseconds(this->longest_pause)).with("pause_target_ms", to_milliseconds(this->route.event_gap_target));
}

void StreamingRequestHandler::describe_progress(LogLine& line) const
{
    line.with("engine", this->last_engine).with("events", this->events.event_count()).with("maximum_output_tokens", this->request.prompt->maximum_output_tokens);
}

PlacementAsk StreamingRequestHandler::make_ask(EngineSurvey survey) const
{
    auto const& prompt = *this->request.prompt;
    PlacementAsk ask;
    ask.request = this->request.identifier;
    ask.account = this->account;
    ask.model = this->service;
    ask.prompt_tokens = prompt.prompt_tokens;
    ask.maximum_output_tokens = prompt.maximum_output_tokens;
    ask.expected_output_tokens = prompt.expected_output_tokens;
    ask.relayed_tokens = this->relayed_tokens();
    ask.priority = this->placement_priority();
    ask.excluded_engines = std::move(survey.excluded_engines);
    ask.excluded_engines.insert(ask.excluded_engines.end(), this->failed_engines.begin(), this->failed_engines.end());
    ask.excluded_data_centres = std::move(survey.excluded_data_centres);
    ask.data_centre = this->state.data_centre;
    ask.longest_pause = this->route.event_gap_target;
    ask.own_part = prompt.own_part;
    ask.finish_by = this->deadline;
    if (this->origin)
        ask.software_version = this->origin->software_version;
    return ask;
}

asio::awaitable<std::optional<PlacementDecision>> StreamingRequestHandler::request_placement(EngineSurvey survey)
{
    auto ask = this->make_ask(std::move(survey));
    this->pending_ask = std::make_shared<PlacementClient::PendingAsk>(this->state.loop.get_executor());
    auto decision = co_await this->state.placement->ask(std::move(ask), this->pending_ask, this->placement_times());
    this->pending_ask.reset();
    if (decision)
        this->note_visit(*decision);
    co_return decision;
}

// The account's priority takes precedence over the route's.
std::int64_t StreamingRequestHandler::placement_priority() const
{
    constexpr std::int64_t LARGEST = 1000;
    auto const* book = this->routes->configuration().accounts.get();
    auto const* found = book ? book->find_by_name(this->account) : nullptr;
    auto const account_priority = found ? std::clamp<std::int64_t>(found->priority, 0, LARGEST) : 0;
    return -account_priority * LARGEST - std::clamp<std::int64_t>(this->route.priority, 0, LARGEST - 1);
}

void StreamingRequestHandler::note_visit(PlacementDecision const& decision)
{
    // The first placement determines whether the caller is returning; later ones keep the result.
    if (this->placements == 0)
        this->visit = std::visit([](auto const& either) { return either.caller_attempt; }, decision);
}

PlacementClient::AskTimes StreamingRequestHandler::placement_times() const
{
    auto const age = std::chrono::duration_cast<Duration>(monotonic_now() - this->exchange.received_at());
    auto const patience = this->event_patience();
    PlacementClient::AskTimes times;
    if (this->placements > 0 || this->origin) {
        // The request has been placed before, by this VM or another. Refusing it now would lose it, whereas the caller still accepts
        // a response that is late or that resumes after a pause.
        auto const spent = this->exchange.has_begun() ? std::chrono::duration_cast<Duration>(monotonic_now() - this->last_event_at) : age;
        times.first_token_within = patience - spent;
        times.decide_within = times.first_token_within;
    } else {
        times.first_token_within = this->route.latency_target - age;
        times.decide_within = from_seconds(to_seconds(this->route.latency_target) * DECISION_TIME_SHARE) - age;
        times.late_within = patience - age;
    }
    times.decide_within = std::max(times.decide_within, milliseconds(20));
    return times;
}

Duration StreamingRequestHandler::event_patience() const { return from_seconds(to_seconds(this->route.first_event_patience) * FIRST_EVENT_WAIT_SHARE); }

std::optional<Duration> StreamingRequestHandler::part_patience() const
{
    return this->exchange.has_begun() ? std::optional(this->event_patience()) : std::nullopt;
}

UpstreamLink::Options StreamingRequestHandler::decode_link_options()
{
    auto options = this->link_options(this->route.is_resumable ? RouteKind::Repeatable : RouteKind::NotRepeatable);
    options.relayed_silence = std::max(options.relayed_silence, this->event_patience() - this->route.latency_target);
    return options;
}

Duration StreamingRequestHandler::usual_wait() const { return this->route.latency_target / FIRST_EVENT_SHARE_OF_TARGET; }

bool StreamingRequestHandler::is_another_send_possible() const
{
    // A caller that does not read holds up the reading of the upstream's response.
    bool const is_held_up = this->is_writing;
    bool const is_version_uncertain = this->origin && !this->origin->is_certain();
    bool const may_place = this->fruitless_placements < MAXIMUM_FRUITLESS_PLACEMENTS && !is_version_uncertain;
    return !is_held_up && may_place && this->sends < this->route.maximum_attempts && this->time_left() >= MINIMUM_TIME_FOR_PLACEMENT;
}

// A placement needs an engine of each kind, of one version.
SilentRequest::Alternative StreamingRequestHandler::find_alternative(UpstreamRecord const& silent, MonotonicTime since)
{
    std::vector<UpstreamRecord const*> decoders;
    std::vector<UpstreamRecord const*> prefillers;
    bool has_prefillers = false;
    this->state.upstreams.for_each([&](UpstreamRecord const& record) {
        bool const may_serve = record.service == this->service && record.life == UpstreamRecord::Life::Serving && this->may_use_data_centre(record.data_centre) && this->may_continue_at(record);
        if (!may_serve)
            return;
        bool const is_prefiller = record.role == EngineRole::Prefill;
        has_prefillers = has_prefillers || is_prefiller;
        bool const has_failed = std::find(this->failed_engines.begin(), this->failed_engines.end(), record.identity) != this->failed_engines.end();
        if (record.identity != silent.identity && !has_failed)
            (is_prefiller ? prefillers : decoders).push_back(&record);
    });
    auto const decoder = this->find_responsive(decoders, since);
    if (!has_prefillers)
        return decoder;
    return std::min(decoder, this->find_responsive(prefillers, since));
}

bool StreamingRequestHandler::may_continue_at(UpstreamRecord const& engine) const
{
    return !this->origin || (this->origin->is_certain() && engine.software_version == this->origin->software_version);
}

EngineSurvey StreamingRequestHandler::survey() const
{
    EngineConditions conditions;
    conditions.service = this->service;
    conditions.may_use_data_centre = [this](auto data_centre) { return this->may_use_data_centre(data_centre); };
    conditions.may_continue_at = [this](auto const& engine) { return this->may_continue_at(engine); };
    return survey_engines(this->state, conditions);
}

asio::awaitable<void> StreamingRequestHandler::respond_without_engines(EngineSurvey::Availability availability)
{
    if (availability == EngineSurvey::Availability::AllPaused) {
        co_await this->refuse("upstreams_paused", this->assign_retry_after_pauses().value_or(NO_UPSTREAM_RETRY_AFTER));
        co_return;
    }
    if (availability == EngineSurvey::Availability::AllUnreachable) {
        co_await this->refuse("upstreams_unreachable", NO_UPSTREAM_RETRY_AFTER);
        co_return;
    }
    PlacementRefusal refusal { this->request.identifier, RefusalReason::NoUpstream, NO_UPSTREAM_RETRY_AFTER };
    co_await this->respond_to_refusal(std::move(refusal));
}

asio::awaitable<void> StreamingRequestHandler::respond_without_version()
{
    constexpr std::string_view REASON = "stream_version_not_served";
    if (this->earlier == SendHistory::Earlier::HasNotRun)
        co_await this->refuse(REASON, NO_UPSTREAM_RETRY_AFTER);
    else
        co_await this->fail(502, REASON);
}

asio::awaitable<void> StreamingRequestHandler::forward_request()
{
    while (true) {
        auto survey = this->survey();
        bool const is_unserved = survey.availability == EngineSurvey::Availability::Unlisted || survey.availability == EngineSurvey::Availability::AllLeft;
        if (this->origin && is_unserved) {
            co_await this->respond_without_version();
            co_return;
        }
        bool const has_engines = survey.availability == EngineSurvey::Availability::Available || survey.availability == EngineSurvey::Availability::Unlisted;
        // The keeper would wait for an engine until the decision time is over.
        if (!has_engines && this->earlier == SendHistory::Earlier::HasNotRun) {
            co_await this->respond_without_engines(survey.availability);
            co_return;
        }
        auto const decision = co_await this->request_placement(std::move(survey));
        if (this->is_stopped() || !decision) {
            this->release();
            co_await this->send_stopped_response();
            co_return;
        }
        if (auto const* refusal = std::get_if<PlacementRefusal>(&*decision)) {
            co_await this->respond_to_refusal(*refusal);
            co_return;
        }
        auto const& grant = std::get<PlacementGrant>(*decision);
        bool const has_turns = co_await this->take_engine_turns(grant);
        if (!has_turns) {
            this->release();
            if (!this->is_stopped())
                continue;
            co_await this->send_stopped_response();
            co_return;
        }
        ++this->placements;
        ++this->fruitless_placements;
        auto const outcome = co_await this->run_placement(grant);
        this->release();
        if (!this->failed_engine.empty())
            this->failed_engines.push_back(std::exchange(this->failed_engine, {}));
        this->refusing_engines.clear();
        if (outcome == PlacementOutcome::Finished)
            co_return;
        if (this->is_stopped()) {
            co_await this->send_stopped_response();
            co_return;
        }
    }
}

asio::awaitable<bool> StreamingRequestHandler::take_engine_turns(PlacementGrant grant)
{
    auto const engines = engines_of(grant);
    for (std::size_t i = 0; i < engines.size(); ++i) {
        bool const has_turn = co_await this->take_turn(engines[i], Duration::zero(), Duration::zero());
        if (has_turn)
            continue;
        this->failed_engines.push_back(engines[i]);
        for (std::size_t taken = 0; taken < i; ++taken)
            this->state.limiter->return_turn(engines[taken]);
        co_return false;
    }
    co_return true;
}

asio::awaitable<void> StreamingRequestHandler::respond_to_refusal(PlacementRefusal refusal)
{
    bool const has_no_upstream = refusal.reason == RefusalReason::NoUpstream;
    std::string reason(to_string(refusal.reason));
    if (has_no_upstream && this->residency.is_restricted())
        reason = "no_upstream_in_home_regions";
    if (has_no_upstream && this->next_turn)
        reason = "upstreams_limited";
    if (this->earlier == SendHistory::Earlier::MayHaveRun)
        co_await this->fail(502, reason);
    else
        co_await this->refuse(reason, std::min(refusal.retry_after, this->next_turn.value_or(refusal.retry_after)));
}

std::int64_t StreamingRequestHandler::tokens_per_event() const
{
    auto const* traits = this->routes->service(this->service);
    return traits && traits->engine ? traits->engine->tokens_per_event : 1;
}

std::int64_t StreamingRequestHandler::relayed_tokens() const { return this->events.event_count() * this->tokens_per_event(); }

void StreamingRequestHandler::release()
{
    this->state.placement->release(this->request.identifier, this->relayed_tokens(), { this->failed_engine, this->refusing_engines });
}

// The keeper knows neither what this VM lists nor the pauses that were requested from it.
std::optional<std::string_view> StreamingRequestHandler::find_grant_obstacle(PlacementGrant const& grant)
{
    auto const* decoder = this->state.upstreams.find(grant.decode_engine);
    for (auto const& engine : engines_of(grant)) {
        auto const* record = this->state.upstreams.find(engine);
        auto const obstacle = record ? find_send_obstacle(this->state, *record) : SendObstacle::Left;
        // The decode engine cannot read a cache that another version has written.
        bool const is_other_version = record && (!this->may_continue_at(*record) || (decoder && record->software_version != decoder->software_version));
        if (obstacle == SendObstacle::None && !is_other_version)
            continue;
        this->failed_engines.push_back(engine);
        if (!record)
            return "unknown_engine";
        return is_other_version ? "other_software_version" : to_string(obstacle);
    }
    return {};
}

asio::awaitable<StreamingRequestHandler::PlacementOutcome> StreamingRequestHandler::run_placement(PlacementGrant grant)
{
    if (auto const obstacle = this->find_grant_obstacle(grant))
        co_return co_await this->retry_or_fail(SendOutcome::NotSent, *obstacle);
    std::optional<UpstreamRecord> prefiller;
    if (!grant.prefill_engine.empty())
        prefiller = *this->state.upstreams.find(grant.prefill_engine);
    this->last_engine = grant.decode_engine;
    Dispatch dispatch;
    dispatch.expected_identity = grant.decode_engine;
    UpstreamRecord const decoder = *this->state.upstreams.find(grant.decode_engine);
    // Check that the decode engine accepts connections before the prefill, which would be wasted otherwise.
    auto reserved = co_await UpstreamLink::open(this->state, decoder, this->decode_link_options());
    if (!reserved.is_error())
        reserved.value()->release_unused();
    if (this->is_stopped())
        co_return PlacementOutcome::Retry;
    if (reserved.is_error()) {
        this->note_unreached(decoder, reserved.error());
        co_return co_await this->retry_or_fail(SendOutcome::NotSent, reserved.error().reason());
    }
    if (prefiller) {
        if (!this->try_pay(SendAccounting::Send::Prefill))
            co_return co_await this->retry_or_fail(SendOutcome::NotSent, "retry_budget_spent", SendHistory::AnotherSend::Spent);
        auto cache = co_await this->prefill(*prefiller);
        if (this->is_stopped()) {
            if (cache)
                free_cache(this->state, *prefiller, cache->handle);
            co_return PlacementOutcome::Retry;
        }
        if (!cache)
            co_return co_await this->retry_or_fail(SendOutcome::NotSent, "prefill_failed");
        this->state.placement->progress(this->request.identifier, GrantProgress::CacheHeld);
        dispatch.stage = DispatchStage::Decode;
        dispatch.cache_address = prefiller->address;
        dispatch.cache_handle = cache->handle;
        this->cache_holder = *prefiller;
    }
    co_return co_await this->decode(decoder, std::move(dispatch));
}

void StreamingRequestHandler::note_unreached(UpstreamRecord const& engine, LinkError const& error)
{
    this->note_link_error(error);
    if (error.location == LinkError::Location::Relay)
        return;
    // What a relaying VM finds, it reports itself when its own requests meet the engine.
    bool const is_reported = !error.relay_outcome && this->state.reachability->unreachable_count() <= UNREACHABLE_REPORTED;
    if (is_reported)
        this->failed_engine = engine.identity;
    else
        this->failed_engines.push_back(engine.identity);
}

// A response that is lost through another VM may have been lost by that VM, and several silent engines by the paths of this one.
void StreamingRequestHandler::note_lost(UpstreamLink const& link, LinkError const& error)
{
    if (error.delivery == LinkError::Delivery::NotDelivered)
        this->note_unreached(link.upstream(), error);
    else if (link.route() == UpstreamRoute::Relayed || (error.error == HttpError::Unresponsive && this->state.reachability->unreachable_count() > UNREACHABLE_REPORTED))
        this->failed_engines.push_back(link.identity());
    else
        this->failed_engine = link.identity();
}

asio::awaitable<std::optional<PrefillCache>> StreamingRequestHandler::prefill(UpstreamRecord engine)
{
    auto const begun = monotonic_now();
    // A prefill may always be repeated.
    auto opened = co_await UpstreamLink::open(this->state, engine, this->link_options(RouteKind::Repeatable));
    if (opened.is_error()) {
        this->note_unreached(engine, opened.error());
        LogLine("prefill_failed").with("request", this->request.identifier).with("engine", engine.identity).with("reason", opened.error().reason());
        co_return std::nullopt;
    }
    auto const link = opened.release_value();
    auto const& connection = link->connection();
    this->recheck_admission();
    if (this->is_stopped() || find_send_obstacle(this->state, engine) != SendObstacle::None) {
        link->release_unused();
        if (!this->is_stopped())
            this->failed_engines.push_back(engine.identity);
        co_return std::nullopt;
    }
    Dispatch dispatch;
    dispatch.stage = DispatchStage::Prefill;
    dispatch.expected_identity = engine.identity;
    dispatch.account = this->account;
    dispatch.remaining_time = std::min(this->caller_time_left(), this->time_left());
    dispatch.after_event = this->events.last_identifier();
    this->set_active_connection(connection);
    connection->set_deadline(monotonic_now() + PREFILL_TIMEOUT);
    this->state.limiter->note_sent(engine);
    this->state.metrics.increment("spurtide_sends_total", "Requests sent to upstreams", { { "service", this->service }, { "stage", "prefill" } });
    link->send(format_request_head(this->state.dialect.upstream_request_head(this->exchange.request(), dispatch)), this->body, dispatch.remaining_time);
    auto head = co_await link->read_head();
    std::string reason = head.is_error() ? std::string(head.error().reason()) : "status_" + std::to_string(head.value().status);
    std::optional<PrefillCache> cache;
    bool is_engine_healthy = false;
    if (!head.is_error()) {
        auto response_body = co_await connection->read_body(MAXIMUM_SHORT_RESPONSE_BYTES);
        auto const info = this->state.dialect.read_response(head.value());
        this->record_statements(engine, info, head.value().status, link->send_time());
        if (response_body.is_error()) {
            connection->abort();
            reason = to_string(response_body.error());
        } else if (head.value().status == 200) {
            auto parsed_cache = this->state.dialect.read_prefill_cache(response_body.value());
            if (parsed_cache.is_error())
                reason = "malformed";
            else
                cache = parsed_cache.release_value();
        }
        // An engine that refuses because it is full or leaving is healthy.
        is_engine_healthy = info.is_not_executed;
    }
    bool const was_delivered = !head.is_error() || head.error().delivery == LinkError::Delivery::Unknown;
    if (head.is_error() && was_delivered)
        static_cast<void>(co_await this->report_crash(engine, head.error().error, begun, link->route()));
    if (was_delivered)
        this->ledger.note_prefill(cache ? SendAccounting::PrefillOutcome::Accepted : SendAccounting::PrefillOutcome::NotAccepted, monotonic_now());
    if (!head.is_error())
        link->note_received();
    this->set_active_connection(nullptr);
    link->release();
    // A request that was stopped on our side says nothing about the engine's health.
    if (!cache && !this->is_stopped()) {
        if (is_engine_healthy) {
            // It is full, leaving or changing its role. If it looks idle, the keeper would choose it again and again.
            this->failed_engines.push_back(engine.identity);
            this->refusing_engines = { engine.identity };
        } else if (head.is_error())
            this->note_lost(*link, head.error());
        else
            this->failed_engine = engine.identity;
    }
    auto const took = to_milliseconds(std::chrono::duration_cast<Duration>(monotonic_now() - begun));
    if (cache)
        LogLine("prefilled").with("request", this->request.identifier).with("engine", engine.identity).with("ms", took);
    else
        LogLine("prefill_failed").with("request", this->request.identifier).with("engine", engine.identity).with("reason", reason).with("ms", took);
    co_return cache;
}

asio::awaitable<StreamingRequestHandler::PlacementOutcome> StreamingRequestHandler::retry_or_fail(SendOutcome end, std::string_view reason, SendHistory::AnotherSend allowed_send)
{
    // A stream that can be resumed after its last event may be sent again, like a repeatable unary request.
    auto const kind = this->route.is_resumable ? RouteKind::Repeatable : RouteKind::NotRepeatable;
    SendHistory history { kind, this->earlier, SendHistory::AnotherSend::Spent };
    bool const is_version_uncertain = this->origin && !this->origin->is_certain();
    bool const may_go_on = allowed_send == SendHistory::AnotherSend::Allowed && this->fruitless_placements < MAXIMUM_FRUITLESS_PLACEMENTS && !is_version_uncertain;
    // An unsent request does not count as an attempt, but its refused prefill is charged to the retry budget.
    if (may_go_on)
        history.another_send = this->take_another_send(end == SendOutcome::NotSent ? 0 : this->sends, MINIMUM_TIME_FOR_PLACEMENT);
    auto const step = next_step(end, history);
    LogLine("send_end").with("request", this->request.identifier).with("upstream", this->last_engine).with("end", to_string(end)).with("reason", reason).with("next", to_string(step));
    if (step == NextStep::SendElsewhere)
        co_return PlacementOutcome::Retry;
    if (step == NextStep::RefuseNotRun && !this->exchange.has_begun())
        co_await this->refuse(reason, this->assign_retry_after_pauses().value_or(LOST_ENGINE_RETRY_AFTER));
    else
        co_await this->fail(502, reason);
    co_return PlacementOutcome::Finished;
}

}
