// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/MonotonicTimer.h>
#include <LibCore/Time.h>
#include <asio.hpp>

namespace Spurtide {

/// What ended a wait.
enum class WaitEnd {
    Notified,
    TimedOut,
};

/// Wakes the one coroutine that waits on it. Whoever waits checks its condition before and after, since
/// a notification without a waiter is not kept.
class Signal {
public:
    explicit Signal(asio::any_io_executor const& executor)
        : timer(executor)
    {
    }

    void notify() { this->timer.cancel(); }

    asio::awaitable<void> wait()
    {
        this->timer.expires_at(MonotonicTime::max());
        asio::error_code error;
        co_await this->timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }

    asio::awaitable<WaitEnd> wait_until(MonotonicTime time)
    {
        this->timer.expires_at(time);
        asio::error_code error;
        co_await this->timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
        co_return error ? WaitEnd::Notified : WaitEnd::TimedOut;
    }

private:
    MonotonicTimer timer;
};

}
