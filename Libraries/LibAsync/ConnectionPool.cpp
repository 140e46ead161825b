// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibAsync/ConnectionPool.h>
#include <LibCore/Clock.h>

namespace Spurtide {

namespace {

constexpr Duration RECENT = milliseconds(700);

}

asio::awaitable<HttpConnection::Connected> ConnectionPool::acquire(Address address, Freshness freshness)
{
    auto const found = freshness == Freshness::New ? this->resting.end() : this->resting.find(address.to_string());
    while (found != this->resting.end() && !found->second.empty()) {
        auto connection = std::move(found->second.back());
        found->second.pop_back();
        auto const rested = monotonic_now() - connection->idle_since;
        auto const limit = freshness == Freshness::Recent ? std::min(RECENT, connection->idle_limit) : connection->idle_limit;
        if (rested < limit && connection->is_quiet())
            co_return connection;
        connection->abort();
    }
    co_return co_await HttpConnection::connect(address, this->options.connect_timeout, this->options.patience);
}

asio::awaitable<Result<ConnectionPool::Answer, HttpError>> ConnectionPool::call(Address address, HttpRequest request, Call options)
{
    auto acquired = co_await this->acquire(address, options.freshness);
    if (acquired.is_error())
        co_return Failure { acquired.error() };
    auto const connection = acquired.release_value();
    if (!options.may_send()) {
        this->put_back_unused(address, connection);
        co_return Failure { HttpError::Aborted };
    }
    connection->set_deadline(monotonic_now() + options.timeout);
    auto const body = request.body.empty() ? nullptr : std::make_shared<std::string const>(std::move(request.body));
    connection->send(format_request_head(request.head), body);
    auto head = co_await connection->read_matching_head(std::move(options.accepts_response));
    if (head.is_error()) {
        connection->abort();
        co_return Failure { head.error() };
    }
    Answer answer;
    answer.head = head.release_value();
    auto rest = co_await connection->read_body(options.largest_body, BufferMemory::Kind::ControlResponses);
    if (rest.is_error())
        connection->abort();
    else
        answer.body = rest.release_value();
    this->release(address, connection);
    co_return answer;
}

void ConnectionPool::release(Address const& address, std::shared_ptr<HttpConnection> const& connection)
{
    connection->clear_deadline();
    if (!connection->is_reusable()) {
        connection->abort();
        return;
    }
    this->keep(address, connection);
}

void ConnectionPool::put_back_unused(Address const& address, std::shared_ptr<HttpConnection> const& connection)
{
    connection->clear_deadline();
    if (connection->is_quiet())
        this->keep(address, connection);
    else
        connection->abort();
}

void ConnectionPool::keep(Address const& address, std::shared_ptr<HttpConnection> const& connection)
{
    connection->idle_since = monotonic_now();
    auto& list = this->resting[address.to_string()];
    list.push_back(connection);
    this->trim(list);
}

void ConnectionPool::trim(std::deque<std::shared_ptr<HttpConnection>>& list) const
{
    while (list.size() > this->options.resting_limit) {
        list.front()->abort();
        list.pop_front();
    }
}

void ConnectionPool::sweep(MonotonicTime now)
{
    for (auto position = this->resting.begin(); position != this->resting.end();) {
        std::erase_if(position->second, [&](auto const& connection) {
            bool const is_over = now - connection->idle_since >= connection->idle_limit;
            if (is_over)
                connection->abort();
            return is_over;
        });
        this->trim(position->second);
        position = position->second.empty() ? this->resting.erase(position) : std::next(position);
    }
}

}
