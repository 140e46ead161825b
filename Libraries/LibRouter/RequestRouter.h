// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibAsync/HttpExchange.h>
#include <LibRouter/RouterState.h>

namespace Spurtide {

/// Receives callers' requests: parses them, finds their routes and passes them to request handlers.
class RequestRouter {
public:
    explicit RequestRouter(RouterState& state)
        : state(state)
    {
    }

    asio::awaitable<void> handle(HttpExchange& exchange);

private:
    ExpectedDuration expected_time(Route const& route, CallerRequest const& request) const;
    asio::awaitable<void> reject(HttpExchange& exchange, int status, std::string_view reason, std::string identifier);

    RouterState& state;
};

}
