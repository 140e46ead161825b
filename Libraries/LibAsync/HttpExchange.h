// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibAsync/HttpError.h>
#include <LibAsync/HttpMessage.h>
#include <LibCore/Result.h>
#include <LibCore/Time.h>
#include <asio.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Spurtide {

/// One request that a caller sent and the answer that it gets.
class HttpExchange {
public:
    virtual ~HttpExchange() = default;

    virtual HttpRequest const& request() const = 0;
    /// The body of the request, for those that may hold it longer than the exchange lasts.
    virtual std::shared_ptr<std::string const> shared_body() const = 0;
    virtual MonotonicTime received_at() const = 0;

    /// Sends a whole answer.
    virtual asio::awaitable<Result<Done, HttpError>> respond(HttpResponseHead head, std::string_view body) = 0;
    /// Begins an answer whose body comes in pieces; the body's end is told in the way that is given.
    virtual asio::awaitable<Result<Done, HttpError>> begin(HttpResponseHead head, BodyFraming framing) = 0;
    virtual asio::awaitable<Result<Done, HttpError>> write(std::string_view piece) = 0;
    virtual asio::awaitable<Result<Done, HttpError>> finish() = 0;
    /// Ends the answer so that it cannot look whole.
    virtual void abort() = 0;

    virtual bool has_begun() const = 0;
    virtual bool is_caller_gone() const = 0;
    /// The function runs once when the caller closes its connection before the answer is over.
    virtual void when_caller_leaves(std::function<void()> function) = 0;
};

}
