// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <LibDecision/CellMap.h>
#include <Tests/Platform/NodeUnderTest.h>
#include <Tests/Platform/OtherVirtualMachine.h>
#include <Tests/Platform/PeerVirtualMachine.h>
#include <algorithm>
#include <catch2/catch.hpp>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

constexpr int SLOTS = 2;
/// One call more covers the round trip between the end of one call and the start of the next.
constexpr int PLACES = SLOTS + 1;
/// Long enough for the calls of a test on a busy machine, which wait for each other.
constexpr int LATENCY_TARGET_MILLISECONDS = 2500;
constexpr std::string_view KEY = "calls/plain";

void switch_on(NodeSettings& settings) { settings.call_admission = NodeSettings::CallAdmission::On; }

void set_latency_target(nlohmann::json& configuration)
{
    for (auto& route : configuration["routes"])
        route["slo_ms"] = LATENCY_TARGET_MILLISECONDS;
}

bool is_first(std::string const& name, std::vector<std::string> const& others)
{
    return std::all_of(others.begin(), others.end(), [&](auto const& other) { return rendezvous_score(KEY, name) > rendezvous_score(KEY, other); });
}

/// The name of a VM that decides about the calls of all when it is there beside the others.
std::string name_of_controller(std::vector<std::string> const& others)
{
    for (int i = 10;; ++i) {
        auto name = "vm-" + std::to_string(i);
        if (is_first(name, others))
            return name;
    }
}

/// An upstream that counts the calls which it has at the same time.
class CountingUpstream {
public:
    CountingUpstream(NodeUnderTest& test, Duration service_time)
        : upstream(test.loop, "i-1")
    {
        this->upstream.slots = SLOTS;
        this->upstream.script = [this, &test, service_time](HttpExchange& exchange) -> asio::awaitable<bool> {
            if (exchange.request().head.method != "GET" || exchange.request().head.target == "/v1/report")
                co_return false;
            this->most = std::max(this->most, ++this->now);
            asio::steady_timer timer(test.loop, service_time);
            asio::error_code ignored;
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            --this->now;
            co_return false;
        };
        test.list(this->upstream, "plain");
    }

    UpstreamStandIn upstream;
    int now = 0;
    int most = 0;
};

/// Calls at several VMs at the same time.
class Calls {
public:
    explicit Calls(NodeUnderTest& test)
        : test(test)
    {
    }

    void begin(Address const& address, int count)
    {
        for (int i = 0; i < count; ++i) {
            auto const run = [](Calls& calls, Address to, HttpRequest request) -> asio::awaitable<void> {
                auto answer = co_await NodeUnderTest::exchange(std::move(to), std::move(request));
                calls.answers.push_back(std::move(answer));
            };
            asio::co_spawn(this->test.loop, run(*this, address, this->test.request("GET", "/once/x", "c" + std::to_string(++this->begun))), asio::detached);
        }
    }
    bool all_answered() const { return this->answers.size() == static_cast<std::size_t>(this->begun); }
    long with_status(int status) const
    {
        return std::count_if(this->answers.begin(), this->answers.end(), [&](auto const& answer) { return !answer.error && answer.head.status == status; });
    }

    NodeUnderTest& test;
    int begun = 0;
    std::vector<CallerAnswer> answers;
};

/// Another VM that decides about the calls of the node by a list of upstreams; an empty one is a refusal.
class ScriptedController {
public:
    ScriptedController(NodeUnderTest& test, std::vector<std::string> answers)
        : test(test)
        , answers(std::move(answers))
        , peer(
              test, name_of_controller({ "vm-1" }), [](wire::Envelope const&, Kernel::Responder const&) {}, [this](wire::Envelope const& request, Kernel::Responder const& respond) { this->answer(request, respond); })
    {
        REQUIRE(this->peer.is_seen_by(test));
        test.beside = [this] { this->peer.run(); };
    }
    ~ScriptedController()
    {
        this->test.beside = [] {};
    }
    ScriptedController(ScriptedController const&) = delete;
    ScriptedController& operator=(ScriptedController const&) = delete;

    std::vector<wire::CallPermitAsk> asks;
    std::vector<wire::CallPermitReturn> returns;

private:
    void answer(wire::Envelope const& request, Kernel::Responder const& respond)
    {
        if (request.has_call_permit_return())
            this->returns.push_back(request.call_permit_return());
        if (!request.has_call_permit_ask() || this->asks.size() >= this->answers.size())
            return;
        auto const& upstream = this->answers[this->asks.size()];
        this->asks.push_back(request.call_permit_ask());
        wire::Envelope reply;
        auto* message = reply.mutable_call_permit_answer();
        message->set_upstream(upstream);
        message->set_controller("peer");
        if (upstream.empty()) {
            message->set_reason(wire::CALL_REFUSAL_REASON_CANNOT_MEET_TARGET);
            message->set_retry_after_microseconds(Duration(milliseconds(700)).count());
        }
        respond(std::move(reply));
    }

    NodeUnderTest& test;
    std::vector<std::string> answers;
    PeerVirtualMachine peer;
};

std::vector<std::string> excluded(wire::CallPermitAsk const& ask) { return { ask.excluded_upstreams().begin(), ask.excluded_upstreams().end() }; }

std::string metrics_of(NodeUnderTest& test, Address const& address) { return test.call(address, test.request("GET", "/metrics", "m")).body; }

bool sees(NodeUnderTest& test, Address const& address, int machines)
{
    return test.run_until([&] { return metrics_of(test, address).find("spurtide_live_vms " + std::to_string(machines) + "\n") != std::string::npos; });
}

}

// Guards against VMs that each send by what they know of their own calls, so that all of them together fill the upstream's queue.
TEST_CASE("Two and three VMs together send an upstream no more calls than it has places for", "[call-admission]")
{
    auto const machines = GENERATE(2, 3);
    CAPTURE(machines);
    NodeUnderTest test(switch_on);
    test.configure(1, set_latency_target);
    CountingUpstream counting(test, milliseconds(20));
    std::vector<std::string> const seeds { test.node->wire_address() };
    OtherVirtualMachine second(test, seeds, switch_on, "vm-2");
    std::unique_ptr<OtherVirtualMachine> third;
    if (machines == 3)
        third = std::make_unique<OtherVirtualMachine>(test, seeds, switch_on, "vm-3");
    REQUIRE(sees(test, test.node->operations_address(), machines));
    REQUIRE(sees(test, second.operations_address(), machines));
    Calls calls(test);
    constexpr int CALLS_AT_EACH = 10;
    calls.begin(test.node->caller_address(), CALLS_AT_EACH);
    calls.begin(second.caller_address(), CALLS_AT_EACH);
    if (third)
        calls.begin(third->caller_address(), CALLS_AT_EACH);
    REQUIRE(test.run_until([&] { return calls.all_answered(); }));
    CHECK(calls.with_status(200) == calls.begun);
    CHECK(counting.most <= PLACES);
    // The upstream is kept busy as well.
    CHECK(counting.most >= SLOTS);
}

// Guards against calls that fail, or stand still until their callers leave, when the VM that decides about them is killed.
TEST_CASE("Calls go on when the VM that admits them is killed", "[call-admission][kill]")
{
    NodeUnderTest test(switch_on);
    test.configure(1, set_latency_target);
    CountingUpstream counting(test, milliseconds(20));
    std::vector<std::string> const seeds { test.node->wire_address() };
    OtherVirtualMachine second(test, seeds, switch_on, "vm-2");
    auto controller = std::make_unique<OtherVirtualMachine>(test, seeds, switch_on, name_of_controller({ "vm-1", "vm-2" }));
    REQUIRE(sees(test, test.node->operations_address(), 3));
    REQUIRE(sees(test, second.operations_address(), 3));
    Calls calls(test);
    constexpr int CALLS_AT_EACH = 15;
    calls.begin(test.node->caller_address(), CALLS_AT_EACH);
    calls.begin(second.caller_address(), CALLS_AT_EACH);
    REQUIRE(test.run_until([&] { return calls.answers.size() >= 5; }));
    CHECK(counting.most <= PLACES);
    controller.reset();
    REQUIRE(test.run_until([&] { return calls.all_answered(); }));
    CHECK(calls.with_status(200) == calls.begun);
    CHECK(counting.upstream.run.size() == static_cast<std::size_t>(calls.begun));
    // The new controller learns of each VM's calls with that VM's first ask.
    CHECK(counting.most <= 2 * PLACES);
}

// Guards against an answer that says that a call has not run while an upstream runs it, and against calls that are held until
// they are late.
TEST_CASE("Calls that cannot be answered in time are refused at once and have not run", "[call-admission][not-run]")
{
    NodeUnderTest test(switch_on);
    test.configure(1, [](auto& configuration) {
        for (auto& route : configuration["routes"])
            route["slo_ms"] = 200;
    });
    CountingUpstream counting(test, milliseconds(100));
    Calls calls(test);
    constexpr int CALLS = 40;
    auto const begun = monotonic_now();
    calls.begin(test.node->caller_address(), CALLS);
    REQUIRE(test.run_until([&] { return calls.with_status(503) > 0; }));
    CHECK(monotonic_now() - begun < AT_ONCE);
    REQUIRE(test.run_until([&] { return calls.all_answered(); }));
    CHECK(calls.with_status(200) >= PLACES);
    CHECK(calls.with_status(200) + calls.with_status(503) == CALLS);
    CHECK(counting.upstream.run.size() == static_cast<std::size_t>(calls.with_status(200)));
    CHECK(counting.most <= PLACES);
    for (auto const& answer : calls.answers) {
        if (answer.head.status == 503)
            CHECK(std::stod(std::string(answer.head.headers.find("Retry-After").value_or("0"))) > 0);
    }
}

// Guards against a place in the queue, or at the upstream, that stays with a caller who has left.
TEST_CASE("The places of callers that leave are free for others", "[call-admission]")
{
    NodeUnderTest test(switch_on);
    test.configure(1, set_latency_target);
    CountingUpstream counting(test, seconds(600));
    std::vector<std::shared_ptr<HttpConnection>> leaving;
    auto const has_metric = [&](std::string const& name, int value) {
        return metrics_of(test, test.node->operations_address()).find(name + "{group=\"0\",service=\"plain\"} " + std::to_string(value) + "\n") != std::string::npos;
    };
    for (int i = 0; i < PLACES + 2; ++i)
        leaving.push_back(test.begin(test.request("GET", "/once/x", "l" + std::to_string(i))));
    REQUIRE(test.run_until([&] { return has_metric("spurtide_call_permits_held", PLACES) && has_metric("spurtide_call_permits_waiting", 2); }));
    for (auto const& connection : leaving)
        connection->abort();
    CHECK(test.run_until([&] { return has_metric("spurtide_call_permits_held", 0) && has_metric("spurtide_call_permits_waiting", 0); }));
    CHECK(counting.most == PLACES);
}

// Guards against calls that fail since another VM's list of upstreams is older, and against places there that nobody returns.
TEST_CASE("A permit for an upstream that the VM does not list is returned and another one is asked for", "[call-admission]")
{
    NodeUnderTest test(switch_on);
    test.configure(1);
    UpstreamStandIn upstream(test.loop, "i-1");
    test.list(upstream, "plain");
    ScriptedController controller(test, { "i-unknown", "i-1" });
    CHECK(test.call(test.request("GET", "/once/x", "c")).head.status == 200);
    REQUIRE(test.run_until([&] { return controller.returns.size() == 2; }));
    REQUIRE(controller.asks.size() == 2);
    CHECK(excluded(controller.asks[0]).empty());
    CHECK(excluded(controller.asks[1]) == std::vector<std::string> { "i-unknown" });
    CHECK(controller.returns[0].upstream() == "i-unknown");
    CHECK(controller.returns[0].outcome() == wire::CALL_OUTCOME_UNUSED);
    CHECK(controller.returns[1].upstream() == "i-1");
    CHECK(controller.returns[1].outcome() == wire::CALL_OUTCOME_ANSWERED);
}

// Guards against a call that is sent again to an upstream that turned it away, and against a controller that does not hear of it.
TEST_CASE("An upstream that turned a call away is excluded from its next ask", "[call-admission]")
{
    NodeUnderTest test(switch_on);
    test.configure(1);
    UpstreamStandIn full(test.loop, "i-1");
    UpstreamStandIn free(test.loop, "i-2");
    full.script = [](HttpExchange& exchange) -> asio::awaitable<bool> {
        auto head = UpstreamStandIn::refusal_head(exchange);
        static_cast<void>(co_await exchange.respond(std::move(head), {}));
        co_return true;
    };
    test.list(full, "plain");
    test.list(free, "plain");
    ScriptedController controller(test, { "i-1", "i-2" });
    CHECK(test.call(test.request("GET", "/once/x", "c")).head.status == 200);
    REQUIRE(test.run_until([&] { return controller.returns.size() == 2; }));
    REQUIRE(controller.asks.size() == 2);
    CHECK(excluded(controller.asks[1]) == std::vector<std::string> { "i-1" });
    CHECK(controller.returns[0].outcome() == wire::CALL_OUTCOME_SHED);
    CHECK(controller.returns[1].outcome() == wire::CALL_OUTCOME_ANSWERED);
}

// Guards against an answer that says that a call has not run after an upstream may have run it.
TEST_CASE("A refused permit is told as not run unless an earlier send may have run", "[call-admission][not-run]")
{
    NodeUnderTest test(switch_on);
    test.configure(1);
    UpstreamStandIn failing(test.loop, "i-1");
    UpstreamStandIn other(test.loop, "i-2");
    failing.script = [](HttpExchange& exchange) -> asio::awaitable<bool> {
        exchange.abort();
        co_return true;
    };
    test.list(failing, "plain");
    test.list(other, "plain");
    ScriptedController controller(test, { "", "i-1", "", "" });
    auto const refused = test.call(test.request("GET", "/safe/x", "c1"));
    CHECK(refused.head.status == 503);
    CHECK(refused.head.headers.find("Retry-After") == "0.70");
    CHECK(failing.requests.empty());
    auto const failed = test.call(test.request("GET", "/safe/x", "c2"));
    CHECK(failed.head.status == 502);
    CHECK(failing.requests.size() == 1);
    CHECK(other.requests.empty());
    REQUIRE(test.run_until([&] { return controller.returns.size() == 1; }));
    CHECK(controller.returns[0].outcome() == wire::CALL_OUTCOME_FAILED);
}

// Guards against a change of behaviour, and messages between VMs, where nobody switched call admission on.
TEST_CASE("No messages about permits are sent where call admission is off", "[call-admission]")
{
    NodeUnderTest test;
    test.configure(1);
    CountingUpstream counting(test, milliseconds(5));
    OtherVirtualMachine second(test, { test.node->wire_address() });
    REQUIRE(sees(test, test.node->operations_address(), 2));
    Calls calls(test);
    calls.begin(test.node->caller_address(), 10);
    calls.begin(second.caller_address(), 10);
    REQUIRE(test.run_until([&] { return calls.all_answered(); }));
    CHECK(calls.with_status(200) == calls.begun);
    for (auto const& address : { test.node->operations_address(), second.operations_address() })
        CHECK(metrics_of(test, address).find("call_permit") == std::string::npos);
}
