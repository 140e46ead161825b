// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <LibRouter/PlacementClient.h>
#include <Tests/Support/LoopKernel.h>
#include <algorithm>
#include <asio.hpp>
#include <catch2/catch.hpp>
#include <utility>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

/// A VM with a stub placement service, which grants every ask or does not reply, and records releases.
struct KeeperVirtualMachine {
    KeeperVirtualMachine(asio::io_context& loop, std::string const& name)
    {
        this->kernel = make_loop_kernel(loop, name);
        this->kernel->host(std::string(PLACEMENT_SERVICE), [this](wire::Envelope const& message, Kernel::Responder const& respond) {
            if (message.has_release()) {
                this->released.push_back(message.release().request());
                this->released_asks.emplace_back(message.release().origin(), message.release().number());
            }
            if (message.has_progress())
                this->progressed_asks.emplace_back(message.progress().origin(), message.progress().number());
            if (message.has_progress() && message.progress().move_end() != wire::MOVE_END_NONE)
                this->move_ends.emplace_back(message.progress().move_end(), message.progress().moved_to());
            if (!message.has_placement_ask() || !this->replies)
                return;
            ++this->ask_count;
            this->asks.emplace_back(message.placement_ask().origin(), message.placement_ask().number());
            auto const& earlier = message.placement_ask().released_numbers();
            this->released_before.emplace_back(earlier.begin(), earlier.end());
            wire::Envelope reply;
            reply.mutable_placement_grant()->set_prefill_engine("reader");
            reply.mutable_placement_grant()->set_decode_engine("maker");
            respond(std::move(reply));
        });
        this->kernel->start();
    }

    std::unique_ptr<Kernel> kernel;
    bool replies = true;
    int ask_count = 0;
    std::vector<std::string> released;
    /// Origin and number of what was granted, reported and released.
    std::vector<std::pair<std::string, std::uint64_t>> asks;
    /// By ask, the numbers of earlier ones that it says were released.
    std::vector<std::vector<std::uint64_t>> released_before;
    std::vector<std::pair<std::string, std::uint64_t>> progressed_asks;
    std::vector<std::pair<std::string, std::uint64_t>> released_asks;
    std::vector<std::pair<wire::MoveEnd, std::string>> move_ends;
};

/// Where a test needs the answers of all VMs, which may take long on a busy machine.
constexpr Duration LONG_SILENCE = seconds(5);

/// A client on one of three VMs with placement services.
struct PlacementTest {
    explicit PlacementTest(Duration silence = milliseconds(20))
        : decide_within(std::max<Duration>(milliseconds(60), silence))
    {
        std::vector<MemberRecord> members;
        for (auto const* name : { "vm-1", "vm-2", "vm-3" })
            this->machines.push_back(std::make_unique<KeeperVirtualMachine>(this->loop, name));
        for (auto const& machine : this->machines)
            members.push_back(member_of(*machine->kernel));
        for (auto const& machine : this->machines)
            machine->kernel->directory().replace(1, 0, members, {});
        // The client runs on a VM that is not the keeper.
        for (auto const& machine : this->machines) {
            PlacementClient const client({}, *machine->kernel);
            if (!client.is_keeper())
                this->own = machine.get();
        }
        PlacementClient::Options options;
        options.suspicion_time = milliseconds(50);
        options.silence = silence;
        this->client = std::make_unique<PlacementClient>(options, *this->own->kernel);
    }
    ~PlacementTest() { this->loop.stop(); }

    std::vector<KeeperVirtualMachine*> others() const
    {
        std::vector<KeeperVirtualMachine*> found;
        for (auto const& machine : this->machines) {
            if (machine.get() != this->own)
                found.push_back(machine.get());
        }
        return found;
    }

    /// The VM that is the keeper while all are there, and the one that is neither it nor the client's.
    std::pair<KeeperVirtualMachine*, KeeperVirtualMachine*> keeper_and_neighbour() const
    {
        auto const found = this->others();
        PlacementClient const of_first({}, *found[0]->kernel);
        return of_first.is_keeper() ? std::pair(found[0], found[1]) : std::pair(found[1], found[0]);
    }

    /// As where the data centre of these two VMs is cut off.
    void confine_to_own_and(KeeperVirtualMachine const& neighbour)
    {
        this->client->ranking().set_hooks({ [names = std::vector<std::string> { this->own->kernel->virtual_machine(), neighbour.kernel->virtual_machine() }] { return names; } });
    }

    bool run_until(std::function<bool()> const& condition) { return run_loop_until(this->loop, condition); }

    /// Returns whether the request was granted a placement.
    bool place(std::string const& request, std::string migrates_from = {})
    {
        std::optional<bool> granted;
        asio::co_spawn(this->loop, this->ask(request, std::move(migrates_from), granted), asio::detached);
        return this->run_until([&] { return granted.has_value(); }) && *granted;
    }

    asio::awaitable<void> ask(std::string request, std::string migrates_from, std::optional<bool>& granted)
    {
        PlacementAsk ask;
        ask.request = std::move(request);
        ask.migrates_from = std::move(migrates_from);
        auto const wait = std::make_shared<PlacementClient::PendingAsk>(this->loop.get_executor());
        auto const decision = co_await this->client->ask(ask, wait, { this->decide_within, milliseconds(900), {} });
        granted = decision && std::holds_alternative<PlacementGrant>(*decision);
    }

    Duration decide_within;
    asio::io_context loop { 1 };
    std::vector<std::unique_ptr<KeeperVirtualMachine>> machines;
    KeeperVirtualMachine* own = nullptr;
    std::unique_ptr<PlacementClient> client;
};

}

TEST_CASE("A grant is released at the VM that granted it even if the keeper has changed", "[held][cut]")
{
    PlacementTest test;
    for (auto* other : test.others())
        other->replies = false;
    REQUIRE(test.place("request-1"));
    REQUIRE(test.own->ask_count == 1);
    // The others respond again, and one of them becomes the keeper.
    REQUIRE(test.run_until([&] { return !test.client->is_keeper(); }));
    test.own->released.clear();
    test.client->release("request-1", 7, {});
    REQUIRE(test.run_until([&] { return !test.own->released.empty(); }));
    CHECK(test.own->released == std::vector<std::string> { "request-1" });
    auto const others = test.others();
    REQUIRE(test.run_until([&] { return std::count(others[0]->released.begin(), others[0]->released.end(), "request-1") + std::count(others[1]->released.begin(), others[1]->released.end(), "request-1") > 2; }));
}

// Guards against the release to a VM that did not reply. If it is delayed until that VM is the keeper again, it must not free the grant
// that another VM gave.
TEST_CASE("A release to a VM that did not reply does not name the grant of the next one", "[held][cut]")
{
    PlacementTest test;
    for (auto* other : test.others())
        other->replies = false;
    REQUIRE(test.place("request-1"));
    REQUIRE(test.own->asks.size() == 1);
    auto const others = test.others();
    REQUIRE(test.run_until([&] { return others[0]->released_asks.size() + others[1]->released_asks.size() >= 2; }));
    std::vector<std::uint64_t> expected;
    for (auto const* other : others) {
        for (auto const& ask : other->released_asks) {
            CHECK(ask != test.own->asks.front());
            expected.push_back(ask.second);
        }
    }
    test.client->release("request-1", 7, {});
    expected.push_back(test.own->asks.front().second);
    std::sort(expected.begin(), expected.end());
    // The next ask names them all, in case the releases are lost.
    REQUIRE(test.place("request-1"));
    REQUIRE(test.own->asks.size() == 2);
    auto named = test.own->released_before.back();
    std::sort(named.begin(), named.end());
    CHECK(std::includes(named.begin(), named.end(), expected.begin(), expected.end()));
}

TEST_CASE("In a data centre that is cut off, only its own VMs are asked", "[cut]")
{
    PlacementTest test(LONG_SILENCE);
    // The VM that would be the keeper is in another data centre and does not respond.
    auto const [keeper, neighbour] = test.keeper_and_neighbour();
    keeper->replies = false;
    test.confine_to_own_and(*neighbour);
    REQUIRE(test.place("request-1"));
    CHECK(keeper->released.empty());
    CHECK(neighbour->ask_count + test.own->ask_count == 1);
    SECTION("and the other VMs are asked again when it is not")
    {
        test.client->ranking().set_hooks({});
        keeper->replies = true;
        REQUIRE(test.place("request-2"));
        CHECK(keeper->ask_count == 1);
    }
}

// Guards against streams whose engine is lost and that are then refused, as duplicates of themselves, by a VM that was the keeper for a
// while and still holds the grant that it was told of.
TEST_CASE("A grant is released at each VM that was the keeper in the meantime", "[held][cut][kill]")
{
    PlacementTest test(LONG_SILENCE);
    auto const [granter, neighbour] = test.keeper_and_neighbour();
    REQUIRE(test.place("request-1"));
    REQUIRE(granter->ask_count == 1);
    test.confine_to_own_and(*neighbour);
    auto* const interim = test.client->is_keeper() ? test.own : neighbour;
    REQUIRE(test.place("request-2"));
    test.client->ranking().set_hooks({});
    REQUIRE(test.place("request-3"));
    REQUIRE(granter->ask_count == 2);
    test.client->release("request-1", 7, {});
    CHECK(test.run_until([interim, granter = granter] { return interim->released.size() == 1 && granter->released.size() == 1; }));
    CHECK(interim->released == std::vector<std::string> { "request-1" });
    CHECK(granter->released == std::vector<std::string> { "request-1" });
    SECTION("and a request that was placed later is not released at the earlier ones")
    {
        test.client->release("request-3", 7, {});
        CHECK(test.run_until([granter = granter] { return granter->released.size() == 2; }));
        CHECK(interim->released.size() == 1);
    }
}

TEST_CASE("A release is sent only once if the VM that granted is still the keeper", "[held]")
{
    PlacementTest test;
    REQUIRE(test.place("request-1"));
    test.client->release("request-1", 7, {});
    REQUIRE(test.place("request-2"));
    test.client->release("request-2", 7, {});
    auto const others = test.others();
    REQUIRE(test.run_until([&] { return others[0]->released.size() + others[1]->released.size() >= 2; }));
    CHECK(others[0]->released.size() + others[1]->released.size() == 2);
    CHECK(test.own->released.empty());
}

// Guards against a release that is delayed and frees the request's next grant.
TEST_CASE("Reports of a grant name the ask that led to it", "[held]")
{
    PlacementTest test(LONG_SILENCE);
    auto* const keeper = test.keeper_and_neighbour().first;
    for (std::size_t placements = 1; placements <= 2; ++placements) {
        REQUIRE(test.place("request-1"));
        test.client->progress("request-1", GrantProgress::CacheHeld);
        test.client->release("request-1", 7, {});
        REQUIRE(test.run_until([&] { return keeper->released_asks.size() == placements; }));
    }
    REQUIRE(keeper->asks.size() == 2);
    CHECK(keeper->asks[0].first == test.own->kernel->incarnation());
    CHECK(keeper->asks[0].second != 0);
    CHECK(keeper->asks[0] != keeper->asks[1]);
    CHECK(keeper->progressed_asks == keeper->asks);
    CHECK(keeper->released_asks == keeper->asks);
    SECTION("and a move extends the same grant")
    {
        REQUIRE(test.place("request-2"));
        REQUIRE(test.place("request-2", "first"));
        REQUIRE(keeper->asks.size() == 4);
        CHECK(keeper->asks[2] == keeper->asks[3]);
    }
}

// Guards against a request that is refused as a duplicate of itself because the release of its earlier grant was lost.
TEST_CASE("An ask names the earlier asks of its request that were released", "[held][cut]")
{
    PlacementTest test(LONG_SILENCE);
    auto* const keeper = test.keeper_and_neighbour().first;
    REQUIRE(test.place("request-1"));
    REQUIRE(test.place("request-2"));
    test.client->release("request-1", 7, {});
    REQUIRE(test.place("request-1"));
    REQUIRE(test.place("request-1", "first"));
    using Numbers = std::vector<std::uint64_t>;
    REQUIRE(keeper->asks.size() == 4);
    CHECK(keeper->released_before[0] == Numbers {});
    CHECK(keeper->released_before[1] == Numbers {});
    CHECK(keeper->released_before[2] == Numbers { keeper->asks[0].second });
    CHECK(keeper->asks[3] == keeper->asks[2]);
}

// Guards against the same after a move: the VM that is asked for it learns of the running request's grant, whatever it decides.
TEST_CASE("A grant is released at a VM that was only asked for a move", "[held]")
{
    PlacementTest test;
    REQUIRE(test.place("request-1"));
    for (auto* other : test.others())
        other->replies = false;
    REQUIRE(test.place("request-1", "first"));
    REQUIRE(test.own->ask_count > 0);
    test.client->release("request-1", 7, {});
    CHECK(test.run_until([&] { return !test.own->released.empty(); }));
}

// A release sent for the sake of a move would free the memory of the stream that still runs at its first engine.
TEST_CASE("A move that is granted or not answered leaves the grant of the running request in force", "[held]")
{
    PlacementTest test;
    REQUIRE(test.place("request-1"));
    std::vector<KeeperVirtualMachine*> const keepers { test.machines[0].get(), test.machines[1].get(), test.machines[2].get() };
    auto const move_ends = [&] {
        std::vector<std::pair<wire::MoveEnd, std::string>> all;
        for (auto const* keeper : keepers)
            all.insert(all.end(), keeper->move_ends.begin(), keeper->move_ends.end());
        return all;
    };
    SECTION("granted and moved")
    {
        REQUIRE(test.place("request-1", "first"));
        CHECK(test.client->held_count() == 1);
        test.client->end_move("request-1", MoveEnd::Moved);
        REQUIRE(test.run_until([&] { return !move_ends().empty(); }));
        CHECK(move_ends().front() == std::pair<wire::MoveEnd, std::string>(wire::MOVE_END_MOVED, "maker"));
    }
    SECTION("the keeper does not answer")
    {
        for (auto* keeper : test.others())
            keeper->replies = false;
        REQUIRE(test.place("request-1", "first"));
        REQUIRE(test.run_until([&] { return !move_ends().empty(); }));
        CHECK(move_ends().front().first == wire::MOVE_END_ABANDONED);
    }
    for (auto const* keeper : keepers)
        CHECK(keeper->released.empty());
    CHECK(test.client->held_count() == 1);
}
