// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibAsync/HttpExchange.h>
#include <LibDecision/StreamOrigin.h>
#include <LibRouter/RouterState.h>
#include <optional>

namespace Spurtide {

/// Receives callers' requests: parses them, finds their routes and passes them to request handlers.
class RequestRouter {
public:
    explicit RequestRouter(RouterState& state)
        : state(state)
    {
    }

    asio::awaitable<void> handle(HttpExchange& exchange);
    /// The head of the response to a request whose body was not read, as no memory is left for it.
    HttpResponseHead reject_unread(HttpRequestHead const& head);

    /// Call regularly while the process is stopping: refuses the requests that wait to be sent and could not end in time any more.
    void recheck_waiting_requests();
    /// The response to a request of which this process cannot wait for the rest, since it exits.
    HttpResponseHead refuse_incomplete(HttpRequestHead const& head);
    /// Ends all requests shortly before the process exits, with a response where none has begun.
    void interrupt_requests();

private:
    /// Whether this process exits before the request's deadline.
    bool exits_before_deadline(HttpExchange const& exchange, Route const& route, CallerRequest const& request) const;
    /// Where a stream of the route began, if it can have begun at one software version only.
    asio::awaitable<std::optional<StreamOrigin>> derive_origin(Route const& route, CallerRequest const& request);
    /// Why a request cannot take up the stream that began there; empty if it can.
    std::optional<std::string_view> find_resumption_obstacle(RouteTable const& routes, Route const& route, CallerRequest const& request, std::optional<StreamOrigin> const& origin);
    asio::awaitable<void> reject(HttpExchange& exchange, int status, std::string_view reason, std::string identifier);
    HttpResponseHead begin_rejection(HttpRequestHead const& head, int status, std::string_view reason, std::string const& identifier, std::string_view retry_after);
    /// The same with 503, for a request that was not read whole.
    HttpResponseHead begin_unread_rejection(HttpRequestHead const& head, std::string_view reason, std::string_view retry_after);

    RouterState& state;
};

}
