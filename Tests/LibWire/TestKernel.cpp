// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibWire/Kernel.h>
#include <Tests/Support/Waiting.h>
#include <atomic>
#include <catch2/catch.hpp>
#include <random>
#include <zmq.hpp>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

std::unique_ptr<Kernel> make_kernel(std::string const& name)
{
    return Kernel::create({ name, "tcp://127.0.0.1:0", "" }).release_value();
}

wire::Envelope locate(std::string const& request)
{
    wire::Envelope envelope;
    envelope.set_service("echo");
    envelope.mutable_locate()->set_request(request);
    return envelope;
}

void answer_echo(wire::Envelope const& request, Kernel::Responder const& respond)
{
    wire::Envelope reply;
    reply.mutable_located()->set_decode_engine(request.locate().request());
    respond(std::move(reply));
}

}

TEST_CASE("Requests are answered each with its own reply, also when many cross")
{
    auto server = make_kernel("vm-1");
    auto client = make_kernel("vm-2");
    server->host("echo", answer_echo);
    server->start();
    client->start();
    std::atomic<int> right = 0;
    for (int i = 0; i < 500; ++i) {
        client->request(server->endpoint(), locate(std::to_string(i)), seconds(10), [&right, i](WireReply const& reply) {
            right += !reply.is_error() && reply.value().located().decode_engine() == std::to_string(i) ? 1 : 0;
        });
    }
    CHECK(eventually([&] { return right == 500; }));
}

TEST_CASE("A reply may come later, and a second one to the same request changes nothing", "[twice][slow]")
{
    auto server = make_kernel("vm-1");
    auto client = make_kernel("vm-2");
    Kernel::Responder kept;
    server->host("echo", [&](auto const&, auto respond) { kept = respond; });
    server->start();
    client->start();
    std::atomic<int> replies = 0;
    client->request(server->endpoint(), locate("x"), seconds(10), [&](auto const&) { ++replies; });
    REQUIRE(eventually([&] { return server->received_traffic()["locate"].messages == 1; }));
    server->post([&] {
        kept(error_reply(wire::ERROR_CODE_NOT_READY));
        kept(error_reply(wire::ERROR_CODE_NOT_READY));
    });
    CHECK(eventually([&] { return client->received_traffic()["error"].messages == 2; }));
    CHECK(replies == 1);
}

TEST_CASE("Unknown services, silence, absence and stopping are typed errors")
{
    auto server = make_kernel("vm-1");
    auto client = make_kernel("vm-2");
    server->host("silent", [](auto const&, auto const&) {});
    server->start();
    client->start();
    CHECK(client->call(server->endpoint(), locate("x"), seconds(10)).error().code == wire::ERROR_CODE_UNKNOWN_SERVICE);
    auto silent = locate("x");
    silent.set_service("silent");
    CHECK(client->call(server->endpoint(), silent, milliseconds(50)).error().kind == WireErrorKind::Timeout);
    CHECK(client->call("tcp://127.0.0.1:1", locate("x"), milliseconds(50)).error().kind == WireErrorKind::Timeout);
    CHECK(client->call("no endpoint", locate("x"), milliseconds(50)).error().kind == WireErrorKind::NoEndpoint);
    client->stop();
    CHECK(client->call(server->endpoint(), locate("x"), seconds(1)).error().kind == WireErrorKind::Stopped);
    CHECK(Kernel::create({ "vm-3", "tcp://192.0.2.1:1", "" }).error().kind == WireErrorKind::CannotListen);
}

TEST_CASE("A request that timed out before its peer came up is not delivered late", "[twice][freeze][cut]")
{
    auto client = make_kernel("vm-2");
    client->start();
    std::string endpoint;
    {
        auto first = make_kernel("vm-1");
        endpoint = first->endpoint();
    }
    CHECK(client->call(endpoint, locate("stale"), milliseconds(50)).is_error());
    auto late = Kernel::create({ "vm-1", endpoint, "" });
    REQUIRE_FALSE(late.is_error());
    std::vector<std::string> seen;
    late.value()->host("echo", [&](auto const& request, auto respond) {
        seen.push_back(request.locate().request());
        answer_echo(request, respond);
    });
    late.value()->start();
    CHECK_FALSE(client->call(endpoint, locate("fresh"), seconds(10)).is_error());
    late.value()->stop();
    CHECK(seen == std::vector<std::string> { "fresh" });
}

TEST_CASE("Bytes that are no message of ours are passed over and the service goes on")
{
    auto server = make_kernel("vm-1");
    auto client = make_kernel("vm-2");
    server->host("echo", answer_echo);
    server->start();
    client->start();
    zmq::context_t context;
    zmq::socket_t socket(context, zmq::socket_type::dealer);
    socket.set(zmq::sockopt::linger, 0);
    socket.connect(server->endpoint());
    std::mt19937 random(5);
    auto const valid = locate("fuzz").SerializeAsString();
    for (int i = 0; i < 2000; ++i) {
        std::string bytes = i % 2 == 0 ? valid : std::string(random() % 64, 'x');
        for (auto& byte : bytes)
            byte = random() % 4 == 0 ? static_cast<char>(random()) : byte;
        if (random() % 10 == 0)
            socket.send(zmq::buffer(bytes), zmq::send_flags::sndmore);
        socket.send(zmq::buffer(bytes), zmq::send_flags::none);
    }
    CHECK_FALSE(client->call(server->endpoint(), locate("x"), seconds(10)).is_error());
}

TEST_CASE("Connections that rest are closed but for a few, and opened again when they are needed", "[fleet]")
{
    Kernel::Options options { "vm-0", "tcp://127.0.0.1:0", "" };
    options.idle_links_kept = 3;
    options.idle_link_time = milliseconds(100);
    auto const client = Kernel::create(options).release_value();
    client->start();
    std::vector<std::unique_ptr<Kernel>> peers;
    for (int i = 1; i <= 12; ++i) {
        peers.push_back(make_kernel("vm-" + std::to_string(i)));
        peers.back()->host("echo", answer_echo);
        peers.back()->start();
    }
    auto const reach_all = [&] {
        for (auto const& peer : peers)
            CHECK_FALSE(client->call(peer->endpoint(), locate("r"), seconds(10)).is_error());
    };
    reach_all();
    CHECK(eventually([&] { return client->open_links() == 3; }));
    reach_all();
    CHECK(client->open_links() > 3);
    // One that waits for its reply is not idle.
    Kernel::Responder kept;
    auto slow = make_kernel("vm-13");
    slow->host("echo", [&](auto const&, auto respond) { kept = respond; });
    slow->start();
    std::atomic<int> answered = 0;
    client->request(slow->endpoint(), locate("late"), seconds(10), [&](WireReply const& reply) { answered = reply.is_error() ? -1 : 1; });
    CHECK(eventually([&] { return client->open_links() == 3; }));
    slow->post([&] { kept({}); });
    CHECK(eventually([&] { return answered != 0; }));
    CHECK(answered == 1);
}
