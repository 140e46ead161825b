// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <LibCore/LogLine.h>
#include <Tests/Platform/NodeUnderTest.h>
#include <Tests/Platform/OtherVirtualMachine.h>
#include <catch2/catch.hpp>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

using Life = UpstreamRecord::Life;

/// A node with two plain upstreams, and a store whose copy lacks the last few versions.
struct RestoredStoreTest : NodeUnderTest {
    RestoredStoreTest()
    {
        for (auto* upstream : { &this->one, &this->two })
            upstream->started = 1000;
        this->configure(1);
        this->list(this->one, "plain");
        this->list(this->two, "plain");
    }

    /// Writes that the copy lacks, so that its version is far behind.
    void write_other_entries(int count)
    {
        for (int i = 0; i < count; ++i)
            this->store.put("servers", "x-" + std::to_string(i), this->two.entry("other"));
        auto const last = "x-" + std::to_string(count - 1);
        REQUIRE(this->run_until([&] { return this->node->knows_upstream(last, Life::Serving); }));
    }

    bool becomes(std::string const& identity, Life life)
    {
        return this->run_until([&] { return this->node->knows_upstream(identity, life); });
    }

    /// Waits until the node has heard of all changes of the registry so far.
    void hear_registry()
    {
        UpstreamStandIn last(this->loop, "marker-" + std::to_string(++this->markers));
        // Where nothing is evacuated.
        last.data_centre = "elsewhere";
        this->list(last, "other");
    }

    void run_for(Duration duration)
    {
        auto const until = monotonic_now() + duration;
        static_cast<void>(this->run_until([&] { return monotonic_now() >= until; }, duration + seconds(1)));
    }

    UpstreamStandIn one { this->loop, "i-1" };
    UpstreamStandIn two { this->loop, "i-2" };
    int markers = 0;
};

}

// Guards against changes that are taken for outdated because a restored store gives out lower versions.
TEST_CASE("An upstream that leaves after the store was restored gets no new request", "[leaving][platform-down]")
{
    RestoredStoreTest test;
    auto const copy = test.store.copy();
    test.write_other_entries(20);
    test.store.return_from(copy);
    test.store.put("servers", "i-1", test.one.entry("plain", "draining"));
    REQUIRE(test.becomes("i-1", Life::Leaving));
    for (int i = 0; i < 20; ++i)
        CHECK(test.call(test.request("GET", "/safe/x", "a" + std::to_string(i))).head.status == 200);
    CHECK(test.one.requests.empty());
}

// Guards against a watch that goes on behind changes whose versions were given out twice.
TEST_CASE("Changes are seen whose versions a restored store gave out a second time", "[leaving][config][platform-down]")
{
    RestoredStoreTest test;
    auto const copy = test.store.copy();
    test.write_other_entries(4);
    test.store.return_from(copy);
    auto const version_before = copy.version + 4;
    test.store.put("servers", "i-1", test.one.entry("plain", "draining"));
    auto configuration = nlohmann::json::parse(*test.store.value("op", "config"));
    configuration["version"] = 2;
    test.store.put("op", "config", configuration);
    while (test.store.current_version() <= version_before)
        test.store.put("op", "other", nlohmann::json::object());
    CHECK(test.becomes("i-1", Life::Leaving));
    CHECK(test.run_until([&] { return test.node->configuration_version() == 2; }));
}

// Guards against a watch that is refused and repeated without a pause until the versions have caught up.
TEST_CASE("A restored store is read once by each VM that watches it", "[platform-down]")
{
    RestoredStoreTest test;
    auto const copy = test.store.copy();
    test.write_other_entries(20);
    auto const reads = test.store.reads;
    auto const feeds = test.store.feeds;
    test.store.return_from(copy);
    test.run_for(seconds(2));
    // One of the upstreams and one of the configuration; both are watched again after their watches ended.
    CHECK(test.store.reads - reads <= 2);
    CHECK(test.store.feeds - feeds <= 6);
}

// Guards against upstreams that are dropped while they still announce themselves again, and against entries without an upstream that stay.
TEST_CASE("An upstream that a restored store lacks serves until it had the time to announce itself again", "[whole][platform-down]")
{
    RestoredStoreTest test;
    auto const copy = test.store.copy();
    UpstreamStandIn late(test.loop, "i-3");
    UpstreamStandIn lost(test.loop, "i-4");
    test.list(late, "late");
    test.list(lost, "lost");
    test.store.return_from(copy);
    test.hear_registry();
    CHECK(test.node->knows_upstream("i-3", Life::Serving));
    CHECK(test.node->knows_upstream("i-4", Life::Serving));
    test.store.put("servers", "i-3", late.entry("late"));
    CHECK(test.run_until([&] { return !test.node->knows_upstream("i-4", Life::Serving); }));
    test.run_for(seconds(1));
    CHECK(test.node->knows_upstream("i-3", Life::Serving));
}

// Guards against an older copy that brings upstreams back into use that had left or were gone.
TEST_CASE("What had left or was gone before the store was restored is not used because of the copy", "[leaving][platform-down]")
{
    RestoredStoreTest test;
    auto const copy = test.store.copy();
    auto const is_removed = GENERATE(false, true);
    CAPTURE(is_removed);
    if (is_removed)
        test.store.remove("servers", "i-1");
    else
        test.store.put("servers", "i-1", test.one.entry("plain", "draining"));
    REQUIRE(test.run_until([&] { return !test.node->knows_upstream("i-1", Life::Serving); }));
    test.store.return_from(copy);
    test.hear_registry();
    for (int i = 0; i < 20; ++i)
        CHECK(test.call(test.request("GET", "/safe/x", "a" + std::to_string(i))).head.status == 200);
    CHECK(test.one.requests.empty());
    // Its next incarnation is used at once.
    test.one.started = 2000;
    test.store.put("servers", "i-1", test.one.entry("plain"));
    CHECK(test.becomes("i-1", Life::Serving));
}

// Guards against an evacuation whose order or end the copy lacks, and which is taken back before the operator wrote it again.
TEST_CASE("Evacuations outlast a restored store until the operator wrote them again", "[evacuation][platform-down]")
{
    RestoredStoreTest test;
    auto const copy = test.store.copy();
    test.store.put("op", "evacuate/dc", nlohmann::json::object());
    REQUIRE(test.becomes("i-1", Life::Leaving));
    auto const later = test.store.copy();
    SECTION("ordered again")
    {
        test.store.return_from(copy);
        test.hear_registry();
        CHECK(test.node->knows_upstream("i-1", Life::Leaving));
        test.store.put("op", "evacuate/dc", nlohmann::json::object());
        test.run_for(seconds(4));
        CHECK(test.node->knows_upstream("i-1", Life::Leaving));
        test.store.remove("op", "evacuate/dc");
        CHECK(test.becomes("i-1", Life::Serving));
    }
    SECTION("not ordered again")
    {
        test.store.return_from(copy);
        CHECK(test.becomes("i-1", Life::Serving));
    }
    SECTION("over again")
    {
        test.store.remove("op", "evacuate/dc");
        REQUIRE(test.becomes("i-1", Life::Serving));
        test.store.return_from(later);
        test.hear_registry();
        CHECK(test.node->knows_upstream("i-1", Life::Serving));
        test.store.remove("op", "evacuate/dc");
        test.run_for(seconds(4));
        CHECK(test.node->knows_upstream("i-1", Life::Serving));
        test.store.put("op", "evacuate/dc", nlohmann::json::object());
        CHECK(test.becomes("i-1", Life::Leaving));
    }
}
