// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibAsync/HttpConnection.h>
#include <LibAsync/Signal.h>
#include <LibCore/Clock.h>
#include <Tests/Support/SuspendedMachine.h>
#include <catch2/catch.hpp>
#include <functional>
#include <optional>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

constexpr Duration SUSPENSION = seconds(3600);
constexpr Duration TIMEOUT = milliseconds(20);
/// Bounds a failure.
constexpr Duration LIMIT = seconds(15);

/// Waits on a loop of its own.
struct WaitUnderTest {
    ~WaitUnderTest() { this->loop.stop(); }

    void begin_wait(Duration timeout)
    {
        asio::co_spawn(this->loop, this->wait(monotonic_now() + timeout), asio::detached);
        this->loop.poll();
    }

    asio::awaitable<void> wait(MonotonicTime until) { this->end = co_await this->signal.wait_until(until); }

    /// The server accepts the connection and never sends anything.
    std::shared_ptr<HttpConnection> connect_to_silent_server()
    {
        Address const address { "127.0.0.1", this->acceptor.local_endpoint().port() };
        std::optional<HttpConnection::Connected> connected;
        auto const connect = [&]() -> asio::awaitable<void> {
            auto made = co_await HttpConnection::connect(address, LIMIT, {});
            connected.emplace(std::move(made));
        };
        asio::co_spawn(this->loop, connect, asio::detached);
        REQUIRE(this->run_until([&] { return connected.has_value(); }));
        REQUIRE_FALSE(connected->is_error());
        return connected->release_value();
    }

    bool run_until(std::function<bool()> const& condition)
    {
        auto const until = monotonic_now() + LIMIT;
        while (!condition()) {
            if (monotonic_now() >= until)
                return false;
            this->loop.run_for(std::chrono::milliseconds(1));
        }
        return true;
    }

    asio::io_context loop { 1 };
    /// Without it the loop ends for good when there is nothing to wait for.
    asio::executor_work_guard<asio::io_context::executor_type> work { this->loop.get_executor() };
    asio::ip::tcp::acceptor acceptor { this->loop, { asio::ip::address_v4::loopback(), 0 } };
    Signal signal { this->loop.get_executor() };
    std::optional<WaitEnd> end;
};

}

// Guards against timers on a clock that does not count suspensions: each wait was longer by the time since boot that they took.
TEST_CASE("A wait on a machine that was suspended ends at its time", "[timeouts]")
{
    SuspendedMachine const suspended(SUSPENSION);
    WaitUnderTest test;
    test.begin_wait(TIMEOUT);
    CHECK(test.run_until([&] { return test.end.has_value(); }));
    CHECK(test.end == WaitEnd::TimedOut);
}

// Guards against exchanges with a silent server that outlast their deadline by the time that the machine was ever suspended.
TEST_CASE("An exchange on a machine that was suspended ends at its deadline", "[timeouts]")
{
    SuspendedMachine const suspended(SUSPENSION);
    WaitUnderTest test;
    auto const connection = test.connect_to_silent_server();
    std::optional<HttpError> error;
    auto const exchange = [&]() -> asio::awaitable<void> {
        auto const head = co_await connection->read_head();
        if (head.is_error())
            error = head.error();
    };
    HttpRequestHead const request { "GET", "/", {} };
    connection->send(format_request_head(request), nullptr);
    connection->set_deadline(monotonic_now() + TIMEOUT);
    asio::co_spawn(test.loop, exchange, asio::detached);
    CHECK(test.run_until([&] { return error.has_value(); }));
    CHECK(error == HttpError::TimedOut);
}

// Guards against a suspension during a wait, which the system's timers do not count: the wait was longer by that time.
TEST_CASE("A wait ends soon after a suspension that outlasts it", "[timeouts]")
{
    WaitUnderTest test;
    test.begin_wait(SUSPENSION / 2);
    CHECK_FALSE(test.end);
    SuspendedMachine const suspended(SUSPENSION);
    CHECK(test.run_until([&] { return test.end.has_value(); }));
    CHECK(test.end == WaitEnd::TimedOut);
}
