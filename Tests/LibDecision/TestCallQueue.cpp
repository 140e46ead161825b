// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/CallQueue.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdio>
#include <functional>
#include <map>
#include <random>
#include <set>

using namespace Spurtide;

namespace {

constexpr Duration TARGET = milliseconds(300);
constexpr Duration TIMEOUT = milliseconds(800);

/// A queue with upstreams, and the decisions it made.
struct QueueTest {
    explicit QueueTest(std::vector<QueueUpstream> upstreams = { { "u-1", 2, "dc" }, { "u-2", 2, "dc" } }, CallQueue::Options options = {})
        : queue(options)
    {
        this->queue.set_upstreams(upstreams);
    }

    CallAsk make(std::string request) const
    {
        return { .request = std::move(request), .account = {}, .priority = 0, .origin = "vm", .data_centre = "dc", .target_time = this->now + TARGET, .timeout = this->now + TIMEOUT };
    }
    void ask(CallAsk ask)
    {
        this->queue.ask(std::move(ask), this->now);
        this->collect();
    }
    void ask(std::string request) { this->ask(this->make(std::move(request))); }
    void ask_for(std::string request, std::string account, std::int64_t priority = 0)
    {
        auto ask = this->make(std::move(request));
        ask.account = std::move(account);
        ask.priority = priority;
        this->ask(std::move(ask));
    }
    void complete(std::string const& request, Duration took = milliseconds(50), CallOutcome outcome = CallOutcome::Answered)
    {
        this->queue.complete(request, outcome, took, this->now);
        this->collect();
    }
    void advance(Duration by)
    {
        this->now += by;
        this->queue.advance(this->now);
        this->collect();
    }
    void collect()
    {
        for (auto& decision : this->queue.take_decisions()) {
            if (auto* grant = std::get_if<CallGrant>(&decision))
                this->grants.push_back(std::move(*grant));
            else
                this->refusals.push_back(std::move(std::get<CallRefusal>(decision)));
        }
    }
    std::vector<std::string> granted() const
    {
        std::vector<std::string> requests;
        for (auto const& grant : this->grants)
            requests.push_back(grant.request);
        return requests;
    }
    /// Sends calls one after the other, which take a time at each upstream.
    void run_calls(int count, std::function<Duration(std::string const&)> const& took)
    {
        for (int i = 0; i < count; ++i) {
            auto const request = "run-" + std::to_string(++this->last_run);
            this->ask(request);
            auto const duration = took(this->grants.back().upstream);
            this->now += duration;
            this->complete(request, duration);
        }
    }

    CallQueue queue;
    MonotonicTime now { seconds(1000) };
    std::vector<CallGrant> grants;
    std::vector<CallRefusal> refusals;
    int last_run = 0;
};

using Requests = std::vector<std::string>;

}

TEST_CASE("Calls are granted at once up to one call beyond the slots of each upstream", "[call-queue]")
{
    QueueTest test;
    for (int i = 0; i < 6; ++i)
        test.ask(std::to_string(i));
    CHECK(test.grants.size() == 6);
    CHECK(test.queue.calls_in_flight("u-1") == 3);
    CHECK(test.queue.calls_in_flight("u-2") == 3);
    CHECK(test.grants.front().waited == Duration {});
    // The initial service time applies until calls have been measured.
    CHECK(test.grants.front().predicted == milliseconds(50));
    CHECK_FALSE(test.queue.next_event(test.now));
    test.ask("waits");
    CHECK(test.grants.size() == 6);
    CHECK(test.queue.waiting_calls() == 1);
    CHECK(test.queue.next_event(test.now) > test.now);
    test.now += milliseconds(30);
    test.complete("0");
    CHECK(test.grants.back().request == "waits");
    CHECK(test.grants.back().waited == milliseconds(30));
    CHECK(test.refusals.empty());
}

TEST_CASE("One extra call per 8 slots is sent ahead", "[call-queue]")
{
    for (auto const& [slots, limit] : { std::pair(1, 2), std::pair(8, 9), std::pair(9, 11), std::pair(16, 18) }) {
        QueueTest test({ { "u-1", slots, "dc" } });
        for (int i = 0; i < 20; ++i)
            test.ask(std::to_string(i));
        CHECK(test.queue.calls_in_flight("u-1") == limit);
    }
}

TEST_CASE("Calls of one account are granted in the order of their deadlines", "[call-queue]")
{
    QueueTest test({ { "u-1", 1, "dc" } });
    test.ask("running-1");
    test.ask("running-2");
    for (auto const& [request, target] : { std::pair("last", 300), std::pair("first", 260), std::pair("second", 280) }) {
        auto ask = test.make(request);
        ask.target_time = test.now + milliseconds(target);
        test.ask(ask);
    }
    for (auto const* request : { "running-1", "running-2", "first" })
        test.complete(request);
    CHECK(test.granted() == Requests { "running-1", "running-2", "first", "second", "last" });
}

TEST_CASE("Calls of higher priority are granted first", "[call-queue]")
{
    QueueTest test({ { "u-1", 1, "dc" } });
    test.ask("running-1");
    test.ask("running-2");
    test.ask_for("low", "", 1);
    test.ask_for("high", "", 0);
    test.complete("running-1");
    test.complete("running-2");
    CHECK(test.granted() == Requests { "running-1", "running-2", "high", "low" });
}

// Guards against an account with one call that waits behind a hundred calls of a hot account.
TEST_CASE("The account with the lowest usage is served first", "[call-queue]")
{
    QueueTest test;
    for (int i = 0; i < 12; ++i)
        test.ask_for("hot-" + std::to_string(i), "hot");
    test.ask_for("other", "other");
    CHECK(test.queue.usage("hot", test.now) > 0);
    // An account that joins starts level with the others, so at most one call comes first.
    test.complete("hot-0");
    test.complete("hot-1");
    CHECK(test.grants.back().request == "other");
}

TEST_CASE("An account of twice the weight is granted twice as many calls", "[call-queue]")
{
    QueueTest test({ { "u-1", 1, "dc" } });
    test.queue.set_account_weight("a", 2);
    std::map<std::string, int> granted;
    for (int i = 0; i < 400; ++i) {
        for (auto const* account : { "a", "b" }) {
            auto ask = test.make(account + std::to_string(i));
            ask.account = account;
            ask.target_time = test.now + seconds(100);
            ask.timeout = test.now + seconds(200);
            test.ask(ask);
        }
        // One of the two calls can be served.
        test.now += milliseconds(10);
        test.complete(test.grants[static_cast<std::size_t>(i)].request, milliseconds(10));
    }
    for (auto const& grant : test.grants)
        ++granted[grant.request.substr(0, 1)];
    CHECK(granted["a"] == Approx(2 * granted["b"]).epsilon(0.1));
}

TEST_CASE("Calls whose only upstreams are excluded or not listed are refused at once", "[call-queue]")
{
    QueueTest test;
    auto ask = test.make("excluded");
    ask.excluded_upstreams = { "u-1", "u-2" };
    test.ask(ask);
    REQUIRE(test.refusals.size() == 1);
    CHECK(test.refusals[0].reason == CallRefusalReason::NoUpstream);

    ask = test.make("one-left");
    ask.excluded_upstreams = { "u-1" };
    test.ask(ask);
    CHECK(test.grants.back().upstream == "u-2");

    for (int i = 0; i < 6; ++i)
        test.ask(std::to_string(i));
    CHECK(test.queue.waiting_calls() == 1);
    test.queue.set_upstreams({});
    test.advance({});
    CHECK(test.refusals.back().request == "5");
    CHECK(test.refusals.back().reason == CallRefusalReason::NoUpstream);
}

// Guards against a call that blocks others while it waits for the only upstream it may use.
TEST_CASE("A free place goes to the first call that may use it", "[call-queue]")
{
    QueueTest test;
    for (int i = 0; i < 6; ++i)
        test.ask(std::to_string(i));
    auto const place_at = [&](std::string const& upstream) {
        return std::find_if(test.grants.begin(), test.grants.end(), [&](auto const& grant) { return grant.upstream == upstream; })->request;
    };
    auto ask = test.make("picky");
    ask.excluded_upstreams = { "u-1" };
    test.ask(ask);
    test.ask("any");
    test.complete(place_at("u-1"));
    CHECK(test.grants.back().request == "any");
    test.complete(place_at("u-2"));
    CHECK(test.grants.back().request == "picky");
    CHECK(test.grants.back().upstream == "u-2");
}

TEST_CASE("A call that would miss its target is refused at once if its caller can retry", "[call-queue]")
{
    QueueTest test({ { "u-1", 1, "dc" } });
    int asked = 0;
    while (test.refusals.size() < 3 && asked < 50) {
        auto ask = test.make(std::to_string(++asked));
        ask.retry_patience = milliseconds(500);
        test.ask(ask);
    }
    REQUIRE(test.refusals.size() == 3);
    std::set<Duration> delays;
    for (auto const& refusal : test.refusals) {
        CHECK(refusal.reason == CallRefusalReason::CannotMeetTarget);
        CHECK(refusal.waited == Duration {});
        CHECK(refusal.predicted > milliseconds(100));
        CHECK(refusal.retry_after <= milliseconds(500));
        delays.insert(refusal.retry_after);
    }
    // Retries must not arrive together.
    CHECK(delays.size() == 3);
    // A call whose caller cannot retry waits behind those that are on time.
    test.ask("late");
    CHECK(test.refusals.size() == 3);
    CHECK(test.queue.waiting_calls() > 1);
    std::size_t next = 0;
    while (next < test.grants.size()) {
        test.now += milliseconds(5);
        test.complete(test.grants[next++].request, milliseconds(10));
    }
    CHECK(test.grants.back().request == "late");
    CHECK(test.grants.back().is_late);
    CHECK_FALSE(test.grants.front().is_late);
}

// Guards against refusals with a time to retry at which the caller, having waited, has no time left for the response.
TEST_CASE("The time that a call waited is taken off the delay after which its caller can retry", "[call-queue]")
{
    QueueTest test({ { "u-1", 1, "dc" } });
    test.ask("running-1");
    test.ask("running-2");
    auto ask = test.make("waiting");
    ask.retry_patience = milliseconds(250);
    test.ask(ask);
    REQUIRE(test.queue.waiting_calls() == 1);
    test.now += milliseconds(280);
    test.complete("running-1", milliseconds(280));
    CHECK(test.refusals.empty());
    REQUIRE(test.grants.size() == 3);
    CHECK(test.grants.back().request == "waiting");
    CHECK(test.grants.back().is_late);
}

// Guards against calls that were admitted in time and lose their places to later calls of the same rank.
TEST_CASE("A call that waits as on time keeps its place", "[call-queue]")
{
    QueueTest test({ { "u-1", 1, "dc" } });
    for (int i = 0; i < 30; ++i) {
        auto ask = test.make(std::to_string(i));
        ask.retry_patience = milliseconds(500);
        test.ask(ask);
    }
    for (auto const& refusal : test.refusals)
        CHECK(refusal.reason == CallRefusalReason::CannotMeetTarget);
    auto const admitted = 30 - test.refusals.size();
    test.refusals.clear();
    std::size_t next = 0;
    while (next < test.grants.size()) {
        test.now += milliseconds(25);
        test.complete(test.grants[next++].request);
    }
    CHECK(test.grants.size() == admitted);
    CHECK(test.refusals.empty());
}

TEST_CASE("Calls of higher rank displace the newest call of the account with the highest usage", "[call-queue]")
{
    QueueTest test({ { "u-1", 1, "dc" } });
    int asked = 0;
    for (; test.refusals.empty(); ++asked) {
        auto ask = test.make("hot-" + std::to_string(asked));
        ask.account = "hot";
        ask.priority = 1;
        ask.retry_patience = milliseconds(500);
        test.ask(ask);
    }
    auto const newest = "hot-" + std::to_string(asked - 2);
    test.refusals.clear();
    for (int i = 0; i < 5 && test.refusals.empty(); ++i)
        test.ask_for("usual-" + std::to_string(i), "usual");
    REQUIRE(!test.refusals.empty());
    CHECK(test.refusals[0].request == newest);
    CHECK(test.refusals[0].reason == CallRefusalReason::Displaced);
    CHECK(test.refusals[0].retry_after > Duration {});
}

TEST_CASE("A waiting call that cannot be answered before its timeout any more is refused", "[call-queue]")
{
    QueueTest test({ { "u-1", 1, "dc" } });
    test.ask("running-1");
    test.ask("running-2");
    test.ask("waits");
    for (int i = 0; i < 100 && test.refusals.empty(); ++i) {
        auto const next = *test.queue.next_event(test.now);
        REQUIRE(next > test.now);
        test.advance(next - test.now);
    }
    REQUIRE(test.refusals.size() == 1);
    CHECK(test.refusals[0].request == "waits");
    CHECK(test.refusals[0].reason == CallRefusalReason::CannotMeetTimeout);
    CHECK(test.refusals[0].waited < TIMEOUT);
    CHECK(test.refusals[0].waited >= TIMEOUT / 2);
    CHECK_FALSE(test.queue.next_event(test.now));
}

TEST_CASE("The number of waiting calls is bounded", "[call-queue]")
{
    CallQueue::Options options;
    options.queue_limit = 3;
    QueueTest test({ { "u-1", 1, "dc" } }, options);
    for (int i = 0; i < 5; ++i)
        test.ask_for(std::to_string(i), "hot");
    CHECK(test.refusals.empty());
    test.ask_for("5", "hot");
    REQUIRE(test.refusals.size() == 1);
    CHECK(test.refusals[0].request == "5");
    CHECK(test.refusals[0].reason == CallRefusalReason::QueueFull);
    test.ask_for("usual", "usual");
    REQUIRE(test.refusals.size() == 2);
    CHECK(test.refusals[1].request == "4");
    CHECK(test.refusals[1].reason == CallRefusalReason::Displaced);
    CHECK(test.queue.waiting_calls() == 3);
}

TEST_CASE("Withdrawn calls release what they have", "[call-queue]")
{
    QueueTest test({ { "u-1", 1, "dc" } });
    for (auto const* request : { "a", "b", "c", "d" })
        test.ask(request);
    test.queue.withdraw("c", test.now);
    test.queue.withdraw("unknown", test.now);
    CHECK(test.queue.waiting_calls() == 1);
    test.queue.withdraw("a", test.now);
    test.collect();
    CHECK(test.granted() == Requests { "a", "b", "d" });
    CHECK(test.queue.calls_in_flight() == 2);
    CHECK(test.queue.usage("", test.now) == Approx(0.1));
}

// The answer to the first ask, or the return of its place, was lost.
TEST_CASE("A request that asks again gives back what it had", "[call-queue]")
{
    QueueTest test;
    test.ask("a");
    test.ask("a");
    CHECK(test.grants.size() == 2);
    CHECK(test.queue.calls_in_flight() == 1);
    test.complete("a");
    test.complete("a");
    CHECK(test.queue.calls_in_flight() == 0);
}

TEST_CASE("A place of which nothing is heard is returned after the call's timeout", "[call-queue]")
{
    QueueTest test({ { "u-1", 1, "dc" } });
    test.ask("lost-1");
    test.ask("lost-2");
    test.advance(TIMEOUT + milliseconds(249));
    CHECK(test.queue.calls_in_flight() == 2);
    auto ask = test.make("waits");
    ask.target_time = ask.timeout = test.now + seconds(100);
    test.ask(ask);
    CHECK(test.queue.next_event(test.now) == test.now + milliseconds(1));
    test.advance(milliseconds(1));
    CHECK(test.grants.back().request == "waits");
    CHECK(test.queue.calls_in_flight() == 1);
}

TEST_CASE("The places of a VM that is gone are returned", "[call-queue]")
{
    QueueTest test({ { "u-1", 1, "dc" } });
    auto ask = test.make("gone-1");
    ask.origin = "gone";
    test.ask(ask);
    ask.request = "gone-2";
    test.ask(ask);
    ask.request = "gone-3";
    test.ask(ask);
    test.ask("waits");
    test.queue.remove_origin("gone", test.now);
    test.collect();
    CHECK(test.queue.calls_in_flight() == 1);
    CHECK(test.grants.back().request == "waits");
    CHECK(test.queue.waiting_calls() == 0);
}

// A new admission controller has no state but the calls in flight that VMs report.
TEST_CASE("Calls that another queue granted are counted once", "[call-queue]")
{
    QueueTest test({ { "u-1", 1, "dc" } });
    for (int i = 0; i < 2; ++i) {
        test.queue.restore("a", "account", "vm", "u-1", test.now + TIMEOUT, test.now);
        test.queue.restore("b", "account", "vm", "u-1", test.now + TIMEOUT, test.now);
        test.queue.restore("unlisted", "account", "vm", "u-9", test.now + TIMEOUT, test.now);
    }
    CHECK(test.queue.calls_in_flight() == 3);
    CHECK(test.queue.calls_in_flight("u-1") == 2);
    CHECK(test.queue.usage("account", test.now) > 0);
    test.ask("waits");
    CHECK(test.grants.empty());
    test.complete("unlisted");
    CHECK(test.grants.empty());
    test.complete("a");
    CHECK(test.granted() == Requests { "waits" });
}

TEST_CASE("A returned place of an upstream that is not listed any more is dropped", "[call-queue]")
{
    QueueTest test({ { "u-1", 1, "dc" } });
    test.ask("a");
    test.ask("b");
    test.queue.set_upstreams(std::vector<QueueUpstream> { { "u-2", 1, "dc" } });
    test.ask("c");
    CHECK(test.grants.back().upstream == "u-2");
    test.complete("a");
    CHECK(test.queue.calls_in_flight("u-1") == 1);
    // What still runs there counts if it is listed again.
    test.queue.set_upstreams(std::vector<QueueUpstream> { { "u-1", 1, "dc" } });
    test.ask("d");
    test.ask("e");
    CHECK(test.queue.calls_in_flight("u-1") == 2);
    CHECK(test.queue.waiting_calls() == 1);
}

TEST_CASE("Faster upstreams are preferred, also after noise", "[call-queue]")
{
    QueueTest test;
    test.run_calls(40, [](auto const& upstream) { return milliseconds(upstream == "u-1" ? 30 : 90); });
    test.ask("prefers-faster");
    CHECK(test.grants.back().upstream == "u-1");
    test.complete("prefers-faster", milliseconds(30));
    // A single slow call does not change that.
    test.run_calls(1, [](auto const&) { return milliseconds(1500); });
    test.ask("still");
    CHECK(test.grants.back().upstream == "u-1");
}

// Guards against an upstream that gets no calls after a slow interval, and so is never measured again.
TEST_CASE("An upstream that was slow for half a second is used again", "[call-queue]")
{
    QueueTest test;
    test.run_calls(20, [](auto const& upstream) { return milliseconds(upstream == "u-1" ? 150 : 60); });
    test.grants.clear();
    test.run_calls(400, [](auto const&) { return milliseconds(60); });
    auto const used = std::count_if(test.grants.begin(), test.grants.end(), [](auto const& grant) { return grant.upstream == "u-1"; });
    CHECK(used >= 40);
}

TEST_CASE("At equal times an upstream in the data centre of the VM is preferred", "[call-queue]")
{
    QueueTest test({ { "a-remote", 8, "dc-2" }, { "b-near", 8, "dc" } });
    test.ask("1");
    CHECK(test.grants.back().upstream == "b-near");
    for (int i = 2; i < 9; ++i)
        test.ask(std::to_string(i));
    CHECK(test.queue.calls_in_flight("a-remote") > 0);
}

TEST_CASE("An upstream that sheds a call gets no other one for a short time", "[call-queue]")
{
    QueueTest test;
    test.ask("a");
    auto const full = test.grants.back().upstream;
    test.complete("a", milliseconds(2), CallOutcome::Shed);
    for (int i = 0; i < 3; ++i)
        test.ask(std::to_string(i));
    CHECK(test.queue.calls_in_flight(full) == 0);
    test.ask("waits");
    CHECK(test.queue.waiting_calls() == 1);
    test.advance(milliseconds(150));
    CHECK(test.grants.back().request == "waits");
    CHECK(test.grants.back().upstream == full);
}

TEST_CASE("An upstream that fails several times gets one trial call after a backoff", "[call-queue]")
{
    QueueTest test({ { "u-1", 4, "dc" }, { "u-2", 4, "dc" } });
    int failures = 0;
    for (int i = 0; i < 20 && failures < 3; ++i) {
        test.ask(std::to_string(i));
        if (test.grants.back().upstream != "u-1")
            continue;
        test.complete(std::to_string(i), milliseconds(1), CallOutcome::Failed);
        ++failures;
    }
    REQUIRE(failures == 3);
    auto const in_flight = test.queue.calls_in_flight("u-1");
    for (int i = 100; i < 110; ++i)
        test.ask(std::to_string(i));
    CHECK(test.queue.calls_in_flight("u-1") == in_flight);
    test.advance(milliseconds(1000));
    for (int i = 110; i < 120; ++i)
        test.ask(std::to_string(i));
    CHECK(test.queue.calls_in_flight("u-1") == 1);
    auto const trial = std::find_if(test.grants.rbegin(), test.grants.rend(), [](auto const& grant) { return grant.upstream == "u-1"; })->request;
    test.complete(trial);
    test.ask("after-trial");
    CHECK(test.queue.calls_in_flight("u-1") >= 1);
    CHECK(test.grants.back().upstream == "u-1");
}

// Guards against a service that refuses everything because all of its upstreams failed once.
TEST_CASE("If most upstreams fail, all of them are tried", "[call-queue]")
{
    QueueTest test;
    for (int i = 0; i < 20; ++i) {
        test.ask(std::to_string(i));
        test.complete(std::to_string(i), milliseconds(1), CallOutcome::Failed);
    }
    CHECK(test.grants.size() == 20);
    CHECK(test.refusals.empty());
}

// Guards against an estimate that no call can correct.
TEST_CASE("Calls with a target below the measured service time are still sent", "[call-queue]")
{
    QueueTest test;
    test.run_calls(50, [](auto const&) { return milliseconds(700); });
    auto ask = test.make("short");
    ask.target_time = test.now + milliseconds(20);
    ask.timeout = test.now + milliseconds(100);
    ask.retry_patience = milliseconds(500);
    test.ask(ask);
    CHECK(test.grants.back().request == "short");
    CHECK(test.refusals.empty());
}

// A repeated send whose first one took too long.
TEST_CASE("A call whose target has passed is sent if there is a place", "[call-queue]")
{
    QueueTest test({ { "u-1", 1, "dc" } });
    for (auto const* request : { "a", "b" }) {
        auto ask = test.make(request);
        ask.target_time = test.now - milliseconds(100);
        ask.retry_patience = milliseconds(500);
        test.ask(ask);
    }
    CHECK(test.granted() == Requests { "a", "b" });
    CHECK(test.grants.back().is_late);
    auto ask = test.make("late");
    ask.target_time = test.now;
    test.ask(ask);
    test.ask("on-time");
    test.complete("a");
    test.complete("b");
    CHECK(test.granted() == Requests { "a", "b", "on-time", "late" });
}

// Guards against lost, duplicate and leaked places under random operations.
TEST_CASE("Every call is decided once and no upstream exceeds its limit", "[call-queue]")
{
    for (unsigned seed = 1; seed <= 20; ++seed) {
        std::mt19937 random(seed);
        auto const draw = [&](unsigned below) { return static_cast<int>(random() % below); };
        QueueTest test({ { "u-1", 2, "dc" }, { "u-2", 3, "dc" }, { "u-3", 1, "other" } });
        std::set<std::string> open;
        std::size_t decided = 0;
        std::size_t withdrawn = 0;
        for (int i = 0; i < 3000; ++i) {
            auto ask = test.make(std::to_string(i));
            ask.account = "account-" + std::to_string(draw(4));
            ask.priority = draw(2);
            ask.target_time = test.now + milliseconds(50 + draw(400));
            ask.timeout = ask.target_time + milliseconds(draw(600));
            ask.retry_patience = milliseconds(draw(2) * draw(500));
            if (draw(4) == 0)
                ask.excluded_upstreams = { "u-" + std::to_string(1 + draw(3)) };
            test.ask(ask);
            if (draw(20) == 0 && test.queue.waiting_calls() > 0) {
                auto const waiting = test.queue.waiting_calls();
                test.queue.withdraw(std::to_string(i), test.now);
                withdrawn += waiting - test.queue.waiting_calls();
                test.collect();
            }
            for (; decided < test.grants.size(); ++decided)
                CHECK(open.insert(test.grants[decided].request).second);
            while (!open.empty() && draw(3) != 0) {
                auto const outcome = static_cast<CallOutcome>(draw(20) == 0 ? draw(4) : 0);
                test.complete(*open.begin(), milliseconds(1 + draw(100)), outcome);
                open.erase(open.begin());
            }
            test.advance(milliseconds(draw(12)));
            CHECK(test.queue.calls_in_flight("u-1") <= 3);
            CHECK(test.queue.calls_in_flight("u-2") <= 4);
            CHECK(test.queue.calls_in_flight("u-3") <= 2);
        }
        test.advance(seconds(3));
        CAPTURE(seed);
        CHECK(test.queue.waiting_calls() == 0);
        CHECK(test.queue.calls_in_flight() == 0);
        CHECK(test.grants.size() + test.refusals.size() + withdrawn == 3000);
        for (auto const* account : { "account-0", "account-1", "account-2", "account-3" })
            CHECK(test.queue.usage(account, test.now + seconds(1000)) == Approx(0).margin(1e-6));
    }
}

TEST_CASE("Time of an ask with 2,000 waiting calls", "[.benchmark]")
{
    for (int const accounts : { 1, 16, 2000 }) {
        std::vector<QueueUpstream> upstreams;
        for (int i = 0; i < 32; ++i)
            upstreams.push_back({ "upstream-" + std::to_string(i), 6, "dc" });
        QueueTest test(upstreams);
        int last = 0;
        auto const ask = [&] {
            auto ask = test.make(std::to_string(++last));
            ask.account = "account-" + std::to_string(last % accounts);
            ask.target_time = test.now + seconds(100);
            ask.timeout = test.now + seconds(200);
            test.queue.ask(std::move(ask), test.now);
        };
        for (int i = 0; i < 32 * 7 + 2000; ++i)
            ask();
        test.collect();
        CHECK(test.queue.waiting_calls() == 2000);
        auto const measure = [&](char const* name, std::function<void()> const& action) {
            auto const start = std::chrono::steady_clock::now();
            for (int i = 0; i < 1000; ++i)
                action();
            auto const took = std::chrono::steady_clock::now() - start;
            std::printf("%d accounts, %s: %.1f microseconds\n", accounts, name, std::chrono::duration<double, std::micro>(took).count() / 1000);
        };
        measure("ask beyond the limit", ask);
        // A free place that no call may use.
        test.queue.complete(test.grants.front().request, CallOutcome::Shed, milliseconds(1), test.now);
        measure("ask beside an upstream that sheds calls", ask);
        test.now += seconds(1);
        test.queue.advance(test.now);
        test.collect();
        std::size_t next = 1;
        measure("completion, grant and ask", [&] {
            test.queue.complete(test.grants.at(next++).request, CallOutcome::Answered, milliseconds(50), test.now);
            test.collect();
            ask();
        });
    }
}
