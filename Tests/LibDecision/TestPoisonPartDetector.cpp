// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/PoisonPartDetector.h>
#include <LibDecision/ServedPartHistory.h>
#include <Tests/Support/PromptParts.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

PromptPart part(std::string_view name) { return PromptPart::of("m", name); }

/// A request that was running on an upstream when it crashed.
struct Running {
    std::string request;
    std::vector<std::string> parts;
    Duration ran_for = milliseconds(80);
};

struct PartTest {
    void crash(std::vector<Running> const& running, Duration pause = milliseconds(200))
    {
        auto const name = "i-" + std::to_string(this->crashes++);
        for (auto const& request : running)
            this->detector.note_crash(RequestFingerprint::of({ "POST", "h.example", "/x", "", request.request }), parts_named(request.parts), { name, 0 }, request.ran_for, this->now);
        this->now += pause;
    }
    void serve(std::vector<std::string> const& names, int times = 1)
    {
        for (int i = 0; i < times; ++i)
            this->history.note_served(parts_named(names), this->now);
        this->now += milliseconds(10);
    }

    std::vector<PromptParts> causes()
    {
        PoisonPartDetector::Evidence evidence;
        evidence.last_served = [this](auto asked) { return this->history.last_served(asked, this->now); };
        evidence.answers_since = [this](auto since) { return this->history.answers_since(since); };
        auto const is_held = [this](PromptParts const& asked) { return this->holds(asked); };
        std::vector<PromptParts> found;
        for (auto const& cause : this->detector.find_poison_parts(is_held, evidence, this->now))
            found.push_back(cause.parts);
        return found;
    }
    /// Withholds what was found, as the router does.
    void hold_causes()
    {
        for (auto const& cause : this->causes())
            this->held.push_back(cause);
    }
    bool holds(PromptParts const& asked) const
    {
        return std::any_of(this->held.begin(), this->held.end(), [&](auto const& cause) { return contains_all(asked, cause); });
    }

    PoisonPartDetector detector { PoisonPartDetector::Options {} };
    ServedPartHistory history { ServedPartHistory::Options {} };
    std::vector<PromptParts> held;
    MonotonicTime now { seconds(1000) };
    int crashes = 0;
};

using Found = std::vector<PromptParts>;

}

// Guards against a part that crashes one engine after another in requests of which no two are alike.
TEST_CASE("A part common to different requests under which engines crashed is the cause", "[poison-part]")
{
    PartTest test;
    test.serve({ "system" }, 5);
    test.crash({ { "r1", { "system", "bad" } } });
    test.crash({ { "r2", { "system", "bad" } } });
    CHECK(test.causes().empty());
    test.crash({ { "r3", { "system", "bad" } } });
    CHECK(test.causes() == Found { parts_named({ "bad" }) });
}

// Guards against refusing a whole route for the part that all of its prompts share.
TEST_CASE("A part that most prompts share is not blamed for crashes that another explains", "[poison-part][lost]")
{
    PartTest test;
    SECTION("it was served long before")
    {
        test.serve({ "system" }, 5);
        test.now += seconds(1800);
    }
    SECTION("it was never served, but other prompts were") { test.serve({ "other" }, 5); }
    for (int i = 0; i < 5; ++i) {
        auto const number = std::to_string(i);
        test.crash({ { "r" + number, { "system", "bad" } }, { "v" + number, { "system" }, seconds(2) } });
        test.hold_causes();
    }
    CHECK(test.holds(parts_named({ "system", "bad", "more" })));
    CHECK_FALSE(test.holds(parts_named({ "system" })));
    CHECK_FALSE(test.holds(parts_named({ "system", "more" })));
}

TEST_CASE("Parts that always occur together are withheld together only", "[poison-part][lost]")
{
    PartTest test;
    test.serve({ "other" }, 5);
    for (int i = 0; i < 5; ++i)
        test.crash({ { "r" + std::to_string(i), { "system", "tools", "bad" } } });
    CHECK(test.causes() == Found { parts_named({ "system", "tools", "bad" }) });
}

TEST_CASE("A first part that crashes engines is found below different second parts", "[poison-part]")
{
    PartTest test;
    test.serve({ "other" }, 5);
    for (int i = 0; i < 5; ++i) {
        test.crash({ { "r" + std::to_string(i), { "bad", "tools" + std::to_string(i % 2) } } });
        test.hold_causes();
    }
    CHECK(test.holds(parts_named({ "bad", "new" })));
}

// Guards against waiting for reports of ever newer crashes.
TEST_CASE("A cause is found while crashes go on faster than all VMs report them", "[poison-part]")
{
    PartTest test;
    test.serve({ "system" }, 5);
    for (int i = 0; i < 8; ++i)
        test.crash({ { "r" + std::to_string(i), { "system", "bad" } } }, milliseconds(20));
    CHECK(test.causes() == Found { parts_named({ "bad" }) });
}

TEST_CASE("A cause is found by the fifth crash also if each request is sent right after the crash before", "[poison-part]")
{
    PartTest test;
    test.serve({ "system" }, 5);
    for (int i = 0; i < 5; ++i)
        test.crash({ { "r" + std::to_string(i), { "system", "bad" }, milliseconds(1) } }, milliseconds(2));
    test.now += milliseconds(60);
    CHECK(test.causes() == Found { parts_named({ "bad" }) });
}

TEST_CASE("Two parts that crash engines at the same time are both found by their fifth crash", "[poison-part]")
{
    PartTest test;
    test.serve({ "system" }, 5);
    for (int i = 0; i < 5; ++i) {
        test.crash({ { "r" + std::to_string(i), { "system", "bad" } } });
        test.crash({ { "s" + std::to_string(i), { "system", "worse" } } });
        test.serve({ "system" });
        test.hold_causes();
    }
    CHECK(test.holds(parts_named({ "system", "bad" })));
    CHECK(test.holds(parts_named({ "system", "worse" })));
    CHECK_FALSE(test.holds(parts_named({ "system" })));
}

TEST_CASE("Requests that come again are no evidence against their parts", "[poison-part][lost]")
{
    PartTest test;
    test.serve({ "other" }, 5);
    for (int i = 0; i < 12; ++i)
        test.crash({ { "the same", { "system", "tools" } } });
    CHECK(test.causes().empty());
}

// Guards against refusing a route since its machines fail in series.
TEST_CASE("Crashes without a cause among the requests hold nothing back", "[poison-part][lost]")
{
    PartTest test;
    std::vector<Running> const running { { "a", { "system" } }, { "b", { "system" } }, { "c", { "system" } } };
    auto const crash_with_others = [&](int number, Duration pause) {
        std::vector<Running> others;
        for (auto const& request : running)
            others.push_back({ request.request + std::to_string(number), request.parts, request.ran_for });
        test.crash(others, pause);
    };
    SECTION("nothing has been served yet")
    {
        for (int i = 0; i < 20; ++i)
            crash_with_others(i, milliseconds(200));
        CHECK(test.causes().empty());
    }
    SECTION("all at once, after the part was served")
    {
        test.serve({ "system" }, 9);
        for (int i = 0; i < 20; ++i)
            crash_with_others(i, milliseconds(1));
        CHECK(test.causes().empty());
    }
    SECTION("all at once, before the part was served")
    {
        test.serve({ "other" }, 9);
        for (int i = 0; i < 6; ++i)
            crash_with_others(i, milliseconds(1));
        CHECK(test.causes().empty());
    }
    SECTION("in series, while the part is served elsewhere")
    {
        for (int i = 0; i < 20; ++i) {
            crash_with_others(i, seconds(1));
            test.serve({ "system" }, 3);
            CHECK(test.causes().empty());
        }
    }
}

TEST_CASE("A part that was served before the upstreams changed is found, and later than others", "[poison-part]")
{
    PartTest test;
    test.serve({ "system", "bad" }, 5);
    test.now += seconds(61);
    for (int i = 0; i < 4; ++i) {
        test.crash({ { "r" + std::to_string(i), { "system", "bad" } } });
        test.serve({ "system" });
        CHECK(test.causes().empty());
    }
    test.crash({ { "r5", { "system", "bad" } } });
    CHECK(test.causes() == Found { parts_named({ "bad" }) });
}

TEST_CASE("What is kept of served parts and of crashes is bounded", "[poison-part][bounds]")
{
    PartTest test;
    for (int i = 0; i < 20'000; ++i)
        test.serve({ "p" + std::to_string(i), "system" });
    CHECK(test.history.size() <= ServedPartHistory::Options {}.capacity);
    CHECK(test.history.last_served(part("system"), test.now));
    CHECK_FALSE(test.history.last_served(part("p0"), test.now));
    for (int i = 0; i < 2000; ++i)
        test.crash({ { "r" + std::to_string(i), { "x" + std::to_string(i) } } });
    CHECK(test.detector.size() <= PoisonPartDetector::Options {}.maximum_crashes);
    test.now += ServedPartHistory::Options {}.retention + seconds(1);
    CHECK_FALSE(test.history.last_served(part("system"), test.now));
}

// Simulates engines that serve prompts with a tree of shared parts while prompts with one bad part crash them. Requests that run
// beside a crash are retried on other engines, where they may meet the next one.
TEST_CASE("Over drawn prompts the bad part is found by the fifth crash and no sound prompt is withheld", "[poison-part][simulation]")
{
    constexpr int RUNS = 2000;
    constexpr int ENGINES = 6;
    constexpr int CRASHES = 5;
    // A prefill and a second of events.
    constexpr auto EVIDENTLY_SOUND_AFTER = milliseconds(1200);
    for (int run = 0; run < RUNS; ++run) {
        std::mt19937 random(static_cast<unsigned>(run));
        auto const draw = [&](int below) { return static_cast<int>(random() % static_cast<unsigned>(below)); };
        PartTest test;
        int const systems = 1 + draw(4);
        int const tools = 1 + draw(6);
        bool const is_bad_first = draw(4) == 0;
        bool const is_series = run % 5 == 0;
        auto const draw_sound = [&] {
            auto const system = "system" + std::to_string(draw(systems));
            std::vector<std::string> made { system };
            if (draw(3) > 0)
                made.push_back(system + "tools" + std::to_string(draw(tools)));
            return made;
        };
        auto const draw_bad = [&](std::string const& bad_part) {
            if (is_bad_first)
                return std::vector<std::string> { bad_part, "tools" + std::to_string(draw(tools)) };
            auto made = draw_sound();
            made.push_back(bad_part);
            return made;
        };
        struct Sound {
            Running request;
            int engine = 0;
            int attempts = 1;
            MonotonicTime sent;
            MonotonicTime ends;
        };
        std::vector<Sound> sound;
        int requests = 0;
        int series_crashes = 0;
        std::map<std::string, int> crashes;
        int const bad_parts = 1 + draw(2);
        auto next_crash = test.now + seconds(4);
        auto const until = test.now + seconds(20);
        while (test.now < until) {
            test.now += milliseconds(20);
            if (draw(2) == 0) {
                auto const number = std::to_string(requests++);
                auto const ends = test.now + milliseconds(300 + draw(3000));
                sound.push_back({ { "s" + number, draw_sound() }, draw(ENGINES), 1, test.now, ends });
            }
            for (auto const& served : sound) {
                if (served.ends <= test.now || test.now - served.sent >= EVIDENTLY_SOUND_AFTER)
                    test.history.note_served(parts_named(served.request.parts), test.now);
            }
            std::erase_if(sound, [&](auto const& served) { return served.ends <= test.now; });
            if (test.now < next_crash)
                continue;
            next_crash = test.now + milliseconds(50 + draw(900));
            auto const bad_part = "bad" + std::to_string(draw(bad_parts));
            auto const bad = draw_bad(bad_part);
            if (!is_series && test.holds(parts_named(bad)))
                continue;
            int const engine = draw(ENGINES);
            std::vector<Running> running;
            if (!is_series)
                running.push_back({ "b" + std::to_string(requests++), bad, milliseconds(40 + draw(100)) });
            for (auto& victim : sound) {
                if (victim.engine != engine)
                    continue;
                running.push_back(victim.request);
                running.back().ran_for = std::chrono::duration_cast<Duration>(test.now - victim.sent);
                victim.engine = draw(ENGINES);
                victim.ends = test.now + milliseconds(300 + draw(3000));
                victim.sent = test.now;
                ++victim.attempts;
            }
            std::erase_if(sound, [](auto const& victim) { return victim.attempts > 2; });
            test.crash(running, milliseconds(0));
            ++(is_series ? series_crashes : crashes[bad_part]);
            test.now += milliseconds(60);
            test.hold_causes();
        }
        CAPTURE(run, systems, tools, is_bad_first, is_series, series_crashes, bad_parts);
        for (int system = 0; system < systems; ++system) {
            auto const name = "system" + std::to_string(system);
            CHECK_FALSE(test.holds(parts_named({ name })));
            for (int tool = 0; tool < tools; ++tool)
                CHECK_FALSE(test.holds(parts_named({ name, name + "tools" + std::to_string(tool) })));
        }
        for (auto const& [bad_part, count] : crashes) {
            CAPTURE(bad_part);
            CHECK(count <= CRASHES);
        }
    }
}
