// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibAsync/HttpConnection.h>
#include <LibAsync/HttpServer.h>
#include <LibAsync/Spawn.h>
#include <LibCore/Clock.h>
#include <LibCore/LogLine.h>
#include <catch2/catch.hpp>
#include <stdexcept>
#include <string>

using namespace Spurtide;

namespace {

/// Counts the log lines about exceptions.
class ExceptionLines {
public:
    ExceptionLines()
    {
        LogLine::set_observer([this](std::string_view line) { this->count += line.find("event=uncaught_exception") != std::string_view::npos ? 1 : 0; });
    }
    ~ExceptionLines() { LogLine::set_observer({}); }
    ExceptionLines(ExceptionLines const&) = delete;
    ExceptionLines& operator=(ExceptionLines const&) = delete;

    int count = 0;
};

}

// Guards against VMs that stay up and follow nothing, since a coroutine ended with an exception.
TEST_CASE("A lasting coroutine that an exception ends is started again", "[exceptions]")
{
    asio::io_context loop { 1 };
    ExceptionLines lines;
    int starts = 0;
    spawn_lasting(loop.get_executor(), "test", [&]() -> asio::awaitable<void> {
        if (++starts < 3)
            throw std::bad_alloc();
        co_return;
    });
    loop.run();
    CHECK(starts == 3);
    CHECK(lines.count == 2);
}

// Guards against exceptions that end a coroutine without a trace.
TEST_CASE("An exception that leaves a coroutine is logged", "[exceptions]")
{
    asio::io_context loop { 1 };
    ExceptionLines lines;
    auto const fail = []() -> asio::awaitable<void> {
        throw std::runtime_error("no memory");
        co_return;
    };
    spawn(loop.get_executor(), "test", fail());
    loop.run();
    CHECK(lines.count == 1);
}

// Guards against processes that end, with all of their requests, by an exception in one handler.
TEST_CASE("An exception that leaves a handler of the event loop ends that handler alone", "[exceptions]")
{
    asio::io_context loop { 1 };
    ExceptionLines lines;
    bool has_run = false;
    asio::post(loop, [] { throw std::runtime_error("no descriptor"); });
    asio::post(loop, [&] { has_run = true; });
    run_loop(loop);
    CHECK(has_run);
    CHECK(lines.count == 1);
}

// Guards against callers that wait in vain for the answer to a request whose handler ended with an exception.
TEST_CASE("The connection of a request whose handler throws is reset, and the next one is served", "[exceptions]")
{
    asio::io_context loop { 1 };
    ExceptionLines lines;
    int requests = 0;
    auto const handle = [&](HttpExchange& exchange) -> asio::awaitable<void> {
        if (++requests == 1)
            throw std::bad_alloc();
        HttpResponseHead head;
        head.status = 204;
        static_cast<void>(co_await exchange.respond(std::move(head), {}));
    };
    auto const server = HttpServer::create(loop, { "127.0.0.1", 0 }, handle).release_value();
    std::vector<Result<HttpResponseHead, HttpError>> answers;
    auto const call_twice = [&]() -> asio::awaitable<void> {
        for (int i = 0; i < 2; ++i) {
            auto connected = co_await HttpConnection::connect(server->address(), seconds(1), {});
            auto const connection = connected.release_value();
            connection->set_deadline(monotonic_now() + seconds(10));
            connection->send("GET / HTTP/1.1\r\nHost: h\r\n\r\n", std::make_shared<std::string const>());
            auto head = co_await connection->read_head();
            answers.push_back(std::move(head));
            connection->abort();
        }
        loop.stop();
    };
    asio::co_spawn(loop, call_twice(), asio::detached);
    loop.run();
    REQUIRE(answers.size() == 2);
    REQUIRE(answers[0].is_error());
    CHECK(answers[0].error() != HttpError::TimedOut);
    REQUIRE_FALSE(answers[1].is_error());
    CHECK(answers[1].value().status == 204);
    CHECK(lines.count == 1);
    // A stop would wait for it otherwise.
    CHECK(server->exchange_count() == 0);
}
