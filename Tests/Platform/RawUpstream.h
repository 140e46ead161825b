// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibHttp/Address.h>
#include <asio.hpp>
#include <functional>
#include <string>

namespace Spurtide::Tests {

/// A server whose responses need not be HTTP: what it writes on each connection is up to the test.
class RawUpstream {
public:
    /// Serves one connection until it ends.
    using Script = std::function<asio::awaitable<void>(asio::ip::tcp::socket& socket)>;

    RawUpstream(asio::io_context& loop, Script script);

    Address const& address() const { return this->bound; }

    /// Reads one request with its body. Returns its head, which is empty if the connection has ended. What was read beyond the request
    /// stays in the buffer.
    static asio::awaitable<std::string> read_request(asio::ip::tcp::socket& socket, std::string& buffer);
    /// The value of a field of a request's head; empty if it has none.
    static std::string field(std::string const& head, std::string const& name);
    static std::string identifier_of(std::string const& head) { return field(head, "X-Spurtide-Attempt-Id"); }

private:
    asio::awaitable<void> accept();
    asio::awaitable<void> serve(asio::ip::tcp::socket socket);

    asio::ip::tcp::acceptor acceptor;
    Script script;
    Address bound;
};

}
