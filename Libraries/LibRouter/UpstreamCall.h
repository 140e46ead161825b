// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibRouter/RouterState.h>
#include <string_view>

namespace Spurtide {

/// Why no request may be sent to an upstream now.
enum class SendObstacle {
    None,
    /// It is leaving, or not listed any more.
    Left,
    /// It asked this VM for a pause.
    Paused,
};

std::string_view to_string(SendObstacle obstacle);

/// Call right before a send: the state of the upstream may have changed since it was chosen.
SendObstacle find_send_obstacle(RouterState const& state, UpstreamRecord const& upstream);

/// Accepts the responses to a request. Calls of the router itself have no identifier, which is empty then, and are answered by
/// responses that name no request. Other responses are logged and counted. The state and the upstream
/// have to exist as long as the filter.
HttpConnection::ResponseFilter responses_to(RouterState& state, UpstreamRecord const& upstream, std::string request);

/// What a call of the router itself means for its upstream.
enum class CallPurpose {
    NewWork,
    /// Ends work; leaving upstreams receive it too.
    Release,
};

/// Sends a request of the router itself to an upstream, unless there is an obstacle; the error is then HttpError::Aborted.
/// Records what the upstream states about itself in the response. Responses to these calls name no request, so that one whose response
/// decides something has to take a new connection, on which no late response to another one can arrive.
asio::awaitable<Result<ConnectionPool::Answer, HttpError>> call_upstream(RouterState& state, UpstreamRecord upstream, HttpRequest request, CallPurpose purpose, ConnectionPool::Call options);

}
