// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibAsync/Signal.h>
#include <LibCore/Clock.h>
#include <LibCore/LogLine.h>
#include <Tests/Platform/NodeUnderTest.h>
#include <Tests/Platform/PeerVirtualMachine.h>
#include <catch2/catch.hpp>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

std::string_view retry_after(CallerAnswer const& answer) { return answer.head.headers.find("Retry-After").value_or(""); }

bool is_signed(CallerAnswer const& answer) { return answer.head.headers.contains("X-Spurtide-Server-Stamp"); }

/// A script that answers so many requests in its own way.
UpstreamStandIn::Script times(int count, std::function<asio::awaitable<void>(HttpExchange&)> answer)
{
    auto const left = std::make_shared<int>(count);
    return [left, answer](HttpExchange& exchange) -> asio::awaitable<bool> {
        if ((*left)-- <= 0)
            co_return false;
        co_await answer(exchange);
        co_return true;
    };
}

asio::awaitable<void> break_off(HttpExchange& exchange)
{
    exchange.abort();
    co_return;
}

}

TEST_CASE("Before the first configuration a request is told to come back, never that it has no route", "[not-run][config]")
{
    NodeUnderTest test;
    auto const answer = test.call(test.request("GET", "/safe/x", "a"));
    REQUIRE(answer.head.status == 503);
    REQUIRE_FALSE(retry_after(answer).empty());
}

TEST_CASE("Each kind of call reaches its service and comes back whole", "[whole]")
{
    NodeUnderTest test;
    UpstreamStandIn plain(test.loop, "i-1");
    test.configure(1);
    test.list(plain, "plain");
    for (auto const* prefix : { "/safe/", "/once/" }) {
        auto made = test.request("POST", std::string(prefix) + "x?y=1", std::string("id") + prefix);
        made.body = "body";
        made.head.headers.add("Content-Length", "4");
        auto const answer = test.call(made);
        REQUIRE(answer.head.status == 200);
        REQUIRE(answer.body == "answer of i-1 to id" + std::string(prefix));
        REQUIRE(answer.head.headers.find("X-Spurtide-Server-Stamp") == "stamp.i-1");
        REQUIRE(plain.requests.back().body == "body");
        REQUIRE(plain.requests.back().head.target == std::string(prefix) + "x?y=1");
        auto const patience = parse_whole_number(plain.requests.back().head.headers.find("X-Spurtide-Deadline-Ms").value_or(""));
        REQUIRE(*patience <= 3000);
    }
    REQUIRE(test.call(test.request("GET", "/none/", "b")).head.status == 404);
}

TEST_CASE("A stream is prefilled at one engine and made at another", "[whole]")
{
    NodeUnderTest test;
    UpstreamStandIn prefill(test.loop, "i-p", "prefill");
    UpstreamStandIn decode(test.loop, "i-d", "decode");
    test.configure(1);
    test.list(prefill, "engines");
    test.list(decode, "engines");
    auto const answer = test.call(test.model_request("/stream/x", "s1"));
    REQUIRE(answer.head.status == 200);
    REQUIRE(answer.body == "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\nid: 5\ndata: piece 5\n\n");
    REQUIRE(prefill.requests.size() == 1);
    REQUIRE(prefill.run.empty());
    REQUIRE(decode.run == std::vector<std::string> { "s1" });
    REQUIRE(decode.requests.front().head.headers.find("X-Spurtide-Kv-Source") == prefill.address().to_string() + "/handle-s1");
    REQUIRE(decode.requests.front().body == "the prompt");
}

TEST_CASE("A call that may run once is never sent again once it may have run", "[at-most-once][answer-lost]")
{
    NodeUnderTest test;
    UpstreamStandIn one(test.loop, "i-1");
    UpstreamStandIn two(test.loop, "i-2");
    one.script = times(10, break_off);
    two.script = times(10, break_off);
    test.configure(1);
    test.list(one, "plain");
    test.list(two, "plain");
    auto const answer = test.call(test.request("POST", "/once/x", "a"));
    REQUIRE(answer.head.status == 502);
    REQUIRE_FALSE(is_signed(answer));
    REQUIRE(one.requests.size() + two.requests.size() == 1);
}

TEST_CASE("A call that may be repeated goes to another upstream", "[whole][kill]")
{
    NodeUnderTest test;
    UpstreamStandIn one(test.loop, "i-1");
    UpstreamStandIn two(test.loop, "i-2");
    test.configure(1);
    test.list(one, "plain");
    test.list(two, "plain");
    auto const fault = GENERATE(0, 1, 2, 3, 4);
    UpstreamStandIn::Script const script = times(1, [&, fault](HttpExchange& exchange) -> asio::awaitable<void> {
        auto head = one.answer_head(exchange, 200);
        if (fault == 0) {
            exchange.abort();
            co_return;
        }
        if (fault == 1)
            head.status = 500;
        if (fault == 2)
            head = UpstreamStandIn::refusal_head(exchange);
        if (fault == 3)
            head.headers.add("Content-Encoding", "gzip");
        if (fault == 4) {
            // Broken off in the middle.
            static_cast<void>(co_await exchange.begin(head, BodyFraming::Chunked));
            static_cast<void>(co_await exchange.write("half of it"));
            exchange.abort();
            co_return;
        }
        static_cast<void>(co_await exchange.respond(head, "text"));
    });
    one.script = script;
    two.script = script;
    auto const answer = test.call(test.request("GET", "/safe/x", "a"));
    std::string seen;
    for (auto const* upstream : { &one, &two }) {
        for (auto const& request : upstream->requests)
            seen += upstream->identity + " got " + request.head.method + " " + request.head.target + " of " + std::string(request.head.headers.find("X-Spurtide-Attempt-Id").value_or("nobody")) + "\n";
    }
    CAPTURE(fault, seen);
    REQUIRE(answer.head.status == 200);
    REQUIRE(answer.body.starts_with("answer of i-"));
    REQUIRE(one.requests.size() + two.requests.size() == 2);
}

TEST_CASE("A refusal that says not run is passed on only where the upstream said so", "[not-run]")
{
    NodeUnderTest test;
    UpstreamStandIn plain(test.loop, "i-1");
    bool const is_marked = GENERATE(true, false);
    plain.script = times(5, [&](HttpExchange& exchange) -> asio::awaitable<void> {
        auto head = plain.answer_head(exchange, 503);
        if (is_marked)
            head.headers.add("X-Spurtide-Not-Executed", "1");
        static_cast<void>(co_await exchange.respond(head, {}));
    });
    test.configure(1);
    test.list(plain, "plain");
    auto const answer = test.call(test.request("POST", "/once/x", "a"));
    REQUIRE(answer.head.status == (is_marked ? 503 : 502));
    REQUIRE(retry_after(answer).empty() != is_marked);
    REQUIRE_FALSE(is_signed(answer));
}

TEST_CASE("An answer to another request is not handed on", "[whole]")
{
    NodeUnderTest test;
    UpstreamStandIn plain(test.loop, "i-1");
    plain.script = times(1, [&](HttpExchange& exchange) -> asio::awaitable<void> {
        HttpResponseHead head { 200, "", {} };
        head.headers.add("X-Spurtide-Attempt-Id", "somebody-else");
        head.headers.add("X-Spurtide-Server-Stamp", "stamp");
        static_cast<void>(co_await exchange.respond(head, "theirs"));
        // The other side says nothing more, so the caller's own time ends it.
    });
    test.configure(1, [](auto& json) { json["routes"][1]["timeout_ms"] = 200; });
    test.list(plain, "plain");
    auto const answer = test.call(test.request("POST", "/once/x", "a"));
    REQUIRE(answer.head.status == 504);
    REQUIRE(answer.body.empty());
}

TEST_CASE("A request is answered at its route's time-out, and never as not run once it was sent", "[not-run][slow]")
{
    NodeUnderTest test;
    UpstreamStandIn plain(test.loop, "i-1");
    plain.script = times(5, [&](HttpExchange& exchange) -> asio::awaitable<void> {
        Signal never(test.loop.get_executor());
        exchange.when_caller_leaves([&] { never.notify(); });
        co_await never.wait();
        plain.abandoned.insert("left");
        exchange.abort();
    });
    test.configure(1, [](auto& json) { json["routes"][0]["timeout_ms"] = 150; json["routes"][1]["timeout_ms"] = 150; });
    test.list(plain, "plain");
    for (auto const* target : { "/safe/x", "/once/x" }) {
        auto const answer = test.call(test.request("GET", target, std::string("a") + target));
        REQUIRE(answer.head.status == 504);
        REQUIRE(retry_after(answer).empty());
    }
    REQUIRE(test.run_until([&] { return !plain.abandoned.empty(); }));
}

TEST_CASE("When a caller leaves, its stream ends at the engine", "[held][caller-cancel]")
{
    NodeUnderTest test;
    UpstreamStandIn prefill(test.loop, "i-p", "prefill");
    UpstreamStandIn decode(test.loop, "i-d", "decode");
    decode.events = 100'000;
    test.configure(1);
    test.list(prefill, "engines");
    test.list(decode, "engines");
    auto const connection = test.begin(test.model_request("/stream/x", "s1"));
    REQUIRE(test.run_until([&] { return !decode.run.empty(); }));
    connection->abort();
    REQUIRE(test.run_until([&] { return decode.abandoned.contains("s1"); }));
}

// Guards against upstreams that work on for callers that are gone: the end of a half-closed connection looks the same as that of a
// closed one.
TEST_CASE("A caller that closes its connection or its sending side ends its request at the upstream within half a second", "[held][caller-cancel]")
{
    NodeUnderTest test;
    UpstreamStandIn plain(test.loop, "i-1");
    UpstreamStandIn engine(test.loop, "i-d", "decode");
    engine.events = 100'000;
    Signal left(test.loop.get_executor());
    plain.script = [&](HttpExchange& exchange) -> asio::awaitable<bool> {
        exchange.when_caller_leaves([&] { left.notify(); });
        co_await left.wait();
        plain.abandoned.insert("a");
        exchange.abort();
        co_return true;
    };
    test.configure(1);
    test.list(plain, "plain");
    test.list(engine, "engines");
    bool const is_stream = GENERATE(false, true);
    bool const closes_sending_side_only = GENERATE(false, true);
    CAPTURE(is_stream, closes_sending_side_only);
    auto& upstream = is_stream ? engine : plain;
    auto request = is_stream ? test.model_request("/stream/x", "a") : test.request("GET", "/safe/x", "a");
    request.head.headers.add("Connection", "close");
    asio::ip::tcp::socket caller(test.loop);
    auto const& address = test.node->caller_address();
    caller.connect({ asio::ip::make_address(address.host), static_cast<std::uint16_t>(address.port) });
    asio::write(caller, asio::buffer(format_request_head(request.head) + request.body));
    REQUIRE(test.run_until([&] { return is_stream ? !engine.run.empty() : !plain.requests.empty(); }));
    if (closes_sending_side_only)
        caller.shutdown(asio::ip::tcp::socket::shutdown_send);
    else
        caller.close();
    CHECK(test.run_until([&] { return upstream.abandoned.contains("a"); }, milliseconds(500)));
}

TEST_CASE("A request whose caller left before it was read reaches no upstream", "[held][caller-cancel][freeze]")
{
    NodeUnderTest test;
    UpstreamStandIn plain(test.loop, "i-1");
    test.configure(1);
    test.list(plain, "plain");
    // Leaves a resting connection to the upstream, on which the next request goes out at once.
    REQUIRE(test.call(test.request("GET", "/safe/y", "earlier")).head.status == 200);
    // The loop stands still meanwhile, as in a process that was paused.
    test.send_and_leave("GET /safe/x HTTP/1.1\r\nHost: h.example\r\nX-Spurtide-Attempt-Id: left\r\nX-Spurtide-Deadline-Ms: 3000\r\n\r\n");
    REQUIRE(test.call(test.request("GET", "/safe/y", "stays")).head.status == 200);
    REQUIRE(plain.run == std::vector<std::string> { "earlier", "stays" });
}

TEST_CASE("A caller that leaves while its prompt is read says nothing of the engine", "[caller-cancel]")
{
    NodeUnderTest test;
    UpstreamStandIn one(test.loop, "i-p1", "prefill");
    UpstreamStandIn two(test.loop, "i-p2", "prefill");
    UpstreamStandIn decode(test.loop, "i-d", "decode");
    bool has_left = false;
    auto const held_up = times(1, [&](HttpExchange& exchange) -> asio::awaitable<void> {
        while (!exchange.is_caller_gone()) {
            asio::steady_timer pause(test.loop, milliseconds(1));
            co_await pause.async_wait(asio::use_awaitable);
        }
        has_left = true;
    });
    one.script = held_up;
    two.script = held_up;
    test.configure(1);
    for (auto const* engine : { &one, &two, &decode })
        test.list(*engine, "engines");
    auto const connection = test.begin(test.model_request("/stream/x", "left"));
    REQUIRE(test.run_until([&] { return one.requests.size() + two.requests.size() == 1; }));
    auto const& chosen = one.requests.empty() ? two : one;
    connection->abort();
    REQUIRE(test.run_until([&] { return has_left; }));
    // With nothing else under way the same engine is the best one again, unless it counts as failed.
    REQUIRE(test.call(test.model_request("/stream/x", "stays")).head.status == 200);
    REQUIRE(chosen.handles == std::set<std::string> { "handle-stays" });
}

TEST_CASE("A cache that nobody will take is freed", "[held]")
{
    NodeUnderTest test;
    UpstreamStandIn prefill(test.loop, "i-p", "prefill");
    UpstreamStandIn decode(test.loop, "i-d", "decode");
    decode.script = times(1, [&](HttpExchange& exchange) -> asio::awaitable<void> {
        auto head = UpstreamStandIn::refusal_head(exchange);
        static_cast<void>(co_await exchange.respond(head, {}));
    });
    test.configure(1);
    test.list(prefill, "engines");
    test.list(decode, "engines");
    auto const answer = test.call(test.model_request("/stream/x", "s1"));
    REQUIRE(answer.head.status == 503);
    REQUIRE_FALSE(retry_after(answer).empty());
    REQUIRE(test.run_until([&] { return prefill.freed == std::vector<std::string> { "handle-s1" }; }));
}

TEST_CASE("No prompt is read for a decode engine that is away", "[held][kill]")
{
    NodeUnderTest test;
    UpstreamStandIn prefill(test.loop, "i-p", "prefill");
    UpstreamStandIn here(test.loop, "i-2", "decode");
    auto away = std::make_unique<UpstreamStandIn>(test.loop, "i-1", "decode");
    test.configure(1);
    test.list(prefill, "engines");
    test.list(*away, "engines");
    away.reset();
    auto const refused = test.call(test.model_request("/stream/x", "s1"));
    REQUIRE(refused.head.status == 503);
    REQUIRE(prefill.requests.empty());
    test.list(here, "engines");
    REQUIRE(test.call(test.model_request("/stream/x", "s2")).head.status == 200);
    REQUIRE(prefill.requests.size() == 1);
}

TEST_CASE("A resumable stream goes on behind its last whole event, with nothing twice", "[whole][kill]")
{
    NodeUnderTest test;
    UpstreamStandIn prefill(test.loop, "i-p", "prefill");
    UpstreamStandIn one(test.loop, "i-1", "decode");
    UpstreamStandIn two(test.loop, "i-2", "decode");
    auto const torn = GENERATE(as<std::string> {}, "id: 1\ndata: pie", "id: 1\ndata: piece 1\n\n", "id: 1\ndata: piece 1\n\nid: 2\nda");
    UpstreamStandIn::Script const script = times(1, [&](HttpExchange& exchange) -> asio::awaitable<void> {
        auto head = one.answer_head(exchange, 200);
        static_cast<void>(co_await exchange.begin(head, BodyFraming::Chunked));
        static_cast<void>(co_await exchange.write(torn));
        exchange.abort();
    });
    one.script = script;
    two.script = script;
    test.configure(1);
    for (auto const* engine : { &prefill, &one, &two })
        test.list(*engine, "engines");
    auto const answer = test.call(test.model_request("/resumable/x", "s1"));
    CAPTURE(torn);
    REQUIRE(answer.head.status == 200);
    REQUIRE(answer.body == "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\nid: 5\ndata: piece 5\n\n");
}

// The pattern: a VM dies, and the callers of its streams come back to others.
TEST_CASE("A caller that comes back goes on where its prompt is, and the prompt is read once", "[whole][kill]")
{
    NodeUnderTest test;
    UpstreamStandIn prefill(test.loop, "i-p", "prefill");
    UpstreamStandIn one(test.loop, "i-1", "decode");
    UpstreamStandIn two(test.loop, "i-2", "decode");
    test.configure(1);
    for (auto const* engine : { &prefill, &one, &two })
        test.list(*engine, "engines");
    REQUIRE(test.call(test.model_request("/resumable/x", "s1")).head.status == 200);
    auto& first = one.run.empty() ? two : one;
    auto again = test.model_request("/resumable/x", "s2", "s1");
    again.head.headers.add("Resumes", "s1");
    again.head.headers.add("Last-Event-Id", "3");
    auto const answer = test.call(std::move(again));
    REQUIRE(answer.head.status == 200);
    REQUIRE(answer.body == "id: 4\ndata: piece 4\n\nid: 5\ndata: piece 5\n\n");
    CHECK(first.run == std::vector<std::string> { "s1", "s2" });
    CHECK(prefill.handles.size() == 1);
    CHECK_FALSE(first.requests.back().head.headers.find("X-Spurtide-Kv-Source"));
}

// The pattern: all VMs die at once, and their callers come back together to VMs that know of nothing.
TEST_CASE("A keeper that is new in office sends callers where their prompts are", "[kill]")
{
    NodeUnderTest test;
    UpstreamStandIn prefill(test.loop, "i-p", "prefill");
    UpstreamStandIn one(test.loop, "i-1", "decode");
    UpstreamStandIn two(test.loop, "i-2", "decode");
    two.cached = { "aa", "own-s1" };
    test.configure(1);
    for (auto const* engine : { &prefill, &one, &two })
        test.list(*engine, "engines");
    REQUIRE(test.run_until([&] { return one.cached_asked > 0 && two.cached_asked > 0; }));
    REQUIRE(test.call(test.model_request("/resumable/x", "s1")).head.status == 200);
    CHECK(two.run == std::vector<std::string> { "s1" });
    CHECK(prefill.handles.empty());
    // Of another session only the shared part is there.
    REQUIRE(test.call(test.model_request("/resumable/x", "s2")).head.status == 200);
    CHECK(prefill.handles.size() == 1);
    CHECK(one.cached_asked == 1);
}

TEST_CASE("A stream that cannot go on does not look whole", "[whole][kill]")
{
    NodeUnderTest test;
    UpstreamStandIn prefill(test.loop, "i-p", "prefill");
    UpstreamStandIn decode(test.loop, "i-d", "decode");
    auto const framing = GENERATE(BodyFraming::Chunked, BodyFraming::UntilClose);
    decode.script = times(5, [&](HttpExchange& exchange) -> asio::awaitable<void> {
        auto head = decode.answer_head(exchange, 200);
        static_cast<void>(co_await exchange.begin(head, framing));
        static_cast<void>(co_await exchange.write("id: 1\ndata: piece 1\n\n"));
        exchange.abort();
    });
    test.configure(1);
    test.list(prefill, "engines");
    test.list(decode, "engines");
    auto const answer = test.call(test.model_request("/stream/x", "s1"));
    REQUIRE(answer.error);
    REQUIRE(decode.requests.size() == 1);
}

TEST_CASE("Malformed requests get a clear answer and never reach an upstream", "[whole]")
{
    NodeUnderTest test;
    UpstreamStandIn plain(test.loop, "i-1");
    test.configure(1);
    test.list(plain, "plain");
    struct Case {
        std::string bytes;
        std::string status;
    };
    std::string const good = "GET /safe/x HTTP/1.1\r\nHost: h.example\r\nX-Spurtide-Attempt-Id: a\r\n";
    auto const given = GENERATE_COPY(
        Case { "nonsense\r\n\r\n", "400" }, Case { good + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "400" }, Case { good + "Transfer-Encoding : chunked\r\n\r\n", "400" },
        Case { good + "X: " + std::string(8000, 'x') + "\r\n\r\n", "431" }, Case { good + "Content-Length: 200000\r\n\r\n" + std::string(150'000, 'x'), "413" },
        Case { good + "Content-Length: 10\r\n\r\nhalf", "408" }, Case { good, "408" }, Case { "GET /safe/x HTTP/1.1\r\nHost: h.example\r\n\r\n", "400" }, Case { "GET /safe/x HTTP/1.1\r\nX-Spurtide-Attempt-Id: a\r\n\r\n", "400" });
    // A body that stays away is waited for as long as a head.
    auto const answer = test.exchange_bytes(given.bytes);
    CAPTURE(given.status, given.bytes.substr(0, 200));
    REQUIRE(answer.starts_with("HTTP/1.1 " + given.status));
    REQUIRE(plain.requests.empty());
}

TEST_CASE("Requests that are sent ahead are answered in their order", "[whole]")
{
    NodeUnderTest test;
    UpstreamStandIn plain(test.loop, "i-1");
    test.configure(1);
    test.list(plain, "plain");
    std::string bytes;
    for (auto const* name : { "a", "b", "c" })
        bytes += "GET /safe/x HTTP/1.1\r\nHost: h.example\r\nX-Spurtide-Attempt-Id: " + std::string(name) + "\r\n\r\n";
    auto const answers = test.exchange_bytes(bytes);
    auto const first = answers.find("to a");
    auto const second = answers.find("to b");
    auto const third = answers.find("to c");
    REQUIRE(first < second);
    REQUIRE(second < third);
    REQUIRE(third != std::string::npos);
}

TEST_CASE("An upstream that leaves gets no new work, and one that is gone none either", "[leaving]")
{
    NodeUnderTest test;
    UpstreamStandIn one(test.loop, "i-1");
    UpstreamStandIn two(test.loop, "i-2");
    test.configure(1);
    test.list(one, "plain");
    test.list(two, "plain");
    test.list(one, "plain", "draining");
    for (int i = 0; i < 6; ++i)
        REQUIRE(test.call(test.request("GET", "/safe/x", "a" + std::to_string(i))).head.status == 200);
    REQUIRE(one.requests.empty());
    test.store.remove("servers", "i-2");
    REQUIRE(test.run_until([&] { return !test.node->knows_upstream("i-2", UpstreamRecord::Life::Serving); }));
    REQUIRE(test.call(test.request("GET", "/safe/x", "b")).head.status == 503);
}

TEST_CASE("The last list and configuration stay in use while the store is away", "[platform-down][config]")
{
    NodeUnderTest test;
    UpstreamStandIn plain(test.loop, "i-1");
    test.configure(1);
    test.list(plain, "plain");
    auto const fault = GENERATE(StoreStandIn::Fault::Busy, StoreStandIn::Fault::TooMany, StoreStandIn::Fault::Garbage);
    test.store.set_fault(fault);
    REQUIRE(test.call(test.request("GET", "/safe/x", "a")).head.status == 200);
    // The entry lapses meanwhile; the upstream lives and announces itself again.
    auto const feeds = test.store.feeds;
    REQUIRE(test.run_until([&] { return test.store.feeds > feeds + 4; }));
    test.store.remove("servers", "i-1");
    test.store.set_fault(StoreStandIn::Fault::None);
    auto const seen = test.store.feeds;
    REQUIRE(test.run_until([&] { return test.store.feeds > seen + 2; }));
    REQUIRE(test.call(test.request("GET", "/safe/x", "b")).head.status == 200);
    test.configure(2);
}

TEST_CASE("Where history is gone the whole is read again", "[platform-down][leaving]")
{
    NodeUnderTest test;
    UpstreamStandIn one(test.loop, "i-1");
    UpstreamStandIn two(test.loop, "i-2");
    test.configure(1);
    test.list(one, "plain");
    auto const reads = test.store.reads;
    test.store.set_fault(StoreStandIn::Fault::HistoryGone);
    test.store.put("servers", two.identity, two.entry("plain"));
    test.store.remove("servers", "i-1");
    REQUIRE(test.run_until([&] { return test.node->knows_upstream("i-2", UpstreamRecord::Life::Serving) && !test.node->knows_upstream("i-1", UpstreamRecord::Life::Serving); }));
    REQUIRE(test.store.reads > reads);
}

TEST_CASE("A long list is read in pages")
{
    NodeUnderTest test;
    test.store.page_size = 2;
    std::vector<std::unique_ptr<UpstreamStandIn>> upstreams;
    for (int i = 0; i < 5; ++i) {
        upstreams.push_back(std::make_unique<UpstreamStandIn>(test.loop, "i-" + std::to_string(i)));
        test.store.put("servers", upstreams.back()->identity, upstreams.back()->entry("plain"));
    }
    REQUIRE(test.run_until([&] { return test.node->knows_upstream("i-4", UpstreamRecord::Life::Serving); }));
}

TEST_CASE("A configuration never goes back", "[config]")
{
    NodeUnderTest test;
    test.configure(5);
    test.store.put("op", "config", nlohmann::json { { "version", 4 }, { "routes", nlohmann::json::array() }, { "services", nlohmann::json::array() } });
    test.store.put("op", "other", nlohmann::json { { "version", 9 } });
    auto const feeds = test.store.feeds;
    REQUIRE(test.run_until([&] { return test.store.feeds > feeds; }));
    test.configure(6);
    REQUIRE(test.node->configuration_version() == 6);
}

TEST_CASE("A stopping node is not ready, ends what runs and takes no stream that it could not end", "[planned-stop]")
{
    NodeUnderTest test;
    UpstreamStandIn prefill(test.loop, "i-p", "prefill");
    UpstreamStandIn decode(test.loop, "i-d", "decode");
    decode.events = 20;
    decode.event_pause = milliseconds(10);
    test.configure(1);
    test.list(prefill, "engines");
    test.list(decode, "engines");
    REQUIRE(test.run_until([&] { return test.node->is_ready(); }));
    bool is_stopped = false;
    auto const running = test.begin(test.model_request("/stream/x", "s1"));
    REQUIRE(test.run_until([&] { return !decode.run.empty(); }));
    test.node->stop([&] { is_stopped = true; });
    REQUIRE_FALSE(test.node->is_ready());
    std::string body;
    std::optional<HttpError> error;
    bool is_read = false;
    auto const read = [&]() -> asio::awaitable<void> {
        auto head = co_await running->read_head();
        auto whole = co_await running->read_body(100'000);
        if (whole.is_error())
            error = whole.error();
        else
            body = whole.release_value();
        is_read = true;
    };
    asio::co_spawn(test.loop, read(), asio::detached);
    REQUIRE(test.run_until([&] { return is_read; }));
    REQUIRE_FALSE(error);
    REQUIRE(body.ends_with("piece 20\n\n"));
    running->abort();
    auto const early = test.call(test.model_request("/stream/x", "s2"));
    REQUIRE(early.head.status == 200);
    REQUIRE(early.head.headers.find("Connection") == "close");
    REQUIRE(test.run_until([&] { return is_stopped; }));
}

TEST_CASE("What waits in vain at an upstream out of reach goes on elsewhere, where it may", "[cut][whole]")
{
    NodeUnderTest test;
    UpstreamStandIn one(test.loop, "i-1");
    UpstreamStandIn two(test.loop, "i-2");
    test.configure(1);
    test.list(one, "plain");
    // The first takes the request and is then cut off: nothing comes, and nothing connects any more.
    one.script = [&](HttpExchange&) -> asio::awaitable<bool> {
        one.stop_listening();
        Signal never(test.loop.get_executor());
        static_cast<void>(co_await never.wait_until(monotonic_now() + seconds(20)));
        co_return true;
    };
    auto const waiting = test.begin(test.request("GET", "/safe/x", "a"));
    REQUIRE(test.run_until([&] { return one.requests.size() == 1; }));
    test.list(two, "plain");
    REQUIRE(test.run_until([&] { return two.run == std::vector<std::string> { "a" }; }));
    // From then on it gets nothing, without a try.
    for (int i = 0; i < 4; ++i)
        REQUIRE(test.call(test.request("POST", "/once/x", "b" + std::to_string(i))).head.status == 200);
    REQUIRE(one.requests.size() == 1);
}

TEST_CASE("A stream whose engine is out of reach goes on at another as long as its caller waits", "[cut][whole]")
{
    NodeUnderTest test;
    UpstreamStandIn prefill(test.loop, "i-p", "prefill");
    UpstreamStandIn one(test.loop, "i-d1", "decode");
    test.configure(1, [](nlohmann::json& json) {
        // The time to the first event is long over when the stream has to go on.
        for (auto& route : json["routes"])
            route["slo_ms"] = 60;
    });
    test.list(prefill, "engines");
    test.list(one, "engines");
    one.events = 8;
    one.event_pause = milliseconds(40);
    one.script = [&](HttpExchange& exchange) -> asio::awaitable<bool> {
        auto head = one.answer_head(exchange, 200);
        head.headers.add("Content-Type", "text/event-stream");
        static_cast<void>(co_await exchange.begin(std::move(head), BodyFraming::Chunked));
        static_cast<void>(co_await exchange.write("id: 1\ndata: piece 1\n\n"));
        asio::steady_timer timer(test.loop, milliseconds(100));
        asio::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        exchange.abort();
        co_return true;
    };
    UpstreamStandIn two(test.loop, "i-d2", "decode");
    two.events = 3;
    std::string received;
    auto const connection = test.begin(test.model_request("/resumable/x", "s1"));
    REQUIRE(test.run_until([&] { return !one.requests.empty(); }));
    test.list(two, "engines");
    auto const read = [&]() -> asio::awaitable<void> {
        auto const head = co_await connection->read_head();
        if (head.is_error())
            co_return;
        auto const body = co_await connection->read_body(10'000);
        received = body.is_error() ? "broken" : body.value();
    };
    asio::co_spawn(test.loop, read(), asio::detached);
    REQUIRE(test.run_until([&] { return !received.empty(); }));
    REQUIRE(received == "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\n");
}

TEST_CASE("An engine that refuses a promised place costs no further prompts", "[held][kill]")
{
    NodeUnderTest test;
    UpstreamStandIn prefill(test.loop, "i-p", "prefill");
    UpstreamStandIn other_prefill(test.loop, "i-q", "prefill");
    UpstreamStandIn full(test.loop, "i-d1", "decode");
    UpstreamStandIn decode(test.loop, "i-d2", "decode");
    full.script = [&](HttpExchange& exchange) -> asio::awaitable<bool> {
        auto head = UpstreamStandIn::refusal_head(exchange);
        static_cast<void>(co_await exchange.respond(std::move(head), {}));
        co_return true;
    };
    test.configure(1);
    for (auto* engine : { &prefill, &other_prefill, &full, &decode })
        test.list(*engine, "engines");
    for (int i = 0; i < 8; ++i)
        REQUIRE(test.call(test.model_request("/resumable/x", "s" + std::to_string(i))).head.status == 200);
    REQUIRE(full.requests.size() <= 1);
    REQUIRE(prefill.handles.size() + other_prefill.handles.size() <= 9);
}

// The pattern: after a restart no VM knows which engine is under order; it refuses prompts at once, so that it always
// seems to be the idlest of its role.
TEST_CASE("An engine that refuses to read prompts is left for another", "[held][kill]")
{
    NodeUnderTest test;
    UpstreamStandIn refusing(test.loop, "i-a", "prefill");
    UpstreamStandIn prefill(test.loop, "i-p", "prefill");
    UpstreamStandIn decode(test.loop, "i-d", "decode");
    refusing.script = [&](HttpExchange& exchange) -> asio::awaitable<bool> {
        auto head = UpstreamStandIn::refusal_head(exchange);
        static_cast<void>(co_await exchange.respond(std::move(head), {}));
        co_return true;
    };
    test.configure(1);
    for (auto* engine : { &refusing, &prefill, &decode })
        test.list(*engine, "engines");
    for (int i = 0; i < 8; ++i)
        REQUIRE(test.call(test.model_request("/resumable/x", "s" + std::to_string(i))).head.status == 200);
    REQUIRE(refusing.requests.size() <= 1);
}

TEST_CASE("A node tells what it believes and how its requests ended")
{
    NodeUnderTest test;
    UpstreamStandIn plain(test.loop, "i-1");
    UpstreamStandIn prefill(test.loop, "i-p", "prefill");
    UpstreamStandIn decode(test.loop, "i-d", "decode");
    test.configure(7);
    test.list(plain, "plain");
    test.list(prefill, "engines");
    test.list(decode, "engines");
    REQUIRE(test.call(test.request("GET", "/safe/x", "a")).head.status == 200);
    REQUIRE(test.call(test.model_request("/stream/x", "s")).head.status == 200);
    auto const metrics = test.call(test.node->operations_address(), test.request("GET", "/metrics", "m"));
    REQUIRE(metrics.head.status == 200);
    CAPTURE(metrics.body);
    for (auto const* line : {
             "spurtide_configuration_version 7\n",
             "spurtide_upstreams 3\n",
             "spurtide_upstreams_from_registry 1\n",
             "spurtide_upstreams_from_peers 0\n",
             "spurtide_keeps_engines 1\n",
             "spurtide_running_requests 0\n",
             "spurtide_requests_total{kind=\"call\",outcome=\"answered\",reason=\"success\"} 1\n",
             "spurtide_requests_total{kind=\"stream\",outcome=\"answered\",reason=\"stream\"} 1\n",
             "spurtide_request_seconds_count{kind=\"call\",outcome=\"answered\"} 1\n",
             "spurtide_first_event_seconds_count 1\n",
             "spurtide_longest_pause_seconds_count 1\n",
             "spurtide_placements_total{outcome=\"granted\"} 1\n",
             "spurtide_sends_total{service=\"plain\",stage=\"run\"} 1\n",
             "spurtide_sends_total{service=\"engines\",stage=\"prefill\"} 1\n",
             "spurtide_sends_total{service=\"engines\",stage=\"run\"} 1\n",
         })
        CHECK(metrics.body.find(line) != std::string::npos);
    CHECK(metrics.body.find("spurtide_registry_calls_total{result=\"answered\",what=\"upstreams\"}") != std::string::npos);
    CHECK(metrics.body.find("spurtide_loop_delay_seconds_bucket") != std::string::npos);
}

TEST_CASE("Each extra send that is asked of the retry budget leaves a line with what decided it")
{
    std::string lines;
    LogLine::set_observer([&](std::string_view line) { lines.append(line).append("\n"); });
    NodeUnderTest test([](NodeSettings& settings) { settings.retry = { 0, 2, seconds(10), 0.5 }; });
    UpstreamStandIn failing(test.loop, "i-1");
    failing.script = [&](HttpExchange& exchange) -> asio::awaitable<bool> {
        auto head = failing.answer_head(exchange, 500);
        static_cast<void>(co_await exchange.respond(std::move(head), {}));
        co_return true;
    };
    test.configure(1);
    test.list(failing, "plain");
    // A budget of one: the first call is sent twice, the second once.
    REQUIRE(test.call(test.request("GET", "/safe/x", "a")).head.status == 500);
    REQUIRE(test.call(test.request("GET", "/safe/x", "b")).head.status == 500);
    REQUIRE(failing.requests.size() == 3);
    CAPTURE(lines);
    CHECK(lines.find("event=extra_send request=a service=plain for=run count=1 outcome=taken requests=1 extras=1 limit=1.000 part=1.000") != std::string::npos);
    CHECK(lines.find("event=extra_send request=b service=plain for=run count=1 outcome=spent requests=2 extras=1 limit=1.000 part=1.000") != std::string::npos);
    auto const metrics = test.call(test.node->operations_address(), test.request("GET", "/metrics", "m"));
    CHECK(metrics.body.find("spurtide_extra_sends_total{outcome=\"taken\",service=\"plain\"} 1\n") != std::string::npos);
    CHECK(metrics.body.find("spurtide_extra_sends_total{outcome=\"spent\",service=\"plain\"} 1\n") != std::string::npos);
}

TEST_CASE("A node ends in order while another VM leaves its probes without an answer", "[kill]")
{
    NodeUnderTest test;
    PeerVirtualMachine peer(test, "vm-2");
    REQUIRE(peer.is_seen_by(test));
    REQUIRE(PeerVirtualMachine::is_lost_by(test));
}

TEST_CASE("A node that cannot serve metrics at their address serves requests")
{
    asio::io_context other;
    asio::ip::tcp::acceptor const taken(other, { asio::ip::make_address("127.0.0.1"), 0 });
    NodeUnderTest test([&](NodeSettings& settings) { settings.metrics_address = Address { "127.0.0.1", taken.local_endpoint().port() }; });
    UpstreamStandIn plain(test.loop, "i-1");
    test.configure(1);
    test.list(plain, "plain");
    REQUIRE(test.call(test.request("GET", "/safe/x", "a")).head.status == 200);
}
