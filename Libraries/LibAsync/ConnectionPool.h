// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibAsync/HttpConnection.h>
#include <deque>
#include <functional>
#include <map>
#include <optional>

namespace Spurtide {

/// Resting connections by address. The newest is used first, so that the rest grow old and are closed.
class ConnectionPool {
public:
    struct Options {
        Duration connect_timeout = milliseconds(300);
        PeerPatience patience {};
        /// Resting connections kept to one address.
        std::size_t resting_limit = 32;
    };

    explicit ConnectionPool(Options options)
        : options(options)
    {
    }

    /// Whether a connection that rested may be used: its other side may be closing it just now.
    enum class Freshness {
        Any,
        /// Only one that rested so briefly that the other side cannot be about to close it.
        Recent,
        /// Only a new one, on which no late response to an earlier request can arrive.
        New,
    };

    /// How one call of the router's own is made.
    struct Call {
        Freshness freshness = Freshness::Any;
        /// From when the connection is there until the answer is whole.
        Duration timeout = milliseconds(500);
        std::size_t largest_body = 64UL * 1024;
        /// Asked when the connection is there; where it says no, nothing is sent.
        std::function<bool()> may_send = [] { return true; };
        /// Whether a response may belong to this call, and not to a request that was sent before on the connection.
        HttpConnection::ResponseFilter accepts_response = [](auto const&) { return true; };
    };

    struct Answer {
        HttpResponseHead head;
        /// Empty where it broke off.
        std::optional<std::string> body;
    };

    /// Sends a request and reads its answer. Errors: those of the connection; nothing was sent after CannotConnect,
    /// NobodyListens, or after the Aborted that stands for what must not be sent any more.
    asio::awaitable<Result<Answer, HttpError>> call(Address address, HttpRequest request, Call options);

    asio::awaitable<HttpConnection::Connected> acquire(Address address, Freshness freshness);
    /// Keeps the connection for others where it may be used again, else closes it.
    void release(Address const& address, std::shared_ptr<HttpConnection> const& connection);
    /// Keeps a connection that carried no request yet, or not since it was acquired.
    void put_back_unused(Address const& address, std::shared_ptr<HttpConnection> const& connection);
    /// Closes what rested for too long. Call about once a second.
    void sweep(MonotonicTime now);
    /// Closes all that rest.
    void drop(Address const& address) { this->resting.erase(address.to_string()); }
    /// How many resting connections are kept to one address from now on.
    void set_resting_limit(std::size_t limit) { this->options.resting_limit = limit; }
    PeerPatience patience() const { return this->options.patience; }

private:
    void trim(std::deque<std::shared_ptr<HttpConnection>>& list) const;
    void keep(Address const& address, std::shared_ptr<HttpConnection> const& connection);

    Options options;
    std::map<std::string, std::deque<std::shared_ptr<HttpConnection>>> resting;
};

}
