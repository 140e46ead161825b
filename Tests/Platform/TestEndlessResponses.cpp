// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibAsync/BufferMemory.h>
#include <LibCore/Clock.h>
#include <Tests/Platform/NodeUnderTest.h>
#include <Tests/Platform/RawUpstream.h>
#include <catch2/catch.hpp>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

std::string const PLAIN_HEAD = "HTTP/1.1 200 OK\r\nX-Spurtide-Attempt-Id: {id}\r\nX-Spurtide-Server-Stamp: s\r\n";
std::string const STREAM_HEAD = PLAIN_HEAD + "Content-Type: text/event-stream\r\n";
std::string const CHUNK = "1000\r\n" + std::string(0x1000, 'x') + "\r\n";

/// A faulty server that never stops responding until its connection is closed.
class EndlessUpstream {
public:
    struct Response {
        /// What comes first; IDENTIFIER stands for the request's identifier.
        std::string begin;
        /// What comes again and again after it.
        std::string repeated;
    };

    EndlessUpstream(asio::io_context& loop, Response response)
        : response(std::move(response))
        , server(loop, [this](auto& socket) { return this->serve(socket); })
    {
    }

    Address const& address() const { return this->server.address(); }
    /// Requests that are being responded to.
    std::size_t open_responses() const { return this->open; }
    std::size_t responses_begun() const { return this->begun; }

private:
    asio::awaitable<void> serve(asio::ip::tcp::socket& socket)
    {
        constexpr std::string_view IDENTIFIER = "{id}";
        constexpr std::size_t PIECE_BYTES = 64UL * 1024;
        std::string buffer;
        auto const head = co_await RawUpstream::read_request(socket, buffer);
        if (head.empty())
            co_return;
        auto bytes = this->response.begin;
        if (auto const at = bytes.find(IDENTIFIER); at != std::string::npos)
            bytes.replace(at, IDENTIFIER.size(), RawUpstream::identifier_of(head));
        std::string piece;
        while (piece.size() < PIECE_BYTES)
            piece += this->response.repeated;
        ++this->open;
        ++this->begun;
        asio::error_code error;
        while (!error) {
            co_await asio::async_write(socket, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
            bytes = piece;
        }
        --this->open;
    }

    Response response;
    std::size_t open = 0;
    std::size_t begun = 0;
    RawUpstream server;
};

struct Case {
    std::string name;
    EndlessUpstream::Response response;
};

std::vector<Case> endless_heads()
{
    return {
        { "bytes that are no HTTP", { "", "x" } },
        { "empty lines", { "", "\r\n" } },
        { "a status line", { "HTTP/1.1 200 ", "x" } },
        { "a header field", { PLAIN_HEAD + "X-More: ", "x" } },
        { "header fields", { PLAIN_HEAD, "X-More: x\r\n" } },
        { "interim responses", { "", "HTTP/1.1 100 Continue\r\n\r\n" } },
    };
}

std::vector<Case> endless_bodies(std::string const& head)
{
    return {
        { "a body that lasts until its connection closes", { head + "\r\n", "x" } },
        { "a body of a length beyond any limit", { head + "Content-Length: 1000000000000\r\n\r\n", "x" } },
        { "chunks", { head + "Transfer-Encoding: chunked\r\n\r\n", CHUNK } },
        { "the size of a chunk", { head + "Transfer-Encoding: chunked\r\n\r\n", "0" } },
        { "the extension of a chunk", { head + "Transfer-Encoding: chunked\r\n\r\n1;", "x" } },
        { "trailers", { head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: x\r\n" } },
    };
}

std::vector<Case> all_cases(std::string const& head)
{
    auto cases = endless_heads();
    for (auto& body : endless_bodies(head))
        cases.push_back(std::move(body));
    return cases;
}

/// A VM with one faulty upstream. The callers' deadline of three seconds is far beyond AT_ONCE.
struct EndlessTest : NodeUnderTest {
    EndlessTest(EndlessUpstream::Response response, std::string const& phase, std::string const& service)
        : endless(this->loop, std::move(response))
        , listed(this->loop, "i-1", phase)
    {
        this->configure(1);
        this->list(this->prefill, "engines");
        this->listed.listed_address = this->endless.address();
        this->list(this->listed, service);
    }

    EndlessUpstream endless;
    UpstreamStandIn listed;
    UpstreamStandIn prefill { this->loop, "i-p", "prefill" };
};

}

// Guards against plain responses without end, which held their callers until the deadline and took memory all the time.
TEST_CASE("A plain request fails at once if its upstream responds without end", "[endless]")
{
    auto const given = GENERATE(from_range(all_cases(PLAIN_HEAD)));
    CAPTURE(given.name);
    EndlessTest test(given.response, "", "plain");
    auto begun = monotonic_now();
    std::vector<HttpRequest> requests;
    for (int i = 0; i < 6; ++i)
        requests.push_back(test.request("POST", "/once/x", "once" + std::to_string(i)));
    for (auto const& answer : test.call_all(test.node->caller_address(), requests)) {
        CHECK_FALSE(answer.error);
        // They may have run.
        CHECK(answer.head.status == 502);
    }
    CHECK(monotonic_now() - begun < AT_ONCE);
    CHECK(test.endless.responses_begun() == requests.size());
    CHECK(test.run_until([&] { return test.endless.open_responses() == 0; }));
    // What may be repeated is served elsewhere.
    UpstreamStandIn other(test.loop, "i-2");
    test.list(other, "plain");
    begun = monotonic_now();
    for (int i = 0; i < 4; ++i)
        CHECK(test.call(test.request("GET", "/safe/x", "safe" + std::to_string(i))).head.status == 200);
    CHECK(monotonic_now() - begun < AT_ONCE);
    CHECK(test.run_until([&] { return test.endless.open_responses() == 0; }));
}

// Guards against streams whose engine sends a head or an event without end, and against the loop's time that the search for
// the end of such an event takes.
TEST_CASE("A stream is broken off at once if its engine responds without end", "[endless]")
{
    auto const given = GENERATE(from_range(all_cases(STREAM_HEAD)));
    CAPTURE(given.name);
    EndlessTest test(given.response, "decode", "engines");
    auto begun = monotonic_now();
    auto const answer = test.call(test.model_request("/stream/x", "a"));
    CHECK((answer.error || answer.head.status == 502));
    CHECK(monotonic_now() - begun < AT_ONCE);
    CHECK(test.run_until([&] { return test.endless.open_responses() == 0; }));
    // A stream that may be resumed goes on at another engine.
    UpstreamStandIn other(test.loop, "i-2", "decode");
    test.list(other, "engines");
    for (int i = 0; i < 3; ++i) {
        begun = monotonic_now();
        auto const resumed = test.call(test.model_request("/resumable/x", "r" + std::to_string(i)));
        CHECK(monotonic_now() - begun < AT_ONCE);
        CHECK_FALSE(resumed.error);
        CHECK(resumed.body.ends_with("piece 5\n\n"));
    }
    CHECK(test.run_until([&] { return test.endless.open_responses() == 0; }));
}

// Guards against VMs that run out of memory: partial events of streams that can be resumed were withheld without a bound where the
// engine's response had another type than an event stream.
TEST_CASE("A resumable stream is served elsewhere if its engine sends another type of body without end", "[endless]")
{
    auto const given = GENERATE(from_range(endless_bodies(PLAIN_HEAD)), from_range(endless_bodies(PLAIN_HEAD + "Content-Type: application/json\r\n")));
    CAPTURE(given.name);
    EndlessTest test(given.response, "decode", "engines");
    // Waits for another engine.
    auto const alone = test.call(test.model_request("/resumable/x", "a"));
    CHECK((alone.error || alone.head.status == 502));
    CHECK(test.run_until([&] { return test.endless.open_responses() == 0; }));
    UpstreamStandIn other(test.loop, "i-2", "decode");
    test.list(other, "engines");
    for (int i = 0; i < 3; ++i) {
        auto const begun = monotonic_now();
        auto const resumed = test.call(test.model_request("/resumable/x", "r" + std::to_string(i)));
        CHECK(monotonic_now() - begun < AT_ONCE);
        CHECK_FALSE(resumed.error);
        CHECK(resumed.body.ends_with("piece 5\n\n"));
    }
    CHECK(test.run_until([&] { return test.endless.open_responses() == 0; }));
}

// Guards against many engines at a time that each send a part of an event and stand still, which together exhaust the VM's memory.
TEST_CASE("Withheld events of all streams share a limit of memory", "[endless]")
{
    constexpr std::size_t LIMIT_BYTES = 4UL * 1024 * 1024;
    constexpr int STREAMS = 40;
    auto& memory = BufferMemory::the();
    auto const limit = memory.limit();
    memory.set_limit(LIMIT_BYTES);
    NodeUnderTest test;
    test.configure(1, set_long_latency_target);
    UpstreamStandIn prefill(test.loop, "i-p", "prefill");
    UpstreamStandIn stalling(test.loop, "i-1", "decode");
    bool is_stalling = true;
    stalling.slots = STREAMS;
    std::size_t most = 0;
    stalling.script = [&](HttpExchange& exchange) -> asio::awaitable<bool> {
        if (!is_stalling)
            co_return false;
        static_cast<void>(co_await exchange.begin(stalling.answer_head(exchange, 200), BodyFraming::Chunked));
        std::string const part = "data: " + std::string(200UL * 1024, 'x');
        static_cast<void>(co_await exchange.write(part));
        Signal never(test.loop.get_executor());
        static_cast<void>(co_await never.wait_until(monotonic_now() + seconds(20)));
        co_return true;
    };
    test.list(prefill, "engines");
    test.list(stalling, "engines");
    test.beside = [&] { most = std::max(most, memory.used(BufferMemory::Kind::WithheldEvents)); };
    std::vector<HttpRequest> requests;
    for (int i = 0; i < STREAMS; ++i)
        requests.push_back(test.model_request("/resumable/x", "stalled" + std::to_string(i)));
    for (auto const& answer : test.call_all(test.node->caller_address(), requests))
        CHECK_FALSE(answer.error);
    CHECK(most > 0);
    CHECK(most <= LIMIT_BYTES);
    is_stalling = false;
    CHECK(test.call(test.model_request("/resumable/x", "after")).head.status == 200);
    CHECK(memory.used(BufferMemory::Kind::WithheldEvents) == 0);
    memory.set_limit(limit);
}

// Guards against prompts that are read without end: the caller was not told before its deadline.
TEST_CASE("A prefill without end is given up at once", "[endless]")
{
    auto const given = GENERATE(from_range(all_cases(PLAIN_HEAD)));
    CAPTURE(given.name);
    NodeUnderTest test;
    test.configure(1);
    EndlessUpstream endless(test.loop, given.response);
    UpstreamStandIn prefill(test.loop, "i-p", "prefill");
    prefill.listed_address = endless.address();
    UpstreamStandIn decode(test.loop, "i-d", "decode");
    test.list(prefill, "engines");
    test.list(decode, "engines");
    auto const begun = monotonic_now();
    auto const answer = test.call(test.model_request("/stream/x", "a"));
    CHECK_FALSE(answer.error);
    CHECK((answer.head.status == 503 || answer.head.status == 200));
    CHECK(monotonic_now() - begun < AT_ONCE);
    CHECK(test.run_until([&] { return endless.open_responses() == 0; }));
}

// Guards against many long responses at a time, each within the limit of its own, which together exhaust the VM's memory.
TEST_CASE("Responses that are read at the same time share a limit of memory", "[endless]")
{
    NodeUnderTest test;
    test.configure(1);
    UpstreamStandIn upstream(test.loop, "i-1");
    test.list(upstream, "plain");
    bool is_stalling = true;
    upstream.script = [&](HttpExchange& exchange) -> asio::awaitable<bool> {
        if (!is_stalling)
            co_return false;
        static_cast<void>(co_await exchange.begin(upstream.answer_head(exchange, 200), BodyFraming::Chunked));
        std::string const most(7UL * 1024 * 1024, 'x');
        static_cast<void>(co_await exchange.write(most));
        Signal never(test.loop.get_executor());
        static_cast<void>(co_await never.wait_until(monotonic_now() + seconds(20)));
        co_return true;
    };
    std::vector<HttpRequest> requests;
    for (int i = 0; i < 6; ++i)
        requests.push_back(test.request("POST", "/once/x", "once" + std::to_string(i)));
    int too_large = 0;
    for (auto const& answer : test.call_all(test.node->caller_address(), requests)) {
        CHECK_FALSE(answer.error);
        too_large += answer.head.status == 502 ? 1 : 0;
    }
    // 42 MiB in all, of which the VM holds 24.
    CHECK(too_large >= 2);
    CHECK(too_large < 6);
    is_stalling = false;
    CHECK(test.call(test.request("POST", "/once/x", "after")).head.status == 200);
}
