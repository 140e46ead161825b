// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibAsync/HttpServer.h>
#include <LibAsync/ServerConnection.h>
#include <LibAsync/Spawn.h>
#include <LibCore/Clock.h>
#include <LibCore/LogLine.h>
#include <LibCore/MonotonicTimer.h>

namespace Spurtide {

namespace {

/// After accept failed for want of descriptors or memory.
constexpr Duration ACCEPT_PAUSE = milliseconds(20);
constexpr std::int64_t ACCEPT_FAILURES_PER_LINE = 100;
/// Bounds the time that waiting connections take from the other work of the loop.
constexpr std::size_t MAXIMUM_ACCEPTED_PER_TURN = 256;

}

HttpServer::HttpServer(asio::io_context& loop, Handler handler)
    : loop(loop)
    , acceptor(loop)
    , handler(std::move(handler))
{
}

HttpServer::~HttpServer()
{
    for (auto* connection : this->connections)
        connection->detach();
}

Result<std::unique_ptr<HttpServer>, ListenError> HttpServer::create(asio::io_context& loop, Address const& address, Handler handler)
{
    asio::error_code error;
    auto const host = asio::ip::make_address(address.host, error);
    if (error)
        return Failure { ListenError::BadAddress };
    std::unique_ptr<HttpServer> server(new HttpServer(loop, std::move(handler)));
    asio::ip::tcp::endpoint const endpoint(host, static_cast<std::uint16_t>(address.port));
    server->acceptor.open(endpoint.protocol(), error);
    server->acceptor.set_option(asio::socket_base::reuse_address(true), error);
    server->acceptor.bind(endpoint, error);
    if (error)
        return Failure { ListenError::CannotBind };
    server->acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return Failure { ListenError::CannotBind };
    server->acceptor.non_blocking(true, error);
    if (error)
        return Failure { ListenError::CannotBind };
    server->bound = { address.host, server->acceptor.local_endpoint().port() };
    spawn_lasting(loop.get_executor(), "accept", [accepting = server.get()] { return accepting->accept(); });
    return server;
}

asio::awaitable<void> HttpServer::accept()
{
    while (this->acceptor.is_open()) {
        asio::error_code error;
        asio::ip::tcp::socket socket(this->loop);
        co_await this->acceptor.async_accept(socket, asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted)
            break;
        if (error) {
            this->note_accept_failure(error);
            MonotonicTimer pause(this->loop, ACCEPT_PAUSE);
            co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, error));
            continue;
        }
        this->admit(std::move(socket));
        // The wait above completes once per turn of the loop. On a loop with long turns, callers that wait in the backlog could
        // neither be served nor try another VM.
        for (std::size_t i = 1; i < MAXIMUM_ACCEPTED_PER_TURN; ++i) {
            asio::ip::tcp::socket waiting(this->loop);
            this->acceptor.accept(waiting, error);
            // Errors other than an empty backlog recur in the next wait.
            if (error)
                break;
            this->admit(std::move(waiting));
        }
    }
}

// New callers wait in the backlog meanwhile.
void HttpServer::note_accept_failure(asio::error_code error)
{
    if (this->accept_failures++ % ACCEPT_FAILURES_PER_LINE == 0)
        LogLine("accept_failed").with("address", this->bound.to_string()).with("error", error.message()).with("failures", this->accept_failures).with("connections", static_cast<std::int64_t>(this->connections.size()));
}

void HttpServer::admit(asio::ip::tcp::socket socket)
{
    if (!this->accepts_connection()) {
        // A reset tells the caller at once that nothing of its request was read.
        asio::error_code ignored;
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
        return;
    }
    if (this->connections.size() >= this->most_connections && !this->make_room()) {
        LogLine("connection_refused").with("reason", "too_many").with("connections", static_cast<std::int64_t>(this->connections.size()));
        return;
    }
    auto const connection = std::make_shared<ServerConnection>(*this, std::move(socket));
    this->connections.insert(connection.get());
    connection->start();
}

bool HttpServer::make_room()
{
    ServerConnection* longest = nullptr;
    for (auto* connection : this->connections) {
        if (connection->is_idle() && (!longest || connection->idle_since() < longest->idle_since()))
            longest = connection;
    }
    if (!longest)
        return false;
    longest->close_if_idle();
    return true;
}

void HttpServer::refuse_incomplete(Refusal hook)
{
    this->refusal = std::move(hook);
    for (auto* connection : this->connections)
        connection->recheck_request();
}

void HttpServer::close_idle(Duration idle_time)
{
    auto const all = this->connections;
    auto const now = monotonic_now();
    for (auto* connection : all) {
        if (now - connection->idle_since() >= idle_time)
            connection->close_if_idle();
    }
}

void HttpServer::abort_exchanges()
{
    auto const all = this->connections;
    for (auto* connection : all)
        connection->abort_exchange();
}

void HttpServer::stop_listening()
{
    asio::error_code ignored;
    this->acceptor.close(ignored);
}

}
