// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <LibCore/LogLine.h>
#include <LibRouter/RelayService.h>
#include <LibRouter/UpstreamCall.h>
#include <LibRouter/UpstreamLimiter.h>
#include <LibRouter/UpstreamStatements.h>

namespace Spurtide {

RelayService::RelayService(RouterState& state, Hooks hooks)
    : state(state)
    , hooks(std::move(hooks))
{
}

std::optional<RelayOutcome> RelayService::find_obstacle(RelayedSend const& send) const
{
    if (this->hooks.is_stopping())
        return RelayOutcome::Stopping;
    auto const* upstream = this->state.upstreams.find(send.upstream);
    if (!upstream)
        return RelayOutcome::UnknownUpstream;
    if (find_send_obstacle(this->state, *upstream) != SendObstacle::None)
        return RelayOutcome::NotAvailable;
    auto const now = monotonic_now();
    bool const is_reachable = this->state.reachability->is_reachable(upstream->identity, upstream->data_centre, now);
    if (this->state.reachability->is_partitioned(now) || (!is_reachable && this->state.reachability->may_be_partitioned(now)))
        return RelayOutcome::Partitioned;
    if (!is_reachable)
        return this->state.prober.known_process_state(*upstream) == ReachabilityProber::ProcessState::Gone ? RelayOutcome::NobodyListens : RelayOutcome::CannotConnect;
    return {};
}

asio::awaitable<void> RelayService::handle(HttpExchange& exchange)
{
    auto parsed = read_relay_request(exchange.request().head);
    if (parsed.is_error()) {
        co_await this->respond(exchange, RelayedSend(), RelayOutcome::Malformed);
        co_return;
    }
    auto const send = parsed.release_value();
    auto const* listed = this->state.upstreams.find(send.upstream);
    if (send.operation == RelayedSend::Operation::Probe && listed) {
        co_await this->probe(exchange, send, *listed);
        co_return;
    }
    if (auto const obstacle = this->find_obstacle(send)) {
        co_await this->respond(exchange, send, *obstacle);
        co_return;
    }
    UpstreamRecord const upstream = *listed;
    auto const address = parse_address(upstream.address);
    if (!address) {
        co_await this->respond(exchange, send, RelayOutcome::CannotConnect);
        co_return;
    }
    auto acquired = co_await this->state.pool.acquire(*address, send.freshness);
    if (acquired.is_error()) {
        auto const outcome = co_await this->explain_failure(upstream, acquired.error());
        co_await this->respond(exchange, send, outcome);
        co_return;
    }
    auto const connection = acquired.release_value();
    bool const is_late = monotonic_now() - exchange.received_at() >= send.time_left;
    // The upstream may have begun to leave while the connection was established.
    auto const obstacle = is_late ? std::optional(RelayOutcome::Expired) : this->find_obstacle(send);
    if (obstacle || exchange.is_caller_gone()) {
        this->state.pool.put_back_unused(*address, connection);
        co_await this->respond(exchange, send, obstacle.value_or(RelayOutcome::Expired));
        co_return;
    }
    co_await this->send_on(exchange, send, upstream, connection);
    this->state.pool.release(*address, connection);
}

// A VM that is partitioned itself must not blame the upstream: the request would leave it out, although another VM may reach it.
asio::awaitable<RelayOutcome> RelayService::explain_failure(UpstreamRecord upstream, HttpError error)
{
    this->state.prober.note_unreachable(upstream, error);
    if (!this->state.reachability->may_be_partitioned(monotonic_now()))
        static_cast<void>(co_await this->state.prober.connect_to_another(upstream.identity));
    if (this->state.reachability->may_be_partitioned(monotonic_now()))
        co_return RelayOutcome::Partitioned;
    co_return error == HttpError::NobodyListens ? RelayOutcome::NobodyListens : RelayOutcome::CannotConnect;
}

asio::awaitable<void> RelayService::probe(HttpExchange& exchange, RelayedSend send, UpstreamRecord upstream)
{
    auto const process = co_await this->state.prober.probe_process(upstream);
    auto outcome = RelayOutcome::CannotConnect;
    if (this->state.reachability->is_reachable(upstream.identity, upstream.data_centre, monotonic_now()))
        outcome = RelayOutcome::Connected;
    if (process == ReachabilityProber::ProcessState::Gone)
        outcome = RelayOutcome::NobodyListens;
    co_await this->respond(exchange, std::move(send), outcome);
}

asio::awaitable<void> RelayService::send_on(HttpExchange& exchange, RelayedSend send, UpstreamRecord upstream, std::shared_ptr<HttpConnection> connection)
{
    exchange.when_caller_leaves([weak = std::weak_ptr<HttpConnection>(connection)] {
        if (auto const open = weak.lock())
            open->abort();
    });
    this->state.limiter->note_sent(upstream);
    InFlightRequest::MayAbandon may_abandon;
    if (send.abandon_after)
        may_abandon = [abandon_after = *send.abandon_after](MonotonicTime silent_since) { return monotonic_now() - silent_since >= abandon_after; };
    InFlightRequest in_flight(this->state.prober, upstream, send.request, connection, std::move(may_abandon));
    connection->send({}, exchange.shared_body(), send.expected_body);
    auto head = co_await connection->read_matching_head(responses_to(this->state, upstream, send.request));
    if (head.is_error()) {
        connection->abort();
        this->note_end(send, to_string(head.error()), in_flight.send_time());
        exchange.abort();
        co_return;
    }
    in_flight.note_received();
    record_upstream_statements(this->state, upstream, this->state.dialect.read_response(head.value()), head.value().status, send.request);
    this->note_end(send, to_string(RelayOutcome::Forwarded), in_flight.send_time());
    co_await this->pass_on(exchange, in_flight, connection, relayed_response_head(head.value()));
}

asio::awaitable<void> RelayService::pass_on(HttpExchange& exchange, InFlightRequest& in_flight, std::shared_ptr<HttpConnection> connection, HttpResponseHead head)
{
    while (true) {
        auto piece = co_await connection->read_piece();
        if (piece.is_error())
            break;
        in_flight.note_received();
        bool const is_end = piece.value().empty();
        if (is_end && !exchange.has_begun()) {
            static_cast<void>(co_await exchange.respond(head, {}));
            co_return;
        }
        if (!exchange.has_begun()) {
            // The requesting VM has to know whether a response can be told from one that was broken off.
            auto const framing = connection->framing() == BodyFraming::UntilClose ? BodyFraming::UntilClose : BodyFraming::Chunked;
            auto const begun = co_await exchange.begin(head, framing);
            if (begun.is_error())
                break;
        }
        if (is_end) {
            static_cast<void>(co_await exchange.finish());
            co_return;
        }
        auto const written = co_await exchange.write(piece.value());
        if (written.is_error())
            break;
    }
    // An incomplete response must not look complete, and the upstream must not go on for a request that is over.
    connection->abort();
    exchange.abort();
}

asio::awaitable<void> RelayService::respond(HttpExchange& exchange, RelayedSend send, RelayOutcome outcome)
{
    this->note_end(send, to_string(outcome), exchange.received_at());
    static_cast<void>(co_await exchange.respond(relay_outcome_head(outcome), {}));
}

void RelayService::note_end(RelayedSend const& send, std::string_view outcome, MonotonicTime since)
{
    auto const took = std::chrono::duration_cast<Duration>(monotonic_now() - since);
    LogLine("request_relayed_for_peer").with("request", send.request).with("upstream", send.upstream).with("operation", send.operation == RelayedSend::Operation::Probe ? "probe" : "send").with("outcome", outcome).with("ms", to_milliseconds(took));
    this->state.metrics.increment("spurtide_relayed_requests_total", "Requests that were relayed, by this VM's part in it and their outcome", { { "part", "relay" }, { "outcome", std::string(outcome) } });
}

}
