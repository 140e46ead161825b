// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <LibCore/LogLine.h>
#include <LibRouter/RelayClient.h>
#include <LibRouter/UpstreamCall.h>
#include <LibRouter/UpstreamLink.h>
#include <array>

namespace Spurtide {

namespace {

/// With fewer unreachable upstreams, the upstream itself is the likely cause, and another VM would wait for it in vain.
constexpr std::size_t UNREACHABLE_BEFORE_RELAY = 2;
constexpr int MAXIMUM_RELAYS_TRIED = 2;

/// Whether another relaying VM may reach the upstream.
bool is_relays_failure(RelayOutcome outcome)
{
    return outcome == RelayOutcome::Partitioned || outcome == RelayOutcome::Stopping || outcome == RelayOutcome::UnknownUpstream || outcome == RelayOutcome::Malformed || outcome == RelayOutcome::OutOfMemory;
}

}

std::string_view to_string(UpstreamRoute route)
{
    constexpr std::array<std::string_view, 3> NAMES = { "direct", "relayed", "none" };
    return NAMES.at(static_cast<std::size_t>(route));
}

RouteFinder::RouteFinder(RouterState& state, MonotonicTime now)
    : state(state)
    , now(now)
{
}

bool RouteFinder::has_relay()
{
    if (!this->is_relay_available)
        this->is_relay_available = this->state.relays && this->state.relays->is_available(this->now);
    return *this->is_relay_available;
}

UpstreamRoute RouteFinder::find(UpstreamRecord const& upstream)
{
    if (this->state.reachability->has_direct_path(upstream.identity, upstream.data_centre, this->now))
        return UpstreamRoute::Direct;
    return this->has_relay() ? UpstreamRoute::Relayed : UpstreamRoute::None;
}

UpstreamLink::UpstreamLink(RouterState& state, UpstreamRecord upstream, Options options, Address address, std::shared_ptr<HttpConnection> connection, std::optional<RelayCandidate> relay)
    : state(state)
    , record(std::move(upstream))
    , options(std::move(options))
    , address(std::move(address))
    , connected(std::move(connection))
    , relay(std::move(relay))
    , sent_at(monotonic_now())
{
    if (!this->relay)
        return;
    this->relays = state.relays->selector();
    this->relays->note_sent(this->relay->virtual_machine);
}

UpstreamLink::~UpstreamLink()
{
    if (this->relay)
        this->relays->note_end(this->relay->virtual_machine);
}

asio::awaitable<Result<std::unique_ptr<UpstreamLink>, LinkError>> UpstreamLink::open(RouterState& state, UpstreamRecord upstream, Options options)
{
    if (RouteFinder(state, monotonic_now()).find(upstream) == UpstreamRoute::Relayed)
        co_return co_await open_relayed(state, std::move(upstream), std::move(options));
    auto direct = co_await open_direct(state, upstream, options);
    if (!direct.is_error() || !state.relays || !state.relays->is_available(monotonic_now()))
        co_return direct;
    // The service may have no other upstream to try. Others of the VM tell at once where connections are refused; where they hang,
    // each would take as long as this one did.
    bool const is_refused = direct.error().error == HttpError::NobodyListens;
    if (is_refused && state.reachability->unreachable_count() < UNREACHABLE_BEFORE_RELAY && state.reachability->needs_partition_probes(monotonic_now()))
        static_cast<void>(co_await state.prober.connect_to_another(upstream.identity));
    if (state.reachability->unreachable_count() < UNREACHABLE_BEFORE_RELAY)
        co_return direct;
    co_return co_await open_relayed(state, std::move(upstream), std::move(options));
}

asio::awaitable<Result<std::unique_ptr<UpstreamLink>, LinkError>> UpstreamLink::open_direct(RouterState& state, UpstreamRecord upstream, Options options)
{
    auto const address = parse_address(upstream.address);
    if (!address)
        co_return Failure { LinkError { HttpError::CannotConnect, LinkError::Delivery::NotDelivered } };
    auto acquired = co_await state.pool.acquire(*address, options.freshness);
    if (acquired.is_error()) {
        state.prober.note_unreachable(upstream, acquired.error());
        co_return Failure { LinkError { acquired.error(), LinkError::Delivery::NotDelivered } };
    }
    co_return std::unique_ptr<UpstreamLink>(new UpstreamLink(state, std::move(upstream), std::move(options), *address, acquired.release_value(), {}));
}

asio::awaitable<Result<std::unique_ptr<UpstreamLink>, LinkError>> UpstreamLink::open_relayed(RouterState& state, UpstreamRecord upstream, Options options)
{
    HttpError last = HttpError::CannotConnect;
    for (int tried = 0; tried < MAXIMUM_RELAYS_TRIED; ++tried) {
        auto relay = state.relays->choose(monotonic_now(), options.may_relay);
        auto const address = relay ? parse_address(relay->address) : std::nullopt;
        if (!address)
            break;
        // The relaying VM opens the upstream's connection.
        auto const freshness = options.freshness == ConnectionPool::Freshness::New ? ConnectionPool::Freshness::Any : options.freshness;
        auto acquired = co_await state.pool.acquire(*address, freshness);
        if (!acquired.is_error())
            co_return std::unique_ptr<UpstreamLink>(new UpstreamLink(state, std::move(upstream), std::move(options), *address, acquired.release_value(), std::move(relay)));
        last = acquired.error();
        state.relays->selector()->note_failure(relay->virtual_machine, monotonic_now());
        LogLine("relay_unreachable").with("request", options.request).with("relay", relay->virtual_machine).with("reason", to_string(last));
    }
    co_return Failure { LinkError { last, LinkError::Delivery::NotDelivered, LinkError::Location::Relay } };
}

void UpstreamLink::send(std::string head, std::shared_ptr<std::string const> body, Duration time_left, MessageParser::ExpectedBody expected_body)
{
    this->sent_at = monotonic_now();
    if (!this->relay) {
        InFlightRequest::MayAbandon may_abandon;
        if (this->options.may_abandon)
            may_abandon = [may_abandon = this->options.may_abandon, upstream = this->record](MonotonicTime silent_since) { return may_abandon(upstream, silent_since); };
        this->in_flight.emplace(this->state.prober, this->record, this->options.request, this->connected, std::move(may_abandon));
        this->connected->send(std::move(head), std::move(body), expected_body);
        return;
    }
    LogLine("request_relayed").with("request", this->options.request).with("upstream", this->record.identity).with("relay", this->relay->virtual_machine);
    RelayedSend send;
    send.request = this->options.request;
    send.upstream = this->record.identity;
    send.time_left = time_left;
    send.freshness = this->options.freshness;
    send.expected_body = expected_body;
    if (this->options.may_abandon)
        send.abandon_after = this->options.relayed_silence;
    auto const size = head.size() + (body ? body->size() : 0);
    this->connected->send(format_request_head(relay_request_head(this->relay->address, send, size)) + head, std::move(body));
}

asio::awaitable<Result<HttpResponseHead, LinkError>> UpstreamLink::read_head()
{
    auto const is_due = responses_to(this->state, this->record, this->options.request);
    // A relaying VM passes over the responses to other requests itself, and its own responses name none.
    auto const is_accepted = this->relay ? HttpConnection::ResponseFilter([](auto const&) { return true; }) : is_due;
    auto head = co_await this->connected->read_matching_head(is_accepted);
    if (head.is_error()) {
        if (this->relay)
            this->count_relayed(to_string(head.error()));
        co_return Failure { LinkError { head.error(), LinkError::Delivery::Unknown } };
    }
    auto response = head.release_value();
    if (!this->relay)
        co_return response;
    auto const outcome = read_relay_outcome(response).value_or(RelayOutcome::Malformed);
    this->count_relayed(to_string(outcome));
    if (outcome == RelayOutcome::Forwarded) {
        restore_upstream_head(response);
        if (is_due(response))
            co_return response;
        this->connected->abort();
        co_return Failure { LinkError { HttpError::OtherResponses, LinkError::Delivery::Unknown } };
    }
    if (is_relays_failure(outcome))
        this->relays->note_failure(this->relay->virtual_machine, monotonic_now());
    LogLine("relay_declined").with("request", this->options.request).with("upstream", this->record.identity).with("relay", this->relay->virtual_machine).with("reason", to_string(outcome));
    // Reads what is left of the response, so that the connection can be used again.
    static_cast<void>(co_await this->connected->read_body(0));
    auto const location = is_relays_failure(outcome) ? LinkError::Location::Relay : LinkError::Location::Upstream;
    co_return Failure { LinkError { HttpError::Aborted, LinkError::Delivery::NotDelivered, location, outcome, this->relay->virtual_machine } };
}

void UpstreamLink::count_relayed(std::string_view outcome)
{
    this->state.metrics.increment("spurtide_relayed_requests_total", "Requests that were relayed, by this VM's part in it and their outcome", { { "part", "entry" }, { "outcome", std::string(outcome) } });
}

void UpstreamLink::note_received()
{
    // Data through another VM says nothing about this VM's own paths.
    if (this->in_flight)
        this->in_flight->note_received();
}

void UpstreamLink::release()
{
    // Before the connection returns to the pool, where another request may acquire it.
    this->in_flight.reset();
    this->state.pool.release(this->address, this->connected);
}

void UpstreamLink::release_unused() { this->state.pool.put_back_unused(this->address, this->connected); }

}
