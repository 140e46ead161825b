// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibAsync/ConnectionPool.h>
#include <LibAsync/Signal.h>
#include <LibCore/Clock.h>
#include <array>
#include <catch2/catch.hpp>
#include <functional>
#include <optional>
#include <string>

using namespace Spurtide;

namespace {

/// More than the socket buffers of both sides hold together, so that the request is still being written when its response ends.
constexpr std::size_t LONG_REQUEST_BYTES = 12UL * 1024 * 1024;
constexpr Duration TEST_LIMIT = seconds(15);
/// A response that cannot be used is known when its first bytes are there.
constexpr Duration AT_ONCE = seconds(1);

std::string const UNFRAMED_HEAD = "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n";

/// A peer that serves one connection with bytes as they are.
class RawPeer {
public:
    using Script = std::function<asio::awaitable<void>(RawPeer& peer, asio::ip::tcp::socket& socket)>;

    RawPeer(asio::io_context& loop, Script script)
        : client_is_reading(loop.get_executor())
        , acceptor(loop, { asio::ip::address_v4::loopback(), 0 })
        , script(std::move(script))
    {
        asio::co_spawn(loop, this->serve(), asio::detached);
    }

    Address address() const { return { "127.0.0.1", this->acceptor.local_endpoint().port() }; }

    /// Notified when the client has read what was sent so far.
    Signal client_is_reading;

private:
    asio::awaitable<void> serve()
    {
        asio::error_code error;
        auto socket = co_await this->acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (!error)
            co_await this->script(*this, socket);
    }

    asio::ip::tcp::acceptor acceptor;
    Script script;
};

asio::awaitable<void> send_bytes(asio::ip::tcp::socket& socket, std::string bytes)
{
    asio::error_code error;
    co_await asio::async_write(socket, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
}

/// Reads until the other side closes.
asio::awaitable<void> read_to_end(asio::ip::tcp::socket& socket)
{
    std::array<char, 64UL * 1024> buffer {};
    asio::error_code error;
    while (!error)
        static_cast<void>(co_await socket.async_read_some(asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error)));
}

void read_available(asio::ip::tcp::socket& socket)
{
    std::array<char, 64UL * 1024> buffer {};
    asio::error_code error;
    socket.non_blocking(true, error);
    while (!error)
        socket.read_some(asio::buffer(buffer), error);
}

asio::awaitable<void> read_some(asio::ip::tcp::socket& socket)
{
    std::array<char, 1024> buffer {};
    asio::error_code error;
    static_cast<void>(co_await socket.async_read_some(asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error)));
}

/// How the peer ends a response while the request is still being written.
enum class Ending {
    Reset,
    CloseWithUnreadBytes,
    /// Its kernel closes in good order, and resets the connection when more of the request arrives.
    CloseWithoutUnreadBytes,
    /// Reads no more, until the client's kernel gives the connection up.
    Silence,
    ShutDownSending,
    ShutDownSendingAndStopReading,
};

/// Whether the client has taken the part that was sent when the response ends.
enum class Part {
    Unread,
    HandedOn,
};

RawPeer::Script respond_early(std::string bytes, Ending ending, Part part)
{
    return [bytes = std::move(bytes), ending, part](RawPeer& peer, asio::ip::tcp::socket& socket) -> asio::awaitable<void> {
        co_await read_some(socket);
        co_await send_bytes(socket, bytes);
        if (part == Part::HandedOn)
            co_await peer.client_is_reading.wait();
        asio::error_code error;
        switch (ending) {
        case Ending::Reset:
            socket.set_option(asio::socket_base::linger(true, 0), error);
            break;
        case Ending::CloseWithUnreadBytes:
            break;
        case Ending::CloseWithoutUnreadBytes:
            read_available(socket);
            break;
        case Ending::Silence: {
            // Ends with the test's loop.
            Signal never(socket.get_executor());
            co_await never.wait();
            break;
        }
        case Ending::ShutDownSending:
            socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
            co_await read_to_end(socket);
            break;
        case Ending::ShutDownSendingAndStopReading: {
            socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
            Signal never(socket.get_executor());
            co_await never.wait();
            break;
        }
        }
        socket.close(error);
    };
}

struct Received {
    std::optional<HttpError> error;
    std::string body;
    bool is_over = false;
};

PeerPatience short_patience()
{
    PeerPatience patience;
    patience.unacknowledged = milliseconds(300);
    return patience;
}

asio::awaitable<void> upload(RawPeer& peer, Part part, PeerPatience patience, Received& received)
{
    auto connected = co_await HttpConnection::connect(peer.address(), seconds(5), patience);
    auto const connection = connected.release_value();
    connection->set_deadline(monotonic_now() + TEST_LIMIT);
    connection->send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(LONG_REQUEST_BYTES) + "\r\n\r\n", std::make_shared<std::string const>(LONG_REQUEST_BYTES, 'x'));
    auto const head = co_await connection->read_head();
    if (head.is_error())
        received.error = head.error();
    while (!received.error) {
        auto piece = co_await connection->read_piece();
        if (piece.is_error())
            received.error = piece.error();
        else if (piece.value().empty())
            break;
        else
            received.body += piece.value();
        if (part == Part::HandedOn)
            peer.client_is_reading.notify();
    }
    CHECK_FALSE(connection->is_reusable());
    connection->abort();
    received.is_over = true;
}

void run_until(asio::io_context& loop, bool const& is_over)
{
    auto const until = monotonic_now() + TEST_LIMIT;
    while (!is_over && monotonic_now() < until)
        loop.run_for(std::chrono::milliseconds(1));
    REQUIRE(is_over);
}

Received upload_to(RawPeer::Script script, Part part, PeerPatience patience = short_patience())
{
    asio::io_context loop { 1 };
    RawPeer peer(loop, std::move(script));
    Received received;
    asio::co_spawn(loop, upload(peer, part, patience, received), asio::detached);
    run_until(loop, received.is_over);
    return received;
}

}

// Guards against a part of a response that is taken for the whole: the kernel tells a reset only once, and the write of the request may
// be told instead of the read, which then ends as if the peer had closed in good order.
TEST_CASE("A body that ends with its connection is not whole if the connection was lost while the request was written", "[broken-response][whole]")
{
    auto const ending = GENERATE(Ending::Reset, Ending::CloseWithUnreadBytes, Ending::CloseWithoutUnreadBytes, Ending::Silence);
    auto const part = GENERATE(Part::Unread, Part::HandedOn);
    CAPTURE(static_cast<int>(ending), static_cast<int>(part));
    for (int i = 0; i < 5; ++i) {
        auto const received = upload_to(respond_early(UNFRAMED_HEAD + "part", ending, part), part);
        CHECK(received.error == HttpError::Closed);
        // Nor is an empty body whole.
        CHECK(upload_to(respond_early(UNFRAMED_HEAD, ending, Part::Unread), Part::Unread).error == HttpError::Closed);
    }
}

TEST_CASE("A body that ends with its connection in good order is whole while the request is still written", "[broken-response][whole]")
{
    // Also where the peer leaves the rest of the request unread.
    auto const ending = GENERATE(Ending::ShutDownSending, Ending::ShutDownSendingAndStopReading);
    auto const part = GENERATE(Part::Unread, Part::HandedOn);
    CAPTURE(static_cast<int>(ending), static_cast<int>(part));
    for (int i = 0; i < 5; ++i) {
        auto const received = upload_to(respond_early(UNFRAMED_HEAD + "whole", ending, part), part, PeerPatience {});
        CHECK_FALSE(received.error);
        CHECK(received.body == "whole");
    }
}

// Guards against the same in the responses to the router's own calls, such as those to the registry and of the moves of streams.
TEST_CASE("A call of the router's own has no body if its connection was lost", "[broken-response][whole]")
{
    auto const ending = GENERATE(Ending::Reset, Ending::CloseWithUnreadBytes, Ending::CloseWithoutUnreadBytes, Ending::Silence);
    CAPTURE(static_cast<int>(ending));
    asio::io_context loop { 1 };
    RawPeer peer(loop, respond_early(UNFRAMED_HEAD + "part", ending, Part::Unread));
    ConnectionPool::Options pool_options;
    pool_options.patience = short_patience();
    ConnectionPool pool { pool_options };
    std::optional<Result<ConnectionPool::Answer, HttpError>> answer;
    bool is_over = false;
    auto const call = [&]() -> asio::awaitable<void> {
        HttpRequest request { { "POST", "/", {} }, std::string(LONG_REQUEST_BYTES, 'x') };
        request.head.headers.add("Host", "h");
        request.head.headers.add("Content-Length", std::to_string(LONG_REQUEST_BYTES));
        ConnectionPool::Call options;
        options.timeout = TEST_LIMIT;
        answer = co_await pool.call(peer.address(), std::move(request), std::move(options));
        is_over = true;
    };
    asio::co_spawn(loop, call(), asio::detached);
    run_until(loop, is_over);
    CHECK((answer->is_error() || !answer->value().body));
}
