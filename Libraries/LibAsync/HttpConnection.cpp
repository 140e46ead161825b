// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibAsync/BufferReservation.h>
#include <LibAsync/HttpConnection.h>
#include <LibCore/Clock.h>
#include <LibHttp/ResponseStatus.h>
#include <array>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace Spurtide {

namespace {

/// All reads of the one loop go through this; what is kept is copied out at once.
std::array<char, 64UL * 1024> s_read_buffer;

constexpr std::size_t KEPT_BUFFER_BYTES = 4UL * 1024;
/// A faulty peer may never stop sending interim responses.
constexpr std::size_t MAXIMUM_INTERIM_BYTES = 16UL * 1024;
/// A response that was due before may come late, in the place of the one that is due now.
constexpr int MAXIMUM_OTHER_RESPONSES = 3;
constexpr std::size_t MAXIMUM_OTHER_RESPONSE_BYTES = 1024UL * 1024;

/// Connections whose other side does not tell how long it keeps them rest no longer than this.
constexpr Duration DEFAULT_IDLE_LIMIT = milliseconds(1500);

/// A peer that has closed its socket resets the connection one round trip after more is sent to it. Allows for one retransmission.
constexpr Duration RESET_WAIT = milliseconds(300);
constexpr Duration RESET_CHECK_INTERVAL = milliseconds(5);

/// Whether the socket is still connected. It is after the other side has shut down sending, and is not after a reset or a timeout.
bool has_peer(asio::ip::tcp::socket const& socket)
{
    asio::error_code error;
    static_cast<void>(socket.remote_endpoint(error));
    return !error;
}

/// Whether the other side has not acknowledged all that was written to the socket.
bool has_unacknowledged_bytes(asio::ip::tcp::socket& socket)
{
    int bytes = 0;
    return ::ioctl(socket.native_handle(), TIOCOUTQ, &bytes) == 0 && bytes > 0;
}

}

HttpConnection::HttpConnection(asio::any_io_executor const& executor)
    : socket(executor)
    , deadline(executor)
{
}

asio::awaitable<HttpConnection::Connected> HttpConnection::connect(Address address, Duration timeout, PeerPatience patience)
{
    auto executor = co_await asio::this_coro::executor;
    auto connection = std::make_shared<HttpConnection>(executor);
    asio::error_code error;
    auto const host = asio::ip::make_address(address.host, error);
    if (error)
        co_return Failure { HttpError::CannotConnect };
    asio::ip::tcp::endpoint const endpoint(host, static_cast<std::uint16_t>(address.port));
    connection->socket.open(endpoint.protocol(), error);
    if (error)
        co_return Failure { HttpError::CannotConnect };
    // The source port may be one that another process of this host is about to listen on, and it would fail to.
    connection->socket.set_option(asio::socket_base::reuse_address(true), error);
    connection->set_deadline(monotonic_now() + timeout);
    co_await connection->socket.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
    connection->clear_deadline();
    if (error == asio::error::connection_refused)
        co_return Failure { HttpError::NobodyListens };
    if (error || connection->is_timed_out || !connection->socket.is_open())
        co_return Failure { HttpError::CannotConnect };
    connection->socket.non_blocking(true, error);
    set_tcp_options(connection->socket, patience);
    connection->idle_limit = DEFAULT_IDLE_LIMIT;
    co_return connection;
}

void HttpConnection::set_deadline(MonotonicTime time)
{
    auto const number = ++this->deadline_number;
    this->deadline.expires_at(time);
    this->deadline.async_wait([weak = this->weak_from_this(), number](asio::error_code error) {
        auto const self = weak.lock();
        if (error || !self || self->deadline_number != number)
            return;
        self->is_timed_out = true;
        self->abort();
    });
}

void HttpConnection::clear_deadline()
{
    ++this->deadline_number;
    this->deadline.cancel();
}

void HttpConnection::abort(HttpError error)
{
    if (!this->abort_error)
        this->abort_error = error;
    asio::error_code ignored;
    this->socket.close(ignored);
}

HttpError HttpConnection::failure(HttpError otherwise) const
{
    if (this->is_timed_out)
        return HttpError::TimedOut;
    return this->abort_error.value_or(otherwise);
}

void HttpConnection::send(std::string head, std::shared_ptr<std::string const> body, MessageParser::ExpectedBody expected_body)
{
    this->parser.start(expected_body);
    this->head_bytes = std::move(head);
    this->body_bytes = std::move(body);
    this->is_writing = true;
    this->active_at = monotonic_now();
    std::array<asio::const_buffer, 2> const buffers { asio::buffer(this->head_bytes), this->body_bytes ? asio::buffer(*this->body_bytes) : asio::const_buffer() };
    asio::async_write(this->socket, buffers, [self = this->shared_from_this()](asio::error_code error, std::size_t) {
        // NOTE: A failed write is told by the read, which may still find an early answer.
        self->is_writing = false;
        if (error)
            self->must_close = true;
        self->body_bytes.reset();
    });
}

Result<Done, HttpError> HttpConnection::parse_unread()
{
    if (this->unread.empty() || this->parser.is_complete())
        return Done {};
    auto const consumed = TRY(this->parser.feed(this->unread));
    this->unread.erase(0, consumed);
    // Connections that rest would keep what the largest response took.
    if (this->unread.empty() && this->unread.capacity() > KEPT_BUFFER_BYTES)
        this->unread = std::string();
    return Done {};
}

asio::awaitable<Result<Done, HttpError>> HttpConnection::read_more()
{
    if (!this->socket.is_open() || this->has_failed)
        co_return Failure { this->failure(HttpError::Closed) };
    asio::error_code error;
    auto size = this->socket.read_some(asio::buffer(s_read_buffer), error);
    if (error == asio::error::would_block || error == asio::error::try_again) {
        co_await this->socket.async_wait(asio::ip::tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
        if (this->abort_error)
            co_return Failure { this->failure(*this->abort_error) };
        size = 0;
        if (!error)
            size = this->socket.read_some(asio::buffer(s_read_buffer), error);
        if (error == asio::error::would_block || error == asio::error::try_again)
            co_return Done {};
    }
    if (error == asio::error::eof)
        co_return co_await this->end_data();
    if (error) {
        this->has_failed = true;
        co_return Failure { this->failure(HttpError::Closed) };
    }
    this->active_at = monotonic_now();
    this->unread.append(s_read_buffer.data(), size);
    co_return this->parse_unread();
}

asio::awaitable<Result<Done, HttpError>> HttpConnection::end_data()
{
    this->has_failed = true;
    bool const may_be_whole = this->parser.has_head() && this->framing() == BodyFraming::UntilClose;
    auto const until = monotonic_now() + RESET_WAIT;
    Signal pause(this->socket.get_executor());
    // The end is orderly if the upstream has only shut down sending. If it has closed its socket, a reset follows.
    while (may_be_whole && has_peer(this->socket) && this->is_sending() && monotonic_now() < until)
        static_cast<void>(co_await pause.wait_until(monotonic_now() + RESET_CHECK_INTERVAL));
    // NOTE: The kernel reports a lost connection once. If the write of the request got the error, the read only gets the end of the data.
    if (!has_peer(this->socket))
        co_return Failure { this->failure(HttpError::Closed) };
    co_return this->parser.feed_end();
}

bool HttpConnection::is_sending() { return this->is_writing || has_unacknowledged_bytes(this->socket); }

asio::awaitable<Result<HttpResponseHead, HttpError>> HttpConnection::read_head()
{
    std::size_t interim_bytes = 0;
    while (true) {
        auto const parsed = this->parse_unread();
        if (parsed.is_error())
            co_return Failure { parsed.error() };
        while (!this->parser.has_head()) {
            auto const read = co_await this->read_more();
            if (read.is_error())
                co_return Failure { read.error() };
        }
        if (is_final_status(this->parser.response_head().status))
            break;
        interim_bytes += this->parser.head_size();
        if (interim_bytes > MAXIMUM_INTERIM_BYTES)
            co_return Failure { HttpError::HeadTooLarge };
        this->expect_next_response();
    }
    this->note_idle_limit(this->parser.response_head());
    co_return this->parser.response_head();
}

asio::awaitable<Result<std::string, HttpError>> HttpConnection::read_piece()
{
    while (this->parser.body_size() == 0 && !this->parser.is_complete()) {
        auto const read = co_await this->read_more();
        if (read.is_error())
            co_return Failure { read.error() };
    }
    co_return this->parser.take_body();
}

asio::awaitable<Result<std::string, HttpError>> HttpConnection::read_body(std::size_t limit, BufferMemory::Kind kind)
{
    if (this->parser.announced_body_size().value_or(0) > limit)
        co_return Failure { HttpError::BodyTooLarge };
    std::string body;
    BufferReservation reservation(kind);
    while (true) {
        auto piece = co_await this->read_piece();
        if (piece.is_error())
            co_return Failure { piece.error() };
        if (piece.value().empty())
            co_return std::move(body);
        auto const size = body.size() + piece.value().size();
        if (size > limit || reservation.try_set_size(size) == BufferReservation::Outcome::OutOfMemory)
            co_return Failure { HttpError::BodyTooLarge };
        body += piece.value();
    }
}

asio::awaitable<Result<HttpResponseHead, HttpError>> HttpConnection::read_matching_head(ResponseFilter accepts)
{
    for (int passed_over = 0; passed_over <= MAXIMUM_OTHER_RESPONSES; ++passed_over) {
        auto head = co_await this->read_head();
        if (head.is_error() || accepts(head.value()))
            co_return head;
        auto const body = co_await this->read_body(MAXIMUM_OTHER_RESPONSE_BYTES);
        if (body.is_error())
            co_return Failure { body.error() };
        this->expect_next_response();
        this->must_close = true;
    }
    co_return Failure { HttpError::OtherResponses };
}

void HttpConnection::note_idle_limit(HttpResponseHead const& head)
{
    auto const field = head.headers.find("keep-alive");
    if (!field)
        return;
    auto const position = field->find("timeout=");
    if (position == std::string_view::npos)
        return;
    auto const text = field->substr(position + std::string_view("timeout=").size());
    auto const number = parse_whole_number(text.substr(0, text.find_first_not_of("0123456789")));
    // Closing well before the other side does; whole seconds may be cut off by up to one.
    if (number)
        this->idle_limit = std::max(Duration::zero(), seconds(*number) * 7 / 10);
}

bool HttpConnection::is_reusable() const
{
    return this->parser.is_complete() && this->parser.keeps_alive() && !this->must_close && !this->is_writing && !this->has_failed && !this->abort_error && this->unread.empty() && this->socket.is_open();
}

bool HttpConnection::is_quiet()
{
    if (!this->socket.is_open())
        return false;
    char byte = 0;
    auto const size = ::recv(this->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}
