// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibAsync/BufferReservation.h>
#include <Tests/Platform/NodeUnderTest.h>
#include <catch2/catch.hpp>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

constexpr std::size_t LARGE_BODY_BYTES = 80'000;

/// Leaves room for small bodies only.
BufferReservation reserve_half()
{
    BufferReservation reservation(BufferMemory::Kind::ResponseBodies);
    reservation.set_size(BufferMemory::the().limit() / 2);
    return reservation;
}

}

// Guards against a request that is refused for want of memory after it has run, or whose caller cannot tell.
TEST_CASE("A request whose body does not fit is refused, has not run and can be sent again", "[request-memory][not-run]")
{
    NodeUnderTest test;
    test.configure(1);
    UpstreamStandIn upstream(test.loop, "i-1");
    test.list(upstream, "plain");
    auto const request_with_body = [&](std::string const& identifier, std::size_t size) {
        auto request = test.request("POST", "/once/x", identifier);
        request.head.headers.add("Content-Length", std::to_string(size));
        request.body = std::string(size, 'x');
        return request;
    };
    auto const large = request_with_body("large", LARGE_BODY_BYTES);
    {
        auto const held = reserve_half();
        auto const refused = test.call(large);
        CHECK_FALSE(refused.error);
        CHECK(refused.head.status == 503);
        CHECK(refused.head.headers.find("Retry-After") == "1");
        CHECK(refused.head.headers.find("X-Spurtide-Attempt-Id") == "large");
        CHECK(test.call(request_with_body("small", 10'000)).head.status == 200);
    }
    CHECK(upstream.run == std::vector<std::string> { "small" });
    CHECK(test.call(large).head.status == 200);
    CHECK(test.run_until([] { return BufferMemory::the().used(BufferMemory::Kind::RequestBodies) == 0; }));
}

// Guards against responses that are no longer charged while a caller that does not read keeps them.
TEST_CASE("A response is charged until its caller has taken it", "[request-memory]")
{
    NodeUnderTest test;
    test.configure(1);
    UpstreamStandIn upstream(test.loop, "i-1");
    test.list(upstream, "plain");
    constexpr std::size_t RESPONSE_BYTES = 7UL * 1024 * 1024;
    upstream.script = [&](HttpExchange& exchange) -> asio::awaitable<bool> {
        std::string const body(RESPONSE_BYTES, 'x');
        static_cast<void>(co_await exchange.respond(upstream.answer_head(exchange, 200), body));
        co_return true;
    };
    auto const caller = test.begin(test.request("POST", "/once/x", "unread"));
    auto const held = [] { return BufferMemory::the().used(BufferMemory::Kind::ResponseBodies); };
    REQUIRE(test.run_until([&] { return held() == RESPONSE_BYTES; }));
    CHECK_FALSE(test.run_until([&] { return held() == 0; }, milliseconds(300)));
    caller->abort();
    CHECK(test.run_until([&] { return held() == 0; }));
}

// Guards against a process that is killed for its memory without a trace of what it held.
TEST_CASE("The metrics tell what is buffered, what did not fit, and the memory of the process", "[request-memory]")
{
    NodeUnderTest test;
    test.configure(1);
    BufferReservation withheld(BufferMemory::Kind::WithheldEvents);
    withheld.set_size(123'456);
    auto const limit = BufferMemory::the().limit();
    CHECK(withheld.try_set_size(2 * limit) == BufferReservation::Outcome::OutOfMemory);
    auto const metrics = test.call(test.node->operations_address(), test.request("GET", "/metrics", "m")).body;
    CHECK(metrics.find("spurtide_buffered_bytes{kind=\"withheld_events\"} 123456\n") != std::string::npos);
    CHECK(metrics.find("spurtide_buffer_refusals{kind=\"withheld_events\"} 0\n") == std::string::npos);
    CHECK(metrics.find("spurtide_buffer_limit_bytes " + std::to_string(limit)) != std::string::npos);
    CHECK(metrics.find("\nspurtide_resident_bytes ") != std::string::npos);
    CHECK(metrics.find("\nspurtide_peak_resident_bytes ") != std::string::npos);
}
