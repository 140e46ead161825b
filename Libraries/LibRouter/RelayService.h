// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibAsync/HttpExchange.h>
#include <LibRouter/InFlightRequest.h>
#include <LibRouter/RelayProtocol.h>
#include <LibRouter/RouterState.h>
#include <functional>

namespace Spurtide {

/// Sends requests of other VMs to upstreams that those cannot reach. Only sends on connections of its own, so a request is never
/// relayed twice. Decides nothing else: the VM that has the caller's request counts, limits and retries it.
class RelayService {
public:
    struct Hooks {
        std::function<bool()> is_stopping;
    };

    RelayService(RouterState& state, Hooks hooks);

    asio::awaitable<void> handle(HttpExchange& exchange);

private:
    /// Why the request must not be sent now; empty if it may be.
    std::optional<RelayOutcome> find_obstacle(RelayedSend const& send) const;
    /// Whether the upstream or this VM's own paths are at fault for a failed connection attempt.
    asio::awaitable<RelayOutcome> explain_failure(UpstreamRecord upstream, HttpError error);
    asio::awaitable<void> send_on(HttpExchange& exchange, RelayedSend send, UpstreamRecord upstream, std::shared_ptr<HttpConnection> connection);
    asio::awaitable<void> pass_on(HttpExchange& exchange, InFlightRequest& in_flight, std::shared_ptr<HttpConnection> connection, HttpResponseHead head);
    asio::awaitable<void> probe(HttpExchange& exchange, RelayedSend send, UpstreamRecord upstream);
    asio::awaitable<void> respond(HttpExchange& exchange, RelayedSend send, RelayOutcome outcome);
    void note_end(RelayedSend const& send, std::string_view outcome, MonotonicTime since);

    RouterState& state;
    Hooks hooks;
};

}
