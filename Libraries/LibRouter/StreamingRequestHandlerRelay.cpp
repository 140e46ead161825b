// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

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
/// A prompt that crashes engines does so as they begin to answer it. Long streams of sound prompts may all be interrupted by
/// crashes before their end.
constexpr Duration SERVED_AFTER = seconds(1);

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
    auto const link = opened.release_value();
    auto const& connection = link->connection();
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
    if (info.identifier == this->request.identifier && status / 100 == 2 && info.is_signed && !info.is_encoded) {
        this->state.placement->progress(this->request.identifier, GrantProgress::Decoding);
        auto const outcome = co_await this->relay_stream(*link, head.release_value());
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
    bool const is_own_failure = info.is_signed && info.identifier == this->request.identifier && status >= 400 && status != 429 && status != 503 && status != 408 && !response_body.is_error();
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
        this->first_event_at = now;
        this->first_event_after = std::chrono::duration_cast<Duration>(now - this->exchange.received_at());
        this->state.metrics.observe_seconds("spurtide_first_event_seconds", "From a stream's request to its first event", to_seconds(*this->first_event_after));
    }
    this->last_event_at = now;
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

asio::awaitable<StreamingRequestHandler::PlacementOutcome> StreamingRequestHandler::relay_stream(UpstreamLink& link, HttpResponseHead head)
{
    auto const connection = link.connection();
    bool const ends_with_connection = connection->framing() == BodyFraming::UntilClose;
    bool const is_event_stream = head.headers.find("content-type").value_or("").starts_with(EVENT_STREAM_TYPE);
    // Partial events have to be withheld from streams that can be resumed on another engine, and where only a complete event
    // tells the end of the stream from a lost connection.
    bool const withholds_partial_events = this->route.is_resumable || (ends_with_connection && is_event_stream);
    bool has_events = false;
    bool is_served = false;
    MonotonicTime begun_at;
    while (true) {
        auto piece = co_await connection->read_piece();
        bool const is_closed = !piece.is_error() && piece.value().empty() && ends_with_connection && is_event_stream;
        // A stream that is resumed after its last event has no further ones.
        bool const is_incomplete = this->events.is_inside_event() || (!has_events && !this->exchange.has_begun() && !this->request.is_resumption());
        if (is_closed && is_incomplete)
            piece = Failure { HttpError::Closed };
        if (piece.is_error()) {
            connection->abort();
            this->events.discard_partial_event();
            if (this->is_stopped())
                co_return PlacementOutcome::Retry;
            bool const has_crashed = co_await this->report_crash(link.upstream(), piece.error(), link.send_time(), link.route());
            if (this->is_stopped())
                co_return PlacementOutcome::Retry;
            // A single interrupted stream says little about the engine's health, so it is only excluded for this request. A
            // crashed engine is reported to the keeper, which otherwise would assign it until its list entry expires.
            if (has_crashed)
                this->failed_engine = link.identity();
            else if (link.route() == UpstreamRoute::Direct)
                this->failed_engines.push_back(link.identity());
            co_return co_await this->retry_or_fail(SendOutcome::Lost, to_string(piece.error()));
        }
        link.note_received();
        bool const is_end = piece.value().empty();
        auto bytes = this->events.append(piece.value());
        if (!withholds_partial_events || is_end)
            bytes += this->events.take_remainder();
        if (bytes.empty() && !is_end)
            continue;
        this->note_event(monotonic_now());
        if (!has_events)
            begun_at = this->last_event_at;
        if (!is_served && this->last_event_at - begun_at >= SERVED_AFTER) {
            is_served = true;
            this->note_served();
        }
        if (!std::exchange(has_events, true) && !this->accept_event_source(link.upstream())) {
            connection->abort();
            this->failed_engines.push_back(link.identity());
            co_return co_await this->retry_or_fail(SendOutcome::Lost, "other_software_version");
        }
        if (!this->exchange.has_begun()) {
            auto const framing = ends_with_connection ? BodyFraming::UntilClose : BodyFraming::Chunked;
            auto const begun = co_await this->exchange.begin(this->state.dialect.caller_response_head(head), framing);
            if (begun.is_error())
                co_return PlacementOutcome::Retry;
        }
        auto const written = co_await this->exchange.write(bytes);
        if (written.is_error()) {
            connection->abort();
            this->log_end("caller_left", "write_failed", 0);
            co_return PlacementOutcome::Finished;
        }
        if (!is_end)
            continue;
        this->note_completed();
        this->note_served();
        this->state.answer_pace.add_sample(this->service, this->relayed_tokens(), std::chrono::duration_cast<Duration>(this->last_event_at - this->first_event_at));
        auto const finished = co_await this->exchange.finish();
        this->log_end(finished.is_error() ? "caller_left" : "answered", "stream", head.status);
        this->state.metrics.observe_seconds("spurtide_longest_pause_seconds", "Longest pause between events of a stream that ended whole", to_seconds(this->longest_pause));
        co_return PlacementOutcome::Finished;
    }
}

}
