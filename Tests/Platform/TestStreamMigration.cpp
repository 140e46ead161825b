// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <LibCore/LogLine.h>
#include <Tests/Platform/NodeUnderTest.h>
#include <algorithm>
#include <catch2/catch.hpp>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

/// Streams of 100 events take longer than the shortest news time, after which a leaving engine is expected to stop.
constexpr int EVENTS = 100;
constexpr Duration EVENT_PAUSE = milliseconds(15);
/// Enough events for a stream to be under way.
constexpr std::int64_t EVENTS_BEFORE_TROUBLE = 10;

void set_field(HttpRequest& request, std::string_view name, std::string const& value)
{
    for (auto& field : request.head.headers.all()) {
        if (field.name == name)
            field.value = value;
    }
}

/// A node that moves streams, before a prefill engine and two decode engines that can copy the memory of runs.
class MigratingDeployment : public NodeUnderTest {
public:
    explicit MigratingDeployment(std::function<void(NodeSettings&)> const& change = {})
        : NodeUnderTest([&](NodeSettings& settings) {
            settings.stream_migration = NodeSettings::StreamMigration::On;
            settings.news_time = milliseconds(500);
            settings.retry.allowance = 1000;
            if (change)
                change(settings);
        })
    {
        LogLine::set_observer([this](std::string_view line) { this->log += std::string(line) + "\n"; });
        this->configure(1, [](auto& json) {
            for (auto& route : json["routes"]) {
                route["timeout_ms"] = 12000;
                route["gap_slo_ms"] = 800;
            }
        });
        for (auto* engine : { &this->first, &this->second }) {
            engine->events = EVENTS;
            engine->event_pause = EVENT_PAUSE;
            engine->peers = { engine == &this->first ? &this->second : &this->first };
        }
        for (auto const* engine : { &this->prefill, &this->first, &this->second })
            this->list(*engine, "engines");
    }
    ~MigratingDeployment() { LogLine::set_observer({}); }
    MigratingDeployment(MigratingDeployment const&) = delete;
    MigratingDeployment& operator=(MigratingDeployment const&) = delete;

    /// A request whose response has the usual length at most.
    HttpRequest stream_request(std::string const& target, std::string const& identifier)
    {
        auto made = this->model_request(target, identifier);
        set_field(made, "X-Spurtide-Token-Count", "1000," + std::to_string(EVENTS));
        set_field(made, "X-Spurtide-Deadline-Ms", "10000");
        return made;
    }

    /// Begins a stream and waits until some events were sent.
    void begin_stream(HttpRequest request)
    {
        std::string const identifier(request.head.headers.find("X-Spurtide-Attempt-Id").value_or(""));
        auto const carry = [](MigratingDeployment& test, HttpRequest made) -> asio::awaitable<void> {
            auto answer = co_await exchange(test.node->caller_address(), std::move(made));
            test.answer = std::move(answer);
        };
        asio::co_spawn(this->loop, carry(*this, std::move(request)), asio::detached);
        REQUIRE(this->run_until([&] { return this->events_sent(identifier) >= EVENTS_BEFORE_TROUBLE; }));
        bool const is_first = this->first.streaming.contains(identifier);
        this->source = is_first ? &this->first : &this->second;
        this->target = is_first ? &this->second : &this->first;
    }

    std::int64_t events_sent(std::string const& identifier) const
    {
        for (auto const* engine : { &this->first, &this->second }) {
            auto const found = engine->streaming.find(identifier);
            if (found != engine->streaming.end())
                return found->second;
        }
        return 0;
    }

    /// The registry lists the source as leaving.
    void leave_source() { this->store.put("servers", this->source->identity, this->source->entry("engines", "draining")); }

    void finish_stream()
    {
        REQUIRE(this->run_until([&] { return this->answer.has_value(); }));
    }

    bool has_logged(std::string_view event) const { return this->log.find(event) != std::string::npos; }

    /// Each event once and in order, up to the last one that the caller received.
    std::int64_t check_order() const
    {
        std::int64_t last = 0;
        for (auto found = this->answer->body.find("id: "); found != std::string::npos; found = this->answer->body.find("id: ", found + 1)) {
            auto const number = std::stoll(this->answer->body.substr(found + 4));
            CHECK(number == last + 1);
            last = number;
        }
        return last;
    }

    /// The caller received the whole stream, with the head of the engine that began it.
    void check_whole()
    {
        this->finish_stream();
        CAPTURE(this->log);
        CHECK(this->answer->head.status == 200);
        CHECK_FALSE(this->answer->error);
        CHECK(this->check_order() == EVENTS);
        CHECK(this->answer->head.headers.find("X-Spurtide-Server-Stamp") == "stamp." + this->source->identity);
        this->check_nothing_left();
    }

    /// The caller can tell that the stream is not whole.
    void check_broken_off()
    {
        this->finish_stream();
        CAPTURE(this->log);
        CHECK(this->answer->error);
        CHECK(this->check_order() < EVENTS);
        this->check_nothing_left();
    }

    /// No engine ran a request beside another one, and none holds memory of a run.
    void check_nothing_left()
    {
        CHECK(this->first.run_twice.empty());
        CHECK(this->second.run_twice.empty());
        auto const holds_nothing = [&] { return this->first.copies.empty() && this->second.copies.empty() && this->first.stopped.empty() && this->second.stopped.empty(); };
        CHECK(this->run_until(holds_nothing, seconds(5)));
        CHECK(this->run_until([&] { return this->first.streaming.empty() && this->second.streaming.empty(); }, seconds(5)));
    }

    /// Replaces the source's answer to the calls that copy its run, for those that stop it or those that do not.
    void answer_copy_calls(bool is_last, std::function<asio::awaitable<bool>(HttpExchange&)> behaviour)
    {
        this->source->script = [is_last, behaviour = std::move(behaviour)](HttpExchange& exchange) -> asio::awaitable<bool> {
            if (exchange.request().head.target != "/v1/kv-move")
                co_return false;
            auto const call = nlohmann::json::parse(exchange.request().body);
            if (call.at("last") != is_last)
                co_return false;
            bool const is_done = co_await behaviour(exchange);
            co_return is_done;
        };
    }

    UpstreamStandIn prefill { loop, "i-p", "prefill" };
    UpstreamStandIn first { loop, "i-d1", "decode" };
    UpstreamStandIn second { loop, "i-d2", "decode" };
    /// The engine that the stream began at, and the other one.
    UpstreamStandIn* source = nullptr;
    UpstreamStandIn* target = nullptr;
    std::optional<CallerAnswer> answer;
    std::string log;
};

}

// Guards against streams that are lost when their engine leaves, as it aborts what still runs.
TEST_CASE("A stream moves from an engine that leaves to another one", "[stream-migration]")
{
    for (auto const* route : { "/stream/x", "/resumable/x" }) {
        CAPTURE(route);
        MigratingDeployment test;
        test.begin_stream(test.stream_request(route, "s1"));
        test.leave_source();
        test.check_whole();
        CHECK(test.has_logged("stream_move_started"));
        CHECK(test.has_logged("stream_moved"));
        CHECK(test.target->run == std::vector<std::string> { "s1" });
        CHECK(test.source->run == std::vector<std::string> { "s1" });
        REQUIRE(test.source->copy_calls.size() == 2);
        CHECK(test.source->copy_calls[0].at("last") == false);
        CHECK(test.source->copy_calls[1].at("last") == true);
        // The prompt is not processed again.
        CHECK(test.prefill.handles.size() == 1);
    }
}

// Guards against stopped runs that are taken for complete responses, as their connection ends like that of a whole stream.
TEST_CASE("A stream whose end only the connection tells moves without a gap", "[stream-migration]")
{
    for (bool const is_cut_within_event : { false, true }) {
        CAPTURE(is_cut_within_event);
        MigratingDeployment test;
        for (auto* engine : { &test.first, &test.second }) {
            engine->framing = BodyFraming::UntilClose;
            engine->stops_within_event = is_cut_within_event;
        }
        test.begin_stream(test.stream_request("/stream/x", "s1"));
        test.leave_source();
        test.check_whole();
        CHECK(test.has_logged("stream_moved"));
    }
}

// Guards against moves that take each other's targets or handles, and against streams that are left behind as a VM makes only a few
// moves at a time.
TEST_CASE("All streams of an engine that leaves move although only a few do at a time", "[stream-migration]")
{
    constexpr int STREAMS = 7;
    MigratingDeployment test;
    test.list(test.second, "engines", "draining");
    std::vector<CallerAnswer> answers(STREAMS);
    int done = 0;
    auto const carry = [&](HttpRequest made, CallerAnswer& answer) -> asio::awaitable<void> {
        auto received = co_await MigratingDeployment::exchange(test.node->caller_address(), std::move(made));
        answer = std::move(received);
        ++done;
    };
    for (int i = 0; i < STREAMS; ++i)
        asio::co_spawn(test.loop, carry(test.stream_request("/stream/x", "s" + std::to_string(i)), answers[static_cast<std::size_t>(i)]), asio::detached);
    auto const is_under_way = [](auto const& stream) { return stream.second >= EVENTS_BEFORE_TROUBLE; };
    REQUIRE(test.run_until([&] { return test.first.streaming.size() == STREAMS && std::all_of(test.first.streaming.begin(), test.first.streaming.end(), is_under_way); }));
    test.list(test.second, "engines");
    test.source = &test.first;
    test.leave_source();
    REQUIRE(test.run_until([&] { return done == STREAMS; }));
    CAPTURE(test.log);
    for (auto const& answer : answers) {
        CHECK_FALSE(answer.error);
        test.answer = answer;
        CHECK(test.check_order() == EVENTS);
    }
    CHECK(test.second.run.size() == STREAMS);
    test.check_nothing_left();
}

// Guards against streams whose end only the connection tells, and which end as if they were whole although nobody knows whether
// their run was stopped.
TEST_CASE("A stream without an end marker counts as broken off if the call that stops its run is not answered", "[stream-migration]")
{
    MigratingDeployment test;
    test.first.framing = test.second.framing = BodyFraming::UntilClose;
    test.first.stops_within_event = test.second.stops_within_event = false;
    test.begin_stream(test.stream_request("/stream/x", "s1"));
    test.answer_copy_calls(true, [&](HttpExchange& exchange) -> asio::awaitable<bool> {
        co_await test.source->stop_run("s1");
        exchange.abort();
        co_return true;
    });
    test.leave_source();
    test.finish_stream();
    CAPTURE(test.log);
    // The caller's connection is reset, as its end alone would say that the stream is whole.
    CHECK(test.answer->error);
    CHECK(test.has_logged("outcome=broken_off"));
    CHECK(test.check_order() < EVENTS);
}

// Guards against moves that nobody has asked for.
TEST_CASE("A stream stays at an engine that leaves where migration is off", "[stream-migration]")
{
    MigratingDeployment test([](NodeSettings& settings) { settings.stream_migration = NodeSettings::StreamMigration::Off; });
    test.begin_stream(test.stream_request("/stream/x", "s1"));
    test.leave_source();
    test.check_whole();
    CHECK(test.source->copy_calls.empty());
    CHECK(test.target->run.empty());
}

// Guards against moves of streams that end before their engine does.
TEST_CASE("A stream that ends before its engine stops is not moved", "[stream-migration]")
{
    MigratingDeployment test([](NodeSettings& settings) { settings.news_time = seconds(8); });
    test.begin_stream(test.stream_request("/stream/x", "s1"));
    test.leave_source();
    test.check_whole();
    CHECK(test.source->copy_calls.empty());
}

// Guards against moves that load the engines beyond the retry budget.
TEST_CASE("No move begins without a retry budget for the send to the target", "[stream-migration]")
{
    MigratingDeployment test([](NodeSettings& settings) {
        settings.retry.allowance = 0;
        settings.retry.ratio = 0;
    });
    test.begin_stream(test.stream_request("/stream/x", "s1"));
    test.leave_source();
    test.check_whole();
    CHECK(test.has_logged("reason=retry_budget_spent"));
    CHECK(test.source->copy_calls.empty());
}

// Guards against responses that are cut off at the caller's deadline since their engine is slow.
TEST_CASE("A stream that would miss its deadline moves to a faster engine", "[stream-migration]")
{
    MigratingDeployment test;
    test.first.event_pause = milliseconds(80);
    test.second.event_pause = milliseconds(4);
    // The keeper measures the pace of engines by the responses that they complete.
    for (auto* engine : { &test.first, &test.second }) {
        engine->events = 20;
        auto const* other = engine == &test.first ? &test.second : &test.first;
        test.list(*other, "engines", "draining");
        for (int i = 0; i < 3; ++i)
            REQUIRE(test.call(test.stream_request("/stream/x", "warm-" + engine->identity + std::to_string(i))).head.status == 200);
        test.list(*other, "engines");
    }
    test.first.events = test.second.events = EVENTS;
    test.first.run.clear();
    test.second.run.clear();
    test.list(test.second, "engines", "draining");
    auto request = test.stream_request("/stream/x", "s1");
    request.head.headers.add("X-Spurtide-Length-Hint", std::to_string(EVENTS));
    set_field(request, "X-Spurtide-Deadline-Ms", "5000");
    test.begin_stream(std::move(request));
    REQUIRE(test.source == &test.first);
    test.list(test.second, "engines");
    test.check_whole();
    CHECK(test.has_logged("cause=misses_deadline"));
    CHECK(test.target->run == std::vector<std::string> { "s1" });
}

// Guards against streams that wait for an engine which does not send any more.
TEST_CASE("A stream moves from an engine that stops sending in the middle "
          "while it still answers",
    "[stream-migration]")
{
    for (auto const* route : { "/stream/x", "/resumable/x" }) {
        CAPTURE(route);
        MigratingDeployment test;
        test.begin_stream(test.stream_request(route, "s1"));
        test.source->stalls_after = 30;
        test.check_whole();
        CHECK(test.has_logged("cause=stalled"));
        CHECK(test.has_logged("stream_moved"));
    }
}

// Guards against streams that are passed on between engines without end, and against a second move that repeats or omits events.
TEST_CASE("A stream moves twice at most", "[stream-migration]")
{
    MigratingDeployment test;
    // Long enough for two moves and for the stream to go on after the time in which the second engine could have been left.
    test.first.events = test.second.events = 2 * EVENTS;
    auto request = test.stream_request("/stream/x", "s1");
    set_field(request, "X-Spurtide-Token-Count", "1000," + std::to_string(2 * EVENTS));
    test.begin_stream(std::move(request));
    test.leave_source();
    REQUIRE(test.run_until([&] { return test.target->streaming.contains("s1"); }));
    test.list(*test.source, "engines");
    test.store.put("servers", test.target->identity, test.target->entry("engines", "draining"));
    REQUIRE(test.run_until([&] { return test.source->run.size() == 2; }));
    test.leave_source();
    test.list(*test.target, "engines");
    test.finish_stream();
    CAPTURE(test.log);
    CHECK_FALSE(test.answer->error);
    CHECK(test.check_order() == 2 * EVENTS);
    test.check_nothing_left();
    CHECK(test.source->copy_calls.size() + test.target->copy_calls.size() == 4);
}

// Guards against streams that are stopped for a target that has no capacity.
TEST_CASE("A stream stays where it is if the target takes no copy", "[stream-migration]")
{
    MigratingDeployment test;
    test.begin_stream(test.stream_request("/stream/x", "s1"));
    test.target->refuses_copies = true;
    test.leave_source();
    test.check_whole();
    CHECK(test.has_logged("reason=target_unavailable"));
    CHECK(test.target->run.empty());
    CHECK(std::none_of(test.source->copy_calls.begin(), test.source->copy_calls.end(), [](auto const& call) { return call.at("last") == true; }));
}

// Guards against streams that are lost since the target refuses them after they were stopped.
TEST_CASE("A stopped run returns to its engine if the target refuses it", "[stream-migration]")
{
    MigratingDeployment test;
    test.begin_stream(test.stream_request("/stream/x", "s1"));
    test.target->refuses_continuations = true;
    test.leave_source();
    test.check_whole();
    CHECK(test.has_logged("reason=target_refused"));
    CHECK(test.target->run.empty());
    CHECK(test.source->run.size() >= 2);
}

// Guards against streams that are lost since the target ends while they are stopped.
TEST_CASE("A stopped run returns to its engine if the target is gone", "[stream-migration]")
{
    MigratingDeployment test;
    test.begin_stream(test.stream_request("/stream/x", "s1"));
    test.answer_copy_calls(true, [&](HttpExchange&) -> asio::awaitable<bool> {
        test.target->crash();
        co_return false;
    });
    test.leave_source();
    test.check_whole();
    CHECK(test.target->run.empty());
    CHECK(test.source->run.size() == 2);
}

// Guards against a stop for a target that has already gone.
TEST_CASE("A stream stays where it is if the target is gone before the run is "
          "stopped",
    "[stream-migration]")
{
    MigratingDeployment test;
    test.begin_stream(test.stream_request("/stream/x", "s1"));
    test.answer_copy_calls(false, [&](HttpExchange&) -> asio::awaitable<bool> {
        test.target->crash();
        co_return false;
    });
    test.leave_source();
    test.check_whole();
    CHECK(test.has_logged("reason=target_unreachable"));
    CHECK(test.source->run.size() == 1);
}

// Guards against a second run while the first one may go on, and against streams that end as if they were whole.
TEST_CASE("A stream whose engine crashes during the move is resumed only where "
          "its route allows it",
    "[stream-migration]")
{
    for (bool const is_resumable : { false, true }) {
        CAPTURE(is_resumable);
        MigratingDeployment test;
        test.begin_stream(test.stream_request(is_resumable ? "/resumable/x" : "/stream/x", "s1"));
        test.answer_copy_calls(false, [&](HttpExchange&) -> asio::awaitable<bool> {
            test.source->crash();
            co_return true;
        });
        test.leave_source();
        if (is_resumable) {
            test.check_whole();
            CHECK(test.prefill.handles.size() == 1);
            CHECK(test.target->run == std::vector<std::string> { "s1" });
        } else {
            test.check_broken_off();
            CHECK(test.target->run.empty());
        }
    }
}

// Guards against a run that continues elsewhere although its engine may not have stopped it.
TEST_CASE("A stream stays if the call that stops its run is not answered and "
          "the run goes on",
    "[stream-migration]")
{
    MigratingDeployment test;
    test.begin_stream(test.stream_request("/stream/x", "s1"));
    test.answer_copy_calls(true, [&](HttpExchange& exchange) -> asio::awaitable<bool> {
        exchange.abort();
        co_return true;
    });
    test.leave_source();
    test.check_whole();
    CHECK(test.has_logged("stream_move_failed"));
    CHECK(test.target->run.empty());
    CHECK(test.source->run.size() == 1);
}

// Guards against streams that end as if they were whole, or run twice, when nobody knows the handle of a stopped run.
TEST_CASE("A stream that closes without an answer to the call that stops its "
          "run counts as broken off",
    "[stream-migration]")
{
    for (bool const is_resumable : { false, true }) {
        CAPTURE(is_resumable);
        MigratingDeployment test;
        test.begin_stream(test.stream_request(is_resumable ? "/resumable/x" : "/stream/x", "s1"));
        test.answer_copy_calls(true, [&](HttpExchange& exchange) -> asio::awaitable<bool> {
            co_await test.source->stop_run("s1");
            exchange.abort();
            co_return true;
        });
        test.leave_source();
        if (is_resumable)
            test.check_whole();
        else
            test.check_broken_off();
    }
}

// Guards against streams that a stopping VM cuts off since they are on the way to another engine.
TEST_CASE("A move that is in progress when the VM begins to stop is completed", "[stream-migration]")
{
    MigratingDeployment test;
    test.begin_stream(test.stream_request("/stream/x", "s1"));
    bool has_stopped = false;
    test.answer_copy_calls(false, [&](HttpExchange&) -> asio::awaitable<bool> {
        test.node->stop([&] { has_stopped = true; });
        co_return false;
    });
    test.leave_source();
    test.check_whole();
    CHECK(test.has_logged("stream_moved"));
    CHECK(test.run_until([&] { return has_stopped; }));
}

// Guards against copies that take an engine's memory for a caller that has left.
TEST_CASE("Copies are freed if the caller leaves during the move", "[stream-migration]")
{
    for (bool const is_last : { false, true }) {
        CAPTURE(is_last);
        MigratingDeployment test;
        auto const caller = test.begin(test.stream_request("/stream/x", "s1"));
        REQUIRE(test.run_until([&] { return test.events_sent("s1") >= EVENTS_BEFORE_TROUBLE; }));
        test.source = test.first.streaming.contains("s1") ? &test.first : &test.second;
        test.target = test.source == &test.first ? &test.second : &test.first;
        bool has_left = false;
        test.answer_copy_calls(is_last, [&](HttpExchange& exchange) -> asio::awaitable<bool> {
            if (is_last)
                co_await test.source->stop_run("s1");
            test.target->copies.insert("run-s1");
            caller->abort();
            while (!test.has_logged("outcome=caller_left")) {
                asio::steady_timer timer(test.loop, milliseconds(2));
                asio::error_code ignored;
                co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
                if (is_last)
                    break;
            }
            has_left = true;
            HttpResponseHead head;
            head.status = 200;
            nlohmann::json const body { { "kv_handle", "run-s1" }, { "created", 10 } };
            auto const text = body.dump();
            static_cast<void>(co_await exchange.respond(std::move(head), text));
            co_return true;
        });
        test.leave_source();
        REQUIRE(test.run_until([&] { return has_left; }));
        REQUIRE(test.run_until([&] { return test.has_logged("outcome=caller_left"); }));
        test.check_nothing_left();
        CHECK(test.source->freed == std::vector<std::string> { "run-s1" });
        CHECK(test.target->run.empty());
    }
}
