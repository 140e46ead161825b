// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibAsync/BufferMemory.h>
#include <LibAsync/HttpExchange.h>
#include <LibCore/Result.h>
#include <LibHttp/Address.h>
#include <asio.hpp>
#include <functional>
#include <memory>
#include <set>

namespace Spurtide {

/// What a caller may send, and how long it may take.
struct HttpLimits {
    std::size_t maximum_head = 16UL * 1024;
    std::size_t maximum_body = 4UL * 1024 * 1024;
    Duration head_timeout = seconds(3);
    Duration body_timeout = seconds(10);
    Duration idle_timeout = seconds(15);
};

/// Enough for any VM of today; a process that has fewer descriptors sets less.
constexpr std::size_t DEFAULT_MOST_CONNECTIONS = 10'000;

enum class ListenError {
    BadAddress,
    CannotBind,
};

class ServerConnection;

/// An HTTP/1.1 server on one address and one event loop. Requests of one connection are answered one
/// after the other; while an answer is on its way the connection is watched for the caller's leaving.
class HttpServer {
public:
    using Handler = std::function<asio::awaitable<void>(HttpExchange& exchange)>;

    static Result<std::unique_ptr<HttpServer>, ListenError> create(asio::io_context& loop, Address const& address, Handler handler);
    ~HttpServer();
    HttpServer(HttpServer const&) = delete;
    HttpServer& operator=(HttpServer const&) = delete;

    Address const& address() const { return this->bound; }
    void set_limits(HttpLimits limits) { this->current_limits = limits; }
    HttpLimits const& limits() const { return this->current_limits; }
    /// Beyond this many connections the one that is idle longest makes room for a new one; where none is idle, the new
    /// one is closed before anything is read of it.
    void set_most_connections(std::size_t count) { this->most_connections = count; }

    /// Asked for each new connection. Those that it does not accept are reset before anything is read of them.
    void set_admission(std::function<bool()> hook) { this->accepts_connection = std::move(hook); }

    /// What the bodies of requests are charged as.
    void set_body_kind(BufferMemory::Kind kind) { this->body_kind = kind; }
    /// The head of the response to a request whose body does not fit into the memory for buffers; a 503 by default.
    void set_out_of_memory_head(std::function<HttpResponseHead(HttpRequestHead const&)> hook) { this->out_of_memory_head = std::move(hook); }

    /// From now on each answer closes its connection.
    void close_after_answers() { this->closing = true; }
    /// Closes the connections that carry no request.
    void close_idle();
    /// Resets the connections whose response is not complete, so that none looks complete at the exit of the process.
    void abort_exchanges();
    void stop_listening();

    std::size_t connection_count() const { return this->connections.size(); }
    std::size_t exchange_count() const { return this->exchanges; }

private:
    friend class ServerConnection;
    HttpServer(asio::io_context& loop, Handler handler);
    asio::awaitable<void> accept();
    /// Serves a new connection, or closes it if the admission or the number of connections does not allow it.
    void admit(asio::ip::tcp::socket socket);
    void note_accept_failure(asio::error_code error);
    bool make_room();

    asio::io_context& loop;
    asio::ip::tcp::acceptor acceptor;
    Handler handler;
    HttpLimits current_limits;
    Address bound;
    bool closing = false;
    std::size_t exchanges = 0;
    std::int64_t accept_failures = 0;
    std::size_t most_connections = DEFAULT_MOST_CONNECTIONS;
    std::function<bool()> accepts_connection = [] { return true; };
    BufferMemory::Kind body_kind = BufferMemory::Kind::RequestBodies;
    std::function<HttpResponseHead(HttpRequestHead const&)> out_of_memory_head = [](auto const&) {
        HttpResponseHead head;
        head.status = 503;
        head.headers.add("Retry-After", "1");
        return head;
    };
    std::set<ServerConnection*> connections;
};

}
