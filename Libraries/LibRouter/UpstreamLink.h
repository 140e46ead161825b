// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibDecision/RelaySelector.h>
#include <LibRouter/InFlightRequest.h>
#include <LibRouter/RelayProtocol.h>
#include <LibRouter/RouterState.h>
#include <memory>
#include <optional>
#include <string>

namespace Spurtide {

/// How this VM sends a request to an upstream.
enum class UpstreamRoute {
    Direct,
    /// Through another VM, since no connection of this VM reaches the upstream.
    Relayed,
    /// Neither this VM nor, as far as it knows, another one reaches the upstream.
    None,
};

std::string_view to_string(UpstreamRoute route);

/// Finds the routes to upstreams at one moment. Create one for each decision.
class RouteFinder {
public:
    RouteFinder(RouterState& state, MonotonicTime now);

    UpstreamRoute find(UpstreamRecord const& upstream);
    /// Whether another VM may relay requests.
    bool has_relay();

private:
    RouterState& state;
    MonotonicTime now;
    std::optional<bool> is_relay_available;
};

/// Why a link could not be opened, or brought no response.
struct LinkError {
    HttpError error;
    enum class Delivery {
        /// The upstream did not receive the request.
        NotDelivered,
        Unknown,
    } delivery
        = Delivery::Unknown;
    enum class Location {
        Upstream,
        /// The relaying VM, or the path to it: the upstream may be reached through another VM.
        Relay,
    } location
        = Location::Upstream;
    /// Set if a relaying VM says that it did not send the request.
    std::optional<RelayOutcome> relay_outcome {};
    /// That VM.
    std::string relay {};

    std::string_view reason() const { return this->relay_outcome ? to_string(*this->relay_outcome) : to_string(this->error); }
};

/// A connection for one request to an upstream: the VM's own, or one to a VM that relays the request.
class UpstreamLink {
public:
    struct Options {
        std::string request;
        ConnectionPool::Freshness freshness = ConnectionPool::Freshness::Any;
        /// See InFlightRequest::MayAbandon.
        std::function<bool(UpstreamRecord const& upstream, MonotonicTime silent_since)> may_abandon;
        /// How long the upstream may be silent where another VM relays the request. Only used with may_abandon.
        Duration relayed_silence {};
        /// VMs that may see the request.
        RelaySelector::Filter may_relay = [](auto const&) { return true; };
    };

    /// Opens a link by the best route. If the VM's own connection attempt fails and others failed before, tries a relaying VM too.
    static asio::awaitable<Result<std::unique_ptr<UpstreamLink>, LinkError>> open(RouterState& state, UpstreamRecord upstream, Options options);
    ~UpstreamLink();
    UpstreamLink(UpstreamLink const&) = delete;
    UpstreamLink& operator=(UpstreamLink const&) = delete;

    UpstreamRoute route() const { return this->relay ? UpstreamRoute::Relayed : UpstreamRoute::Direct; }
    UpstreamRecord const& upstream() const { return this->record; }
    std::string const& identity() const { return this->record.identity; }
    MonotonicTime send_time() const { return this->sent_at; }
    std::shared_ptr<HttpConnection> const& connection() const { return this->connected; }

    /// Begins to send the request.
    void send(std::string head, std::shared_ptr<std::string const> body, Duration time_left, MessageParser::ExpectedBody expected_body = MessageParser::ExpectedBody::AsFramed);
    /// Waits for the upstream's response head.
    asio::awaitable<Result<HttpResponseHead, LinkError>> read_head();
    /// Call when data arrives from the upstream.
    void note_received();
    /// Ends the request. The connection is kept for others if possible.
    void release();
    /// Ends the link before anything was sent.
    void release_unused();

private:
    UpstreamLink(RouterState& state, UpstreamRecord upstream, Options options, Address address, std::shared_ptr<HttpConnection> connection, std::optional<RelayCandidate> relay);

    static asio::awaitable<Result<std::unique_ptr<UpstreamLink>, LinkError>> open_direct(RouterState& state, UpstreamRecord upstream, Options options);
    static asio::awaitable<Result<std::unique_ptr<UpstreamLink>, LinkError>> open_relayed(RouterState& state, UpstreamRecord upstream, Options options);
    void count_relayed(std::string_view outcome);

    RouterState& state;
    UpstreamRecord record;
    Options options;
    /// Of the upstream, or of the relaying VM.
    Address address;
    std::shared_ptr<HttpConnection> connected;
    std::optional<RelayCandidate> relay;
    // Shared, since a waiting request may outlive the router's state at shutdown.
    std::shared_ptr<RelaySelector> relays;
    std::optional<InFlightRequest> in_flight;
    MonotonicTime sent_at;
};

}
