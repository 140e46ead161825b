// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibAsync/BufferReservation.h>
#include <LibCore/Clock.h>
#include <LibCore/LogLine.h>
#include <LibRouter/CacheRelease.h>
#include <LibRouter/StreamingRequestHandler.h>
#include <LibRouter/UpstreamCall.h>
#include <LibRouter/UpstreamLimiter.h>

// The part of StreamingRequestHandler that sends the request to a decode engine and relays its events.
namespace Spurtide {

namespace {

constexpr std::string_view EVENT_STREAM_TYPE = "text/event-stream";
/// An event holds a few tokens and what an engine says about them. One that goes on beyond this has no end.
constexpr std::size_t MAXIMUM_EVENT_BYTES = 256UL * 1024;
/// A prompt that crashes engines does so as they begin to answer it. Long streams of sound prompts may all be interrupted by
/// crashes before their end.
constexpr Duration SERVED_AFTER = seconds(1);
/// The memory of a stopped run is freed about half a second after the stop.
constexpr Duration RETURN_TURN_WAIT = milliseconds(300);

}

asio::awaitable<StreamingRequestHandler::PlacementOutcome> StreamingRequestHandler::decode(UpstreamRecord engine, Dispatch dispatch)
{
    auto opened = co_await UpstreamLink::open(this->state, engine, this->decode_link_options());
    this->recheck_admission();
    auto const obstacle = find_send_obstacle(this->state, engine);
    bool const is_other_version = this->origin && this->confirmed_software_version(engine) != this->origin->software_version;
    if (opened.is_error() || this->is_stopped() || obstacle != SendObstacle::None || is_other_version) {
        free_cache(this->state, this->cache_holder, dispatch.cache_handle);
        if (opened.is_error()) {
            this->note_unreached(engine, opened.error());
            co_return co_await this->retry_or_fail(SendOutcome::NotSent, opened.error().reason());
        }
        opened.value()->release_unused();
        if (this->is_stopped())
            co_return PlacementOutcome::Retry;
        this->failed_engines.push_back(engine.identity);
        co_return co_await this->retry_or_fail(SendOutcome::NotSent, is_other_version ? "other_software_version" : to_string(obstacle));
    }
    auto link = opened.release_value();
    auto const connection = link->connection();
    dispatch.account = this->account;
    dispatch.remaining_time = std::min(this->caller_time_left(), this->time_left());
    dispatch.after_event = this->events.last_identifier();
    this->set_active_connection(connection);
    this->note_sent();
    this->state.limiter->note_sent(engine);
    link->send(format_request_head(this->state.dialect.upstream_request_head(this->exchange.request(), dispatch)), this->body, dispatch.remaining_time);
    auto head = co_await link->read_head();
    if (head.is_error() && head.error().delivery == LinkError::Delivery::NotDelivered) {
        this->set_active_connection(nullptr);
        this->note_not_delivered();
        link->release();
        free_cache(this->state, this->cache_holder, dispatch.cache_handle);
        if (this->is_stopped())
            co_return PlacementOutcome::Retry;
        this->note_unreached(engine, head.error());
        co_return co_await this->retry_or_fail(SendOutcome::NotSent, head.error().reason());
    }
    if (head.is_error()) {
        this->set_active_connection(nullptr);
        connection->abort();
        link->release();
        if (this->is_stopped())
            co_return PlacementOutcome::Retry;
        static_cast<void>(co_await this->report_crash(engine, head.error().error, link->send_time(), link->route()));
        if (this->is_stopped())
            co_return PlacementOutcome::Retry;
        this->note_lost(*link, head.error());
        co_return co_await this->retry_or_fail(SendOutcome::Lost, head.error().reason());
    }
    link->note_received();
    auto const info = this->state.dialect.read_response(head.value());
    auto const status = head.value().status;
    this->record_statements(engine, info, status, link->send_time());
    if (status / 100 == 2 && info.is_signed && !info.is_encoded) {
        this->state.placement->progress(this->request.identifier, GrantProgress::Decoding);
        auto const outcome = co_await this->relay_stream(link, head.release_value());
        this->set_active_connection(nullptr);
        link->release();
        co_return outcome;
    }
    auto response_body = co_await connection->read_body(MAXIMUM_SHORT_RESPONSE_BYTES);
    this->set_active_connection(nullptr);
    if (response_body.is_error())
        connection->abort();
    link->release();
    auto const reason = "decode_status_" + std::to_string(status);
    if (info.is_not_executed || status == 421) {
        this->note_not_executed();
        free_cache(this->state, this->cache_holder, dispatch.cache_handle);
        if (this->is_stopped())
            co_return PlacementOutcome::Retry;
        this->failed_engines.push_back(engine.identity);
        this->refusing_engines = { engine.identity };
        if (!dispatch.cache_handle.empty())
            this->refusing_engines.push_back(this->cache_holder.identity);
        co_return co_await this->retry_or_fail(SendOutcome::NotExecuted, reason);
    }
    if (this->is_stopped())
        co_return PlacementOutcome::Retry;
    bool const is_own_failure = info.is_signed && status >= 400 && status != 429 && status != 503 && status != 408 && !response_body.is_error();
    if (is_own_failure && !this->exchange.has_begun()) {
        this->note_completed();
        auto const sent = co_await this->exchange.respond(this->state.dialect.caller_response_head(head.value()), response_body.value());
        this->log_end(sent.is_error() ? "caller_left" : "answered", reason, status);
        co_return PlacementOutcome::Finished;
    }
    this->failed_engine = engine.identity;
    co_return co_await this->retry_or_fail(SendOutcome::Lost, reason);
}

void StreamingRequestHandler::note_event(MonotonicTime now)
{
    if (this->exchange.has_begun())
        this->longest_pause = std::max(this->longest_pause, std::chrono::duration_cast<Duration>(now - this->last_event_at));
    else {
        this->first_event_after = std::chrono::duration_cast<Duration>(now - this->exchange.received_at());
        this->state.metrics.observe_seconds("spurtide_first_event_seconds", "From a stream's request to its first event", to_seconds(*this->first_event_after));
    }
    this->last_event_at = now;
    this->fruitless_placements = 0;
}

// An engine may have been restarted with other software under the same identity.
std::string StreamingRequestHandler::confirmed_software_version(UpstreamRecord const& engine) const
{
    auto const* listed = this->state.upstreams.find(engine.identity);
    bool const has_changed = listed && listed->software_version != engine.software_version;
    return has_changed ? std::string() : engine.software_version;
}

bool StreamingRequestHandler::accept_event_source(UpstreamRecord const& engine)
{
    auto const version = this->confirmed_software_version(engine);
    bool const is_first = !this->origin;
    if (is_first)
        this->origin = StreamOrigin { this->service, version, { engine.identity, engine.started } };
    bool const is_accepted = is_first || (this->origin->is_certain() && version == this->origin->software_version);
    std::string_view const event = !is_accepted ? "stream_source_rejected" : is_first ? "stream_began"
                                                                                      : "stream_continued";
    LogLine line(event);
    line.with("request", this->request.identifier).with("engine", engine.identity).with("software", version);
    if (!is_first)
        line.with("began_at_software", this->origin->software_version).with("resumes", this->request.resumed_request).with("after_event", this->events.last_identifier());
    this->state.metrics.increment("spurtide_stream_sources_total", "Engines that brought events of a stream, by what the stream had before", { { "event", std::string(event) }, { "software", version.empty() ? "unknown" : "known" } });
    if (is_accepted && this->route.is_resumable && this->origin->is_certain()) {
        auto const& name = this->request.resumed_request.empty() ? this->request.identifier : this->request.resumed_request;
        this->origin_registration = this->state.stream_origins->add(name, *this->origin);
    }
    return is_accepted;
}

asio::awaitable<StreamingRequestHandler::PlacementOutcome> StreamingRequestHandler::relay_stream(std::unique_ptr<UpstreamLink>& link, HttpResponseHead head)
{
    auto const migrator = this->make_migrator(head);
    if (!migrator)
        co_return co_await this->relay_events(link, std::move(head), nullptr);
    migrator->follow(link->upstream(), link->connection());
    auto const outcome = co_await this->relay_events(link, std::move(head), migrator.get());
    co_await migrator->end();
    this->moves = migrator->move_count();
    co_return outcome;
}

asio::awaitable<StreamingRequestHandler::PlacementOutcome> StreamingRequestHandler::relay_events(std::unique_ptr<UpstreamLink>& link, HttpResponseHead head, StreamMigrator* migrator)
{
    auto connection = link->connection();
    bool ends_with_connection = connection->framing() == BodyFraming::UntilClose;
    bool const is_event_stream = head.headers.find("content-type").value_or("").starts_with(EVENT_STREAM_TYPE);
    // Partial events have to be withheld from streams that can be resumed on another engine, and where only a complete event
    // tells the end of the stream from a lost connection. A stream that is moved continues after a complete event as well.
    bool const withholds_partial_events = this->route.is_resumable || (ends_with_connection && is_event_stream) || migrator;
    BufferReservation withheld(BufferMemory::Kind::WithheldEvents);
    bool has_events = false;
    bool is_served = false;
    bool is_watched = false;
    while (true) {
        auto piece = co_await connection->read_piece();
        bool const is_closed = !piece.is_error() && piece.value().empty() && ends_with_connection && is_event_stream;
        // A stream that is resumed after its last event has no further ones.
        bool const is_incomplete = this->events.is_inside_event() || (!has_events && !this->exchange.has_begun() && !this->request.is_resumption());
        if (is_closed && is_incomplete)
            piece = Failure { HttpError::Closed };
        // A source that stopped the run closes its stream, which looks like the end where only the connection tells it.
        bool const may_have_stopped = migrator && migrator->has_asked_to_stop() && (piece.is_error() || (piece.value().empty() && ends_with_connection));
        if (may_have_stopped && !this->is_stopped()) {
            auto const end = co_await migrator->await_source_end();
            if (end.run && !this->is_stopped()) {
                this->events.discard_partial_event();
                auto const continued = co_await this->continue_run(*end.run, link, *migrator);
                if (this->is_stopped())
                    co_return PlacementOutcome::Retry;
                if (continued != ContinuationOutcome::Running)
                    co_return co_await this->retry_or_fail(SendOutcome::Lost, "move_failed");
                connection = link->connection();
                ends_with_connection = connection->framing() == BodyFraming::UntilClose;
                has_events = false;
                continue;
            }
            if (end.reason != StreamMigrator::SourceEnd::Reason::Other && !piece.is_error())
                piece = Failure { HttpError::Closed };
        }
        std::string bytes;
        if (!piece.is_error()) {
            bytes = this->events.append(piece.value());
            bool const has_end = withholds_partial_events || is_event_stream;
            bool const is_too_large = has_end && bytes.empty() && this->events.partial_event_size() > MAXIMUM_EVENT_BYTES;
            bool const is_refused = withholds_partial_events && withheld.try_set_size(this->events.withheld_size()) == BufferReservation::Outcome::OutOfMemory;
            if (is_too_large || is_refused)
                piece = Failure { HttpError::EventTooLarge };
        }
        if (piece.is_error()) {
            connection->abort();
            this->events.discard_partial_event();
            withheld.set_size(0);
            if (this->is_stopped())
                co_return PlacementOutcome::Retry;
            bool const has_crashed = co_await this->report_crash(link->upstream(), piece.error(), link->send_time(), link->route());
            if (this->is_stopped())
                co_return PlacementOutcome::Retry;
            // A single interrupted stream says little about the engine's health, so it is only excluded for this request. A
            // crashed engine is reported to the keeper, which otherwise would assign it until its list entry expires.
            if (has_crashed)
                this->failed_engine = link->identity();
            else if (link->route() == UpstreamRoute::Direct)
                this->failed_engines.push_back(link->identity());
            co_return co_await this->retry_or_fail(SendOutcome::Lost, to_string(piece.error()));
        }
        link->note_received();
        bool const is_end = piece.value().empty();
        if (!withholds_partial_events || is_end)
            bytes += this->events.take_remainder();
        if (bytes.empty() && !is_end)
            continue;
        this->note_event(monotonic_now());
        bool const is_first_here = !std::exchange(has_events, true);
        if (is_first_here) {
            this->first_event_here_at = this->last_event_at;
            this->events_before_here = this->events.event_count();
        }
        if (!is_served && this->last_event_at - this->first_event_here_at >= SERVED_AFTER) {
            is_served = true;
            this->note_served();
        }
        if (is_first_here && !this->accept_event_source(link->upstream())) {
            connection->abort();
            this->failed_engines.push_back(link->identity());
            co_return co_await this->retry_or_fail(SendOutcome::Lost, "other_software_version");
        }
        if (!this->exchange.has_begun()) {
            // The caller can tell the end of chunks from a lost connection, whatever the engine's framing.
            auto const begun = co_await this->exchange.begin(this->state.dialect.caller_response_head(head), BodyFraming::Chunked);
            if (begun.is_error())
                co_return PlacementOutcome::Retry;
        }
        this->is_writing = true;
        auto const written = co_await this->exchange.write(bytes);
        this->is_writing = false;
        this->last_write_end = monotonic_now();
        if (written.is_error()) {
            connection->abort();
            this->log_end("caller_left", "write_failed", 0);
            co_return PlacementOutcome::Finished;
        }
        if (migrator && is_first_here && !std::exchange(is_watched, true))
            migrator->start();
        if (!is_end) {
            if (migrator)
                migrator->note_event();
            continue;
        }
        this->note_completed();
        this->note_served();
        auto const finished = co_await this->exchange.finish();
        this->log_end(finished.is_error() ? "caller_left" : "answered", "stream", head.status);
        this->state.metrics.observe_seconds("spurtide_longest_pause_seconds", "Longest pause between events of a stream that ended whole", to_seconds(this->longest_pause));
        co_return PlacementOutcome::Finished;
    }
}

std::shared_ptr<StreamMigrator> StreamingRequestHandler::make_migrator(HttpResponseHead const& head)
{
    bool const is_event_stream = head.headers.find("content-type").value_or("").starts_with(EVENT_STREAM_TYPE);
    if (!this->state.stream_moves || !is_event_stream)
        return {};
    // The migrator may outlive the relaying of the stream, but not this object.
    auto const handler = std::static_pointer_cast<StreamingRequestHandler>(this->shared_from_this());
    StreamMigrator::Hooks hooks;
    hooks.stream = [handler] { return handler->describe_stream(); };
    hooks.ask = [handler] { return handler->make_ask(handler->survey()); };
    hooks.find_obstacle = [handler](auto const& engine) { return handler->find_continuation_obstacle(engine); };
    hooks.take_turn = [handler](std::string engine) { return take_continuation_turn(handler, std::move(engine)); };
    hooks.pay = [handler] { return handler->try_pay(SendAccounting::Send::Run); };
    hooks.link_options = [handler] { return handler->decode_link_options(); };
    return std::make_shared<StreamMigrator>(this->state, this->request.identifier, std::move(hooks), this->moves);
}

std::optional<RunningStream> StreamingRequestHandler::describe_stream() const
{
    // The target continues after the last event that the caller received, and cannot read the memory of another version.
    if (this->events.last_identifier().empty() || !this->origin || !this->origin->is_certain() || this->is_stopped())
        return {};
    auto const& prompt = *this->request.prompt;
    RunningStream stream;
    stream.events = this->events.event_count();
    stream.tokens = this->relayed_tokens();
    stream.later_events_here = this->events.event_count() - this->events_before_here;
    stream.later_tokens_here = stream.later_events_here * this->tokens_per_event();
    stream.first_event_here = this->first_event_here_at;
    stream.last_event = std::max(this->last_event_at, this->last_write_end);
    stream.is_waiting_for_caller = this->is_writing;
    stream.expected_tokens = prompt.expected_output_tokens;
    stream.maximum_tokens = prompt.maximum_output_tokens;
    stream.finish_by = this->deadline;
    stream.longest_pause = this->route.event_gap_target;
    return stream;
}

std::optional<std::string_view> StreamingRequestHandler::find_continuation_obstacle(UpstreamRecord const& engine) const
{
    auto const obstacle = find_send_obstacle(this->state, engine);
    if (obstacle != SendObstacle::None)
        return to_string(obstacle);
    if (!this->may_use_data_centre(engine.data_centre))
        return "other_region";
    if (!this->may_continue_at(engine) || this->confirmed_software_version(engine) != this->origin->software_version)
        return "other_software_version";
    return {};
}

asio::awaitable<bool> StreamingRequestHandler::take_continuation_turn(std::shared_ptr<StreamingRequestHandler> handler, std::string engine)
{
    co_return co_await handler->take_turn(std::move(engine), Duration::zero(), Duration::zero());
}

asio::awaitable<StreamingRequestHandler::ContinuationOutcome> StreamingRequestHandler::continue_run(StoppedRun run, std::unique_ptr<UpstreamLink>& link, StreamMigrator& migrator)
{
    this->set_active_connection(nullptr);
    link->connection()->abort();
    auto outcome = ContinuationOutcome::NotRun;
    bool const is_at_target = run.copy == StoppedRun::Copy::AtTarget && !this->find_continuation_obstacle(run.target);
    if (is_at_target)
        outcome = co_await this->continue_at(run.target, run, link);
    if (outcome == ContinuationOutcome::Running) {
        this->last_engine = run.target.identity;
        migrator.complete(MoveOutcome::Moved, {});
        migrator.follow(link->upstream(), link->connection());
        co_return outcome;
    }
    // An engine that is leaving still completes what it runs for a while, and this is the same run.
    if (outcome == ContinuationOutcome::NotRun && !this->is_stopped()) {
        bool const has_turn = co_await this->take_turn(run.source.identity, RETURN_TURN_WAIT, Duration::zero());
        if (has_turn)
            outcome = co_await this->continue_at(run.source, run, link);
    }
    if (outcome == ContinuationOutcome::Running) {
        migrator.complete(MoveOutcome::Returned, run.copy == StoppedRun::Copy::AtTarget ? "target_refused" : "target_unavailable");
        migrator.follow(link->upstream(), link->connection());
        co_return outcome;
    }
    std::string_view const reason = outcome == ContinuationOutcome::NotRun ? "refused_by_both" : "response_lost";
    migrator.complete(MoveOutcome::Lost, this->is_stopped() ? "stream_ended" : reason);
    this->failed_engines.push_back(run.target.identity);
    this->failed_engines.push_back(run.source.identity);
    co_return outcome;
}

asio::awaitable<StreamingRequestHandler::ContinuationOutcome> StreamingRequestHandler::continue_at(UpstreamRecord engine, StoppedRun run, std::unique_ptr<UpstreamLink>& link)
{
    auto opened = co_await UpstreamLink::open(this->state, engine, this->decode_link_options());
    if (opened.is_error()) {
        this->note_link_error(opened.error());
        co_return ContinuationOutcome::NotRun;
    }
    auto next = opened.release_value();
    this->recheck_admission();
    if (this->is_stopped() || !this->try_pay(SendAccounting::Send::Run)) {
        next->release_unused();
        co_return ContinuationOutcome::NotRun;
    }
    Dispatch dispatch;
    dispatch.stage = DispatchStage::Decode;
    dispatch.expected_identity = engine.identity;
    dispatch.account = this->account;
    dispatch.remaining_time = std::min(this->caller_time_left(), this->time_left());
    dispatch.cache_address = run.source.address;
    dispatch.cache_handle = run.handle;
    dispatch.after_event = this->events.last_identifier();
    this->set_active_connection(next->connection());
    this->note_continuation_sent();
    this->state.limiter->note_sent(engine);
    next->send(format_request_head(this->state.dialect.upstream_request_head(this->exchange.request(), dispatch)), this->body, dispatch.remaining_time);
    auto head = co_await next->read_head();
    if (head.is_error()) {
        this->set_active_connection(nullptr);
        bool const was_delivered = head.error().delivery == LinkError::Delivery::Unknown;
        if (was_delivered)
            next->connection()->abort();
        else
            this->note_continuation_not_delivered();
        this->note_link_error(head.error());
        next->release();
        if (!was_delivered || this->is_stopped())
            co_return was_delivered ? ContinuationOutcome::MayRun : ContinuationOutcome::NotRun;
        static_cast<void>(co_await this->report_crash(engine, head.error().error, next->send_time(), next->route()));
        co_return ContinuationOutcome::MayRun;
    }
    next->note_received();
    auto const info = this->state.dialect.read_response(head.value());
    auto const status = head.value().status;
    this->record_statements(engine, info, status, next->send_time());
    if (status / 100 == 2 && info.is_signed && !info.is_encoded) {
        link->release();
        link = std::move(next);
        co_return ContinuationOutcome::Running;
    }
    auto const response_body = co_await next->connection()->read_body(MAXIMUM_SHORT_RESPONSE_BYTES);
    this->set_active_connection(nullptr);
    if (response_body.is_error())
        next->connection()->abort();
    next->release();
    LogLine("continuation_refused").with("request", this->request.identifier).with("engine", engine.identity).with("status", status);
    // An engine that does not have the memory answers 503, and another incarnation 421.
    bool const has_not_run = info.is_not_executed || status == 421 || (info.is_signed && status == 503);
    co_return has_not_run ? ContinuationOutcome::NotRun : ContinuationOutcome::MayRun;
}

}
