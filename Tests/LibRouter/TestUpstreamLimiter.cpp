// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibRouter/UpstreamLimiter.h>
#include <Tests/Support/LoopKernel.h>
#include <catch2/catch.hpp>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

constexpr auto UPSTREAM = "i-1";

/// How long a VM waits for the other's answer before it counts for itself, by the limit that it knows.
enum class AnswerPatience {
    Usual,
    /// For tests that need the answer, which may take long on a busy machine.
    Long,
};

/// One of two VMs, either of which can count for both.
struct LimitingVirtualMachine {
    LimitingVirtualMachine(asio::io_context& loop, std::string const& name, AnswerPatience answer_patience)
        : kernel(make_loop_kernel(loop, name))
        , ranking(*this->kernel, milliseconds(200))
    {
        UpstreamLimitCounter::Hooks hooks;
        hooks.is_settled = [this] { return this->is_settled; };
        hooks.virtual_machines = [this] { return this->seen; };
        hooks.is_listed = [this](std::string_view) { return this->knows_upstream; };
        hooks.departures = [this] { return this->departures; };
        hooks.on_departure = [this](auto const& upstream) { this->departures.push_back(upstream); };
        this->counter = std::make_unique<UpstreamLimitCounter>(*this->kernel, this->ranking, this->book, std::move(hooks));
        this->counter->host();
        // The ranking considers only VMs that host this service.
        this->kernel->host(std::string(PLACEMENT_SERVICE), [](wire::Envelope const&, Kernel::Responder const&) {});
        UpstreamLimiter::Options options;
        options.probe_delay = answer_patience == AnswerPatience::Long ? Duration::zero() : milliseconds(20);
        if (answer_patience == AnswerPatience::Long)
            options.answer_timeout = seconds(10);
        options.departures_digest = [this] { return this->departures.size(); };
        this->limiter = std::make_unique<UpstreamLimiter>(options, *this->kernel, this->ranking, this->book, *this->counter);
        this->kernel->start();
    }

    void set_limit(std::optional<double> rate) { this->limiter->note(UPSTREAM, { rate, monotonic_now() }); }

    std::unique_ptr<Kernel> kernel;
    VirtualMachineRanking ranking;
    UpstreamLimitTable book;
    std::unique_ptr<UpstreamLimitCounter> counter;
    std::unique_ptr<UpstreamLimiter> limiter;
    bool is_settled = true;
    bool knows_upstream = true;
    VirtualMachineCount seen { 2, 0 };
    std::vector<UpstreamIncarnation> departures;
};

struct LimiterTest {
    explicit LimiterTest(AnswerPatience answer_patience = AnswerPatience::Usual)
    {
        std::vector<MemberRecord> members;
        for (auto const* name : { "vm-1", "vm-2" })
            this->machines.push_back(std::make_unique<LimitingVirtualMachine>(this->loop, name, answer_patience));
        for (auto const& machine : this->machines)
            members.push_back(member_of(*machine->kernel));
        for (auto const& machine : this->machines) {
            machine->kernel->directory().replace(1, 0, members, {});
            (machine->ranking.is_own(UPSTREAM) ? this->counting : this->asking) = machine.get();
        }
    }
    ~LimiterTest() { this->loop.stop(); }

    UpstreamLimiter::Turn take(LimitingVirtualMachine& machine, Duration longest_wait = {})
    {
        std::optional<UpstreamLimiter::Turn> turn;
        auto const take_one = [&]() -> asio::awaitable<void> {
            UpstreamLimiter::TurnRequest ask { UPSTREAM, longest_wait, {} };
            turn = co_await machine.limiter->request_turn(std::move(ask));
        };
        asio::co_spawn(this->loop, take_one(), asio::detached);
        REQUIRE(run_loop_until(this->loop, [&] { return turn.has_value(); }));
        return *turn;
    }

    asio::io_context loop { 1 };
    std::vector<std::unique_ptr<LimitingVirtualMachine>> machines;
    LimitingVirtualMachine* counting = nullptr;
    LimitingVirtualMachine* asking = nullptr;
};

/// Long enough for every turn to be granted, so that tests can compare the waits without sleeping.
constexpr Duration LONG = seconds(600);

bool is_granted(UpstreamLimiter::Turn const& turn) { return turn.outcome == UpstreamLimiter::Turn::Outcome::Granted; }

/// The time between two consecutive turns.
double seconds_between(UpstreamLimiter::Turn const& first, UpstreamLimiter::Turn const& second) { return to_seconds(second.wait - first.wait); }

}

TEST_CASE("Both VMs share one sequence of turns at an upstream", "[upstream-limit]")
{
    LimiterTest test;
    CHECK(is_granted(test.take(*test.asking)));
    test.asking->set_limit(0.5);
    test.counting->set_limit(0.5);
    auto const first = test.take(*test.asking, LONG);
    auto const second = test.take(*test.counting, LONG);
    auto const third = test.take(*test.asking, LONG);
    CHECK(seconds_between(first, second) == Approx(2).margin(0.5));
    CHECK(seconds_between(second, third) == Approx(2).margin(0.5));
}

TEST_CASE("The counting VM learns of a limit from turn requests", "[upstream-limit]")
{
    LimiterTest test(AnswerPatience::Long);
    test.asking->set_limit(0.5);
    CHECK_FALSE(is_granted(test.take(*test.asking)));
    CHECK(test.counting->book.rate_of(UPSTREAM) == 0.5);
    CHECK(test.asking->limiter->pause_left(UPSTREAM, monotonic_now()) > Duration::zero());
}

TEST_CASE("A VM that still requests turns learns that the limit was lifted", "[upstream-limit]")
{
    LimiterTest test(AnswerPatience::Long);
    test.asking->set_limit(0.5);
    test.counting->set_limit(0.5);
    CHECK_FALSE(is_granted(test.take(*test.asking)));
    test.counting->set_limit({});
    CHECK(is_granted(test.take(*test.asking)));
    CHECK_FALSE(test.asking->book.rate_of(UPSTREAM));
    CHECK(test.asking->limiter->pause_left(UPSTREAM, monotonic_now()) == Duration::zero());
}

TEST_CASE("The counting VM is notified that a limit was lifted", "[upstream-limit]")
{
    LimiterTest test;
    test.counting->set_limit(0.5);
    test.asking->set_limit(0.5);
    test.asking->set_limit({});
    CHECK(run_loop_until(test.loop, [&] { return !test.counting->book.rate_of(UPSTREAM); }));
}

TEST_CASE("If the counting VM does not answer, the next one counts with a part of the limit", "[upstream-limit][kill]")
{
    LimiterTest test;
    test.asking->set_limit(0.5);
    test.counting->kernel->stop();
    auto const first = test.take(*test.asking, LONG);
    CHECK(is_granted(first));
    auto const second = test.take(*test.asking, LONG);
    // Once the other VM has failed to answer, this one is first in its own ranking, but still counts the other as live.
    CHECK(seconds_between(first, second) >= 1.9);
    test.asking->seen = { 1, 1 };
    auto const third = test.take(*test.asking, LONG);
    auto const fourth = test.take(*test.asking, LONG);
    CHECK(seconds_between(third, fourth) == Approx(4).margin(0.5));
}

TEST_CASE("A VM that has just started grants itself no turns in parallel with the counting VM", "[upstream-limit][kill]")
{
    LimiterTest test;
    test.asking->set_limit(0.5);
    test.asking->is_settled = false;
    CHECK_FALSE(is_granted(test.take(*test.asking, LONG)));
    test.asking->is_settled = true;
    CHECK(is_granted(test.take(*test.asking, LONG)));
}

TEST_CASE("An upstream with a limit of zero still gets occasional requests, which show when the limit is lifted", "[upstream-limit]")
{
    LimiterTest test;
    test.counting->set_limit(0.0);
    auto const first = test.take(*test.counting, LONG);
    auto const second = test.take(*test.counting, LONG);
    CHECK(is_granted(first));
    CHECK(seconds_between(first, second) == Approx(4).margin(1));
}

TEST_CASE("A returned turn is granted to the next request", "[upstream-limit]")
{
    LimiterTest test;
    test.asking->set_limit(0.5);
    auto const first = test.take(*test.asking, LONG);
    test.asking->limiter->return_turn(UPSTREAM);
    auto const second = test.take(*test.asking, LONG);
    CHECK(std::abs(seconds_between(first, second)) < 1);
}

TEST_CASE("A VM whose digest differs from another's fetches the newest limits from it", "[upstream-limit]")
{
    LimiterTest test;
    auto& one = *test.asking;
    auto& other = *test.counting;
    one.book.merge(UPSTREAM, { 0.5, monotonic_now() });
    other.limiter->handle_digest(one.kernel->endpoint(), one.limiter->digest());
    CHECK(run_loop_until(test.loop, [&] { return other.book.rate_of(UPSTREAM) == 0.5; }));
    one.book.merge(UPSTREAM, { {}, monotonic_now() });
    // A VM without a limit may know that the limit was lifted.
    other.limiter->handle_digest(one.kernel->endpoint(), one.limiter->digest());
    CHECK(run_loop_until(test.loop, [&] { return !other.book.rate_of(UPSTREAM); }));
}

TEST_CASE("A VM whose digest differs from another's fetches the departures that the other knows", "[leaving]")
{
    LimiterTest test;
    test.asking->departures = { { UPSTREAM, 1000 } };
    test.counting->limiter->handle_digest(test.asking->kernel->endpoint(), test.asking->limiter->digest());
    CHECK(run_loop_until(test.loop, [&] { return test.counting->departures == test.asking->departures; }));
}

TEST_CASE("The limit of an upstream that is not listed is not stored", "[upstream-limit]")
{
    LimiterTest test;
    test.counting->knows_upstream = false;
    test.asking->set_limit(0.5);
    test.take(*test.asking);
    CHECK_FALSE(test.counting->book.statement_of(UPSTREAM));
}

// Guards against a VM with an outdated list of upstreams that drops the limit in a turn request and grants turns without any
// limit.
TEST_CASE("A VM that does not list an upstream grants no turns there beyond its limit", "[upstream-limit]")
{
    LimiterTest test;
    test.counting->knows_upstream = false;
    test.asking->set_limit(0.5);
    int granted = 0;
    for (int i = 0; i < 5; ++i)
        granted += is_granted(test.take(*test.asking)) ? 1 : 0;
    CHECK(granted <= 1);
}
