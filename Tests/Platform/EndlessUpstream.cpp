// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <Tests/Platform/EndlessUpstream.h>

namespace Spurtide::Tests {

namespace {

constexpr std::size_t PIECE_BYTES = 64UL * 1024;

std::string identifier_of(std::string const& head)
{
    constexpr std::string_view FIELD = "X-Spurtide-Attempt-Id: ";
    auto const at = head.find(FIELD);
    if (at == std::string::npos)
        return {};
    auto const from = at + FIELD.size();
    return head.substr(from, head.find("\r\n", from) - from);
}

}

EndlessUpstream::EndlessUpstream(asio::io_context& loop, Response response)
    : acceptor(loop, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    , response(std::move(response))
    , bound { "127.0.0.1", this->acceptor.local_endpoint().port() }
{
    asio::co_spawn(loop, this->accept(), asio::detached);
}

asio::awaitable<void> EndlessUpstream::accept()
{
    while (true) {
        asio::error_code error;
        auto socket = co_await this->acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error)
            co_return;
        asio::co_spawn(this->acceptor.get_executor(), this->serve(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> EndlessUpstream::serve(asio::ip::tcp::socket socket)
{
    asio::error_code error;
    std::string head;
    co_await asio::async_read_until(socket, asio::dynamic_buffer(head), "\r\n\r\n", asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return;
    auto bytes = this->response.begin;
    if (auto const at = bytes.find(IDENTIFIER); at != std::string::npos)
        bytes.replace(at, IDENTIFIER.size(), identifier_of(head));
    std::string piece;
    while (piece.size() < PIECE_BYTES)
        piece += this->response.repeated;
    ++this->open;
    ++this->begun;
    while (!error) {
        co_await asio::async_write(socket, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
        bytes = piece;
    }
    --this->open;
}

}
