// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibAsync/BufferMemory.h>
#include <LibAsync/HttpServer.h>
#include <LibAsync/Signal.h>
#include <LibCore/Clock.h>
#include <array>
#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <string>

using namespace Spurtide;

namespace {

constexpr std::size_t MEBIBYTE = 1024UL * 1024;
/// Large bodies may use half of it.
constexpr std::size_t LIMIT_BYTES = 8 * MEBIBYTE;

/// A caller that writes bytes as they are and collects what comes.
struct RawCaller {
    RawCaller(asio::io_context& loop, Address const& address)
        : socket(loop)
    {
        this->socket.connect({ asio::ip::make_address(address.host), static_cast<std::uint16_t>(address.port) });
        this->read_more();
    }

    /// Goes on in the background; a caller that does not read sends no more than the server takes.
    void send(std::string bytes)
    {
        this->unsent += std::move(bytes);
        if (!this->is_sending)
            this->send_more();
    }

    bool is_closed() const { return this->end.has_value(); }
    bool is_whole() const { return this->end == asio::error::eof; }
    bool is_sent() const { return !this->is_sending; }

    asio::ip::tcp::socket socket;
    std::string received;
    std::optional<asio::error_code> end;

private:
    void read_more()
    {
        this->socket.async_read_some(asio::buffer(this->piece), [this](asio::error_code error, std::size_t size) {
            this->received.append(this->piece.data(), size);
            if (error)
                this->end = error;
            else
                this->read_more();
        });
    }

    void send_more()
    {
        this->sending = std::exchange(this->unsent, {});
        this->is_sending = !this->sending.empty();
        if (!this->is_sending)
            return;
        asio::async_write(this->socket, asio::buffer(this->sending), [this](asio::error_code error, std::size_t) {
            this->is_sending = false;
            if (!error)
                this->send_more();
        });
    }

    std::array<char, 1024> piece {};
    std::string unsent;
    std::string sending;
    bool is_sending = false;
};

/// A server that answers with the length of each body.
struct BodiesUnderTest {
    BodiesUnderTest()
        : server(HttpServer::create(this->loop, { "127.0.0.1", 0 }, [this](HttpExchange& exchange) { return this->answer(exchange); }).release_value())
    {
        BufferMemory::the().set_limit(LIMIT_BYTES);
        HttpLimits limits;
        limits.maximum_body = MEBIBYTE;
        this->server->set_limits(limits);
    }
    ~BodiesUnderTest()
    {
        for (auto& caller : this->callers)
            caller.socket.close();
        CHECK(this->run_until([&] { return this->server->connection_count() == 0; }));
        this->kept.clear();
        CHECK(BufferMemory::the().used() == 0);
        BufferMemory::the().set_limit(BufferMemory::DEFAULT_LIMIT_BYTES);
        this->loop.stop();
    }
    BodiesUnderTest(BodiesUnderTest const&) = delete;
    BodiesUnderTest& operator=(BodiesUnderTest const&) = delete;

    asio::awaitable<void> answer(HttpExchange& exchange)
    {
        ++this->taken;
        if (this->keeps_bodies)
            this->kept.push_back(exchange.shared_body());
        HttpResponseHead head;
        head.status = 200;
        auto const length = std::to_string(exchange.request().body.size());
        static_cast<void>(co_await exchange.respond(std::move(head), length));
    }

    RawCaller& connect() { return this->callers.emplace_back(this->loop, this->server->address()); }

    RawCaller& upload(std::size_t announced, std::size_t sent)
    {
        auto& caller = this->connect();
        caller.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(announced) + "\r\n\r\n" + std::string(sent, 'x'));
        return caller;
    }

    /// Some callers have sent all of their bodies but the last byte.
    void fill(int count)
    {
        auto const before = BufferMemory::the().used(BufferMemory::Kind::RequestBodies);
        for (int i = 0; i < count; ++i)
            this->upload(MEBIBYTE, MEBIBYTE - 1);
        REQUIRE(this->run_until([&] {
            bool is_sent = true;
            for (auto const& caller : this->callers)
                is_sent = is_sent && caller.is_sent();
            return is_sent && BufferMemory::the().used(BufferMemory::Kind::RequestBodies) >= before + static_cast<std::size_t>(count) * MEBIBYTE;
        }));
    }

    bool run_until(std::function<bool()> const& condition, Duration limit = seconds(15))
    {
        auto const until = monotonic_now() + limit;
        while (!condition()) {
            if (monotonic_now() >= until)
                return false;
            this->loop.run_for(std::chrono::milliseconds(1));
        }
        return true;
    }

    asio::io_context loop { 1 };
    int taken = 0;
    bool keeps_bodies = false;
    std::vector<std::shared_ptr<std::string const>> kept;
    std::deque<RawCaller> callers;
    std::unique_ptr<HttpServer> server;
};

bool is_refused(RawCaller const& caller)
{
    bool const has_status = caller.received.starts_with("HTTP/1.1 503 ");
    bool const has_retry_after = caller.received.find("\r\nRetry-After: ") != std::string::npos;
    return has_status && has_retry_after && caller.received.ends_with("\r\n\r\n");
}

}

// Guards against many long bodies at a time, each within the limit of its own, which together exhaust the memory of the process.
TEST_CASE("A body that does not fit beside others is refused before it is read, and small ones go on", "[request-bodies]")
{
    BodiesUnderTest test;
    test.fill(4);
    auto& large = test.upload(MEBIBYTE, 0);
    REQUIRE(test.run_until([&] { return large.received.ends_with("\r\n\r\n"); }, seconds(1)));
    CHECK(is_refused(large));
    auto& expecting = test.connect();
    expecting.send("POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 1000000\r\n\r\n");
    REQUIRE(test.run_until([&] { return expecting.received.ends_with("\r\n\r\n"); }, seconds(1)));
    CHECK(is_refused(expecting));
    CHECK(test.taken == 0);
    for (int i = 0; i < 20; ++i) {
        auto& small = test.upload(BufferMemory::SMALL_BYTES, BufferMemory::SMALL_BYTES);
        REQUIRE(test.run_until([&] { return small.received.ends_with("65536"); }, seconds(1)));
    }
    // The ones that were accepted are whole in the end.
    for (std::size_t i = 0; i < 4; ++i)
        test.callers[i].send("x");
    CHECK(test.run_until([&] { return test.callers[0].received.ends_with("1048576") && test.callers[3].received.ends_with("1048576"); }));
    CHECK(test.run_until([&] { return BufferMemory::the().used() < MEBIBYTE; }));
    auto& later = test.upload(MEBIBYTE, MEBIBYTE);
    CHECK(test.run_until([&] { return later.received.ends_with("1048576"); }));
}

// Guards against bodies whose length is not announced, and against a reset that destroys the response of a caller that still sends.
TEST_CASE("A body that grows beyond the memory is refused with a response that its caller can read", "[request-bodies]")
{
    BodiesUnderTest test;
    test.fill(4);
    auto& growing = test.connect();
    std::string body = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (int i = 0; i < 8; ++i)
        body += "20000\r\n" + std::string(0x20000, 'x') + "\r\n";
    growing.send(body + "0\r\n\r\n");
    REQUIRE(test.run_until([&] { return growing.is_closed(); }));
    CHECK(test.run_until([&] { return growing.is_sent(); }));
    CHECK(growing.is_whole());
    CHECK(is_refused(growing));
    CHECK(test.taken == 0);
}

// Guards against a body that is read up to the limit though its length is known to be beyond it.
TEST_CASE("A body that is announced to be too large is refused before it is read", "[request-bodies]")
{
    BodiesUnderTest test;
    auto& caller = test.upload(100 * MEBIBYTE, 0);
    REQUIRE(test.run_until([&] { return caller.received.ends_with("\r\n\r\n"); }, seconds(1)));
    CHECK(caller.received.starts_with("HTTP/1.1 413 "));
}

// Guards against uploads that stand still and keep others from being read.
TEST_CASE("Large bodies that stand still give way where the memory is short", "[request-bodies]")
{
    BodiesUnderTest test;
    test.upload(MEBIBYTE, MEBIBYTE - 1);
    auto& first = test.callers.front();
    // There is room for others.
    CHECK_FALSE(test.run_until([&] { return !first.received.empty(); }, seconds(3)));
    test.fill(3);
    REQUIRE(test.run_until([&] { return BufferMemory::the().used() <= 3 * MEBIBYTE; }, seconds(6)));
    CHECK(test.run_until([&] { return first.received.starts_with("HTTP/1.1 408 "); }));
    auto& later = test.upload(MEBIBYTE, MEBIBYTE);
    CHECK(test.run_until([&] { return later.received.ends_with("1048576"); }));
}

// Guards against bodies that are held for upstreams and not charged, since the exchange with the caller is over.
TEST_CASE("A body is charged for as long as it is held", "[request-bodies]")
{
    BodiesUnderTest test;
    test.keeps_bodies = true;
    auto& caller = test.upload(MEBIBYTE, MEBIBYTE);
    REQUIRE(test.run_until([&] { return caller.received.ends_with("1048576"); }));
    caller.socket.close();
    REQUIRE(test.run_until([&] { return test.server->connection_count() == 0; }));
    CHECK(BufferMemory::the().used(BufferMemory::Kind::RequestBodies) >= MEBIBYTE);
    REQUIRE(test.kept.size() == 1);
    CHECK(*test.kept.front() == std::string(MEBIBYTE, 'x'));
    test.kept.clear();
    CHECK(BufferMemory::the().used() == 0);
}

// Guards against connections that keep the buffers of what was once sent on them.
TEST_CASE("What callers send ahead is charged and bounded, and freed once it has been read", "[request-bodies]")
{
    BodiesUnderTest test;
    Signal go_on(test.loop.get_executor());
    auto const server = HttpServer::create(test.loop, { "127.0.0.1", 0 }, [&](HttpExchange& exchange) -> asio::awaitable<void> {
        if (exchange.request().head.target == "/wait")
            co_await go_on.wait();
        HttpResponseHead head;
        head.status = 200;
        static_cast<void>(co_await exchange.respond(std::move(head), "whole"));
    }).release_value();
    RawCaller caller(test.loop, server->address());
    caller.send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\nPOST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n" + std::string(1000000, 'x'));
    auto const& memory = BufferMemory::the();
    REQUIRE(test.run_until([&] { return memory.used(BufferMemory::Kind::ReadAhead) >= 64UL * 1024; }));
    CHECK(memory.used(BufferMemory::Kind::ReadAhead) <= 128UL * 1024);
    go_on.notify();
    REQUIRE(test.run_until([&] { return caller.is_sent() && memory.used(BufferMemory::Kind::ReadAhead) == 0; }));
    CHECK(test.run_until([&] { return caller.received.find("whole") != caller.received.rfind("whole"); }));
    caller.socket.close();
    CHECK(test.run_until([&] { return server->connection_count() == 0; }));
}
