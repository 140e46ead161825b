// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibAsync/BufferReservation.h>
#include <LibAsync/HttpServer.h>
#include <LibAsync/MessageParser.h>
#include <LibAsync/Signal.h>
#include <memory>
#include <optional>
#include <string>

namespace Spurtide {

/// One caller's connection. A reader runs all the time, so that a caller that leaves is noticed at once.
class ServerConnection final
    : public HttpExchange,
      public std::enable_shared_from_this<ServerConnection> {
public:
    ServerConnection(HttpServer& server, asio::ip::tcp::socket socket);
    ~ServerConnection() override;
    ServerConnection(ServerConnection const&) = delete;
    ServerConnection& operator=(ServerConnection const&) = delete;

    void start();
    /// Whether it is open and carries no request, not even a part of one.
    bool is_idle() const;
    MonotonicTime idle_since() const { return this->resting_since; }
    void close_if_idle();
    /// Resets the connection if a response on it is not complete.
    void abort_exchange();
    /// The server goes away before this connection.
    void detach() { this->server = nullptr; }

    HttpRequest const& request() const override { return this->current->request; }
    std::shared_ptr<std::string const> shared_body() const override { return { this->current, &this->current->request.body }; }
    MonotonicTime received_at() const override { return this->received; }
    asio::awaitable<Result<Done, HttpError>> respond(HttpResponseHead head, std::string_view body) override;
    asio::awaitable<Result<Done, HttpError>> begin(HttpResponseHead head, BodyFraming framing) override;
    asio::awaitable<Result<Done, HttpError>> write(std::string_view piece) override;
    asio::awaitable<Result<Done, HttpError>> finish() override;
    void abort() override;
    bool has_begun() const override { return this->answer_begun; }
    bool is_caller_gone() const override { return this->caller_gone; }
    void when_caller_leaves(std::function<void()> function) override { this->on_caller_left = std::move(function); }

private:
    enum class ReadEnd {
        Request,
        /// The connection is over, in good order or not.
        Over,
        Malformed,
        HeadTooLarge,
        BodyTooLarge,
        TookTooLong,
        /// The body does not fit into what the BufferMemory has left.
        OutOfMemory,
    };

    /// A request and what it is charged, for as long as anybody holds its body.
    struct Received {
        HttpRequest request;
        BufferReservation memory;
    };

    enum class Reading {
        GoesOn,
        /// The caller closed or reset the connection.
        Ended,
    };

    asio::awaitable<void> read_all();
    Reading read_what_is_there();
    std::size_t read_ahead_limit() const;
    /// Charges what is held unread, and frees what was held for bytes that have been read.
    void settle_read_ahead();
    asio::awaitable<void> serve();
    asio::awaitable<ReadEnd> read_request();
    /// Takes the request's head. An announced body that could not be held is refused before it is read.
    std::optional<ReadEnd> take_head();
    std::optional<ReadEnd> take_body_piece();
    enum class Growth {
        /// To the size that was announced.
        Exact,
        /// Beyond it, as more is likely to come.
        Ahead,
    };
    std::optional<ReadEnd> reserve_body(std::size_t size, Growth growth);
    /// Whether a body has been standing still while others need its memory.
    bool is_stalled(MonotonicTime now) const;
    void drop_body();
    /// From now on, what comes in is read and dropped.
    void discard_unread();
    asio::awaitable<void> answer_request();
    void end_exchange();
    asio::awaitable<void> answer_bad_request(ReadEnd end);
    asio::awaitable<void> close_gently();
    asio::awaitable<Result<Done, HttpError>> send(std::string head, std::string_view body);
    enum class ResetOnClose {
        No,
        Yes,
    };
    void set_reset_on_close(ResetOnClose reset);
    void note_caller_gone();
    std::string connection_field();

    HttpServer* server;
    asio::ip::tcp::socket socket;
    Signal arrived;
    Signal room;
    MessageParser parser { MessageParser::Kind::Request };
    std::string unread;
    BufferReservation read_ahead { BufferMemory::Kind::ReadAhead };
    std::shared_ptr<Received> current;
    MonotonicTime body_active_at;
    MonotonicTime received;
    MonotonicTime resting_since;
    /// How long bytes are read and dropped at the end of the connection.
    Duration discard_time;
    std::function<void()> on_caller_left;
    BodyFraming answer_framing = BodyFraming::None;
    bool in_exchange = false;
    bool answer_begun = false;
    bool answer_whole = false;
    bool caller_gone = false;
    bool is_over = false;
    bool closes = false;
    bool is_discarding = false;
};

}
