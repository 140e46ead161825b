// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibAsync/Spawn.h>
#include <LibCore/LogLine.h>
#include <LibCore/MonotonicTimer.h>
#include <exception>
#include <utility>

namespace Spurtide {

namespace {

void log_failure(std::string_view name, std::exception_ptr const& failure)
{
    try {
        std::rethrow_exception(failure);
    } catch (std::exception const& error) {
        LogLine("uncaught_exception").with("in", name).with("error", error.what());
    } catch (...) {
        LogLine("uncaught_exception").with("in", name).with("error", "unknown");
    }
}

asio::awaitable<void> run_lasting(std::string name, std::function<asio::awaitable<void>()> make_coroutine)
{
    while (true) {
        std::exception_ptr failure;
        try {
            co_await make_coroutine();
            co_return;
        } catch (...) {
            failure = std::current_exception();
        }
        log_failure(name, failure);
        auto const executor = co_await asio::this_coro::executor;
        MonotonicTimer timer(executor, RESTART_PAUSE);
        asio::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

}

void spawn(asio::any_io_executor const& executor, std::string_view name, asio::awaitable<void> coroutine)
{
    asio::co_spawn(executor, std::move(coroutine), [name = std::string(name)](std::exception_ptr const& failure) {
        if (failure)
            log_failure(name, failure);
    });
}

void spawn_lasting(asio::any_io_executor const& executor, std::string name, std::function<asio::awaitable<void>()> make_coroutine)
{
    auto coroutine = run_lasting(name, std::move(make_coroutine));
    spawn(executor, name, std::move(coroutine));
}

void run_loop(asio::io_context& loop)
{
    while (true) {
        try {
            loop.run();
            return;
        } catch (...) {
            log_failure("handler", std::current_exception());
        }
    }
}

}
