// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibRouter/QuotaClient.h>
#include <Tests/Support/LoopKernel.h>
#include <catch2/catch.hpp>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

constexpr auto ACCOUNT = "masons";

std::shared_ptr<RouteTable const> routes_with_limit(double rate, double burst)
{
    ClientAccount account;
    account.name = ACCOUNT;
    account.limit = AccountLimit { AccountLimit::Unit::Tokens, rate, burst, 200 };
    RoutingConfiguration configuration;
    configuration.version = 1;
    configuration.accounts = std::make_shared<AccountBook const>(AccountBook::create({ account }).release_value());
    return std::make_shared<RouteTable const>(std::move(configuration));
}

/// One of two VMs, either of which can count for both.
struct QuotaVirtualMachine {
    QuotaVirtualMachine(asio::io_context& loop, std::string const& name, std::shared_ptr<RouteTable const> routes)
        : kernel(make_loop_kernel(loop, name))
        , ranking(*this->kernel, milliseconds(200))
    {
        QuotaCounter::Hooks hooks;
        hooks.routes = [routes] { return routes; };
        hooks.is_settled = [this] { return this->is_settled; };
        hooks.virtual_machines = [this] { return this->seen; };
        this->counter = std::make_unique<QuotaCounter>(QuotaLedger::Options {}, *this->kernel, this->ranking, std::move(hooks));
        this->counter->host();
        // The ranking considers only VMs that host this service.
        this->kernel->host(std::string(PLACEMENT_SERVICE), [](wire::Envelope const&, Kernel::Responder const&) {});
        QuotaClient::Options options;
        options.poll_interval = milliseconds(5);
        options.probe_delay = milliseconds(20);
        this->client = std::make_unique<QuotaClient>(options, *this->kernel, this->ranking, *this->counter);
        this->kernel->start();
    }

    std::unique_ptr<Kernel> kernel;
    VirtualMachineRanking ranking;
    std::unique_ptr<QuotaCounter> counter;
    std::unique_ptr<QuotaClient> client;
    bool is_settled = true;
    QuotaCounter::MembershipCounts seen { 2, 0, 0 };
};

struct QuotaTest {
    explicit QuotaTest(double rate)
        : QuotaTest(rate, rate)
    {
    }
    QuotaTest(double rate, double burst)
    {
        auto const routes = routes_with_limit(rate, burst);
        std::vector<MemberRecord> members;
        members.reserve(2);
        for (auto const* name : { "vm-1", "vm-2" })
            this->machines.push_back(std::make_unique<QuotaVirtualMachine>(this->loop, name, routes));
        for (auto const& machine : this->machines)
            members.push_back(member_of(*machine->kernel));
        for (auto const& machine : this->machines) {
            machine->kernel->directory().replace(1, 0, members, {});
            (machine->ranking.is_own(ACCOUNT) ? this->counting : this->asking) = machine.get();
        }
    }
    ~QuotaTest() { this->loop.stop(); }

    /// Requests all costs concurrently; returns how many were counted.
    int take(std::vector<double> const& costs)
    {
        int ended = 0;
        int counted = 0;
        auto const take_one = [&](double cost) -> asio::awaitable<void> {
            auto const decision = co_await this->asking->client->acquire(ACCOUNT, cost, seconds(5));
            counted += decision.outcome == QuotaClient::Outcome::Admitted ? 1 : 0;
            ++ended;
        };
        for (auto const cost : costs)
            asio::co_spawn(this->loop, take_one(cost), asio::detached);
        REQUIRE(run_loop_until(this->loop, [&] { return ended == static_cast<int>(costs.size()); }));
        return counted;
    }

    asio::io_context loop { 1 };
    std::vector<std::unique_ptr<QuotaVirtualMachine>> machines;
    QuotaVirtualMachine* counting = nullptr;
    QuotaVirtualMachine* asking = nullptr;
};

}

TEST_CASE("Concurrent requests are each counted, whatever local credit is left", "[quota][burst]")
{
    QuotaTest test(100'000);
    // The refunded credit is less than the next, concurrent requests need together.
    REQUIRE(test.take({ 150 }) == 1);
    test.asking->client->refund(ACCOUNT, 150);
    CHECK(test.take({ 200, 200, 200, 200, 200 }) == 5);
}

TEST_CASE("The requests of both VMs together stay within the limit", "[quota]")
{
    QuotaTest test(100);
    // The limit is 900 per window with a burst of 400.
    CHECK(test.take({ 200, 200, 200 }) == 2);
    std::swap(test.asking, test.counting);
    CHECK(test.take({ 200 }) == 0);
}

TEST_CASE("If the counting VM does not answer, the next one counts", "[quota][kill]")
{
    QuotaTest test(100'000);
    test.counting->kernel->stop();
    CHECK(test.take({ 200 }) == 1);
}

TEST_CASE("A VM that takes over the counting knows its own usage", "[quota][kill][cut]")
{
    QuotaTest test(100);
    // The limit is 900 per window with a burst of 400. One VM of two may use 450, of which 400 are used.
    REQUIRE(test.take({ 200, 200 }) == 2);
    test.counting->kernel->stop();
    test.asking->seen = { 1, 1, 0 };
    CHECK(test.take({ 200 }) == 0);
}

// Guards against granting more than the limit when a data centre is partitioned after an account used up its window. When only
// the counting VM knew the usage of all VMs, a VM that took over the counting in the partitioned data centre knew just the
// usage of its own side, assumed that the other side had used a proportional amount, and granted the rest of its share of the
// exhausted window. That side kept three times its share of the rate for four seconds, and busy accounts reached 1.02 to 1.06
// times the tolerated maximum.
TEST_CASE("The usage of VMs beyond a network partition still counts against the limit", "[quota][cut]")
{
    QuotaTest test(1, 1000);
    auto* const other = test.counting;
    std::swap(test.asking, test.counting);
    REQUIRE(test.take({ 350, 350 }) == 2);
    std::swap(test.asking, test.counting);
    REQUIRE(test.take({ 200 }) == 1);
    other->kernel->stop();
    test.asking->seen = { 1, 1, 0 };
    // 900 of the 1008 per window are used. Its half of 1008, less its own 200, would be 304.
    CHECK(test.take({ 250 }) == 0);
    // The other side may use its half of the remaining 108 as well.
    CHECK(test.take({ 100 }) == 0);
    CHECK(test.take({ 50 }) == 1);
}

TEST_CASE("After a start, requests wait until the VMs have discovered each other", "[quota][kill]")
{
    QuotaTest test(100'000);
    test.counting->is_settled = false;
    test.asking->is_settled = false;
    bool is_counted = false;
    auto const take_one = [&]() -> asio::awaitable<void> {
        auto const decision = co_await test.asking->client->acquire(ACCOUNT, 200, seconds(5));
        is_counted = decision.outcome == QuotaClient::Outcome::Admitted;
    };
    asio::co_spawn(test.loop, take_one(), asio::detached);
    test.loop.poll();
    CHECK_FALSE(is_counted);
    test.counting->is_settled = true;
    test.asking->is_settled = true;
    CHECK(run_loop_until(test.loop, [&] { return is_counted; }));
}
