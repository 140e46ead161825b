// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibUpstream/HttpService.h>
#include <StandIns/ServiceStandIn/ServiceStandIn.h>
#include <array>
#include <asio.hpp>
#include <catch2/catch.hpp>
#include <future>
#include <string>

using namespace Spurtide;

namespace {

struct Service {
    std::unique_ptr<ServiceStandIn> stand_in = ServiceStandIn::create({ "app", { "127.0.0.1", 0 }, 8, {} }).release_value();
    HttpService port { this->stand_in->address(), milliseconds(300), milliseconds(1000) };
    ServiceCall call { "POST", "/orders", "application/json", "{}", "r1" };
};

/// Whether a server closes its connection in good order when it has responded, or resets it.
enum class End {
    Close,
    Reset,
};

/// Calls a server that reads a part of the request, sends these bytes and ends the connection.
Result<ServiceAnswer, ServiceError> call_raw_server(std::string const& response, std::string const& body = "{}", End end = End::Close)
{
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, { asio::ip::address_v4::loopback(), 0 });
    HttpService port { { "127.0.0.1", acceptor.local_endpoint().port() }, milliseconds(300), milliseconds(1000) };
    auto call = std::async(std::launch::async, [&] { return port.call({ "POST", "/orders", "application/json", body, "r1" }); });
    auto socket = acceptor.accept();
    std::array<char, 1024> buffer {};
    socket.read_some(asio::buffer(buffer));
    asio::write(socket, asio::buffer(response));
    if (end == End::Reset)
        socket.set_option(asio::socket_base::linger(true, 0));
    socket.close();
    return call.get();
}

}

TEST_CASE("A call reaches the service once and its answer comes back whole")
{
    Service service;
    auto const answer = service.port.call(service.call);
    REQUIRE_FALSE(answer.is_error());
    CHECK(answer.value().status == 200);
    CHECK(answer.value().body.find("/orders") != std::string::npos);
    CHECK(service.stand_in->runs("r1") == 1);
}

TEST_CASE("A refusal gives its time to come back and did not run")
{
    Service service;
    service.stand_in->set_faults({ 0, 1 });
    auto const answer = service.port.call(service.call);
    CHECK(answer.value().status == 503);
    CHECK(answer.value().retry_after == seconds(1));
    CHECK(service.stand_in->total_runs() == 0);
}

TEST_CASE("A lost answer is told from a connection that was never made")
{
    Service service;
    service.stand_in->set_faults({ 1, 0 });
    CHECK(service.port.call(service.call).error().kind == ServiceErrorKind::Lost);
    CHECK(service.stand_in->runs("r1") == 1);
    service.stand_in->stop();
    CHECK(service.port.call(service.call).error().kind == ServiceErrorKind::Unreachable);
}

// Guards against statuses that no HTTP server means, which reached callers as responses.
TEST_CASE("A response of an unusable status is lost", "[broken-response]")
{
    auto const status = GENERATE(values<std::string>({ "000", "001", "099", "101", "600", "700", "999" }));
    CAPTURE(status);
    auto const answer = call_raw_server("HTTP/1.1 " + status + " Trouble\r\nContent-Length: 5\r\nConnection: close\r\n\r\nwrong");
    REQUIRE(answer.is_error());
    CHECK(answer.error().kind == ServiceErrorKind::Lost);
}

// Guards against fields that this side reads otherwise than the server, so that its body comes with its chunks' sizes.
TEST_CASE("A response with a malformed field name is lost", "[broken-response]")
{
    auto const line = GENERATE(values<std::string>({ "Transfer-Encoding : chunked", "Transfer-Encoding\t: chunked", "Bad Name: x", "Bad\x01Name: x", "Bad\x7f: x", " Bad: x", ": x" }));
    CAPTURE(line);
    auto const answer = call_raw_server("HTTP/1.1 200 OK\r\n" + line + "\r\nConnection: close\r\n\r\n5\r\nwrong\r\n0\r\n\r\n");
    REQUIRE(answer.is_error());
    CHECK(answer.error().kind == ServiceErrorKind::Lost);
}

// Guards against a part of a body that is taken for the whole, since the server reset the connection while it was sent a long request.
TEST_CASE("A part of an early response is lost if its connection was reset", "[broken-response]")
{
    for (int i = 0; i < 10; ++i) {
        auto const answer = call_raw_server("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart", std::string(12UL * 1024 * 1024, 'x'), End::Reset);
        REQUIRE(answer.is_error());
        CHECK(answer.error().kind == ServiceErrorKind::Lost);
    }
}
