// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/PoisonRequestDetector.h>
#include <Tests/Support/VirtualClock.h>
#include <catch2/catch.hpp>
#include <random>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

RequestFingerprint request_named(std::string_view body) { return RequestFingerprint::of({ "POST", "h.example", "/x", "", body }); }

constexpr auto NONE_KNOWN = [](RequestFingerprint const&) { return false; };

constexpr int CRASH_THRESHOLD = static_cast<int>(PoisonRequestDetector::Options {}.crash_threshold);

/// Further crashes that are acceptable once a request has reached the threshold.
constexpr int MAXIMUM_EXTRA_CRASHES = 3;

struct PoisonRequestTest {
    /// Crashes an upstream that had been running each of the requests for the given time.
    void crash(std::vector<std::pair<std::string, Duration>> const& running)
    {
        auto const name = "i-" + std::to_string(this->crashes++);
        for (auto const& [body, ran_for] : running)
            this->ledger.note_crash(request_named(body), { name, 0 }, ran_for, this->now);
        this->now += milliseconds(200);
    }

    std::vector<RequestFingerprint> causes() const
    {
        std::vector<RequestFingerprint> found;
        for (auto const& cause : this->ledger.find_poison_requests(NONE_KNOWN, this->now))
            found.push_back(cause.request);
        return found;
    }

    PoisonRequestDetector ledger { PoisonRequestDetector::Options {} };
    MonotonicTime now { seconds(1000) };
    int crashes = 0;
};

using Found = std::vector<RequestFingerprint>;

}

TEST_CASE("A request that was running on three crashed upstreams is the cause", "[crash-ledger]")
{
    PoisonRequestTest test;
    test.crash({ { "cause", milliseconds(70) } });
    test.crash({ { "cause", milliseconds(100) } });
    CHECK(test.causes().empty());
    CHECK_FALSE(test.ledger.is_suspect(request_named("cause")));
    test.crash({ { "cause", milliseconds(30) } });
    CHECK(test.ledger.is_suspect(request_named("cause")));
    CHECK(test.causes() == Found { request_named("cause") });
}

TEST_CASE("A request that runs beside the poison request is not blamed, however often", "[crash-ledger]")
{
    PoisonRequestTest test;
    SECTION("a request that meets the poison request often")
    {
        for (int i = 0; i < 4; ++i)
            test.crash({ { "cause", milliseconds(70) }, { i == 0 ? "other" : "victim", milliseconds(300) } });
    }
    SECTION("a request that was at the same crashes, but arrived earlier")
    {
        for (int i = 0; i < 3; ++i)
            test.crash({ { "victim", milliseconds(300) }, { "cause", milliseconds(100) } });
    }
    SECTION("many requests")
    {
        for (int i = 0; i < 5; ++i)
            test.crash({ { "cause", milliseconds(70) }, { "a", milliseconds(200) }, { "b", milliseconds(500) }, { "c", seconds(2) } });
    }
    CHECK(test.causes() == Found { request_named("cause") });
    CHECK_FALSE(test.causes() == Found { request_named("victim") });
}

TEST_CASE("Crashes explained by a known poison request blame no other request", "[crash-ledger]")
{
    PoisonRequestTest test;
    auto const is_known = [](RequestFingerprint const& request) { return request == request_named("cause"); };
    for (int i = 0; i < 6; ++i)
        test.crash({ { "cause", seconds(3) }, { "victim", milliseconds(50) } });
    CHECK(test.ledger.find_poison_requests(is_known, test.now).empty());
    for (int i = 0; i < 3; ++i)
        test.crash({ { "another", milliseconds(50) } });
    auto const found = test.ledger.find_poison_requests(is_known, test.now);
    REQUIRE(found.size() == 1);
    CHECK(found.front().request == request_named("another"));
}

TEST_CASE("Two concurrent poison requests are both found", "[crash-ledger]")
{
    PoisonRequestTest test;
    for (int i = 0; i < 3; ++i) {
        test.crash({ { "first", milliseconds(60) }, { "victim", milliseconds(200) } });
        test.crash({ { "second", milliseconds(90) }, { "victim", milliseconds(400) } });
    }
    // The innocent request was at all six crashes, so it takes more of them to tell the three apart.
    for (int i = 0; i < 4; ++i) {
        test.crash({ { "first", milliseconds(60) } });
        test.crash({ { "second", milliseconds(90) } });
    }
    auto const found = test.causes();
    CHECK(std::find(found.begin(), found.end(), request_named("first")) != found.end());
    CHECK(std::find(found.begin(), found.end(), request_named("second")) != found.end());
    CHECK(std::find(found.begin(), found.end(), request_named("victim")) == found.end());
}

TEST_CASE("A request that completed is not blamed for earlier crashes or for ones shortly after", "[crash-ledger]")
{
    PoisonRequestTest test;
    for (int i = 0; i < 3; ++i)
        test.crash({ { "sound", milliseconds(70) } });
    test.ledger.note_completed(request_named("sound"), test.now);
    CHECK(test.causes().empty());
    for (int i = 0; i < 3; ++i)
        test.crash({ { "sound", milliseconds(70) } });
    CHECK(test.causes().empty());
    // A change in the meantime, such as an update of the upstreams' software, may have turned the request into a poison
    // request.
    test.now += PoisonRequestDetector::Options {}.completed.retention;
    for (int i = 0; i < 3; ++i)
        test.crash({ { "sound", milliseconds(70) } });
    CHECK(test.causes() == Found { request_named("sound") });
}

TEST_CASE("A crash blames no request until all VMs had time to report", "[crash-ledger]")
{
    PoisonRequestTest test;
    test.crash({ { "victim", milliseconds(300) }, { "cause", milliseconds(70) } });
    test.crash({ { "victim", milliseconds(300) }, { "cause", milliseconds(70) } });
    test.ledger.note_crash(request_named("victim"), { "i-9", 0 }, milliseconds(300), test.now);
    CHECK(test.causes().empty());
    CHECK_FALSE(test.ledger.is_fully_reported(request_named("victim"), test.now));
    test.now += milliseconds(5);
    test.ledger.note_crash(request_named("cause"), { "i-9", 0 }, milliseconds(70), test.now);
    test.now += PoisonRequestDetector::Options {}.report_delay;
    CHECK(test.ledger.is_fully_reported(request_named("victim"), test.now));
    CHECK(test.causes() == Found { request_named("cause") });
}

TEST_CASE("Two attempts on one upstream count as one crash, two incarnations as two", "[crash-ledger]")
{
    PoisonRequestTest test;
    auto const cause = request_named("cause");
    for (int i = 0; i < 3; ++i)
        test.ledger.note_crash(cause, { "i-1", 7 }, milliseconds(70), test.now);
    test.now += seconds(1);
    CHECK(test.causes().empty());
    test.ledger.note_crash(cause, { "i-1", 8 }, milliseconds(70), test.now);
    test.ledger.note_crash(cause, { "i-1", 9 }, milliseconds(70), test.now);
    test.now += seconds(1);
    CHECK(test.causes() == Found { cause });
}

TEST_CASE("Crashes expire, and their number is bounded", "[crash-ledger]")
{
    PoisonRequestTest test;
    test.crash({ { "cause", milliseconds(70) } });
    test.crash({ { "cause", milliseconds(70) } });
    test.now += PoisonRequestDetector::Options {}.retention;
    test.crash({ { "cause", milliseconds(70) } });
    CHECK(test.causes().empty());
    for (int i = 0; i < 2000; ++i)
        test.crash({ { "r" + std::to_string(i), milliseconds(70) } });
    CHECK(test.ledger.size() <= PoisonRequestDetector::Options {}.maximum_crashes);
}

// Simulates the engines of an incident: nine engines, three of which run prefills, leave six on which requests meet.
// The poison request crashes an engine about every third of a second, and each engine takes seconds to restart.
// Interrupted requests are retried on other engines up to three times, where they may meet the poison request again and
// must not be blamed.
TEST_CASE("Among many retried requests only the poison request is found, and soon", "[crash-ledger]")
{
    constexpr int ENGINES = 6;
    constexpr int RUNS = 400;
    int blamed_victims = 0;
    int latest_found = 0;
    for (int run = 0; run < RUNS; ++run) {
        std::mt19937 random(static_cast<unsigned>(run));
        PoisonRequestTest test;
        struct Victim {
            std::string body;
            int engine;
            int retries;
            MonotonicTime arrived;
        };
        std::vector<Victim> victims;
        int victim_count = 0;
        std::optional<int> found_after;
        for (int end = 1; end <= 8; ++end) {
            while (victims.size() < 40)
                victims.push_back({ "v" + std::to_string(victim_count++), static_cast<int>(random() % ENGINES), 0, test.now - milliseconds(static_cast<std::int64_t>(random() % 3000)) });
            int const crashing_engine = static_cast<int>(random() % ENGINES);
            std::vector<std::pair<std::string, Duration>> running { { "cause", milliseconds(30 + static_cast<std::int64_t>(random() % 180)) } };
            for (auto& victim : victims) {
                if (victim.engine != crashing_engine)
                    continue;
                running.emplace_back(victim.body, std::chrono::duration_cast<Duration>(test.now - victim.arrived));
                // As few engines are left, the request usually meets the poison request again right away.
                victim.engine = static_cast<int>(random() % ENGINES);
                victim.arrived = test.now + milliseconds(static_cast<std::int64_t>(random() % 150));
                ++victim.retries;
            }
            std::erase_if(victims, [](auto const& victim) { return victim.retries > 3; });
            test.crash(running);
            auto const found = test.causes();
            for (auto const& cause : found)
                blamed_victims += cause == request_named("cause") ? 0 : 1;
            if (!found_after && !found.empty())
                found_after = end;
        }
        REQUIRE(found_after);
        latest_found = std::max(latest_found, *found_after);
    }
    CHECK(blamed_victims == 0);
    CHECK(latest_found <= CRASH_THRESHOLD + MAXIMUM_EXTRA_CRASHES);
}
