// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibAsync/ServerConnection.h>
#include <LibAsync/Spawn.h>
#include <LibAsync/TcpOptions.h>
#include <LibCore/Clock.h>
#include <LibCore/LogLine.h>
#include <algorithm>
#include <array>
#include <cstdio>

namespace Spurtide {

namespace {

std::array<char, 64UL * 1024> s_read_buffer;

/// A caller that sends ahead is not read further than this while its request is answered.
constexpr std::size_t READ_AHEAD_LIMIT = 64UL * 1024;
/// Read at a time of requests without long bodies.
constexpr std::size_t FIRST_READ_LIMIT = 16UL * 1024;
/// What a caller may send ahead where the BufferMemory has nothing left for it. Usual requests fit.
constexpr std::size_t READ_AHEAD_LIMIT_WITHOUT_MEMORY = 4UL * 1024;
/// A body of which nothing comes for so long gives way to others if they need its memory.
constexpr Duration BODY_STALL_TIMEOUT = seconds(2);
/// A caller that takes no bytes for so long is taken for gone.
constexpr PeerPatience CALLER_PATIENCE { seconds(5), seconds(5) };
/// How long the other side may take to close after this side did, or to send more of what is dropped.
constexpr Duration CLOSE_PATIENCE = seconds(1);
/// How long the rest of a body that was refused is read and dropped. Some callers read no answer before they have sent all.
constexpr Duration BODY_DISCARD_TIME = seconds(10);
constexpr std::string_view INTERIM_ANSWER = "HTTP/1.1 100 Continue\r\n\r\n";

}

ServerConnection::ServerConnection(HttpServer& server, asio::ip::tcp::socket accepted)
    : server(&server)
    , socket(std::move(accepted))
    , arrived(this->socket.get_executor())
    , room(this->socket.get_executor())
    , resting_since(monotonic_now())
    , discard_time(CLOSE_PATIENCE)
{
}

ServerConnection::~ServerConnection()
{
    if (this->server)
        this->server->connections.erase(this);
}

void ServerConnection::start()
{
    asio::error_code ignored;
    this->socket.non_blocking(true, ignored);
    set_tcp_options(this->socket, CALLER_PATIENCE);
    // A caller whose request ended with an exception would wait in vain.
    auto const run = [](std::shared_ptr<ServerConnection> self) -> asio::awaitable<void> {
        try {
            co_await self->serve();
        } catch (...) {
            self->abort();
            throw;
        }
    };
    auto const read = [](std::shared_ptr<ServerConnection> self) -> asio::awaitable<void> {
        try {
            co_await self->read_all();
        } catch (...) {
            self->note_caller_gone();
            self->abort();
            throw;
        }
    };
    spawn(this->socket.get_executor(), "read_requests", read(this->shared_from_this()));
    spawn(this->socket.get_executor(), "serve_requests", run(this->shared_from_this()));
}

void ServerConnection::note_caller_gone()
{
    this->is_over = true;
    this->arrived.notify();
    if (!this->in_exchange || this->caller_gone)
        return;
    this->caller_gone = true;
    if (this->on_caller_left)
        this->on_caller_left();
}

std::size_t ServerConnection::read_ahead_limit() const
{
    // Bytes of a request that is being read are taken in the next turn of the loop, and many callers may send in one turn.
    auto const reserved = this->current ? this->current->memory.size() : 0;
    if (!this->in_exchange && !this->is_discarding && reserved < READ_AHEAD_LIMIT)
        return FIRST_READ_LIMIT;
    if (!this->in_exchange || BufferMemory::the().can_grow(BufferMemory::Kind::ReadAhead, this->read_ahead.size(), READ_AHEAD_LIMIT))
        return READ_AHEAD_LIMIT;
    return READ_AHEAD_LIMIT_WITHOUT_MEMORY;
}

void ServerConnection::settle_read_ahead()
{
    if (this->unread.empty() && this->unread.capacity() > READ_AHEAD_LIMIT_WITHOUT_MEMORY)
        this->unread = std::string();
    this->read_ahead.set_size(this->unread.empty() ? 0 : this->unread.capacity());
}

// Reads all that is there. A process that was held up finds a request and its caller's leaving together; whoever
// handles the request is to know of both.
ServerConnection::Reading ServerConnection::read_what_is_there()
{
    auto reading = Reading::GoesOn;
    auto const limit = this->read_ahead_limit();
    std::size_t discarded = 0;
    while (this->unread.size() + discarded < limit) {
        asio::error_code error;
        auto const size = this->socket.read_some(asio::buffer(s_read_buffer, limit - this->unread.size() - discarded), error);
        if (error == asio::error::would_block || error == asio::error::try_again)
            break;
        if (error) {
            reading = Reading::Ended;
            break;
        }
        if (this->is_discarding)
            discarded += size;
        else
            this->unread.append(s_read_buffer.data(), size);
    }
    this->settle_read_ahead();
    return reading;
}

asio::awaitable<void> ServerConnection::read_all()
{
    auto reading = Reading::GoesOn;
    while (!this->is_over && reading == Reading::GoesOn) {
        if (this->unread.size() >= this->read_ahead_limit()) {
            co_await this->room.wait();
            continue;
        }
        asio::error_code error;
        co_await this->socket.async_wait(asio::ip::tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
        if (this->is_over)
            break;
        reading = error ? Reading::Ended : this->read_what_is_there();
        this->arrived.notify();
    }
    this->note_caller_gone();
}

std::optional<ServerConnection::ReadEnd> ServerConnection::take_head()
{
    this->body_active_at = monotonic_now();
    this->current->request.head = this->parser.take_request_head();
    auto const announced = this->parser.announced_body_size().value_or(0);
    if (announced > this->server->limits().maximum_body)
        return ReadEnd::BodyTooLarge;
    return this->reserve_body(announced, Growth::Exact);
}

std::optional<ServerConnection::ReadEnd> ServerConnection::reserve_body(std::size_t size, Growth growth)
{
    auto& [request, memory] = *this->current;
    if (size <= memory.size())
        return {};
    auto const maximum = this->server->limits().maximum_body;
    if (size > maximum)
        return ReadEnd::BodyTooLarge;
    // Growing little by little would copy what is there again and again.
    auto const ahead = std::min(std::max(size, 2 * memory.size()), maximum);
    bool const can_grow_ahead = growth == Growth::Ahead && BufferMemory::the().can_grow(this->server->body_kind, memory.size(), ahead);
    auto const target = can_grow_ahead ? ahead : size;
    if (memory.try_set_size(target) == BufferReservation::Outcome::OutOfMemory)
        return ReadEnd::OutOfMemory;
    request.body.reserve(target);
    // The library may have rounded up.
    memory.set_size(std::max(target, request.body.capacity()));
    return {};
}

std::optional<ServerConnection::ReadEnd> ServerConnection::take_body_piece()
{
    if (this->parser.body_size() == 0)
        return {};
    this->body_active_at = monotonic_now();
    auto& body = this->current->request.body;
    if (auto const end = this->reserve_body(body.size() + this->parser.body_size(), Growth::Ahead))
        return end;
    body += this->parser.take_body();
    return {};
}

bool ServerConnection::is_stalled(MonotonicTime now) const
{
    bool const is_large = this->current->memory.size() > BufferMemory::SMALL_BYTES;
    auto const needed = is_large ? this->server->limits().maximum_body : BufferMemory::SMALL_BYTES;
    bool const is_memory_scarce = !BufferMemory::the().can_grow(this->server->body_kind, 0, needed);
    return is_memory_scarce && now - this->body_active_at >= BODY_STALL_TIMEOUT;
}

asio::awaitable<ServerConnection::ReadEnd> ServerConnection::read_request()
{
    this->resting_since = monotonic_now();
    this->parser.start();
    this->parser.set_maximum_head(this->server->limits().maximum_head);
    this->current = std::make_shared<Received>(Received { {}, BufferReservation(this->server->body_kind) });
    auto until = monotonic_now() + this->server->limits().idle_timeout;
    bool has_head = false;
    bool has_begun = false;
    while (true) {
        if (!this->unread.empty()) {
            auto const consumed = this->parser.feed(this->unread);
            if (consumed.is_error())
                co_return consumed.error() == HttpError::HeadTooLarge ? ReadEnd::HeadTooLarge : ReadEnd::Malformed;
            this->unread.erase(0, consumed.value());
            this->settle_read_ahead();
            this->room.notify();
        }
        if (!this->server)
            co_return ReadEnd::Over;
        auto const limits = this->server->limits();
        if (this->parser.has_begun() && !has_begun) {
            has_begun = true;
            until = monotonic_now() + limits.head_timeout;
        }
        if (this->parser.has_head() && !has_head) {
            has_head = true;
            until = monotonic_now() + limits.body_timeout;
            if (auto const end = this->take_head())
                co_return *end;
            auto const expectation = this->current->request.head.headers.find("expect");
            if (expectation && !this->parser.is_complete() && equal_names(*expectation, "100-continue")) {
                auto const sent = co_await this->send(std::string(INTERIM_ANSWER), {});
                if (sent.is_error() || !this->server)
                    co_return ReadEnd::Over;
            }
        }
        if (auto const end = this->take_body_piece())
            co_return *end;
        if (this->parser.is_complete())
            co_return ReadEnd::Request;
        if (this->is_over)
            co_return ReadEnd::Over;
        // More may have come while the interim answer was sent.
        if (!this->unread.empty())
            continue;
        auto const wake_up = has_head ? std::min(until, monotonic_now() + BODY_STALL_TIMEOUT) : until;
        auto const end = co_await this->arrived.wait_until(wake_up);
        if (!this->server)
            co_return ReadEnd::Over;
        if (end != WaitEnd::TimedOut)
            continue;
        // A process that was held up finds the timer's end and the bytes together.
        static_cast<void>(this->read_what_is_there());
        if (!this->unread.empty())
            continue;
        auto const now = monotonic_now();
        if (now >= until || (has_head && this->is_stalled(now)))
            co_return has_begun ? ReadEnd::TookTooLong : ReadEnd::Over;
    }
}

asio::awaitable<void> ServerConnection::serve()
{
    auto const keep_alive = this->shared_from_this();
    while (this->server) {
        auto const end = co_await this->read_request();
        if (end == ReadEnd::Over || !this->server)
            break;
        if (end != ReadEnd::Request) {
            co_await this->answer_bad_request(end);
            break;
        }
        co_await this->answer_request();
        if (this->closes || !this->answer_whole || this->is_over)
            break;
    }
    co_await this->close_gently();
}

asio::awaitable<void> ServerConnection::answer_request()
{
    this->received = monotonic_now();
    this->in_exchange = true;
    this->answer_begun = false;
    this->answer_whole = false;
    this->closes = !this->parser.keeps_alive();
    this->caller_gone = this->is_over;
    ++this->server->exchanges;
    try {
        if (!this->caller_gone)
            co_await this->server->handler(*this);
    } catch (...) {
        this->end_exchange();
        throw;
    }
    this->end_exchange();
}

void ServerConnection::end_exchange()
{
    this->in_exchange = false;
    this->on_caller_left = {};
    if (this->server)
        --this->server->exchanges;
    if (!this->answer_whole)
        this->abort();
}

asio::awaitable<void> ServerConnection::answer_bad_request(ReadEnd end)
{
    this->closes = true;
    if (end == ReadEnd::OutOfMemory) {
        auto const& memory = BufferMemory::the();
        LogLine("request_body_refused")
            .with("kind", to_string(this->server->body_kind))
            .with("announced", this->parser.announced_body_size().value_or(0))
            .with("read", static_cast<std::uint64_t>(this->current->request.body.size()))
            .with("buffered", static_cast<std::uint64_t>(memory.used()))
            .with("limit", static_cast<std::uint64_t>(memory.limit()));
    }
    if (end == ReadEnd::OutOfMemory || end == ReadEnd::BodyTooLarge)
        this->discard_time = BODY_DISCARD_TIME;
    this->drop_body();
    HttpResponseHead head;
    switch (end) {
    case ReadEnd::HeadTooLarge:
        head.status = 431;
        break;
    case ReadEnd::BodyTooLarge:
        head.status = 413;
        break;
    case ReadEnd::TookTooLong:
        head.status = 408;
        break;
    case ReadEnd::OutOfMemory:
        head = this->server->out_of_memory_head(this->current->request.head);
        break;
    default:
        head.status = 400;
        break;
    }
    // The outcome does not matter: the connection ends either way.
    static_cast<void>(co_await this->respond(head, {}));
}

void ServerConnection::discard_unread()
{
    this->is_discarding = true;
    this->unread.clear();
    this->settle_read_ahead();
    this->room.notify();
}

// Others may need its memory while the response is sent and the connection closed.
void ServerConnection::drop_body()
{
    this->discard_unread();
    static_cast<void>(this->parser.take_body());
    this->current->request.body = std::string();
    this->current->memory.set_size(0);
}

std::string ServerConnection::connection_field()
{
    if (this->server && this->server->closing)
        this->closes = true;
    return this->closes ? "close" : "keep-alive";
}

asio::awaitable<Result<Done, HttpError>> ServerConnection::send(std::string head, std::string_view body)
{
    if (!this->socket.is_open() || (this->is_over && this->in_exchange))
        co_return Failure { HttpError::Closed };
    std::array<asio::const_buffer, 2> const buffers { asio::buffer(head), asio::buffer(body) };
    asio::error_code error;
    co_await asio::async_write(this->socket, buffers, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        this->note_caller_gone();
        co_return Failure { HttpError::Closed };
    }
    co_return Done {};
}

asio::awaitable<Result<Done, HttpError>> ServerConnection::respond(HttpResponseHead head, std::string_view body)
{
    head.headers.add("Content-Length", std::to_string(body.size()));
    head.headers.add("Connection", this->connection_field());
    this->answer_begun = true;
    // The answer to a HEAD request tells the length and has no body.
    auto const sent_body = this->current->request.head.method == "HEAD" ? std::string_view() : body;
    auto const sent = co_await this->send(format_response_head(head), sent_body);
    this->answer_whole = !sent.is_error();
    co_return sent;
}

asio::awaitable<Result<Done, HttpError>> ServerConnection::begin(HttpResponseHead head, BodyFraming framing)
{
    this->answer_begun = true;
    bool const has_no_chunks = framing == BodyFraming::Chunked && !this->parser.may_receive_chunks();
    this->answer_framing = has_no_chunks ? BodyFraming::UntilClose : framing;
    if (this->answer_framing == BodyFraming::Chunked)
        head.headers.add("Transfer-Encoding", "chunked");
    if (this->answer_framing == BodyFraming::UntilClose) {
        this->closes = true;
        this->set_reset_on_close(ResetOnClose::Yes);
    }
    head.headers.add("Connection", this->connection_field());
    co_return co_await this->send(format_response_head(head), {});
}

asio::awaitable<Result<Done, HttpError>> ServerConnection::write(std::string_view piece)
{
    if (piece.empty())
        co_return Done {};
    if (this->answer_framing != BodyFraming::Chunked) {
        co_return co_await this->send({}, piece);
    }
    std::array<char, 20> size {};
    auto const length = std::snprintf(size.data(), size.size(), "%zx\r\n", piece.size());
    std::string chunk(size.data(), static_cast<std::size_t>(length));
    chunk += piece;
    chunk += "\r\n";
    co_return co_await this->send(std::move(chunk), {});
}

asio::awaitable<Result<Done, HttpError>> ServerConnection::finish()
{
    Result<Done, HttpError> sent = Done {};
    if (this->answer_framing == BodyFraming::Chunked)
        sent = co_await this->send("0\r\n\r\n", {});
    if (this->answer_framing == BodyFraming::UntilClose)
        this->set_reset_on_close(ResetOnClose::No);
    this->answer_whole = !sent.is_error();
    co_return sent;
}

// A reset cannot be taken for the end of an answer that lasts until the connection closes, also where the kernel closes it because
// the process was killed.
void ServerConnection::set_reset_on_close(ResetOnClose reset)
{
    asio::error_code ignored;
    this->socket.set_option(asio::socket_base::linger(reset == ResetOnClose::Yes, 0), ignored);
}

void ServerConnection::abort()
{
    this->closes = true;
    this->is_over = true;
    asio::error_code ignored;
    this->set_reset_on_close(ResetOnClose::Yes);
    this->socket.close(ignored);
    this->arrived.notify();
    this->room.notify();
}

asio::awaitable<void> ServerConnection::close_gently()
{
    asio::error_code ignored;
    if (this->socket.is_open() && !this->is_over) {
        // Closing with unread bytes would reset the connection and could destroy the answer on its way.
        this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        this->discard_unread();
        auto const until = monotonic_now() + this->discard_time;
        while (!this->is_over && monotonic_now() < until) {
            if (co_await this->arrived.wait_until(std::min(until, monotonic_now() + CLOSE_PATIENCE)) == WaitEnd::TimedOut)
                break;
        }
    }
    this->is_over = true;
    this->room.notify();
    this->socket.close(ignored);
}

bool ServerConnection::is_idle() const
{
    return !this->is_over && !this->in_exchange && !this->parser.has_begun() && this->unread.empty();
}

void ServerConnection::abort_exchange()
{
    if (this->in_exchange && !this->answer_whole)
        this->abort();
}

void ServerConnection::close_if_idle()
{
    if (!this->is_idle())
        return;
    this->is_over = true;
    asio::error_code ignored;
    this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    this->arrived.notify();
}

}
