// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <Tests/Platform/RawUpstream.h>

namespace Spurtide::Tests {

RawUpstream::RawUpstream(asio::io_context& loop, Script script)
    : acceptor(loop, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    , script(std::move(script))
    , bound { "127.0.0.1", this->acceptor.local_endpoint().port() }
{
    asio::co_spawn(loop, this->accept(), asio::detached);
}

asio::awaitable<void> RawUpstream::accept()
{
    while (true) {
        asio::error_code error;
        auto socket = co_await this->acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error)
            co_return;
        asio::co_spawn(this->acceptor.get_executor(), this->serve(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> RawUpstream::serve(asio::ip::tcp::socket socket) { co_await this->script(socket); }

asio::awaitable<std::string> RawUpstream::read_request(asio::ip::tcp::socket& socket, std::string& buffer)
{
    asio::error_code error;
    auto const size = co_await asio::async_read_until(socket, asio::dynamic_buffer(buffer), "\r\n\r\n", asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return std::string();
    auto head = buffer.substr(0, size);
    buffer.erase(0, size);
    auto const length = field(head, "Content-Length");
    auto const body_size = length.empty() ? 0 : std::stoul(length);
    if (buffer.size() < body_size)
        co_await asio::async_read(socket, asio::dynamic_buffer(buffer), asio::transfer_exactly(body_size - buffer.size()), asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return std::string();
    buffer.erase(0, body_size);
    co_return head;
}

std::string RawUpstream::field(std::string const& head, std::string const& name)
{
    auto const prefix = "\r\n" + name + ": ";
    auto const at = head.find(prefix);
    if (at == std::string::npos)
        return {};
    auto const from = at + prefix.size();
    return head.substr(from, head.find("\r\n", from) - from);
}

}
