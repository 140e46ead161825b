// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibRouter/RequestHandler.h>
#include <set>

namespace Spurtide {

/// Handles a request to a service without engines, whose response is relayed as a whole.
class UnaryRequestHandler final : public RequestHandler {
public:
    using RequestHandler::RequestHandler;

private:
    asio::awaitable<void> forward_request() override;

    /// The result of one send.
    struct Attempt {
        SendOutcome end = SendOutcome::NotSent;
        std::string reason;
        HttpResponseHead head;
        std::string body;
        /// Set if the connection failed before the response was complete.
        std::optional<HttpError> connection_error;
        UpstreamRoute route = UpstreamRoute::Direct;
    };

    asio::awaitable<Attempt> send_to(UpstreamRecord upstream);
    /// Ends a send that did not reach the upstream, and returns its turn.
    void take_back_send(std::string const& upstream, UpstreamOutcome outcome);
    asio::awaitable<Attempt> read_response(UpstreamLink& link);
    std::optional<UpstreamRecord> choose_upstream();
    /// Keeps the upstreams that can be reached by the best of the routes, without those that have been tried by it.
    void keep_best_route(std::vector<UpstreamRecord const*>& records, MonotonicTime now);
    /// Records that a request was not sent. Returns whether it may be tried again.
    SendHistory::AnotherSend count_connection_failure(UpstreamRoute route);
    /// Also takes a turn if the upstream has announced a rate limit.
    asio::awaitable<std::optional<UpstreamRecord>> choose_upstream_with_turn();
    /// Removes the upstreams at which this VM was denied a turn. If that would leave none, keeps the one that can be asked first.
    void exclude_limited_upstreams(std::vector<UpstreamRecord const*>& records, MonotonicTime now) const;
    Duration longest_wait_for_turn() const;
    asio::awaitable<void> respond_without_upstream(Attempt const& last);
    double cold_rate() const;
    bool is_cold(UpstreamRecord const& upstream, MonotonicTime now) const;
    /// Removes the cold upstreams at which it is another VM's turn to send.
    void exclude_cold_upstreams(std::vector<UpstreamRecord const*>& records, MonotonicTime now);
    asio::awaitable<void> relay_response(Attempt const& attempt);

    /// Upstreams that the request was sent to.
    std::set<std::string> tried_upstreams;
    /// Upstreams to which this VM could not connect.
    std::set<std::string> unreached_upstreams;
    int connect_attempts = 0;
    int relay_attempts = 0;
    /// Whether no VM is known to reach any upstream that the last choice considered.
    bool was_without_route = false;
    /// Upstreams that denied a turn for the current send.
    std::set<std::string> upstreams_without_turn;
    /// Whether the last choice had a single candidate.
    bool was_only_choice = false;
    /// Time until this VM's next turn at one of the cold upstreams that the last choice excluded; empty if it excluded none.
    std::optional<Duration> next_cold_turn;
};

}
