// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibAsync/ConnectionPool.h>
#include <LibAsync/HttpServer.h>
#include <LibAsync/Signal.h>
#include <LibCore/Clock.h>
#include <catch2/catch.hpp>
#include <functional>
#include <netinet/tcp.h>
#include <optional>
#include <sys/socket.h>

using namespace Spurtide;

namespace {

/// A server that answers at once, or not before it is told to, and its callers, on one loop.
struct ServerUnderTest {
    ServerUnderTest()
        : server(HttpServer::create(this->loop, { "127.0.0.1", 0 }, [this](HttpExchange& exchange) { return this->answer(exchange); }).release_value())
    {
    }
    ~ServerUnderTest() { this->loop.stop(); }

    asio::awaitable<void> answer(HttpExchange& exchange)
    {
        ++this->taken;
        while (this->holds) {
            asio::steady_timer pause(this->loop, milliseconds(1));
            co_await pause.async_wait(asio::use_awaitable);
        }
        HttpResponseHead head;
        head.status = 200;
        static_cast<void>(co_await exchange.respond(std::move(head), "whole"));
    }

    std::shared_ptr<HttpConnection> connect()
    {
        std::optional<HttpConnection::Connected> connected;
        auto const carry = [&]() -> asio::awaitable<void> {
            auto made = co_await HttpConnection::connect(this->server->address(), seconds(5), {});
            connected.emplace(std::move(made));
        };
        asio::co_spawn(this->loop, carry(), asio::detached);
        REQUIRE(this->run_until([&] { return connected.has_value(); }));
        REQUIRE_FALSE(connected->is_error());
        return connected->release_value();
    }

    static void send(HttpConnection& connection)
    {
        HttpRequestHead head { "GET", "/", {} };
        head.headers.add("Host", "h");
        connection.send(format_request_head(head), nullptr);
    }

    /// The answer's status, or 0 where the connection ended without one.
    int read_status(HttpConnection& connection)
    {
        std::optional<int> status;
        auto const carry = [&]() -> asio::awaitable<void> {
            auto const head = co_await connection.read_head();
            if (!head.is_error())
                static_cast<void>(co_await connection.read_body(100));
            status = head.is_error() ? 0 : head.value().status;
        };
        asio::co_spawn(this->loop, carry(), asio::detached);
        REQUIRE(this->run_until([&] { return status.has_value(); }));
        return *status;
    }

    bool run_until(std::function<bool()> const& condition)
    {
        auto const until = monotonic_now() + seconds(15);
        while (!condition()) {
            if (monotonic_now() >= until)
                return false;
            this->loop.run_for(std::chrono::milliseconds(1));
        }
        return true;
    }

    asio::io_context loop { 1 };
    bool holds = false;
    int taken = 0;
    std::unique_ptr<HttpServer> server;
};

}

TEST_CASE("Beyond the most connections the one that is idle longest makes room", "[limits]")
{
    ServerUnderTest test;
    test.server->set_most_connections(3);
    std::vector<std::shared_ptr<HttpConnection>> connections;
    for (int i = 0; i < 3; ++i)
        connections.push_back(test.connect());
    // The first one is used once more, so the second is idle longest.
    ServerUnderTest::send(*connections[0]);
    REQUIRE(test.read_status(*connections[0]) == 200);
    auto const fourth = test.connect();
    ServerUnderTest::send(*fourth);
    REQUIRE(test.read_status(*fourth) == 200);
    REQUIRE(test.run_until([&] { return test.server->connection_count() == 3; }));
    CHECK_FALSE(connections[1]->is_quiet());
    CHECK(connections[0]->is_quiet());
    CHECK(connections[2]->is_quiet());
}

TEST_CASE("Where no connection is idle a new one is closed before anything is read of it", "[limits][not-run]")
{
    ServerUnderTest test;
    test.server->set_most_connections(2);
    test.holds = true;
    std::vector<std::shared_ptr<HttpConnection>> connections;
    for (int i = 0; i < 2; ++i) {
        connections.push_back(test.connect());
        ServerUnderTest::send(*connections.back());
    }
    REQUIRE(test.run_until([&] { return test.taken == 2; }));
    auto const third = test.connect();
    ServerUnderTest::send(*third);
    CHECK(test.read_status(*third) == 0);
    test.holds = false;
    for (auto const& connection : connections)
        CHECK(test.read_status(*connection) == 200);
    CHECK(test.taken == 2);
}

// Guards against a busy loop that looks at one new connection in each of its turns: the callers behind it wait in the backlog, and
// with turns longer than the interval of the admission none of them is refused.
TEST_CASE("Connections that wait to be accepted are refused in the same turn of the loop", "[busy]")
{
    ServerUnderTest test;
    constexpr int CALLERS = 16;
    int accepted = 0;
    int refused = 0;
    int turns = 0;
    int turn_of_last_accepted = -1;
    // Accepts one connection in each turn, like an admission whose interval is shorter than a turn.
    test.server->set_admission([&] {
        if (turn_of_last_accepted == turns) {
            ++refused;
            return false;
        }
        turn_of_last_accepted = turns;
        ++accepted;
        return true;
    });
    asio::io_context callers;
    std::vector<asio::ip::tcp::socket> sockets;
    for (int i = 0; i < CALLERS; ++i) {
        sockets.emplace_back(callers);
        sockets.back().connect({ asio::ip::make_address(test.server->address().host), static_cast<std::uint16_t>(test.server->address().port) });
    }
    std::function<void()> const turn = [&] {
        ++turns;
        asio::post(test.loop, turn);
    };
    asio::post(test.loop, turn);
    while (accepted + refused < CALLERS && turns < 10 * CALLERS)
        test.loop.run_one();
    CHECK(accepted + refused == CALLERS);
    CHECK(accepted <= 2);
    CHECK(turns <= 4);
}

namespace {

struct UploadingCaller {
    explicit UploadingCaller(ServerUnderTest& server)
        : test(server)
        , socket(server.loop)
    {
        this->socket.connect({ asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(server.server->address().port) });
    }

    /// Whether the kernel took the bytes.
    bool send(std::string_view bytes)
    {
        asio::error_code error;
        asio::write(this->socket, asio::buffer(bytes), error);
        return !error;
    }

    /// Reads until the server closes the connection, in good order or not.
    asio::error_code read_to_end()
    {
        std::optional<asio::error_code> end;
        asio::async_read(this->socket, asio::dynamic_buffer(this->received), [&](asio::error_code error, std::size_t) { end = error; });
        REQUIRE(this->test.run_until([&] { return end.has_value(); }));
        return *end;
    }

    ServerUnderTest& test;
    asio::ip::tcp::socket socket;
    std::string received;
};

}

// Guards against callers whose upload is cut without a response by the exit of the process.
TEST_CASE("A server that no longer waits for incomplete requests answers them, and reads on so that the answer arrives", "[planned-stop][not-run]")
{
    ServerUnderTest test;
    std::string_view const begun = GENERATE("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 400000\r\n\r\nbody", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nbo", "POST /a HTT");
    CAPTURE(begun);
    bool const has_head = begun.find("\r\n\r\n") != std::string_view::npos;
    UploadingCaller uploading(test);
    UploadingCaller idle(test);
    UploadingCaller served(test);
    REQUIRE(uploading.send(begun));
    test.holds = true;
    REQUIRE(served.send("POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody"));
    REQUIRE(test.run_until([&] { return test.taken == 1 && test.server->connection_count() == 3; }));
    test.loop.run_for(milliseconds(20));
    std::vector<std::string> refused;
    test.server->refuse_incomplete([&](HttpRequestHead const& head) {
        refused.push_back(head.target);
        HttpResponseHead response;
        response.status = 503;
        return response;
    });
    REQUIRE(test.run_until([&] { return !refused.empty(); }));
    // The kernel would reset a connection that is closed with these bytes unread, and drop the response.
    std::string const rest(300'000, 'x');
    CHECK(uploading.send(rest.substr(0, 50'000)));
    test.loop.run_for(milliseconds(20));
    CHECK(uploading.send(rest.substr(0, 50'000)));
    CHECK(uploading.read_to_end() == asio::error::eof);
    CHECK(uploading.received.starts_with("HTTP/1.1 503 "));
    CHECK(uploading.received.find("Connection: close\r\n") != std::string::npos);
    CHECK(refused == std::vector<std::string> { has_head ? "/a" : "" });
    // What has arrived whole is not affected, and neither are connections without a request.
    test.holds = false;
    CHECK(served.read_to_end() == asio::error::eof);
    CHECK(served.received.starts_with("HTTP/1.1 200 "));
    REQUIRE(idle.send("GET /c HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"));
    CHECK(idle.read_to_end() == asio::error::eof);
    CHECK(idle.received.starts_with("HTTP/1.1 200 "));
    CHECK(test.taken == 2);
}

// Guards against callers that connect to a VM which stops, and are closed before their request has come: they learn neither
// that it has not run nor when to retry.
TEST_CASE("A new connection is not closed as idle before its request may have come", "[planned-stop][not-run]")
{
    ServerUnderTest test;
    UploadingCaller idle(test);
    REQUIRE(test.run_until([&] { return test.server->connection_count() == 1; }));
    UploadingCaller caller(test);
    REQUIRE(test.run_until([&] { return test.server->connection_count() == 2; }));
    constexpr Duration IDLE_TIME = milliseconds(250);
    test.server->close_idle(IDLE_TIME);
    test.loop.run_for(milliseconds(20));
    REQUIRE(caller.send("GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"));
    CHECK(caller.read_to_end() == asio::error::eof);
    CHECK(caller.received.starts_with("HTTP/1.1 200 "));
    // One that stays idle does not keep the process from its exit.
    REQUIRE(test.run_until([&] {
        test.server->close_idle(IDLE_TIME);
        return test.server->connection_count() <= 1;
    }));
    CHECK(idle.read_to_end() == asio::error::eof);
    CHECK(idle.received.empty());
}

TEST_CASE("A connection that falls silent is found out by TCP's own probes and time-out", "[cut]")
{
    asio::io_context loop;
    asio::ip::tcp::socket socket(loop, asio::ip::tcp::v4());
    set_tcp_options(socket, { milliseconds(1800), seconds(1) });
    auto const option = [&](int level, int name) {
        int value = 0;
        socklen_t size = sizeof(value);
        REQUIRE(::getsockopt(socket.native_handle(), level, name, &value, &size) == 0);
        return value;
    };
    CHECK(option(SOL_SOCKET, SO_KEEPALIVE) == 1);
    CHECK(option(IPPROTO_TCP, TCP_USER_TIMEOUT) == 1800);
    // Silence is found out within the idle time and all probes: sooner than an upstream's leaving has to be known.
    CHECK(option(IPPROTO_TCP, TCP_KEEPIDLE) + option(IPPROTO_TCP, TCP_KEEPCNT) * option(IPPROTO_TCP, TCP_KEEPINTVL) <= 3);
}

namespace {

/// Whether the kernel resets the accepted connection of a caller when its process ends.
bool is_reset_at_exit(asio::ip::tcp::socket const& caller)
{
    auto const address = caller.local_endpoint();
    constexpr int MAXIMUM_DESCRIPTORS = 1024;
    for (int descriptor = 0; descriptor < MAXIMUM_DESCRIPTORS; ++descriptor) {
        asio::ip::tcp::endpoint peer;
        socklen_t size = static_cast<socklen_t>(peer.capacity());
        if (::getpeername(descriptor, peer.data(), &size) != 0 || peer != address)
            continue;
        linger option {};
        size = sizeof(option);
        REQUIRE(::getsockopt(descriptor, SOL_SOCKET, SO_LINGER, &option, &size) == 0);
        return option.l_onoff != 0 && option.l_linger == 0;
    }
    FAIL("no such connection");
    return false;
}

}

// Guards against half a response without a length that looks whole when its process is killed: the kernel closes the connection then.
TEST_CASE("The end of a process resets a response that lasts until its connection closes, and no other", "[kill][whole]")
{
    auto const framing = GENERATE(BodyFraming::UntilClose, BodyFraming::Chunked);
    CAPTURE(static_cast<int>(framing));
    asio::io_context loop;
    Signal finish(loop.get_executor());
    bool has_written = false;
    auto const handle = [&](HttpExchange& exchange) -> asio::awaitable<void> {
        HttpResponseHead head;
        head.status = 200;
        static_cast<void>(co_await exchange.begin(std::move(head), framing));
        std::string_view const piece = "a piece";
        static_cast<void>(co_await exchange.write(piece));
        has_written = true;
        co_await finish.wait();
        static_cast<void>(co_await exchange.finish());
    };
    auto const server = HttpServer::create(loop, { "127.0.0.1", 0 }, handle).release_value();
    asio::ip::tcp::socket caller(loop);
    caller.connect({ asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(server->address().port) });
    asio::write(caller, asio::buffer(std::string_view("GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
    auto const until = monotonic_now() + seconds(15);
    while (!has_written && monotonic_now() < until)
        loop.run_for(std::chrono::milliseconds(2));
    REQUIRE(has_written);
    CHECK(is_reset_at_exit(caller) == (framing == BodyFraming::UntilClose));
    finish.notify();
    // A whole response ends in good order.
    std::string received;
    std::optional<asio::error_code> end;
    auto const note_end = [&](asio::error_code error, std::size_t) { end = error; };
    if (framing == BodyFraming::UntilClose)
        asio::async_read(caller, asio::dynamic_buffer(received), note_end);
    else
        asio::async_read_until(caller, asio::dynamic_buffer(received), "\r\n0\r\n\r\n", note_end);
    while (!end && monotonic_now() < until)
        loop.run_for(std::chrono::milliseconds(2));
    REQUIRE(end);
    CHECK(*end == (framing == BodyFraming::UntilClose ? asio::error_code(asio::error::eof) : asio::error_code()));
    loop.stop();
}

// Guards against a response to HEAD whose body was waited for, since an interim response came before it.
TEST_CASE("The response to HEAD has no body after an interim response either", "[whole]")
{
    asio::io_context loop;
    asio::ip::tcp::acceptor acceptor(loop, { asio::ip::address_v4::loopback(), 0 });
    std::optional<std::string> body;
    auto const call = [&]() -> asio::awaitable<void> {
        Address const address { "127.0.0.1", acceptor.local_endpoint().port() };
        auto connected = co_await HttpConnection::connect(address, seconds(5), {});
        auto const connection = connected.release_value();
        connection->set_deadline(monotonic_now() + seconds(5));
        HttpRequestHead head { "HEAD", "/", {} };
        head.headers.add("Host", "h");
        connection->send(format_request_head(head), nullptr, MessageParser::ExpectedBody::None);
        auto const response = co_await connection->read_head();
        auto const read = co_await connection->read_body(100);
        body = response.is_error() || read.is_error() ? "failed" : read.value();
    };
    asio::co_spawn(loop, call(), asio::detached);
    // Begins to connect; the kernel accepts for the acceptor.
    loop.run_for(std::chrono::milliseconds(2));
    asio::ip::tcp::socket peer(loop);
    acceptor.accept(peer);
    asio::write(peer, asio::buffer(std::string_view("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n")));
    auto const until = monotonic_now() + seconds(15);
    while (!body && monotonic_now() < until)
        loop.run_for(std::chrono::milliseconds(2));
    CHECK(body == "");
}
