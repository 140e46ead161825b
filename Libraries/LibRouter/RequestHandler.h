// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibAsync/HttpExchange.h>
#include <LibCore/LogLine.h>
#include <LibDecision/AnswerVerdict.h>
#include <LibDecision/RequestFingerprint.h>
#include <LibDecision/SendLedger.h>
#include <LibRouter/RouterState.h>
#include <functional>
#include <memory>
#include <string>

namespace Spurtide {

/// Carries one request from its route to its final answer. What is common to calls and streams: the time
/// that is left, the caller's leaving, and the answers of the router's own.
class RequestHandler : public std::enable_shared_from_this<RequestHandler> {
public:
    /// The account is null for callers without one.
    RequestHandler(RouterState& state, HttpExchange& exchange, std::shared_ptr<RouteTable const> routes, Route const& route, ClientAccount const* account, CallerRequest request);
    virtual ~RequestHandler() = default;
    RequestHandler(RequestHandler const&) = delete;
    RequestHandler& operator=(RequestHandler const&) = delete;

    asio::awaitable<void> run();

protected:
    enum class StopReason {
        None,
        CallerLeft,
        OutOfTime,
        /// The caller's key is no account's any more.
        KeyRevoked,
        /// It crashes upstreams.
        Quarantined,
    };

    virtual asio::awaitable<void> forward_request() = 0;
    /// Adds to the line that says how the request ended.
    virtual void describe_end(LogLine&) const { }
    /// Called once when the caller left or time is up.
    virtual void on_stop() { }

    /// Stops the request where it may not be sent any more, though it might when it came: the newest configuration may have
    /// taken its caller's key away, and it may have crashed upstreams elsewhere. Call right before a send.
    void recheck_admission();

    bool is_stopped() const { return this->stop_reason != StopReason::None; }
    /// The connection that ends when the request is stopped.
    void set_active_connection(std::shared_ptr<HttpConnection> connection) { this->active_connection = std::move(connection); }
    Duration caller_time_left() const;
    Duration time_left() const;

    /// Answers that the request has not run and when to come back.
    asio::awaitable<void> refuse(std::string_view reason, Duration retry_after);
    /// Answers that the request may have run.
    asio::awaitable<void> fail(int status, std::string_view reason);
    /// The final answer after the request was stopped; nothing when the caller left.
    asio::awaitable<void> send_stopped_response();
    /// The request was completed, and its upstream did not crash.
    void note_completed();
    void log_end(std::string_view outcome, std::string_view reason, int status);

    /// Whether attempts, time and the retry budget allow another send; takes it from the budget.
    SendHistory::AnotherSend take_another_send(std::int64_t sends_so_far, Duration minimum_time);

    /// Whether the service's retry budget allows the send; takes from it what the send costs.
    bool try_pay(SendLedger::Send send);

    /// Call when bytes of the request may leave for an upstream, and when that upstream said that it did not
    /// run it: until then it may have run.
    void note_sent();
    void note_not_executed();

    /// Keeps what an answer to this request, which was sent at that time, says of its upstream's limit.
    void record_rate_limit(std::string_view upstream, ResponseInfo const& info, int status, MonotonicTime sent_at);

    /// Asks for a turn at an upstream, which it takes where that named a limit, and waits for it. False where none comes within
    /// the wait, or the request was stopped. The patience is how long the caller can wait to come back where it is told to.
    asio::awaitable<bool> take_turn(std::string upstream, Duration longest_wait, Duration turn_patience);

    /// Reports where the upstream crashed while it had the request: the connection broke off though it was not leaving, and
    /// nothing listens at its address any more. Stops the request where it is the cause. Gives whether it crashed.
    asio::awaitable<bool> report_crash(UpstreamRecord upstream, HttpError error, MonotonicTime since);

    /// Whether the request may be served there, and what it brings may be kept there.
    bool may_use_data_centre(std::string_view data_centre) const { return this->residency.allows(data_centre, this->state.regions); }

    RouterState& state;
    HttpExchange& exchange;
    std::shared_ptr<RouteTable const> routes;
    Route const& route;
    CallerRequest request;
    RequestFingerprint fingerprint;
    std::string service;
    /// Present to upstreams; empty for callers without one.
    std::string account;
    std::shared_ptr<std::string const> body;
    Residency residency;
    SendLedger ledger;
    MonotonicTime deadline;
    SendHistory::Earlier earlier = SendHistory::Earlier::HasNotRun;
    int sends = 0;
    /// Time until one of the upstreams may have a turn that had none; empty where none was asked for in vain.
    std::optional<Duration> next_turn;

private:
    void stop(StopReason reason);
    void check_key();
    /// Whether the request may be carried: not where it is kept from upstreams or over its account's limit, against which
    /// it is counted. Answers it where it may not.
    asio::awaitable<bool> admit();
    asio::awaitable<void> reject(int status, std::string_view reason, std::optional<Duration> retry_after);

    StopReason stop_reason = StopReason::None;
    SendHistory::Earlier earlier_before_send = SendHistory::Earlier::HasNotRun;
    /// Whose limit it counts against, though its key may be another account's by the time that it is sent.
    std::string counted_account;
    /// What it counts against the account's limit.
    double quota_cost = 0;
    std::shared_ptr<HttpConnection> active_connection;
    asio::steady_timer deadline_timer;
};

}
