// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibAsync/HttpConnection.h>
#include <LibAsync/HttpServer.h>
#include <LibCore/Clock.h>
#include <catch2/catch.hpp>

using namespace Spurtide;

// Guards against processes that cannot start while their port is the source port of an outgoing connection of another one.
TEST_CASE("A port that an outgoing connection uses can be listened on", "[kill]")
{
    asio::io_context loop { 1 };
    asio::ip::tcp::acceptor acceptor(loop, { asio::ip::make_address("127.0.0.1"), 0 });
    Address const target { "127.0.0.1", acceptor.local_endpoint().port() };
    std::shared_ptr<HttpConnection> outgoing;
    auto const connect = [&]() -> asio::awaitable<void> {
        auto connected = co_await HttpConnection::connect(target, seconds(5), {});
        outgoing = connected.release_value();
    };
    asio::co_spawn(loop, connect(), asio::detached);
    while (!outgoing)
        loop.run_one();
    auto const accepted = acceptor.accept();
    Address const taken { "127.0.0.1", accepted.remote_endpoint().port() };
    auto const server = HttpServer::create(loop, taken, [](auto&) -> asio::awaitable<void> { co_return; });
    CHECK_FALSE(server.is_error());
    CHECK(outgoing->is_quiet());
}
