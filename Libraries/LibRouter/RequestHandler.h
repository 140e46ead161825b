// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibAsync/HttpExchange.h>
#include <LibCore/LogLine.h>
#include <LibCore/MonotonicTimer.h>
#include <LibDecision/RequestFingerprint.h>
#include <LibDecision/RetryPolicy.h>
#include <LibDecision/SendAccounting.h>
#include <LibDecision/SilencePolicy.h>
#include <LibRouter/RouterState.h>
#include <LibRouter/UpstreamLink.h>
#include <functional>
#include <memory>
#include <set>
#include <span>
#include <string>

namespace Spurtide {

/// Handles one request from its route to its final response. Implements what unary and streaming requests have in common:
/// the deadline, caller disconnects, and the responses that the router generates itself.
class RequestHandler : public std::enable_shared_from_this<RequestHandler> {
public:
    /// The service is one of the route's. The account is null for callers that have none.
    RequestHandler(RouterState& state, HttpExchange& exchange, std::shared_ptr<RouteTable const> routes, Route const& route, std::string service, ClientAccount const* account, CallerRequest request);
    virtual ~RequestHandler() { this->running_requests->erase(this); }
    RequestHandler(RequestHandler const&) = delete;
    RequestHandler& operator=(RequestHandler const&) = delete;

    asio::awaitable<void> run();

    /// Stops the request if it is not running yet and the process may exit before the request's deadline.
    void recheck_exit();
    /// Stops the request, running or not, since the process exits.
    void interrupt();

protected:
    enum class StopReason {
        None,
        CallerLeft,
        OutOfTime,
        /// The caller's key no longer belongs to an account.
        KeyRevoked,
        /// The request, or a part of its prompt, crashes upstreams.
        Quarantined,
        /// This process is stopping, and the request would not end in time.
        ProcessExits,
    };

    /// What a caller is told to wait if the service has no upstream and it is not known when there will be one.
    static constexpr Duration NO_UPSTREAM_RETRY_AFTER = milliseconds(500);

    virtual asio::awaitable<void> forward_request() = 0;
    /// Adds fields to the log line for the end of the request.
    virtual void describe_end(LogLine&) const { }
    /// Adds how far the response has come to the log line for its interruption.
    virtual void describe_progress(LogLine&) const { }
    /// Called once, when the request is stopped.
    virtual void on_stop() { }
    /// How long the caller waits for the next part of a response that has begun; empty before.
    virtual std::optional<Duration> part_patience() const { return {}; }
    /// How long a sound upstream may take until the response begins.
    virtual Duration usual_wait() const { return this->route.latency_target; }
    /// Whether the attempt limit and the time left allow another send now.
    virtual bool is_another_send_possible() const = 0;
    /// The first send that leaves the silent upstream, for the retry budget.
    virtual SendAccounting::Send next_send() const { return SendAccounting::Send::Run; }
    /// Where else the request could be sent, away from a silent upstream to which connections have failed since then.
    virtual SilentRequest::Alternative find_alternative(UpstreamRecord const& silent, MonotonicTime since) = 0;

    /// Stops the request if it may no longer be sent: since it was admitted, a new configuration may have revoked the caller's
    /// key, the request may have been quarantined for crashing upstreams of other VMs, or the process may have begun to stop.
    /// Call right before a send.
    void recheck_admission();

    bool is_stopped() const { return this->stop_reason != StopReason::None; }
    /// The connection to abort when the request is stopped.
    void set_active_connection(std::shared_ptr<HttpConnection> connection) { this->active_connection = std::move(connection); }
    Duration caller_time_left() const;
    Duration time_left() const;

    /// Responds that the request has not run and when to retry.
    asio::awaitable<void> refuse(std::string_view reason, Duration retry_after);
    /// Responds that the request may have run. Aborts the exchange if a response has already begun.
    asio::awaitable<void> fail(int status, std::string_view reason);
    /// Sends the final response of a stopped request, or none if the caller has left.
    asio::awaitable<void> send_stopped_response();
    /// Call when the request was completed without crashing its upstream.
    void note_completed();
    /// Call when the upstream has been answering for so long that the request evidently does not crash it.
    void note_served();
    void log_end(std::string_view outcome, std::string_view reason, int status);

    /// Whether the attempt limit, the deadline and the retry budget allow another send. If so, charges it to the budget.
    SendHistory::AnotherSend take_another_send(std::int64_t sends_so_far, Duration minimum_time);

    /// Whether the service's retry budget allows the send. If so, charges it.
    bool try_pay(SendAccounting::Send send);
    /// Whether the service's retry budget would allow the send now.
    bool could_pay(SendAccounting::Send send) const;

    /// Searches upstreams to which a request could be sent that waits at a silent one. Those of which nothing was heard since are
    /// probed, so that a later search knows more.
    SilentRequest::Alternative find_responsive(std::span<UpstreamRecord const* const> candidates, MonotonicTime since);

    /// Call before any bytes of the request may be sent to an upstream; from then on it may have run.
    void note_sent();
    /// Call before the request is sent to an upstream that continues its run. This is no further attempt.
    void note_continuation_sent();
    /// Call when the upstream did not receive it after all.
    void note_continuation_not_delivered();
    /// Call when that upstream states that it did not run the request.
    void note_not_executed();
    /// Call when the upstream did not receive the request after all.
    void note_not_delivered();
    /// Call with each error of a link: a VM that did not relay the request is not asked again.
    void note_link_error(LinkError const& error);
    /// How to open a link for this request. Requests that must not be repeated need a recently used connection: if the other side
    /// is about to close an idle one, it is unclear whether the request ran.
    UpstreamLink::Options link_options(RouteKind kind);

    /// Records what the upstream states about itself in its response to this request: that it is leaving, a pause that it asks
    /// for, its rate limit or the absence of one.
    void record_statements(UpstreamRecord const& upstream, ResponseInfo const& info, int status, MonotonicTime sent_at);

    /// If all upstreams that could respond to the request asked this VM for a pause, returns the delay after which the caller
    /// should retry.
    std::optional<Duration> assign_retry_after_pauses();

    /// Takes a turn at an upstream that has announced a rate limit, and waits until the turn is due. Returns false if there is
    /// none within the longest wait, or the request was stopped. The turn patience is how long the caller could wait before it
    /// retries at the time that it is told.
    asio::awaitable<bool> take_turn(std::string upstream, Duration longest_wait, Duration turn_patience);

    /// Checks whether the upstream crashed while it had the request, and reports it if so: the connection was lost although the
    /// upstream was not leaving, and nothing listens at its address any more. Stops the request if it is found to be the cause.
    /// Returns whether the upstream crashed.
    asio::awaitable<bool> report_crash(UpstreamRecord upstream, HttpError error, MonotonicTime since, UpstreamRoute route);

    /// Whether the request may be served, and its data stored, in the data centre.
    bool may_use_data_centre(std::string_view data_centre) const { return this->residency.allows(data_centre, this->state.regions); }

    RouterState& state;
    HttpExchange& exchange;
    std::shared_ptr<RouteTable const> routes;
    Route const& route;
    CallerRequest request;
    RequestFingerprint fingerprint;
    std::string service;
    /// Passed on to upstreams; empty for callers without an account.
    std::string account;
    std::shared_ptr<std::string const> body;
    Residency residency;
    SendAccounting ledger;
    MonotonicTime deadline;
    SendHistory::Earlier earlier = SendHistory::Earlier::HasNotRun;
    int sends = 0;
    /// Time until a turn may be free at one of the upstreams that denied one; empty if none did.
    std::optional<Duration> next_turn;

private:
    void stop(StopReason reason);
    /// While the process is stopping, logs and counts a send.
    void log_send_before_exit() const;
    /// Whether to give up the response of an upstream to which new connections fail, for that of another.
    bool may_abandon(UpstreamRecord const& upstream, MonotonicTime silent_since);
    /// The remaining quarantine time of the request or of parts of its prompt; empty if it may be sent.
    std::optional<Duration> quarantine_left() const;
    /// The parts of its prompt that other requests may share; none for a request without a prompt.
    PromptParts const& shared_parts() const;
    void check_key();
    void record_rate_limit(std::string_view upstream, ResponseInfo const& info, MonotonicTime sent_at);
    /// Charges the request to its account's quota. Returns false, after sending a response, if the request is quarantined or
    /// exceeds the quota.
    asio::awaitable<bool> admit();
    /// Whether the upstream's process is gone, by this VM's own connections and those of another VM.
    asio::awaitable<ReachabilityProber::ProcessState> determine_process_state(UpstreamRecord upstream, HttpError error, UpstreamRoute route);
    asio::awaitable<void> reject(int status, std::string_view reason, std::optional<Duration> retry_after);

    /// VMs that did not relay this request.
    std::set<std::string, std::less<>> declining_relays;
    // Shared, since a request may outlive the router's state at shutdown.
    std::shared_ptr<std::set<RequestHandler*>> running_requests;
    StopReason stop_reason = StopReason::None;
    SendHistory::Earlier earlier_before_send = SendHistory::Earlier::HasNotRun;
    /// The account whose quota was charged. The key may belong to another account by the time that the request is sent.
    std::string counted_account;
    /// The amount to charge to the account's quota.
    double quota_cost = 0;
    std::shared_ptr<HttpConnection> active_connection;
    /// When alternatives to a silent upstream may be searched again.
    MonotonicTime next_search;
    MonotonicTimer deadline_timer;
    MonotonicTimer turn_timer;
};

}
