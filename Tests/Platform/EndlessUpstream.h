// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibHttp/Address.h>
#include <asio.hpp>
#include <string>

namespace Spurtide::Tests {

/// A server in trouble: it responds to each request with bytes that have no end, until its connection is closed.
class EndlessUpstream {
public:
    struct Response {
        /// What comes first; IDENTIFIER stands for the request's identifier.
        std::string begin;
        /// What comes again and again after it.
        std::string repeated;
    };
    static constexpr std::string_view IDENTIFIER = "{id}";

    EndlessUpstream(asio::io_context& loop, Response response);

    Address const& address() const { return this->bound; }
    /// Requests that are being responded to.
    std::size_t open_responses() const { return this->open; }
    std::size_t responses_begun() const { return this->begun; }

private:
    asio::awaitable<void> accept();
    asio::awaitable<void> serve(asio::ip::tcp::socket socket);

    asio::ip::tcp::acceptor acceptor;
    Response response;
    Address bound;
    std::size_t open = 0;
    std::size_t begun = 0;
};

}
