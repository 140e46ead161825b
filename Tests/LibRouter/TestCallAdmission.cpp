// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibRouter/CallAdmissionClient.h>
#include <LibRouter/CallAdmissionService.h>
#include <Tests/Support/LoopKernel.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <ctime>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

constexpr auto SERVICE = "plain";
constexpr auto UPSTREAM = "i-1";
constexpr std::int64_t SLOTS = 2;
/// Slots of the upstream, and one call that covers the round trip of a return.
constexpr std::size_t PLACES = SLOTS + 1;

struct AdmittingVirtualMachine {
    AdmittingVirtualMachine(asio::io_context& loop, std::string const& name, CallAdmissionService::Options options, CallAdmissionClient::Options client_options)
        : kernel(make_loop_kernel(loop, name))
        , ranking(*this->kernel, seconds(600))
        , service(std::make_unique<CallAdmissionService>(options, *this->kernel, this->upstreams, this->metrics, loop))
        , client(std::make_unique<CallAdmissionClient>(client_options, *this->kernel, this->ranking, this->metrics, "dc"))
    {
        this->service->host();
        // The ranking considers only VMs that host this service.
        this->kernel->host(std::string(PLACEMENT_SERVICE), [](wire::Envelope const&, Kernel::Responder const&) {});
        this->kernel->start();
        this->service->start();
    }
    ~AdmittingVirtualMachine() { this->kernel->stop(); }

    void list(std::string const& identity)
    {
        UpstreamRecord record;
        record.identity = identity;
        record.service = SERVICE;
        record.data_centre = "dc";
        record.slots = SLOTS;
        this->upstreams.apply({ identity, record, { 0, ++this->version } }, monotonic_now());
        this->service->note_upstreams_changed();
    }

    std::int64_t version = 0;
    Metrics metrics;
    UpstreamList upstreams { UpstreamList::Options {} };
    std::unique_ptr<Kernel> kernel;
    VirtualMachineRanking ranking;
    std::unique_ptr<CallAdmissionService> service;
    std::unique_ptr<CallAdmissionClient> client;
};

/// One call's ask for a place.
struct AskedCall {
    explicit AskedCall(asio::io_context& loop)
        : pending(std::make_shared<CallAdmissionClient::PendingAsk>(loop.get_executor()))
    {
    }

    CallAdmissionClient::Grant* grant() { return this->answer ? std::get_if<CallAdmissionClient::Grant>(&*this->answer) : nullptr; }
    CallAdmissionClient::Refusal* refusal() { return this->answer ? std::get_if<CallAdmissionClient::Refusal>(&*this->answer) : nullptr; }
    bool has(CallAdmissionClient::NoAnswer kind) const
    {
        auto const* missing = this->answer ? std::get_if<CallAdmissionClient::NoAnswer>(&*this->answer) : nullptr;
        return missing && *missing == kind;
    }

    std::shared_ptr<CallAdmissionClient::PendingAsk> pending;
    std::optional<CallAdmissionClient::Answer> answer;
};

/// Three VMs that list one upstream. The first two are those that are asked for its service, the third asks.
struct AdmissionTest {
    explicit AdmissionTest(CallAdmissionService::Options options = {}, CallAdmissionClient::Options client_options = {})
    {
        for (auto const* name : { "vm-1", "vm-2", "vm-3" })
            this->machines.push_back(std::make_unique<AdmittingVirtualMachine>(this->loop, name, options, client_options));
        this->share_members();
        auto const ranked = this->machines.front()->ranking.ranked_names(CallGroup { SERVICE }.key());
        this->first = this->find(ranked[0]);
        this->second = this->find(ranked[1]);
        this->asking = this->find(ranked[2]);
        for (auto const& machine : this->machines)
            machine->list(UPSTREAM);
    }
    ~AdmissionTest() { this->loop.stop(); }

    /// Tells all VMs of those that are there.
    void share_members(AdmittingVirtualMachine const* absent = nullptr)
    {
        std::vector<MemberRecord> members;
        for (auto const& machine : this->machines) {
            if (machine.get() != absent)
                members.push_back(member_of(*machine->kernel));
        }
        ++this->members_version;
        for (auto const& machine : this->machines)
            machine->kernel->directory().replace(this->members_version, 0, members, {});
    }

    AdmittingVirtualMachine* find(std::string const& name)
    {
        auto const found = std::find_if(this->machines.begin(), this->machines.end(), [&](auto const& machine) { return machine->kernel->virtual_machine() == name; });
        return found->get();
    }

    std::unique_ptr<AskedCall> begin(AdmittingVirtualMachine& machine, std::string const& request, std::function<void(CallAdmissionClient::Ask&)> const& change = {})
    {
        CallAdmissionClient::Ask ask;
        ask.service = SERVICE;
        ask.upstreams = machine.upstreams.size();
        ask.request = request;
        ask.target_time = monotonic_now() + seconds(10);
        ask.timeout = monotonic_now() + seconds(20);
        if (change)
            change(ask);
        auto call = std::make_unique<AskedCall>(this->loop);
        auto const run = [](CallAdmissionClient& client, CallAdmissionClient::Ask made, AskedCall& asked) -> asio::awaitable<void> {
            auto answer = co_await client.ask(std::move(made), asked.pending);
            asked.answer.emplace(std::move(answer));
        };
        asio::co_spawn(this->loop, run(*machine.client, std::move(ask), *call), asio::detached);
        return call;
    }

    std::unique_ptr<AskedCall> ask(AdmittingVirtualMachine& machine, std::string const& request, std::function<void(CallAdmissionClient::Ask&)> const& change = {})
    {
        auto call = this->begin(machine, request, change);
        REQUIRE(run_loop_until(this->loop, [&] { return call->answer.has_value(); }));
        return call;
    }

    std::vector<std::unique_ptr<AskedCall>> take_all_places(AdmittingVirtualMachine& machine)
    {
        std::vector<std::unique_ptr<AskedCall>> calls;
        for (std::size_t i = 0; i < PLACES; ++i) {
            calls.push_back(this->ask(machine, "holder-" + std::to_string(i)));
            REQUIRE(calls.back()->grant());
        }
        return calls;
    }

    bool reaches(std::function<bool()> const& condition) { return run_loop_until(this->loop, condition); }

    asio::io_context loop { 1 };
    std::vector<std::unique_ptr<AdmittingVirtualMachine>> machines;
    std::int64_t members_version = 0;
    AdmittingVirtualMachine* first = nullptr;
    AdmittingVirtualMachine* second = nullptr;
    AdmittingVirtualMachine* asking = nullptr;
};

std::uint64_t sent(AdmittingVirtualMachine const& machine, std::string const& kind)
{
    auto const traffic = machine.kernel->sent_traffic();
    auto const found = traffic.find(kind);
    return found == traffic.end() ? 0 : found->second.messages;
}

}

// Guards against VMs that each count their own calls only: together they would send more than the upstream has places for.
TEST_CASE("Calls of all VMs share the places of an upstream and wait for each other's returns", "[call-admission]")
{
    AdmissionTest test;
    std::vector<std::unique_ptr<AskedCall>> calls;
    for (auto* machine : { test.first, test.second, test.asking }) {
        calls.push_back(test.ask(*machine, "call-" + machine->kernel->virtual_machine()));
        REQUIRE(calls.back()->grant());
        CHECK(calls.back()->grant()->upstream == UPSTREAM);
    }
    CHECK(test.first->service->calls_in_flight(SERVICE) == PLACES);
    auto const waiting = test.begin(*test.asking, "waiting");
    REQUIRE(test.reaches([&] { return test.first->service->waiting_calls(SERVICE) == 1; }));
    CHECK_FALSE(waiting->answer);
    calls.front()->grant()->permit.end(CallOutcome::Answered, milliseconds(5));
    REQUIRE(test.reaches([&] { return waiting->answer.has_value(); }));
    CHECK(waiting->grant());
    CHECK(test.first->service->calls_in_flight(SERVICE) == PLACES);
    // The VM that decides about its own calls sends no messages for them.
    CHECK(sent(*test.first, "call_permit_ask") == 0);
    CHECK(sent(*test.second, "call_permit_ask") == 1);
}

// Guards against a place that is lost, or returned twice, on one of the ways in which a permit ends.
TEST_CASE("The destructor of a permit returns its place and a second end has no effect", "[call-admission]")
{
    AdmissionTest test;
    auto const one = test.ask(*test.asking, "one");
    auto const other = test.ask(*test.asking, "other");
    REQUIRE(one->grant());
    REQUIRE(other->grant());
    {
        CallPermit moved = std::move(one->grant()->permit);
        moved.end(CallOutcome::Failed, milliseconds(5));
    }
    one->answer.reset();
    REQUIRE(test.reaches([&] { return test.first->service->calls_in_flight(SERVICE) == 1; }));
    other->answer.reset();
    REQUIRE(test.reaches([&] { return test.first->service->calls_in_flight(SERVICE) == 0; }));
    CHECK(sent(*test.asking, "call_permit_return") == 2);
    CHECK(test.asking->client->held_count() == 0);
}

// Guards against calls that are refused as if their service had no capacity while one of the upstreams is only unusable for them.
TEST_CASE("A call is refused with the time at which it can retry, or since all upstreams are excluded", "[call-admission]")
{
    AdmissionTest test;
    auto const holders = test.take_all_places(*test.asking);
    auto const late = test.ask(*test.asking, "late", [](auto& ask) {
        ask.target_time = monotonic_now() + milliseconds(1);
        ask.retry_patience = seconds(15);
    });
    REQUIRE(late->refusal());
    CHECK(late->refusal()->reason == CallRefusalReason::CannotMeetTarget);
    CHECK(late->refusal()->retry_after > Duration::zero());
    auto const excluding = test.ask(*test.asking, "excluding", [](auto& ask) { ask.excluded_upstreams = { UPSTREAM }; });
    REQUIRE(excluding->refusal());
    CHECK(excluding->refusal()->reason == CallRefusalReason::NoUpstream);
    CHECK(test.first->service->waiting_calls(SERVICE) == 0);
}

// Guards against calls that stand still with their controller, and against a new controller that takes places for free which
// calls of the old one have.
TEST_CASE("When the first VM dies the second one is asked and told of the calls in flight", "[call-admission][kill]")
{
    AdmissionTest test;
    auto const holders = test.take_all_places(*test.asking);
    auto const waiting = test.begin(*test.asking, "waiting");
    REQUIRE(test.reaches([&] { return test.first->service->waiting_calls(SERVICE) == 1; }));
    test.first->kernel->stop();
    REQUIRE(test.reaches([&] { return test.second->service->waiting_calls(SERVICE) == 1; }));
    CHECK(test.second->service->calls_in_flight(SERVICE) == PLACES);
    CHECK_FALSE(waiting->answer);
    // A place that the dead VM granted is returned to the new controller.
    holders.front()->grant()->permit.end(CallOutcome::Answered, milliseconds(5));
    REQUIRE(test.reaches([&] { return waiting->answer.has_value(); }));
    CHECK(waiting->grant());
    CHECK(test.second->service->calls_in_flight(SERVICE) == PLACES);
    for (auto const& holder : holders)
        holder->answer.reset();
    waiting->answer.reset();
    CHECK(test.reaches([&] { return test.second->service->calls_in_flight(SERVICE) == 0; }));
}

// Guards against calls that fail, or wait until their timeout, where no controller is left.
TEST_CASE("When both VMs that may be asked are dead the call is sent without a permit", "[call-admission][kill]")
{
    AdmissionTest test;
    test.first->kernel->stop();
    test.second->kernel->stop();
    auto const begun = monotonic_now();
    auto const call = test.ask(*test.asking, "call");
    CHECK(call->has(CallAdmissionClient::NoAnswer::Unavailable));
    // Each is given up after its silence and that of the probe, far from the call's timeout.
    CHECK(monotonic_now() - begun < seconds(10));
    CHECK(test.asking->metrics.render().find("spurtide_call_admission_fallbacks_total{service=\"plain\"} 1") != std::string::npos);
}

// Guards against a controller that grants places beyond the limit since calls were sent without its permits.
TEST_CASE("Calls that were sent without a permit are reported to the next controller that is asked", "[call-admission]")
{
    AdmissionTest test;
    CallAdmissionClient::Ask ask;
    ask.service = SERVICE;
    ask.upstreams = 1;
    ask.request = "unpermitted";
    ask.timeout = monotonic_now() + seconds(20);
    auto unpermitted = test.asking->client->note_unpermitted(ask, UPSTREAM);
    auto const call = test.ask(*test.asking, "call");
    REQUIRE(call->grant());
    CHECK(test.first->service->calls_in_flight(SERVICE) == 2);
    unpermitted.end(CallOutcome::Answered, milliseconds(5));
    CHECK(test.reaches([&] { return test.first->service->calls_in_flight(SERVICE) == 1; }));
}

// Guards against a controller that is started again at the same endpoint and knows of no calls in flight.
TEST_CASE("A controller that was started again is told of the calls in flight", "[call-admission][kill]")
{
    asio::io_context loop { 1 };
    auto const controller = make_loop_kernel(loop, "vm-1");
    std::string incarnation = "before";
    std::vector<int> reported;
    controller->host(std::string(PLACEMENT_SERVICE), [](wire::Envelope const&, Kernel::Responder const&) {});
    controller->host(std::string(CALL_ADMISSION_SERVICE), [&](wire::Envelope const& request, Kernel::Responder const& respond) {
        if (!request.has_call_permit_ask())
            return;
        reported.push_back(request.call_permit_ask().in_flight_size());
        wire::Envelope reply;
        reply.mutable_call_permit_answer()->set_upstream(UPSTREAM);
        reply.mutable_call_permit_answer()->set_controller(incarnation);
        respond(std::move(reply));
    });
    controller->start();
    auto const asking = make_loop_kernel(loop, "vm-2");
    asking->start();
    asking->directory().replace(1, 0, { member_of(*controller) }, {});
    VirtualMachineRanking ranking(*asking, seconds(600));
    Metrics metrics;
    CallAdmissionClient::Options options;
    // On a busy machine the controller would be taken for gone before it answers.
    options.probe_delay = Duration::zero();
    CallAdmissionClient client(options, *asking, ranking, metrics, "dc");
    std::vector<CallAdmissionClient::Answer> answers;
    auto const ask = [&]() -> asio::awaitable<void> {
        CallAdmissionClient::Ask made;
        made.service = SERVICE;
        made.upstreams = 1;
        made.timeout = monotonic_now() + seconds(20);
        auto answer = co_await client.ask(std::move(made), std::make_shared<CallAdmissionClient::PendingAsk>(loop.get_executor()));
        answers.push_back(std::move(answer));
    };
    for (std::size_t i = 0; i < 4; ++i) {
        if (i == 1)
            incarnation = "after";
        asio::co_spawn(loop, ask(), asio::detached);
        REQUIRE(run_loop_until(loop, [&] { return answers.size() == i + 1; }));
        REQUIRE(std::holds_alternative<CallAdmissionClient::Grant>(answers.back()));
    }
    // The second answer shows that the process is another one.
    CHECK(reported == std::vector<int> { 0, 0, 2, 0 });
    asking->stop();
    controller->stop();
}

// Guards against calls that wait until their timeout for an answer of a process that is gone: the one that was started at its
// endpoint answers probes, but does not know them.
TEST_CASE("Calls that wait ask again when their controller was started again", "[call-admission][kill]")
{
    asio::io_context loop { 1 };
    auto const controller = make_loop_kernel(loop, "vm-1");
    std::string incarnation = "before";
    std::map<std::string, int> asks;
    controller->host(std::string(PLACEMENT_SERVICE), [](wire::Envelope const&, Kernel::Responder const&) {});
    controller->host(std::string(CALL_ADMISSION_SERVICE), [&](wire::Envelope const& request, Kernel::Responder const& respond) {
        // The first process is gone before it answers the ask that waits.
        if (!request.has_call_permit_ask() || (++asks[request.call_permit_ask().request()] == 1 && request.call_permit_ask().request() == "waiting"))
            return;
        wire::Envelope reply;
        reply.mutable_call_permit_answer()->set_upstream(UPSTREAM);
        reply.mutable_call_permit_answer()->set_controller(incarnation);
        respond(std::move(reply));
    });
    controller->start();
    auto const asking = make_loop_kernel(loop, "vm-2");
    asking->start();
    asking->directory().replace(1, 0, { member_of(*controller) }, {});
    VirtualMachineRanking ranking(*asking, seconds(600));
    Metrics metrics;
    CallAdmissionClient client({}, *asking, ranking, metrics, "dc");
    std::map<std::string, CallAdmissionClient::Answer> answers;
    auto const ask = [&](std::string request) -> asio::awaitable<void> {
        CallAdmissionClient::Ask made;
        made.service = SERVICE;
        made.upstreams = 1;
        made.request = request;
        made.timeout = monotonic_now() + seconds(60);
        auto answer = co_await client.ask(std::move(made), std::make_shared<CallAdmissionClient::PendingAsk>(loop.get_executor()));
        answers.emplace(request, std::move(answer));
    };
    asio::co_spawn(loop, ask("first"), asio::detached);
    REQUIRE(run_loop_until(loop, [&] { return answers.contains("first"); }));
    asio::co_spawn(loop, ask("waiting"), asio::detached);
    REQUIRE(run_loop_until(loop, [&] { return asks["waiting"] == 1; }));
    incarnation = "after";
    asio::co_spawn(loop, ask("other"), asio::detached);
    REQUIRE(run_loop_until(loop, [&] { return answers.contains("waiting"); }));
    CHECK(std::holds_alternative<CallAdmissionClient::Grant>(answers.at("waiting")));
    CHECK(asks["waiting"] == 2);
    asking->stop();
    controller->stop();
}

// Guards against places that are held for callers that have left.
TEST_CASE("A caller that leaves while it waits withdraws its ask at once", "[call-admission]")
{
    AdmissionTest test;
    auto const holders = test.take_all_places(*test.asking);
    auto const leaving = test.begin(*test.asking, "leaving");
    REQUIRE(test.reaches([&] { return test.first->service->waiting_calls(SERVICE) == 1; }));
    leaving->pending->give_up();
    REQUIRE(test.reaches([&] { return leaving->answer.has_value(); }));
    CHECK(leaving->has(CallAdmissionClient::NoAnswer::Withdrawn));
    CHECK(test.reaches([&] { return test.first->service->waiting_calls(SERVICE) == 0; }));
    CHECK(test.first->service->calls_in_flight(SERVICE) == PLACES);
}

// Guards against a place that nobody returns since its grant came after the caller had left.
TEST_CASE("A grant that arrives after its ask was given up is returned", "[call-admission]")
{
    AdmissionTest test;
    auto const leaving = test.begin(*test.asking, "leaving");
    // Given up before the message has left this process.
    leaving->pending->give_up();
    REQUIRE(test.reaches([&] { return leaving->answer.has_value(); }));
    CHECK(leaving->has(CallAdmissionClient::NoAnswer::Withdrawn));
    REQUIRE(test.reaches([&] { return sent(*test.first, "call_permit_answer") == 1; }));
    CHECK(test.reaches([&] { return test.first->service->calls_in_flight(SERVICE) == 0; }));
    CHECK(test.asking->client->held_count() == 0);
    // All places can be had again.
    test.take_all_places(*test.second);
}

// Guards against places that are lost with the VM whose calls had them.
TEST_CASE("The places of a VM that is gone are returned", "[call-admission][kill]")
{
    CallAdmissionService::Options options;
    options.dead_origin_grace = milliseconds(100);
    options.housekeeping_interval = milliseconds(20);
    AdmissionTest test(options);
    auto const holders = test.take_all_places(*test.asking);
    auto const waiting = test.begin(*test.second, "waiting");
    REQUIRE(test.reaches([&] { return test.first->service->waiting_calls(SERVICE) == 1; }));
    test.share_members(test.asking);
    REQUIRE(test.reaches([&] { return waiting->answer.has_value(); }));
    CHECK(waiting->grant());
    CHECK(test.first->service->calls_in_flight(SERVICE) == 1);
}

// Guards against calls that wait until their timeout for a controller that dropped them, since it does not know their VM.
TEST_CASE("The waiting calls of a VM that the controller does not know are told to ask elsewhere", "[call-admission]")
{
    CallAdmissionService::Options options;
    options.dead_origin_grace = milliseconds(100);
    options.housekeeping_interval = milliseconds(20);
    AdmissionTest test(options);
    auto const holders = test.take_all_places(*test.second);
    auto const waiting = test.begin(*test.asking, "waiting");
    REQUIRE(test.reaches([&] { return test.first->service->waiting_calls(SERVICE) == 1; }));
    test.share_members(test.asking);
    REQUIRE(test.reaches([&] { return waiting->answer.has_value(); }));
    CHECK_FALSE(waiting->refusal());
    CHECK(test.first->service->waiting_calls(SERVICE) == 0);
}

// Guards against a VM that has just started and refuses calls since it does not know the upstreams yet.
TEST_CASE("A VM without upstreams of the service lets the next one decide", "[call-admission]")
{
    AdmissionTest test;
    test.first->upstreams.apply({ UPSTREAM, {}, { 0, ++test.first->version } }, monotonic_now());
    test.first->service->note_upstreams_changed();
    auto const call = test.ask(*test.asking, "call");
    CHECK(call->grant());
    CHECK(test.second->service->calls_in_flight(SERVICE) == 1);
    // It is alive, so it stays in the ranking.
    CHECK(test.asking->ranking.ranked_names(CallGroup { SERVICE }.key()).size() == 3);
}

// Guards against memory that grows with every service that was ever asked for.
TEST_CASE("A queue without calls is dropped after a while", "[call-admission]")
{
    CallAdmissionService::Options options;
    options.idle_time = milliseconds(100);
    options.housekeeping_interval = milliseconds(20);
    AdmissionTest test(options);
    auto const call = test.ask(*test.asking, "call");
    REQUIRE(call->grant());
    CHECK(test.first->service->queue_count() == 1);
    call->answer.reset();
    CHECK(test.reaches([&] { return test.first->service->queue_count() == 0; }));
}

// Guards against one VM that decides about all calls of a service with many upstreams.
TEST_CASE("The upstreams of a large service are split into groups which several VMs admit calls to", "[call-admission]")
{
    CallAdmissionClient::Options client_options;
    // On a busy machine a VM would be taken for gone before it answers.
    client_options.probe_delay = Duration::zero();
    AdmissionTest test({}, client_options);
    constexpr int UPSTREAMS = 200;
    for (auto const& machine : test.machines) {
        for (int i = 2; i <= UPSTREAMS; ++i)
            machine->list("i-" + std::to_string(i));
    }
    CHECK(CallGroup::count_for(UPSTREAMS) == 8);
    std::vector<std::unique_ptr<AskedCall>> calls;
    std::set<std::string> granted;
    for (int i = 0; i < UPSTREAMS; ++i) {
        calls.push_back(test.ask(*test.asking, "call-" + std::to_string(i)));
        REQUIRE(calls.back()->grant());
        granted.insert(calls.back()->grant()->upstream);
    }
    CHECK(granted.size() > UPSTREAMS / 2);
    for (auto const& machine : test.machines)
        CHECK(machine->service->calls_in_flight(SERVICE) > 0);
}

// Guards against refusals of calls that may use few upstreams of a large service, such as those of their home region, while
// these have free places: the groups that the hash of the request names may have none of them.
TEST_CASE("A call asks the groups that have upstreams it may be sent to", "[call-admission]")
{
    AdmissionTest test;
    constexpr int UPSTREAMS = 200;
    std::vector<std::string> excluded;
    for (int i = 2; i <= UPSTREAMS; ++i) {
        excluded.push_back("i-" + std::to_string(i));
        for (auto const& machine : test.machines)
            machine->list(excluded.back());
    }
    for (int i = 0; i < 20; ++i) {
        auto const call = test.ask(*test.asking, "call-" + std::to_string(i), [&](auto& ask) {
            ask.excluded_upstreams = excluded;
            ask.usable_groups = { CallGroup::index_for(UPSTREAM, CallGroup::count_for(UPSTREAMS)) };
        });
        REQUIRE(call->grant());
        CHECK(call->grant()->upstream == UPSTREAM);
    }
}

// Guards against traffic of the controller that grows by what is the same in most asks.
TEST_CASE("The usual weight of an account is not sent", "[call-admission]")
{
    AdmissionTest test;
    auto const bytes = [&] { return test.asking->kernel->sent_traffic()["call_permit_ask"].bytes; };
    auto const bytes_of_ask = [&](std::string const& account) {
        auto const before = bytes();
        test.ask(*test.asking, "call", [&](auto& ask) { ask.account = account; });
        return bytes() - before;
    };
    std::vector<ClientAccount> accounts(2);
    accounts[0].name = "large";
    accounts[0].limit.emplace().rate = 10;
    accounts[1].name = "small";
    accounts[1].limit.emplace().rate = 5;
    test.asking->client->set_accounts(accounts);
    bytes_of_ask("large");
    // A tag and a number of 8 bytes; the time left takes up to 2 bytes more or less.
    CHECK(bytes_of_ask("small") >= bytes_of_ask("large") + 7);
}

// Not a check of time: reports what one ask, grant and return cost, as stated for the load of control.
TEST_CASE("Cost of one ask with its grant and return", "[.][call-admission-cost]")
{
    AdmissionTest test;
    constexpr int CALLS = 5000;
    auto const processor_time = [] {
        timespec now {};
        clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
        return static_cast<double>(now.tv_sec) * 1e6 + static_cast<double>(now.tv_nsec) / 1e3;
    };
    auto const measure = [&](AdmittingVirtualMachine& machine) {
        bool is_done = false;
        auto const run = [&]() -> asio::awaitable<void> {
            for (int i = 0; i < CALLS; ++i) {
                CallAdmissionClient::Ask ask;
                ask.service = SERVICE;
                ask.upstreams = 1;
                ask.request = "0123456789abcdef-" + std::to_string(i);
                ask.account = "account-1";
                ask.target_time = monotonic_now() + seconds(10);
                ask.timeout = monotonic_now() + seconds(20);
                auto pending = std::make_shared<CallAdmissionClient::PendingAsk>(test.loop.get_executor());
                auto answer = co_await machine.client->ask(std::move(ask), std::move(pending));
                auto* grant = std::get_if<CallAdmissionClient::Grant>(&answer);
                REQUIRE(grant);
                grant->permit.end(CallOutcome::Answered, milliseconds(50));
            }
            is_done = true;
        };
        auto const begun = processor_time();
        asio::co_spawn(test.loop, run(), asio::detached);
        REQUIRE(test.reaches([&] { return is_done; }));
        return (processor_time() - begun) / CALLS;
    };
    WARN("processor time of a call at the controller's own VM: " << measure(*test.first) << " us");
    WARN("processor time of a call of another VM, both sides: " << measure(*test.asking) << " us");
    // Part of the above; grows with the number of VMs.
    constexpr int MACHINES = 340;
    std::vector<MemberRecord> members;
    for (int i = 0; i < MACHINES; ++i) {
        auto member = member_of(*test.asking->kernel);
        member.virtual_machine = "front-" + std::to_string(i);
        members.push_back(std::move(member));
    }
    test.asking->kernel->directory().replace(++test.members_version, 0, members, {});
    constexpr int RANKINGS = 200;
    auto const begun = processor_time();
    std::size_t ranked = 0;
    for (int i = 0; i < RANKINGS; ++i)
        ranked += test.asking->ranking.ranked_names(CallGroup { SERVICE }.key()).size();
    CHECK(ranked == static_cast<std::size_t>(MACHINES) * RANKINGS);
    WARN("processor time of one ranking of " << MACHINES << " VMs: " << (processor_time() - begun) / RANKINGS << " us");
    for (auto const* kind : { "call_permit_ask", "call_permit_return" }) {
        auto const count = test.asking->kernel->sent_traffic()[kind];
        WARN(kind << ": " << count.bytes / count.messages << " bytes");
    }
    auto const answers = test.first->kernel->sent_traffic()["call_permit_answer"];
    WARN("call_permit_answer: " << answers.bytes / answers.messages << " bytes");
}
