// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/LogLine.h>
#include <Tests/Platform/PartitionedDeployment.h>
#include <catch2/catch.hpp>

// Guards against requests that are cut off at a sound upstream which is silent for a moment and whose backlog is full, so that new
// connections to it fail while those that are open go on afterwards.

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

constexpr int EVENTS = 40;
constexpr Duration EVENT_PAUSE = milliseconds(25);
/// Callers wait longer for an event.
constexpr Duration SHORT_SILENCE = milliseconds(1300);
/// What callers wait for an event, by the latency target of the route.
constexpr Duration CALLER_PATIENCE = milliseconds(3600);
constexpr int STREAMS = 4;
constexpr auto OTHER_LOAD_INTERVAL = milliseconds(100);

std::string whole_stream()
{
    std::string events;
    for (int i = 1; i <= EVENTS; ++i)
        events += "id: " + std::to_string(i) + "\ndata: piece " + std::to_string(i) + "\n\n";
    return events;
}

class SilentUpstreamsTest : public PartitionedDeployment {
public:
    explicit SilentUpstreamsTest(std::function<void(NodeSettings&)> const& change = {})
        : PartitionedDeployment(change)
    {
        this->configure(1, [](auto& configuration) {
            for (auto& route : configuration["routes"])
                route["timeout_ms"] = 20'000;
        });
    }

    UpstreamStandIn& add_engine(std::string const& identity, std::string const& phase)
    {
        auto& engine = this->add_upstream(identity, "engines", phase);
        engine.events = EVENTS;
        engine.event_pause = EVENT_PAUSE;
        return engine;
    }

    void set_upstream_condition(std::string const& identity, UpstreamPath::Condition condition)
    {
        for (std::size_t i = 0; i < this->upstreams.size(); ++i) {
            if (this->upstreams[i]->identity == identity)
                this->paths[i]->set_condition("vm-1", condition);
        }
    }

    HttpRequest patient_request(std::string const& target, std::string const& identifier)
    {
        auto request = this->request_for(target, identifier);
        std::erase_if(request.head.headers.all(), [](auto const& field) { return field.name == "X-Spurtide-Deadline-Ms"; });
        request.head.headers.add("X-Spurtide-Deadline-Ms", "20000");
        return request;
    }

    /// Begins to send the request and to read its response.
    void send(std::string const& target, std::string const& identifier)
    {
        auto connection = this->begin(this->entry.value_or(this->node->caller_address()), this->patient_request(target, identifier));
        asio::co_spawn(this->loop, this->read(std::move(connection), identifier), asio::detached);
    }

    /// Lets the VM find out that new connections fail.
    void wait_beside_other_requests(Duration duration)
    {
        auto const until = monotonic_now() + duration;
        while (monotonic_now() < until) {
            auto const number = std::to_string(++this->other_requests);
            this->send("/resumable/x", "other-stream-" + number);
            this->send("/safe/x", "other-call-" + number);
            this->wait(OTHER_LOAD_INTERVAL);
        }
    }

    int runs_of(std::string const& request) const
    {
        int count = 0;
        for (auto const& upstream : this->upstreams)
            count += static_cast<int>(std::count(upstream->run.begin(), upstream->run.end(), request));
        return count;
    }

    /// Begins streams and waits until all of them bring events.
    void begin_streams()
    {
        for (int i = 0; i < STREAMS; ++i)
            this->send("/resumable/x", "s" + std::to_string(i));
        auto const have_events = [this] {
            std::size_t streams = 0;
            for (auto const& upstream : this->upstreams)
                streams += static_cast<std::size_t>(std::count_if(upstream->streaming.begin(), upstream->streaming.end(), [](auto const& stream) { return stream.second >= 3; }));
            return streams == STREAMS;
        };
        REQUIRE(this->run_until(have_events));
    }

    void check_streams_ended_where_they_began()
    {
        auto const have_ended = [this] {
            for (int i = 0; i < STREAMS; ++i) {
                if (!this->answers.contains("s" + std::to_string(i)))
                    return false;
            }
            return true;
        };
        CHECK(this->run_until(have_ended));
        for (int i = 0; i < STREAMS; ++i) {
            auto const name = "s" + std::to_string(i);
            CAPTURE(name);
            CHECK(this->answers[name].body == whole_stream());
            CHECK(this->runs_of(name) == 1);
        }
    }

    std::map<std::string, CallerAnswer> answers;
    /// Where requests are sent; the node's own address if empty.
    std::optional<Address> entry;

private:
    asio::awaitable<void> read(std::shared_ptr<HttpConnection> connection, std::string identifier)
    {
        auto answer = co_await read_answer(connection);
        this->answers[identifier] = std::move(answer);
    }

    int other_requests = 0;
};

}

TEST_CASE("Streams go on at engines that are silent for a moment and accept no new connection", "[silent-upstream][whole]")
{
    bool const is_another_available = GENERATE(false, true);
    CAPTURE(is_another_available);
    int found_unreachable = 0;
    LogLine::set_observer([&](std::string_view line) { found_unreachable += line.find("event=upstream_unreachable") != std::string_view::npos ? 1 : 0; });
    SilentUpstreamsTest test;
    test.add_engine("i-p", "prefill");
    test.add_engine("i-d1", "decode");
    test.add_upstream("i-1", "plain");
    test.begin_streams();
    if (is_another_available) {
        test.add_engine("i-p2", "prefill");
        test.add_engine("i-d2", "decode");
    }
    for (auto const* identity : { "i-p", "i-d1", "i-1" })
        test.set_upstream_condition(identity, UpstreamPath::Condition::Silent);
    REQUIRE(test.answers.empty());
    test.wait_beside_other_requests(SHORT_SILENCE);
    CHECK(found_unreachable > 0);
    test.set_condition("vm-1", UpstreamPath::Condition::Working);
    test.check_streams_ended_where_they_began();
}

// Guards against streams that are handed to a VM that meets the same silence.
TEST_CASE("Streams go on at silent engines while another VM could relay", "[silent-upstream][whole][partitioned-vm]")
{
    SilentUpstreamsTest test;
    test.add_engine("i-p", "prefill");
    test.add_engine("i-d1", "decode");
    test.add_engine("i-d2", "decode");
    test.add_upstream("i-1", "plain");
    test.entry = test.add_virtual_machine("vm-2").caller_address();
    test.begin_streams();
    for (auto const* machine : { "vm-1", "vm-2" })
        test.set_condition(machine, UpstreamPath::Condition::Silent);
    REQUIRE(test.answers.empty());
    test.wait_beside_other_requests(SHORT_SILENCE);
    for (auto const* machine : { "vm-1", "vm-2" })
        test.set_condition(machine, UpstreamPath::Condition::Working);
    test.check_streams_ended_where_they_began();
}

TEST_CASE("A stream goes on elsewhere before its caller leaves if its engine stays silent", "[silent-upstream][whole]")
{
    SilentUpstreamsTest test;
    test.add_engine("i-p", "prefill");
    auto& engine = test.add_engine("i-d1", "decode");
    test.send("/resumable/x", "s");
    REQUIRE(test.run_until([&] { return engine.streaming.size() == 1 && engine.streaming.begin()->second >= 3; }));
    auto& other = test.add_engine("i-d2", "decode");
    test.set_upstream_condition("i-d1", UpstreamPath::Condition::Silent);
    CHECK(test.run_until([&] { return other.streaming.contains("s"); }, CALLER_PATIENCE));
    REQUIRE(test.run_until([&] { return test.answers.contains("s"); }));
    CHECK(test.answers["s"].body == whole_stream());
}

// Guards against streams that are given up at the same time, of which the retry budget allows one to go on.
TEST_CASE("Only as many streams leave a silent engine as the retry budget allows to go on", "[silent-upstream][whole][retry-budget]")
{
    // Allows the prefill and the run of one stream, besides what the requests themselves add.
    SilentUpstreamsTest test([](NodeSettings& settings) { settings.retry.allowance = 2.9; });
    test.add_engine("i-p", "prefill");
    test.add_engine("i-d1", "decode");
    test.begin_streams();
    auto& other = test.add_engine("i-d2", "decode");
    test.set_upstream_condition("i-d1", UpstreamPath::Condition::Silent);
    test.wait(CALLER_PATIENCE);
    CHECK(other.run.size() == 1);
    test.set_condition("vm-1", UpstreamPath::Condition::Working);
    CHECK(test.run_until([&] { return test.answers.size() == STREAMS; }));
    for (auto const& [name, answer] : test.answers) {
        CAPTURE(name);
        CHECK(answer.body == whole_stream());
    }
}

// Guards against streams that are given up for an engine that responded until it fell silent as well.
TEST_CASE("Streams stay at their silent engines as long as no other one responds", "[silent-upstream][whole]")
{
    constexpr Duration LONG_SILENCE = seconds(4);
    SilentUpstreamsTest test;
    test.add_engine("i-p", "prefill");
    test.add_engine("i-p2", "prefill");
    auto const& one = test.add_engine("i-d1", "decode");
    auto const& two = test.add_engine("i-d2", "decode");
    test.add_upstream("i-1", "plain");
    test.begin_streams();
    REQUIRE_FALSE(one.streaming.empty());
    REQUIRE_FALSE(two.streaming.empty());
    test.set_condition("vm-1", UpstreamPath::Condition::Silent);
    test.wait_beside_other_requests(LONG_SILENCE);
    test.set_condition("vm-1", UpstreamPath::Condition::Working);
    test.check_streams_ended_where_they_began();
}

TEST_CASE("A plain request waits for its silent upstream as long as no other one responds", "[silent-upstream][whole]")
{
    SilentUpstreamsTest test;
    auto& upstream = test.add_upstream("i-1", "plain");
    bool is_held = true;
    upstream.script = [&](HttpExchange& exchange) -> asio::awaitable<bool> {
        while (is_held && !exchange.is_caller_gone()) {
            asio::steady_timer timer(test.loop, std::chrono::milliseconds(5));
            asio::error_code ignored;
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        co_return false;
    };
    test.send("/safe/x", "a");
    REQUIRE(test.run_until([&] { return upstream.requests.size() == 1; }));
    test.add_upstream("i-2", "plain");
    test.set_condition("vm-1", UpstreamPath::Condition::Silent);
    test.wait_beside_other_requests(SHORT_SILENCE);
    CHECK_FALSE(test.answers.contains("a"));
    is_held = false;
    test.set_condition("vm-1", UpstreamPath::Condition::Working);
    REQUIRE(test.run_until([&] { return test.answers.contains("a"); }));
    CHECK(test.answers["a"].head.status == 200);
    CHECK(test.runs_of("a") == 1);
}

TEST_CASE("A plain request goes elsewhere soon if only its upstream is silent", "[silent-upstream][whole]")
{
    SilentUpstreamsTest test;
    auto& upstream = test.add_upstream("i-1", "plain");
    upstream.script = [&](HttpExchange& exchange) -> asio::awaitable<bool> {
        while (!exchange.is_caller_gone()) {
            asio::steady_timer timer(test.loop, std::chrono::milliseconds(5));
            asio::error_code ignored;
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        co_return true;
    };
    test.send("/safe/x", "a");
    REQUIRE(test.run_until([&] { return upstream.requests.size() == 1; }));
    auto& other = test.add_upstream("i-2", "plain");
    test.set_upstream_condition("i-1", UpstreamPath::Condition::Silent);
    CHECK(test.run_until([&] { return !other.run.empty(); }, milliseconds(1500)));
    REQUIRE(test.run_until([&] { return test.answers.contains("a"); }));
    CHECK(test.answers["a"].head.status == 200);
}
