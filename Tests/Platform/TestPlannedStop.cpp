// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <LibCore/LogLine.h>
#include <Tests/Platform/NodeUnderTest.h>
#include <catch2/catch.hpp>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

constexpr Duration EVENT_PAUSE = milliseconds(10);
/// A stream of 100 such events lasts longer than the grace period.
constexpr Duration SLOW_EVENT_PAUSE = milliseconds(40);

/// The request, with another time for which its caller waits.
HttpRequest set_deadline(HttpRequest made, Duration deadline)
{
    for (auto& field : made.head.headers.all()) {
        if (field.name == "X-Spurtide-Deadline-Ms")
            field.value = std::to_string(static_cast<std::int64_t>(to_milliseconds(deadline)));
    }
    return made;
}

/// Streams that the VM has relayed when its stop begins.
constexpr int STREAMS_BEFORE_STOP = 3;

/// A VM that has seen the pace of its engines, with a short grace period.
struct StoppingVirtualMachine : NodeUnderTest {
    explicit StoppingVirtualMachine(std::function<void(nlohmann::json&)> const& change = {})
        : NodeUnderTest([](NodeSettings& settings) { settings.stop_grace = milliseconds(3000); })
    {
        this->configure(1, change);
        this->list(this->prefill, "engines");
        for (auto* engine : { &this->first, &this->second }) {
            engine->event_pause = EVENT_PAUSE;
            engine->events = 20;
            this->list(*engine, "engines");
        }
        REQUIRE(this->run_until([&] { return this->node->is_ready(); }));
        for (int i = 0; i < STREAMS_BEFORE_STOP; ++i)
            REQUIRE(this->call(this->model_request("/resumable/x", "pace-" + std::to_string(i))).head.status == 200);
    }

    void stop()
    {
        this->node->stop([this] { this->is_stopped = true; });
    }

    /// A stream that its caller expects to be short, and allows to be this long.
    HttpRequest stream_of(std::string target, std::string identifier, int greatest_length)
    {
        auto made = this->model_request(std::move(target), std::move(identifier));
        for (auto& field : made.head.headers.all()) {
            if (field.name == "X-Spurtide-Token-Count")
                field.value = "1000," + std::to_string(greatest_length);
        }
        made.head.headers.add("X-Spurtide-Length-Hint", "10");
        return made;
    }

    void set_answer_length(int events)
    {
        this->first.events = events;
        this->second.events = events;
    }

    std::size_t run_count() const { return this->first.run.size() + this->second.run.size(); }
    std::size_t request_count() const { return this->first.requests.size() + this->second.requests.size() + this->prefill.requests.size(); }

    /// Expects that the VM refuses the stream, says when to come back and ends the connection, and that no engine sees it.
    void check_refused(HttpRequest made)
    {
        auto const requests = this->request_count();
        auto const answer = this->call_until_exit(std::move(made));
        CHECK_FALSE(answer.error);
        CHECK(answer.head.status == 503);
        CHECK(answer.head.headers.contains("Retry-After"));
        CHECK(answer.head.headers.find("Connection") == "close");
        CHECK(this->request_count() == requests);
    }

    /// Until the VM has stopped, or its caller has an answer.
    CallerAnswer call_until_exit(HttpRequest made)
    {
        std::optional<CallerAnswer> answer;
        auto const ask = [&]() -> asio::awaitable<void> {
            auto got = co_await exchange(this->node->caller_address(), std::move(made));
            answer = std::move(got);
        };
        asio::co_spawn(this->loop, ask(), asio::detached);
        REQUIRE(this->run_until([&] { return answer || this->is_stopped; }));
        return answer.value_or(CallerAnswer { HttpError::Closed, {}, {} });
    }

    bool is_stopped = false;
    UpstreamStandIn prefill { this->loop, "i-p", "prefill" };
    UpstreamStandIn first { this->loop, "i-1", "decode" };
    UpstreamStandIn second { this->loop, "i-2", "decode" };
};

}

// Guards against streams that a stopping VM accepted by the length that their callers expected, and interrupted at its exit.
TEST_CASE("A stopping VM refuses at once a stream whose longest answer would be interrupted", "[planned-stop]")
{
    StoppingVirtualMachine test;
    test.set_answer_length(400);
    auto const runs = test.run_count();
    test.stop();
    for (auto const* target : { "/stream/x", "/resumable/x" }) {
        CAPTURE(target);
        test.check_refused(test.stream_of(target, std::string("long") + target[1], 400));
    }
    CHECK(test.run_count() == runs);
    // One whose caller waits no longer than the process lives is served whole.
    test.set_answer_length(100);
    auto const served = test.call_until_exit(set_deadline(test.stream_of("/stream/x", "short", 100), seconds(2)));
    CHECK_FALSE(served.error);
    CHECK(served.body.ends_with("piece 100\n\n"));
}

// Guards against streams that a stopping VM accepted by the configuration's tokens per event, and interrupted since events of
// their engines hold fewer.
TEST_CASE("A stopping VM does not take the configuration's tokens per event for what its engines send", "[planned-stop]")
{
    StoppingVirtualMachine test([](auto& configuration) { configuration["services"][1]["engine"]["stride"] = 8; });
    test.set_answer_length(400);
    auto const runs = test.run_count();
    test.stop();
    for (auto const* target : { "/stream/x", "/resumable/x" }) {
        CAPTURE(target);
        test.check_refused(test.stream_of(target, std::string("long") + target[1], 400));
    }
    CHECK(test.run_count() == runs);
}

// Guards against streams that a stopping VM accepted by the pace of answers that had ended, and interrupted since their engine was
// slower: one that was just added, one that was started again, one that has slowed down.
TEST_CASE("A stopping VM does not take the pace of earlier answers for that of the next one", "[planned-stop]")
{
    enum class Kind {
        Stream,
        ResumableStream,
        TakenUpStream,
    };
    auto const kind = GENERATE(Kind::Stream, Kind::ResumableStream, Kind::TakenUpStream);
    CAPTURE(static_cast<int>(kind));
    StoppingVirtualMachine test;
    test.set_answer_length(100);
    auto late = test.stream_of(kind == Kind::Stream ? "/stream/x" : "/resumable/x", "late", 100);
    if (kind == Kind::TakenUpStream) {
        late.head.headers.add("Resumes", "pace-0");
        late.head.headers.add("Last-Event-Id", "10");
    }
    SECTION("an engine that was added after the stop began")
    {
        UpstreamStandIn added(test.loop, "i-3", "decode");
        added.events = 100;
        added.event_pause = SLOW_EVENT_PAUSE;
        test.stop();
        test.list(added, "engines");
        test.list(test.first, "engines", "draining");
        test.list(test.second, "engines", "draining");
        test.check_refused(late);
        CHECK(added.requests.empty());
    }
    SECTION("an engine that was started again")
    {
        test.stop();
        test.first.started = 1'700'000'000'000;
        test.first.event_pause = SLOW_EVENT_PAUSE;
        test.list(test.first, "engines");
        test.list(test.second, "engines", "draining");
        test.check_refused(late);
    }
    SECTION("engines that have slowed down")
    {
        test.first.event_pause = SLOW_EVENT_PAUSE;
        test.second.event_pause = SLOW_EVENT_PAUSE;
        test.stop();
        test.check_refused(late);
    }
}

// Guards against streams that are cut without a response, as their VM exits while it looks up where they began.
TEST_CASE("A stopping VM refuses a stream that is taken up without a lookup of its origin", "[planned-stop]")
{
    StoppingVirtualMachine test;
    auto const has_looked_up = std::make_shared<bool>(false);
    LogLine::set_observer([has_looked_up](std::string_view line) { *has_looked_up = *has_looked_up || line.starts_with("event=stream_origin"); });
    test.store.set_fault(StoreStandIn::Fault::Silent);
    test.stop();
    auto late = test.stream_of("/resumable/x", "late", 100);
    late.head.headers.add("Resumes", "began-elsewhere");
    late.head.headers.add("Last-Event-Id", "10");
    test.check_refused(std::move(late));
    CHECK_FALSE(*has_looked_up);
}

// Guards against streams that were waiting for an engine when the stop began, and began when it was too late to end.
TEST_CASE("A stream that waits for its engines when its VM begins to stop is refused at once", "[planned-stop]")
{
    StoppingVirtualMachine test([](auto& configuration) {
        set_long_latency_target(configuration);
        configuration["services"][1]["engine"]["slots"] = 1;
    });
    test.set_answer_length(1000);
    auto const runs = test.run_count();
    std::vector<std::shared_ptr<HttpConnection>> running;
    for (auto const* identifier : { "running-1", "running-2" })
        running.push_back(test.begin(test.stream_of("/stream/x", identifier, 1000)));
    REQUIRE(test.run_until([&] { return test.run_count() == runs + running.size(); }));
    auto const is_asking = std::make_shared<bool>(false);
    LogLine::set_observer([is_asking](std::string_view line) { *is_asking = *is_asking || line.starts_with("event=asked request=waiting"); });
    std::optional<int> status;
    auto const read = [&]() -> asio::awaitable<void> {
        auto const answer = co_await NodeUnderTest::exchange(test.node->caller_address(), test.stream_of("/stream/x", "waiting", 100));
        status = answer.head.status;
    };
    asio::co_spawn(test.loop, read(), asio::detached);
    REQUIRE(test.run_until([&] { return *is_asking; }));
    auto const begun = monotonic_now();
    test.stop();
    REQUIRE(test.run_until([&] { return status || test.is_stopped; }));
    CHECK(status == 503);
    CHECK(monotonic_now() - begun < AT_ONCE);
    CHECK(test.run_count() == runs + running.size());
}

// Guards against streams that were accepted in time, waited for an engine, and began when they could not end any more. An
// engine that changes its role refuses what it has not begun.
TEST_CASE("A stream that an engine refuses late in a planned stop is not sent again if it could not end", "[planned-stop][roles]")
{
    StoppingVirtualMachine test;
    test.set_answer_length(100);
    int refusals = 0;
    for (auto* engine : { &test.first, &test.second }) {
        engine->script = [&, engine](HttpExchange& exchange) -> asio::awaitable<bool> {
            if (refusals++ > 0)
                co_return false;
            asio::steady_timer timer(test.loop, milliseconds(2000));
            asio::error_code ignored;
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            auto head = engine->answer_head(exchange, 503);
            head.headers.add("X-Spurtide-Not-Executed", "1");
            static_cast<void>(co_await exchange.respond(std::move(head), {}));
            co_return true;
        };
    }
    auto const runs = test.run_count();
    // An engine has it before the stop begins.
    test.beside = [&] {
        if (refusals > 0)
            test.stop();
    };
    auto const answer = test.call_until_exit(test.stream_of("/resumable/x", "late", 100));
    CHECK_FALSE(answer.error);
    CHECK(answer.head.status == 503);
    CHECK(refusals == 1);
    CHECK(test.run_count() == runs);
}

// Guards against requests that wait here when the stop begins and are interrupted by the exit without a response.
TEST_CASE("A request that waits for its turn when its VM begins to stop is refused at once if it could not end", "[planned-stop]")
{
    NodeUnderTest test([](NodeSettings& settings) { settings.stop_grace = milliseconds(2900); });
    test.configure(1, set_long_latency_target);
    UpstreamStandIn upstream(test.loop, "i-1");
    upstream.named_limit = "0.5";
    test.list(upstream, "plain");
    REQUIRE(test.call(test.request("GET", "/safe/x", "first")).head.status == 200);
    auto const is_waiting = std::make_shared<bool>(false);
    LogLine::set_observer([is_waiting](std::string_view line) {
        bool const has_turn = line.starts_with("event=upstream_turn request=waiting") && line.find("outcome=granted") != std::string_view::npos;
        *is_waiting = *is_waiting || has_turn;
    });
    auto const waiting = test.begin(test.request("GET", "/safe/x", "waiting"));
    REQUIRE(test.run_until([&] { return *is_waiting; }));
    std::optional<int> status;
    auto const read = [&]() -> asio::awaitable<void> {
        auto const head = co_await waiting->read_head();
        status = head.is_error() ? 0 : head.value().status;
    };
    asio::co_spawn(test.loop, read(), asio::detached);
    auto const begun = monotonic_now();
    bool is_stopped = false;
    test.node->stop([&] { is_stopped = true; });
    REQUIRE(test.run_until([&] { return status || is_stopped; }));
    CHECK(status == 503);
    CHECK(monotonic_now() - begun < AT_ONCE);
    CHECK(upstream.run == std::vector<std::string> { "first" });
}

// Guards against callers that learn nothing of the exit, and against half a response that looks complete: the kernel closes
// what is open at the exit in good order.
TEST_CASE("What still runs at the end of the grace time is answered, or broken off so that it does not look complete", "[planned-stop]")
{
    NodeUnderTest test([](NodeSettings& settings) { settings.stop_grace = milliseconds(1000); });
    test.configure(1);
    UpstreamStandIn plain(test.loop, "i-1");
    UpstreamStandIn prefill(test.loop, "i-p", "prefill");
    UpstreamStandIn decode(test.loop, "i-d", "decode");
    test.list(plain, "plain");
    test.list(prefill, "engines");
    test.list(decode, "engines");
    plain.script = [&](HttpExchange&) -> asio::awaitable<bool> {
        Signal never(test.loop.get_executor());
        static_cast<void>(co_await never.wait_until(monotonic_now() + seconds(20)));
        co_return true;
    };
    decode.framing = BodyFraming::UntilClose;
    decode.events = 1000;
    decode.event_pause = milliseconds(10);
    auto const call = test.begin(test.request("POST", "/once/x", "call"));
    auto const stream = test.begin(test.model_request("/stream/x", "stream"));
    int call_status = 0;
    std::optional<HttpError> stream_error;
    bool is_read = false;
    auto const read = [&]() -> asio::awaitable<void> {
        auto const begun = co_await stream->read_head();
        if (begun.is_error()) {
            stream_error = begun.error();
        } else {
            auto const body = co_await stream->read_body(1'000'000);
            if (body.is_error())
                stream_error = body.error();
        }
        auto const head = co_await call->read_head();
        call_status = head.is_error() ? 0 : head.value().status;
        is_read = true;
    };
    REQUIRE(test.run_until([&] { return !plain.requests.empty() && !decode.run.empty(); }));
    asio::co_spawn(test.loop, read(), asio::detached);
    bool is_stopped = false;
    test.node->stop([&] { is_stopped = true; });
    REQUIRE(test.run_until([&] { return is_stopped; }));
    REQUIRE(test.run_until([&] { return is_read; }, seconds(2)));
    CHECK(stream_error == HttpError::Closed);
    // It may have run.
    CHECK(call_status == 502);
    REQUIRE(test.run_until([&] { return decode.abandoned.contains("stream"); }));
}

// Guards against callers whose upload is cut without a response by the exit: they do not learn that the request has not run.
TEST_CASE("Callers that are still sending their request when their VM exits are told that it has not run", "[planned-stop][not-run]")
{
    NodeUnderTest test([](NodeSettings& settings) { settings.stop_grace = milliseconds(2900); });
    test.configure(1);
    UpstreamStandIn upstream(test.loop, "i-1");
    test.list(upstream, "plain");
    asio::ip::tcp::socket caller(test.loop);
    auto const& address = test.node->caller_address();
    caller.connect({ asio::ip::make_address(address.host), static_cast<std::uint16_t>(address.port) });
    asio::write(caller, asio::buffer(std::string_view("POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Spurtide-Attempt-Id: upload\r\nX-Spurtide-Deadline-Ms: 9000\r\nContent-Length: 90000\r\n\r\n")));
    // Sends on until it has a response.
    std::string received;
    std::optional<asio::error_code> end;
    asio::async_read(caller, asio::dynamic_buffer(received), [&](asio::error_code error, std::size_t) { end = error; });
    bool is_broken = false;
    auto next = monotonic_now();
    test.beside = [&] {
        if (!received.empty() || is_broken || monotonic_now() < next)
            return;
        next += milliseconds(50);
        asio::error_code error;
        asio::write(caller, asio::buffer(std::string_view("some of the body")), error);
        is_broken = error.operator bool();
    };
    bool is_stopped = false;
    test.node->stop([&] { is_stopped = true; });
    REQUIRE(test.run_until([&] { return end || is_stopped; }));
    CHECK_FALSE(is_stopped);
    CHECK_FALSE(is_broken);
    CHECK(end == asio::error::eof);
    CHECK(received.starts_with("HTTP/1.1 503 "));
    CHECK(received.find("Retry-After: ") != std::string::npos);
    CHECK(received.find("Connection: close\r\n") != std::string::npos);
    CHECK(received.find("X-Spurtide-Attempt-Id: upload\r\n") != std::string::npos);
    CHECK(upstream.requests.empty());
    REQUIRE(test.run_until([&] { return is_stopped; }));
}
