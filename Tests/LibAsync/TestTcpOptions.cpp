// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibAsync/TcpOptions.h>
#include <LibCore/Clock.h>
#include <array>
#include <catch2/catch.hpp>
#include <linux/filter.h>
#include <optional>

using namespace Spurtide;

namespace {

/// Makes the kernel drop all packets that arrive for the socket, unacknowledged, like a path that is cut.
void drop_packets(asio::ip::tcp::socket& socket)
{
    std::array<sock_filter, 1> code { { { BPF_RET | BPF_K, 0, 0, 0 } } };
    sock_fprog const program { static_cast<unsigned short>(code.size()), code.data() };
    REQUIRE(::setsockopt(socket.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program)) == 0);
}

struct ConnectedPair {
    ConnectedPair()
    {
        asio::ip::tcp::acceptor acceptor(this->loop, { asio::ip::make_address("127.0.0.1"), 0 });
        this->client.connect(acceptor.local_endpoint());
        this->server = acceptor.accept();
        set_tcp_options(this->client, {});
    }

    /// Time until the client's connection ends.
    Duration wait_for_end()
    {
        auto const began = monotonic_now();
        std::optional<MonotonicTime> ended;
        std::array<char, 1> byte {};
        this->client.async_read_some(asio::buffer(byte), [&](asio::error_code error, std::size_t) {
            CHECK(error == asio::error::timed_out);
            ended = monotonic_now();
        });
        this->loop.run_for(std::chrono::seconds(20));
        REQUIRE(ended);
        return std::chrono::duration_cast<Duration>(*ended - began);
    }

    asio::io_context loop { 1 };
    asio::ip::tcp::socket client { loop };
    asio::ip::tcp::socket server { loop };
};

}

TEST_CASE("A silent connection ends with the second probe, whether or not bytes are unacknowledged", "[cut]")
{
    // The first probe is sent after a second, and the user timeout decides at the next one.
    constexpr Duration EXPECTED = seconds(2);
    constexpr Duration TIMERS = milliseconds(500);
    ConnectedPair pair;
    drop_packets(pair.server);
    SECTION("an idle one")
    {
        CHECK(pair.wait_for_end() <= EXPECTED + TIMERS);
    }
    SECTION("one that waits for a response")
    {
        asio::write(pair.client, asio::buffer("request", 7));
        CHECK(pair.wait_for_end() <= EXPECTED + TIMERS);
    }
}
