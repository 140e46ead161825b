// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Verify.h>
#include <Tests/Platform/UpstreamPath.h>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Spurtide::Tests {

namespace {

constexpr int BACKLOG = 128;
/// With a backlog of zero the kernel keeps one connection and drops further attempts.
constexpr int FILLERS = 2;

int make_socket()
{
    int const descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    VERIFY(descriptor >= 0);
    int const on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on));
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return descriptor;
}

sockaddr_in socket_address(Address const& address)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(address.port));
    ::inet_pton(AF_INET, address.host.c_str(), &result.sin_addr);
    return result;
}

void close_with_reset(int descriptor)
{
    linger const at_once { 1, 0 };
    ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
    ::close(descriptor);
}

bool would_block() { return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINPROGRESS || errno == ENOTCONN; }

}

UpstreamPath::UpstreamPath(Address upstream)
    : upstream(std::move(upstream))
    , bound({ "127.0.0.1", 0 })
    , port_holder(this->bind())
{
    this->listen(BACKLOG);
}

UpstreamPath::~UpstreamPath()
{
    this->stop_listening();
    ::close(this->port_holder);
    for (auto& connection : this->connections)
        reset(connection);
}

UpstreamPath::Condition UpstreamPath::condition_of(std::string const& virtual_machine) const
{
    auto const found = this->conditions.find(virtual_machine);
    return found == this->conditions.end() ? Condition::Working : found->second;
}

int UpstreamPath::opened_by(std::string const& virtual_machine) const
{
    auto const found = this->opened.find(virtual_machine);
    return found == this->opened.end() ? 0 : found->second;
}

int UpstreamPath::bind()
{
    int const descriptor = make_socket();
    auto address = socket_address(this->bound);
    VERIFY(::bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
    socklen_t size = sizeof(address);
    ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    this->bound.port = ntohs(address.sin_port);
    return descriptor;
}

void UpstreamPath::listen(int backlog)
{
    this->listener = this->bind();
    VERIFY(::listen(this->listener, backlog) == 0);
}

void UpstreamPath::stop_listening()
{
    for (int const filler : this->fillers)
        close_with_reset(filler);
    this->fillers.clear();
    if (this->listener >= 0)
        ::close(this->listener);
    this->listener = -1;
}

void UpstreamPath::fill_backlog()
{
    auto const address = socket_address(this->bound);
    for (int i = 0; i < FILLERS; ++i) {
        this->fillers.push_back(make_socket());
        ::connect(this->fillers.back(), reinterpret_cast<sockaddr const*>(&address), sizeof(address));
    }
}

void UpstreamPath::set_condition(std::string const& virtual_machine, Condition condition)
{
    this->conditions[virtual_machine] = condition;
    if (condition == Condition::Reset) {
        for (auto position = this->connections.begin(); position != this->connections.end();) {
            if (position->virtual_machine != virtual_machine) {
                ++position;
                continue;
            }
            reset(*position);
            position = this->connections.erase(position);
        }
    }
    this->begin_turn(this->current);
}

void UpstreamPath::begin_turn(std::string const& virtual_machine)
{
    if (this->listening_as == Condition::Working)
        this->accept_pending();
    this->current = virtual_machine;
    auto condition = this->condition_of(virtual_machine);
    if (condition == Condition::NewRefused)
        condition = Condition::Reset;
    if (condition == Condition::Paused && this->listening_as == Condition::Working)
        this->listening_as = condition;
    if (condition == Condition::Working && this->listening_as == Condition::Paused)
        this->listening_as = condition;
    if (condition == this->listening_as)
        return;
    this->stop_listening();
    if (condition == Condition::Working || condition == Condition::Paused)
        this->listen(BACKLOG);
    if (condition == Condition::Silent) {
        this->listen(0);
        this->fill_backlog();
    }
    this->listening_as = condition;
}

void UpstreamPath::accept_pending()
{
    while (true) {
        int const client = ::accept4(this->listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (client < 0)
            return;
        int const on = 1;
        ::setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        int const server = make_socket();
        auto const address = socket_address(this->upstream);
        ::connect(server, reinterpret_cast<sockaddr const*>(&address), sizeof(address));
        this->connections.push_back({ this->current, client, server, { client, server, {}, false }, { server, client, {}, false } });
        ++this->opened[this->current];
    }
}

bool UpstreamPath::forward(Direction& direction)
{
    std::array<char, 16384> buffer {};
    while (true) {
        if (direction.buffer.empty() && !direction.has_ended) {
            auto const size = ::recv(direction.from, buffer.data(), buffer.size(), 0);
            if (size < 0)
                return would_block();
            if (size == 0) {
                direction.has_ended = true;
                ::shutdown(direction.to, SHUT_WR);
            }
            direction.buffer.assign(buffer.data(), static_cast<std::size_t>(size));
        }
        if (direction.buffer.empty())
            return true;
        auto const sent = ::send(direction.to, direction.buffer.data(), direction.buffer.size(), MSG_NOSIGNAL);
        if (sent < 0)
            return would_block();
        direction.buffer.erase(0, static_cast<std::size_t>(sent));
    }
}

void UpstreamPath::reset(Connection& connection)
{
    close_with_reset(connection.client);
    close_with_reset(connection.server);
}

std::vector<bool> UpstreamPath::find_active() const
{
    std::vector<pollfd> descriptors;
    for (auto const& connection : this->connections) {
        descriptors.push_back({ connection.client, POLLIN, 0 });
        descriptors.push_back({ connection.server, POLLIN, 0 });
    }
    VERIFY(::poll(descriptors.data(), descriptors.size(), 0) >= 0);
    std::vector<bool> active;
    auto descriptor = descriptors.begin();
    for (auto const& connection : this->connections) {
        bool const has_rest = !connection.request.buffer.empty() || !connection.response.buffer.empty();
        bool const is_readable = descriptor->revents != 0 || (descriptor + 1)->revents != 0;
        active.push_back(has_rest || is_readable);
        descriptor += 2;
    }
    return active;
}

void UpstreamPath::poll()
{
    if (this->listening_as == Condition::Working)
        this->accept_pending();
    auto const active = this->find_active();
    auto is_active = active.begin();
    for (auto position = this->connections.begin(); position != this->connections.end();) {
        auto const condition = this->condition_of(position->virtual_machine);
        if (!*is_active++ || condition == Condition::Silent || condition == Condition::Paused) {
            ++position;
            continue;
        }
        bool const is_open = forward(position->request) && forward(position->response);
        bool const is_over = position->request.has_ended && position->response.has_ended;
        if (is_open && !is_over) {
            ++position;
            continue;
        }
        if (is_over) {
            ::close(position->client);
            ::close(position->server);
        } else
            reset(*position);
        position = this->connections.erase(position);
    }
}

}
