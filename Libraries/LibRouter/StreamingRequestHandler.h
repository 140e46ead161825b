// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibRouter/InFlightRequest.h>
#include <LibRouter/PlacementClient.h>
#include <LibRouter/RequestHandler.h>

namespace Spurtide {

/// Cuts a stream's bytes at the ends of its events, counts them and remembers the last one's id.
class EventStreamSplitter {
public:
    /// Takes bytes; gives those that end with a whole event.
    std::string append(std::string_view bytes);
    /// What follows the last whole event.
    std::string take_remainder() { return std::exchange(this->pending, {}); }
    /// Forgets the beginning of an event whose stream broke off; the next stream sends the event anew.
    void discard_partial_event() { this->pending.clear(); }
    std::int64_t event_count() const { return this->events; }
    std::string const& last_identifier() const { return this->last_id; }

private:
    std::string pending;
    std::int64_t events = 0;
    std::string last_id;
};

/// Carries a request to a model: a place is promised first, then the prompt is read by one engine and the
/// answer made by another.
class StreamingRequestHandler final : public RequestHandler {
public:
    using RequestHandler::RequestHandler;

private:
    asio::awaitable<void> forward_request() override;
    void on_stop() override;
    void describe_end(LogLine& line) const override;

    enum class PlacementOutcome {
        /// The answer is over, whole or not.
        Finished,
        /// Another placement may be tried.
        Retry,
    };

    PlacementClient::AskTimes placement_times() const;
    std::int64_t placement_priority() const;
    void note_visit(PlacementDecision const& decision);
    asio::awaitable<std::optional<PlacementDecision>> request_placement();
    /// One placement from its grant to its end.
    asio::awaitable<PlacementOutcome> run_placement(PlacementGrant grant);
    asio::awaitable<std::optional<PrefillCache>> prefill(UpstreamRecord engine);
    asio::awaitable<PlacementOutcome> decode(UpstreamRecord engine, Address address, Dispatch dispatch);
    void note_event(MonotonicTime now);
    asio::awaitable<PlacementOutcome> relay_stream(InFlightRequest& in_flight, std::shared_ptr<HttpConnection> connection, HttpResponseHead head);
    void exclude_unreachable(PlacementAsk& ask) const;
    /// Takes a turn at each engine of the grant that named a limit. False where one has none for now: the request is not placed
    /// there again.
    asio::awaitable<bool> take_engine_turns(PlacementGrant grant);
    asio::awaitable<void> respond_to_refusal(PlacementRefusal refusal);
    /// Goes on elsewhere where that is wanted and allowed, else answers.
    asio::awaitable<PlacementOutcome> retry_or_fail(SendEnd end, std::string_view reason, SendHistory::AnotherSend allowed_send = SendHistory::AnotherSend::Allowed);
    void free_cache(std::string const& address, std::string const& handle);
    ConnectionPool::Freshness freshness() const;
    void release();
    /// Tokens of the answer that came so far.
    std::int64_t relayed_tokens() const;

    std::shared_ptr<PlacementClient::PendingAsk> pending_ask;
    /// Where the present placement's answer is made.
    std::string last_engine;
    std::vector<std::string> failed_engines;
    std::string failed_engine;
    std::vector<std::string> refusing_engines;
    EventStreamSplitter events;
    CallerVisit visit = CallerVisit::First;
    std::optional<Duration> first_event_after;
    MonotonicTime first_event_at;
    MonotonicTime last_event_at;
    Duration longest_pause {};
    int placements = 0;
};

}
