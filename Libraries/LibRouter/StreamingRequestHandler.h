// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibRouter/EngineSurvey.h>
#include <LibRouter/EventStreamSplitter.h>
#include <LibRouter/PlacementClient.h>
#include <LibRouter/RequestHandler.h>
#include <LibRouter/StreamMigrator.h>
#include <LibRouter/StreamOriginDirectory.h>

namespace Spurtide {

/// Handles a model request: obtains a placement first, then has the prompt processed by a prefill engine and the output
/// streamed by a decode engine. A placement without a prefill engine leaves both to the decode engine.
class StreamingRequestHandler final : public RequestHandler {
public:
    using RequestHandler::RequestHandler;

    /// The request takes up a stream that began there. Call before it runs.
    void resume_from(StreamOrigin const& where) { this->origin = where; }

private:
    asio::awaitable<void> forward_request() override;
    void on_stop() override;
    void describe_end(LogLine& line) const override;
    void describe_progress(LogLine& line) const override;
    std::optional<Duration> part_patience() const override;
    Duration usual_wait() const override;
    bool is_another_send_possible() const override;
    SendAccounting::Send next_send() const override { return SendAccounting::Send::Prefill; }
    SilentRequest::Alternative find_alternative(UpstreamRecord const& silent, MonotonicTime since) override;

    enum class PlacementOutcome {
        /// The response has ended, complete or not.
        Finished,
        /// Another placement may be requested.
        Retry,
    };

    /// Responses that are not relayed are read up to this size.
    static constexpr std::size_t MAXIMUM_SHORT_RESPONSE_BYTES = 64UL * 1024;

    PlacementClient::AskTimes placement_times() const;
    std::int64_t placement_priority() const;
    void note_visit(PlacementDecision const& decision);
    PlacementAsk make_ask(EngineSurvey survey) const;
    asio::awaitable<std::optional<PlacementDecision>> request_placement(EngineSurvey survey);
    /// Runs the request on the engines of a grant.
    asio::awaitable<PlacementOutcome> run_placement(PlacementGrant grant);
    asio::awaitable<std::optional<PrefillCache>> prefill(UpstreamRecord engine);
    asio::awaitable<PlacementOutcome> decode(UpstreamRecord engine, Dispatch dispatch);
    void note_event(MonotonicTime now);
    /// Call before the first events from each engine are relayed. Returns false if they do not belong to the stream.
    bool accept_event_source(UpstreamRecord const& engine);
    /// Whether events of the engine may be relayed after those that the caller has received.
    bool may_continue_at(UpstreamRecord const& engine) const;
    /// The engine's software version, if it is still the one that the request was sent to.
    std::string confirmed_software_version(UpstreamRecord const& engine) const;
    /// Relays the stream to its end. It may move to other engines meanwhile, whose links replace the first one.
    asio::awaitable<PlacementOutcome> relay_stream(std::unique_ptr<UpstreamLink>& link, HttpResponseHead head);
    asio::awaitable<PlacementOutcome> relay_events(std::unique_ptr<UpstreamLink>& link, HttpResponseHead head, StreamMigrator* migrator);
    /// Null if the stream stays at its engine.
    std::shared_ptr<StreamMigrator> make_migrator(HttpResponseHead const& head);
    /// What a migration policy needs to know of the stream; empty while it cannot be moved.
    std::optional<RunningStream> describe_stream() const;
    /// Why the engine cannot take over the stream; empty if it can.
    std::optional<std::string_view> find_continuation_obstacle(UpstreamRecord const& engine) const;
    /// Takes a turn for a move, which may outlive the relaying of the stream.
    static asio::awaitable<bool> take_continuation_turn(std::shared_ptr<StreamingRequestHandler> handler, std::string engine);
    enum class ContinuationOutcome {
        Running,
        NotRun,
        /// The engine may run the request, but its response is lost.
        MayRun,
    };
    /// Continues a stopped run at the target, or else at the source. Replaces the link if an engine runs it.
    asio::awaitable<ContinuationOutcome> continue_run(StoppedRun run, std::unique_ptr<UpstreamLink>& link, StreamMigrator& migrator);
    /// Sends the request to an engine that fetches the memory of the stopped run.
    asio::awaitable<ContinuationOutcome> continue_at(UpstreamRecord engine, StoppedRun run, std::unique_ptr<UpstreamLink>& link);
    EngineSurvey survey() const;
    /// Why a grant cannot be used; empty if it can.
    std::optional<std::string_view> find_grant_obstacle(PlacementGrant const& grant);
    asio::awaitable<void> respond_without_engines(EngineSurvey::Availability availability);
    asio::awaitable<void> respond_without_version();
    /// Takes a turn at each engine of the grant that has announced a rate limit. Returns false if one of them has none for now;
    /// that engine is excluded from further placements.
    asio::awaitable<bool> take_engine_turns(PlacementGrant grant);
    asio::awaitable<void> respond_to_refusal(PlacementRefusal refusal);
    /// Returns Retry if another send is allowed. Otherwise sends the final response.
    asio::awaitable<PlacementOutcome> retry_or_fail(SendOutcome end, std::string_view reason, SendHistory::AnotherSend allowed_send = SendHistory::AnotherSend::Allowed);
    UpstreamLink::Options decode_link_options();
    /// How long the caller waits for an event, with the time for the next placement taken off.
    Duration event_patience() const;
    /// Excludes an engine that was not reached from further placements, and reports it to the keeper if the engine is at fault.
    void note_lost(UpstreamLink const& link, LinkError const& error);
    void note_unreached(UpstreamRecord const& engine, LinkError const& error);
    void release();
    /// Number of tokens that the configuration announces.
    std::int64_t tokens_per_event() const;
    /// Number of output tokens received so far, by the announced number.
    std::int64_t relayed_tokens() const;

    std::shared_ptr<PlacementClient::PendingAsk> pending_ask;
    /// The engine that prefilled the prompt of the current placement.
    UpstreamRecord cache_holder;
    /// Decode engine of the current placement.
    std::string last_engine;
    std::vector<std::string> failed_engines;
    std::string failed_engine;
    std::vector<std::string> refusing_engines;
    EventStreamSplitter events;
    /// Where the stream began; empty until the caller receives its first event.
    std::optional<StreamOrigin> origin;
    StreamOriginDirectory::Registration origin_registration;
    CallerAttempt visit = CallerAttempt::First;
    std::optional<Duration> first_event_after;
    MonotonicTime last_event_at;
    /// When the caller had taken the last events, and whether it still has to.
    MonotonicTime last_write_end;
    bool is_writing = false;
    Duration longest_pause {};
    /// When the present engine's first events arrived, and how many events the stream had then.
    MonotonicTime first_event_here_at;
    std::int64_t events_before_here = 0;
    /// Moves of the stream that were begun.
    int moves = 0;
    int placements = 0;
    /// Since the last event was relayed.
    int fruitless_placements = 0;
};

}
