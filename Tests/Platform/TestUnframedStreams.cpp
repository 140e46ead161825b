// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <Tests/Platform/NodeUnderTest.h>
#include <catch2/catch.hpp>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

std::string event(int number) { return "id: " + std::to_string(number) + "\ndata: piece " + std::to_string(number) + "\n\n"; }

/// Answers a stream without length or chunks: these bytes, then the end of the connection.
void answer_unframed(UpstreamStandIn& engine, std::string bytes, bool& is_reset)
{
    engine.script = [&engine, bytes, &is_reset](HttpExchange& exchange) -> asio::awaitable<bool> {
        auto head = engine.answer_head(exchange, 200);
        head.headers.add("Content-Type", "text/event-stream");
        static_cast<void>(co_await exchange.begin(std::move(head), BodyFraming::UntilClose));
        static_cast<void>(co_await exchange.write(bytes));
        if (is_reset)
            exchange.abort();
        else
            static_cast<void>(co_await exchange.finish());
        co_return true;
    };
}

struct UnframedTest : NodeUnderTest {
    UnframedTest()
    {
        this->configure(1);
        this->list(this->prefill, "engines");
        this->list(this->first, "engines");
    }

    bool is_reset = false;
    UpstreamStandIn prefill { this->loop, "i-p", "prefill" };
    UpstreamStandIn first { this->loop, "i-1", "decode" };
};

}

// Guards against a stream that broke off in the middle of an event and reached its caller as whole.
TEST_CASE("A stream that ends with its connection inside an event is broken off", "[unframed]")
{
    UnframedTest test;
    answer_unframed(test.first, event(1) + "id: 2\ndata: pie", test.is_reset);
    SECTION("one that may not be resumed does not look complete, and its partial event is withheld")
    {
        auto const answer = test.call(test.model_request("/stream/x", "a"));
        CHECK(answer.error);
        CHECK(answer.body.find("id: 2") == std::string::npos);
    }
    SECTION("one that may be resumed goes on elsewhere")
    {
        UpstreamStandIn second(test.loop, "i-2", "decode");
        test.list(second, "engines");
        bool is_broken_off = false;
        for (auto* engine : { &test.first, &second }) {
            answer_unframed(*engine, event(1) + "id: 2\ndata: pie", test.is_reset);
            engine->script = [&is_broken_off, break_off = engine->script](HttpExchange& exchange) -> asio::awaitable<bool> {
                if (std::exchange(is_broken_off, true))
                    co_return false;
                co_return co_await break_off(exchange);
            };
        }
        auto const answer = test.call(test.model_request("/resumable/x", "a"));
        CHECK_FALSE(answer.error);
        CHECK(answer.body == event(1) + event(2) + event(3) + event(4) + event(5));
    }
}

TEST_CASE("A stream that ends with its connection after an event is whole, and one that is reset is not", "[unframed]")
{
    UnframedTest test;
    answer_unframed(test.first, event(1) + event(2), test.is_reset);
    for (auto const* target : { "/stream/x", "/resumable/x" }) {
        CAPTURE(target);
        auto const whole = test.call(test.model_request(target, std::string("w") + target[1]));
        CHECK_FALSE(whole.error);
        CHECK(whole.head.status == 200);
        CHECK(whole.body == event(1) + event(2));
    }
    // A crash may close the connection before the first event.
    answer_unframed(test.first, "", test.is_reset);
    CHECK(test.call(test.model_request("/stream/x", "empty")).head.status == 502);
    answer_unframed(test.first, event(1) + event(2), test.is_reset);
    test.is_reset = true;
    auto const reset = test.call(test.model_request("/stream/x", "r"));
    CHECK(reset.error);
}

// Guards against half a stream that looks whole at its caller when this VM is killed: the kernel closes the connection in good order.
TEST_CASE("A stream that ends with its engine's connection reaches its caller in chunks", "[unframed]")
{
    UnframedTest test;
    answer_unframed(test.first, event(1) + event(2), test.is_reset);
    for (auto const* target : { "/stream/x", "/resumable/x" }) {
        CAPTURE(target);
        auto const answer = test.call(test.model_request(target, std::string("c") + target[1]));
        CHECK(answer.head.headers.find("Transfer-Encoding") == "chunked");
        CHECK(answer.body == event(1) + event(2));
    }
    // HTTP/1.0 knows no chunks.
    auto request = test.model_request("/stream/x", "old");
    auto bytes = format_request_head(request.head) + request.body;
    bytes.replace(bytes.find("HTTP/1.1"), 8, "HTTP/1.0");
    auto const old = test.exchange_bytes(bytes);
    CHECK(old.find("chunked") == std::string::npos);
    CHECK(old.find("Connection: close\r\n") != std::string::npos);
    CHECK(old.ends_with("\r\n\r\n" + event(1) + event(2)));
}
