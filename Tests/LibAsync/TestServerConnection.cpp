// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibAsync/HttpServer.h>
#include <LibAsync/Signal.h>
#include <LibCore/Clock.h>
#include <catch2/catch.hpp>
#include <functional>
#include <optional>
#include <string>

using namespace Spurtide;

namespace {

/// A server whose handler is up to the test, and one caller that writes and reads bytes as they are.
struct ConnectionUnderTest {
    explicit ConnectionUnderTest(HttpServer::Handler handler)
        : server(HttpServer::create(this->loop, { "127.0.0.1", 0 }, std::move(handler)).release_value())
        , caller(this->loop)
    {
        this->caller.connect({ asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(this->server->address().port) });
    }
    ~ConnectionUnderTest() { this->loop.stop(); }
    ConnectionUnderTest(ConnectionUnderTest const&) = delete;
    ConnectionUnderTest& operator=(ConnectionUnderTest const&) = delete;

    void send(std::string_view bytes) { asio::write(this->caller, asio::buffer(bytes)); }

    bool run_until(std::function<bool()> const& condition, Duration limit = seconds(15))
    {
        auto const until = monotonic_now() + limit;
        while (!condition()) {
            if (monotonic_now() >= until)
                return false;
            this->loop.run_for(std::chrono::milliseconds(1));
        }
        return true;
    }

    /// All that comes until the server closes or resets the connection.
    std::string read_to_end()
    {
        std::string received;
        bool is_over = false;
        asio::async_read(this->caller, asio::dynamic_buffer(received), [&](asio::error_code, std::size_t) { is_over = true; });
        REQUIRE(this->run_until([&] { return is_over; }));
        return received;
    }

    asio::io_context loop { 1 };
    std::unique_ptr<HttpServer> server;
    asio::ip::tcp::socket caller;
};

enum class Leaving {
    ClosesConnection,
    ClosesSendingSide,
};

}

// Guards against work for callers that are gone: the end of a half-closed connection looks the same as that of a closed one.
TEST_CASE("A caller that closes its connection or its sending side is noticed at once", "[caller-cancel]")
{
    auto const leaving = GENERATE(Leaving::ClosesConnection, Leaving::ClosesSendingSide);
    bool const closes_before_request_is_read = GENERATE(false, true);
    CAPTURE(static_cast<int>(leaving), closes_before_request_is_read);
    int taken = 0;
    int left = 0;
    ConnectionUnderTest test([&](HttpExchange& exchange) -> asio::awaitable<void> {
        ++taken;
        Signal over(co_await asio::this_coro::executor);
        exchange.when_caller_leaves([&] {
            ++left;
            over.notify();
        });
        if (!exchange.is_caller_gone())
            co_await over.wait();
        CHECK(exchange.is_caller_gone());
        HttpResponseHead head;
        head.status = 200;
        auto const sent = co_await exchange.respond(std::move(head), "late");
        CHECK(sent.is_error());
    });
    test.send("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    if (!closes_before_request_is_read)
        REQUIRE(test.run_until([&] { return taken == 1; }));
    if (leaving == Leaving::ClosesConnection)
        test.caller.close();
    else
        test.caller.shutdown(asio::ip::tcp::socket::shutdown_send);
    CHECK(test.run_until([&] { return test.server->connection_count() == 0 && left == taken; }, milliseconds(500)));
    CHECK(taken == (closes_before_request_is_read ? 0 : 1));
    if (leaving == Leaving::ClosesSendingSide)
        CHECK(test.read_to_end().empty());
}
