// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibAsync/BufferMemory.h>
#include <LibAsync/HttpError.h>
#include <LibAsync/HttpMessage.h>
#include <LibAsync/MessageParser.h>
#include <LibAsync/Signal.h>
#include <LibAsync/TcpOptions.h>
#include <LibCore/MonotonicTimer.h>
#include <LibCore/Result.h>
#include <LibCore/Time.h>
#include <LibHttp/Address.h>
#include <asio.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Spurtide {

/// A client's connection: one request at a time, its answer read piece by piece.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
public:
    using Connected = Result<std::shared_ptr<HttpConnection>, HttpError>;

    static asio::awaitable<Connected> connect(Address address, Duration timeout, PeerPatience patience);
    explicit HttpConnection(asio::any_io_executor const& executor);
    HttpConnection(HttpConnection const&) = delete;
    HttpConnection& operator=(HttpConnection const&) = delete;

    /// Begins to send a request. The bytes go out while the answer is awaited, since it may come early.
    void send(std::string head, std::shared_ptr<std::string const> body, MessageParser::ExpectedBody expected_body = MessageParser::ExpectedBody::AsFramed);
    /// Waits for the next answer's head; interim answers are passed over. Too many of them fail with HeadTooLarge.
    asio::awaitable<Result<HttpResponseHead, HttpError>> read_head();
    using ResponseFilter = std::function<bool(HttpResponseHead const&)>;
    /// Waits for the head of the first response that the filter accepts. The others belong to requests that were sent before on
    /// this connection; they are passed over with their bodies, and the connection is not used again. Too many of them fail with
    /// OtherResponses.
    asio::awaitable<Result<HttpResponseHead, HttpError>> read_matching_head(ResponseFilter accepts);
    /// Waits for more of the body. An empty piece stands for its whole end.
    asio::awaitable<Result<std::string, HttpError>> read_piece();
    /// Reads what is left of the body, up to a limit and to what the BufferMemory has left. What exceeds one fails with BodyTooLarge.
    asio::awaitable<Result<std::string, HttpError>> read_body(std::size_t limit, BufferMemory::Kind kind = BufferMemory::Kind::ResponseBodies);

    /// After this time the exchange ends with TimedOut.
    void set_deadline(MonotonicTime time);
    void clear_deadline();
    /// Ends the exchange; what waits on it gets the error.
    void abort(HttpError error = HttpError::Aborted);
    /// When bytes last arrived, or the request was sent if that was later.
    MonotonicTime last_activity() const { return this->active_at; }

    BodyFraming framing() const { return this->parser.framing(); }
    /// Whether the answer was whole and another request may follow.
    bool is_reusable() const;
    /// Whether the connection is still open and nothing has come in that was not read.
    bool is_quiet();
    /// When it became idle, and how long the other side keeps it then.
    MonotonicTime idle_since;
    Duration idle_limit {};

private:
    asio::awaitable<Result<Done, HttpError>> read_more();
    /// The other side sends no more. Decides whether a body that lasts until then is whole: not if the connection was lost.
    asio::awaitable<Result<Done, HttpError>> end_data();
    /// Whether the other side has not taken the whole request yet.
    bool is_sending();
    Result<Done, HttpError> parse_unread();
    /// Goes on to another response to the same request.
    void expect_next_response() { this->parser.start(this->parser.expectation()); }
    HttpError failure(HttpError otherwise) const;
    void note_idle_limit(HttpResponseHead const& head);

    asio::ip::tcp::socket socket;
    MonotonicTimer deadline;
    MessageParser parser { MessageParser::Kind::Response };
    std::string unread;
    std::string head_bytes;
    std::shared_ptr<std::string const> body_bytes;
    bool is_writing = false;
    bool has_failed = false;
    /// Set once this side gave the exchange up.
    std::optional<HttpError> abort_error;
    MonotonicTime active_at;
    bool is_timed_out = false;
    bool must_close = false;
    std::uint64_t deadline_number = 0;
};

}
