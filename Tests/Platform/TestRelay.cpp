// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibAsync/BufferReservation.h>
#include <LibRouter/RelayProtocol.h>
#include <Tests/Platform/NodeUnderTest.h>
#include <array>
#include <catch2/catch.hpp>

// A VM that relays requests of others, as those see it.

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

/// The bytes of a request as an upstream receives them.
std::string upstream_request(std::string const& method, std::string const& identity, std::string const& body = {})
{
    return method + " /safe/x HTTP/1.1\r\nHost: h.example\r\nX-Spurtide-Attempt-Id: a1\r\nX-Spurtide-Expect-Instance: " + identity + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

HttpRequest relay_request(RelayedSend const& send, std::string body)
{
    HttpRequest request { relay_request_head("127.0.0.1", send, body.size()), {} };
    request.body = std::move(body);
    return request;
}

RelayedSend send_to(std::string const& identity)
{
    RelayedSend send;
    send.request = "a1";
    send.upstream = identity;
    send.time_left = seconds(3);
    return send;
}

struct RelayTest : NodeUnderTest {
    RelayTest()
    {
        this->configure(1);
        this->list(this->plain, "plain");
    }

    CallerAnswer relay(HttpRequest request) { return this->call(*this->node->relay_address(), std::move(request)); }
    CallerAnswer relay(RelayedSend const& send, std::string const& method = "POST", std::string const& body = "the body") { return this->relay(relay_request(send, upstream_request(method, this->plain.identity, body))); }

    UpstreamStandIn plain { this->loop, "i-1" };
};

}

TEST_CASE("A relayed request reaches the upstream as it is, and so does its response", "[partitioned-vm]")
{
    RelayTest test;
    SECTION("a success")
    {
        auto const answer = test.relay(send_to("i-1"));
        CHECK(answer.head.status == 200);
        CHECK(read_relay_outcome(answer.head) == RelayOutcome::Forwarded);
        CHECK(answer.head.headers.find("X-Spurtide-Server-Stamp") == "stamp.i-1");
        CHECK(answer.body == "answer of i-1 to a1");
        REQUIRE(test.plain.requests.size() == 1);
        CHECK(test.plain.requests.front().head.method == "POST");
        CHECK(test.plain.requests.front().head.target == "/safe/x");
        CHECK(test.plain.requests.front().head.headers.find("Host") == "h.example");
        CHECK(test.plain.requests.front().body == "the body");
        for (auto const& field : test.plain.requests.front().head.headers.all())
            CHECK_FALSE(field.name.starts_with("Spurtide-Relay"));
    }
    SECTION("a failure of the upstream's own")
    {
        test.plain.script = [&](HttpExchange& exchange) -> asio::awaitable<bool> {
            auto const head = test.plain.answer_head(exchange, 500);
            static_cast<void>(co_await exchange.respond(head, "its failure"));
            co_return true;
        };
        auto const answer = test.relay(send_to("i-1"));
        CHECK(answer.head.status == 500);
        CHECK(read_relay_outcome(answer.head) == RelayOutcome::Forwarded);
        CHECK(answer.body == "its failure");
    }
    SECTION("a body that lasts until the connection closes")
    {
        test.plain.script = [&](HttpExchange& exchange) -> asio::awaitable<bool> {
            auto const head = test.plain.answer_head(exchange, 200);
            static_cast<void>(co_await exchange.begin(head, BodyFraming::UntilClose));
            static_cast<void>(co_await exchange.write("until the end"));
            static_cast<void>(co_await exchange.finish());
            co_return true;
        };
        auto const answer = test.relay(send_to("i-1"));
        CHECK_FALSE(answer.error);
        CHECK(answer.body == "until the end");
    }
    SECTION("no body")
    {
        auto send = send_to("i-1");
        send.expected_body = MessageParser::ExpectedBody::None;
        auto const answer = test.relay(send, "HEAD", "");
        CHECK_FALSE(answer.error);
        CHECK(answer.head.status == 200);
        CHECK(answer.body.empty());
    }
    SECTION("an interrupted response never looks complete")
    {
        for (auto const framing : { BodyFraming::Chunked, BodyFraming::UntilClose }) {
            test.plain.script = [&](HttpExchange& exchange) -> asio::awaitable<bool> {
                auto const head = test.plain.answer_head(exchange, 200);
                static_cast<void>(co_await exchange.begin(head, framing));
                static_cast<void>(co_await exchange.write("the first part"));
                exchange.abort();
                co_return true;
            };
            CHECK(test.relay(send_to("i-1")).error);
        }
    }
}

TEST_CASE("A VM that does not relay a request says why, and the upstream receives nothing", "[partitioned-vm][not-run]")
{
    RelayTest test;
    UpstreamStandIn leaving(test.loop, "i-2");
    test.list(leaving, "plain", "draining");
    UpstreamStandIn gone(test.loop, "i-3");
    test.list(gone, "plain");
    gone.crash();
    auto const outcome_of = [&](CallerAnswer const& answer) {
        CHECK(answer.head.status >= 400);
        return read_relay_outcome(answer.head);
    };
    CHECK(outcome_of(test.relay(send_to("i-9"))) == RelayOutcome::UnknownUpstream);
    CHECK(outcome_of(test.relay(send_to("i-2"))) == RelayOutcome::NotAvailable);
    CHECK(outcome_of(test.relay(send_to("i-3"))) == RelayOutcome::NobodyListens);
    // The second time no connection is attempted.
    CHECK(outcome_of(test.relay(send_to("i-3"))) == RelayOutcome::NobodyListens);
    auto late = send_to("i-1");
    late.time_left = Duration::zero();
    CHECK(outcome_of(test.relay(late)) == RelayOutcome::Expired);
    test.node->stop([] {});
    CHECK(outcome_of(test.relay(send_to("i-1"))) == RelayOutcome::Stopping);
    CHECK(test.plain.requests.empty());
    CHECK(leaving.requests.empty());
}

TEST_CASE("A request to relay that cannot be read is rejected", "[partitioned-vm]")
{
    RelayTest test;
    auto const whole = relay_request(send_to("i-1"), upstream_request("POST", "i-1"));
    auto const without = [&](std::string_view name) {
        auto request = whole;
        std::erase_if(request.head.headers.all(), [&](auto const& field) { return field.name == name; });
        return request;
    };
    auto const with = [&](std::string_view name, std::string_view value) {
        auto request = without(name);
        request.head.headers.add(name, value);
        return request;
    };
    auto other_path = whole;
    other_path.head.target = "/v1/other";
    auto other_method = whole;
    other_method.head.method = "PUT";
    std::vector<HttpRequest> const cases {
        without("Spurtide-Relay-Upstream"),
        without("Spurtide-Relay-Time-Left-Ms"),
        without("Spurtide-Relay-Connection"),
        without("Spurtide-Relay-Response-Body"),
        without("Spurtide-Relay-When-Unreachable"),
        without("Spurtide-Relay-Operation"),
        with("Spurtide-Relay-Time-Left-Ms", "-1"),
        with("Spurtide-Relay-Time-Left-Ms", "soon"),
        with("Spurtide-Relay-Time-Left-Ms", "99999999999999999999"),
        with("Spurtide-Relay-Operation", "other"),
        other_path,
        other_method,
    };
    for (std::size_t i = 0; i < cases.size(); ++i) {
        CAPTURE(i);
        auto const answer = test.relay(cases[i]);
        CHECK(answer.head.status == 400);
        CHECK(read_relay_outcome(answer.head) == RelayOutcome::Malformed);
    }
    CHECK(test.plain.requests.empty());
}

// Guards against relayed bodies without a common bound, and against a request that is lost since its relaying VM has no memory.
TEST_CASE("A relayed request whose body does not fit is declined as not sent", "[partitioned-vm][request-memory]")
{
    RelayTest test;
    BufferReservation held(BufferMemory::Kind::ResponseBodies);
    held.set_size(BufferMemory::the().limit() / 2);
    auto const answer = test.relay(relay_request(send_to("i-1"), upstream_request("POST", "i-1") + std::string(80'000, 'x')));
    CHECK(answer.head.status == 503);
    CHECK(read_relay_outcome(answer.head) == RelayOutcome::OutOfMemory);
    CHECK(test.plain.requests.empty());
}

TEST_CASE("Callers cannot have requests relayed", "[partitioned-vm]")
{
    RelayTest test;
    auto const answer = test.call(relay_request(send_to("i-1"), upstream_request("POST", "i-1")));
    CHECK(answer.head.status >= 400);
    CHECK_FALSE(read_relay_outcome(answer.head));
    CHECK(test.plain.requests.empty());
}

TEST_CASE("A probe through another VM connects to the upstream and sends nothing", "[partitioned-vm]")
{
    RelayTest test;
    auto probe = send_to("i-1");
    probe.operation = RelayedSend::Operation::Probe;
    auto const answer = test.relay(relay_request(probe, {}));
    CHECK(answer.head.status == 200);
    CHECK(read_relay_outcome(answer.head) == RelayOutcome::Connected);
    CHECK(test.plain.requests.empty());
}

TEST_CASE("A relayed stream ends at its engine when the caller leaves", "[partitioned-vm]")
{
    RelayTest test;
    UpstreamStandIn engine(test.loop, "i-d", "decode");
    engine.events = 10'000;
    test.list(engine, "engines");
    auto const request = relay_request(send_to("i-d"), upstream_request("POST", "i-d", "the prompt"));
    std::shared_ptr<HttpConnection> connection;
    auto const carry = [&]() -> asio::awaitable<void> {
        auto connected = co_await HttpConnection::connect(*test.node->relay_address(), seconds(1), {});
        connection = connected.release_value();
        connection->send(format_request_head(request.head), std::make_shared<std::string const>(request.body));
    };
    asio::co_spawn(test.loop, carry(), asio::detached);
    REQUIRE(test.run_until([&] { return !engine.run.empty(); }));
    connection->abort();
    CHECK(test.run_until([&] { return engine.abandoned.contains("a1"); }, milliseconds(500)));
}

// Guards against a relaying VM that goes on for a VM which closed its sending side: that looks the same as a closed connection.
TEST_CASE("A relayed stream ends at its engine when the requesting VM closes its sending side", "[partitioned-vm][caller-cancel]")
{
    RelayTest test;
    UpstreamStandIn engine(test.loop, "i-d", "decode");
    engine.events = 10'000;
    test.list(engine, "engines");
    auto const request = relay_request(send_to("i-d"), upstream_request("POST", "i-d", "the prompt"));
    asio::ip::tcp::socket requesting(test.loop);
    auto const address = test.node->relay_address().value();
    requesting.connect({ asio::ip::make_address(address.host), static_cast<std::uint16_t>(address.port) });
    asio::write(requesting, asio::buffer(format_request_head(request.head) + request.body));
    REQUIRE(test.run_until([&] { return !engine.run.empty(); }));
    requesting.shutdown(asio::ip::tcp::socket::shutdown_send);
    CHECK(test.run_until([&] { return engine.abandoned.contains("a1"); }, milliseconds(500)));
}
