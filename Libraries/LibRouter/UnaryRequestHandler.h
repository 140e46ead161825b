// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibAsync/BufferReservation.h>
#include <LibRouter/CallAdmissionClient.h>
#include <LibRouter/RequestHandler.h>
#include <set>

namespace Spurtide {

/// Handles a request to a service without engines, whose response is relayed as a whole.
class UnaryRequestHandler final : public RequestHandler {
public:
    using RequestHandler::RequestHandler;

private:
    asio::awaitable<void> forward_request() override;
    void on_stop() override;
    bool is_another_send_possible() const override;
    SilentRequest::Alternative find_alternative(UpstreamRecord const& silent, MonotonicTime since) override;

    /// The result of one send.
    struct Attempt {
        SendOutcome end = SendOutcome::NotSent;
        std::string reason;
        HttpResponseHead head;
        std::string body;
        BufferReservation body_memory { BufferMemory::Kind::ResponseBodies };
        /// Set if the connection failed before the response was complete.
        std::optional<HttpError> connection_error;
        UpstreamRoute route = UpstreamRoute::Direct;
        /// From the send to the response; zero if there was none.
        Duration service_time {};
    };

    asio::awaitable<Attempt> send_to(UpstreamRecord upstream);
    /// Ends a send that did not reach the upstream, and returns its turn.
    void take_back_send(std::string const& upstream, UpstreamOutcome outcome);
    asio::awaitable<Attempt> read_response(UpstreamLink& link);
    std::optional<UpstreamRecord> choose_upstream();
    /// The upstreams that this VM may send the request to now.
    std::vector<UpstreamRecord const*> find_candidates(MonotonicTime now);
    void note_chosen(UpstreamRecord const& chosen, MonotonicTime now);
    /// Keeps the upstreams that can be reached by the best of the routes, without those that have been tried by it.
    void keep_best_route(std::vector<UpstreamRecord const*>& records, MonotonicTime now);
    /// Records that a request was not sent. Returns whether it may be tried again.
    SendHistory::AnotherSend count_connection_failure(UpstreamRoute route);
    /// Also takes a turn if the upstream has announced a rate limit.
    asio::awaitable<std::optional<UpstreamRecord>> choose_upstream_with_turn();
    /// The same with a permit of the service's admission controller, if calls ask for permits.
    asio::awaitable<std::optional<UpstreamRecord>> choose_admitted_upstream();
    CallAdmissionClient::Ask permit_ask(MonotonicTime now);
    std::int64_t permit_priority() const;
    asio::awaitable<CallAdmissionClient::Answer> ask_for_permit(CallAdmissionClient::Ask ask);
    asio::awaitable<std::optional<UpstreamRecord>> choose_upstream_without_permit(CallAdmissionClient::Ask ask);
    /// The granted upstream, unless this VM does not list it as serving.
    std::optional<UpstreamRecord> find_granted(std::string const& upstream) const;
    enum class Turn {
        Taken,
        /// Another upstream may be tried.
        Denied,
        /// The caller has been assigned a time to retry.
        Reserved,
    };
    asio::awaitable<Turn> take_turn_at(std::string upstream);
    /// Returns the place of the last send.
    void end_permit(Attempt const& attempt);
    /// Whether upstreams that the request was sent to before may be tried again.
    bool may_retry_tried() const;
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
    /// Upstreams that refused the request. A late copy of the refusal would be taken for the response to another send.
    std::set<std::string> refused_by;
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
    /// The place of the current send.
    CallPermit permit;
    /// Set while the request waits for a permit.
    std::shared_ptr<CallAdmissionClient::PendingAsk> pending_permit;
    /// Why no permit was granted for the current send; empty if none was refused.
    std::optional<CallAdmissionClient::Refusal> permit_refusal;
    /// Upstreams that permits named and that this VM does not list as serving.
    std::set<std::string> unusable_upstreams;
    /// Time until this VM's next turn at one of the cold upstreams that the last choice excluded; empty if it excluded none.
    std::optional<Duration> next_cold_turn;
};

}
