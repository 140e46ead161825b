// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibRouter/RequestHandler.h>
#include <set>

namespace Spurtide {

/// Carries a call to a plain service.
class UnaryRequestHandler final : public RequestHandler {
public:
    using RequestHandler::RequestHandler;

private:
    asio::awaitable<void> forward_request() override;

    /// One send and what it brought.
    struct Attempt {
        SendEnd end = SendEnd::NotSent;
        std::string reason;
        HttpResponseHead head;
        std::string body;
        /// Set where the connection ended before the answer did.
        std::optional<HttpError> connection_error;
    };

    asio::awaitable<Attempt> send_to(UpstreamRecord upstream);
    asio::awaitable<Attempt> read_response(std::shared_ptr<HttpConnection> connection);
    std::optional<UpstreamRecord> choose_upstream();
    /// The same, with a turn where the upstream named a limit.
    asio::awaitable<std::optional<UpstreamRecord>> choose_upstream_with_turn();
    /// Takes out those whose next turn is another VM's; where these are all, but the one that is free first.
    void exclude_limited_upstreams(std::vector<UpstreamRecord const*>& records, MonotonicTime now) const;
    Duration longest_wait_for_turn() const;
    asio::awaitable<void> respond_without_upstream(Attempt const& last);
    double cold_rate() const;
    bool is_cold(UpstreamRecord const& upstream, MonotonicTime now) const;
    /// Takes out those that are cold and not this VM's turn.
    void exclude_cold_upstreams(std::vector<UpstreamRecord const*>& records, MonotonicTime now);
    asio::awaitable<void> relay_response(Attempt const& attempt);

    std::set<std::string> tried_upstreams;
    /// Had no turn for this send.
    std::set<std::string> upstreams_without_turn;
    /// Whether the last choice had only one upstream to choose.
    bool was_only_choice = false;
    /// Time until this VM may send to one of those that were taken out by the last choice since they are cold.
    std::optional<Duration> next_cold_turn;
};

}
