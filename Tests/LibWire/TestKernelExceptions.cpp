// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <Tests/Support/LoopKernel.h>
#include <catch2/catch.hpp>
#include <optional>
#include <stdexcept>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

/// Runs the loop until the condition holds, and goes on after exceptions that leave its handlers.
bool run_past_exceptions(asio::io_context& loop, std::function<bool()> const& condition)
{
    while (true) {
        try {
            return run_loop_until(loop, condition);
        } catch (std::runtime_error const&) {
            continue;
        }
    }
}

}

// Guards against VMs that hear no other VM any more after one message made a handler throw.
TEST_CASE("A kernel receives messages after a handler has thrown", "[exceptions]")
{
    asio::io_context loop { 1 };
    auto const kernel = make_loop_kernel(loop, "vm-1");
    auto const peer = make_loop_kernel(loop, "vm-2");
    int received = 0;
    kernel->host("service", [&](wire::Envelope const&, Kernel::Responder const& respond) {
        if (++received == 1)
            throw std::runtime_error("no memory");
        respond(wire::Envelope());
    });
    kernel->start();
    peer->start();
    peer->notify(kernel->endpoint(), message_to("service"));
    REQUIRE(run_past_exceptions(loop, [&] { return received == 1; }));
    std::optional<WireReply> reply;
    peer->request(kernel->endpoint(), message_to("service"), seconds(5), [&](WireReply const& given) { reply = given; });
    REQUIRE(run_past_exceptions(loop, [&] { return reply.has_value(); }));
    CHECK_FALSE(reply->is_error());
    peer->stop();
    kernel->stop();
}

// Guards against VMs that stop to beat, or to renew, after a periodic function has thrown once.
TEST_CASE("A periodic function runs again after it has thrown", "[exceptions]")
{
    asio::io_context loop { 1 };
    auto const kernel = make_loop_kernel(loop, "vm-1");
    kernel->start();
    int runs = 0;
    kernel->every(milliseconds(5), [&] {
        if (++runs == 1)
            throw std::runtime_error("no memory");
    });
    CHECK(run_past_exceptions(loop, [&] { return runs >= 3; }));
    kernel->stop();
}
