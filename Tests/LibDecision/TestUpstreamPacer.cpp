// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/UpstreamPacer.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <vector>

using namespace Spurtide;

namespace {

using Outcome = UpstreamPacer::Turn::Outcome;
constexpr auto UPSTREAM = "i-1";

MonotonicTime at(std::int64_t milliseconds_since) { return MonotonicTime(milliseconds(milliseconds_since)); }

/// A request that prefers another upstream to waiting.
UpstreamPacer::Ask impatient(double rate) { return { rate, {}, {} }; }

}

TEST_CASE("Turns of an upstream are spaced evenly and do not accumulate", "[upstream-limit]")
{
    UpstreamPacer pacer;
    // Another VM may just have granted a turn.
    CHECK(pacer.take(UPSTREAM, impatient(4), at(0)).outcome == Outcome::Denied);
    CHECK(pacer.take(UPSTREAM, impatient(4), at(250)).outcome == Outcome::Granted);
    auto const denied = pacer.take(UPSTREAM, impatient(4), at(300));
    CHECK(denied.outcome == Outcome::Denied);
    CHECK(denied.wait == milliseconds(200));
    CHECK(pacer.take(UPSTREAM, impatient(4), at(500)).outcome == Outcome::Granted);
    // Ten idle seconds yield one turn, not forty.
    CHECK(pacer.take(UPSTREAM, impatient(4), at(10'500)).outcome == Outcome::Granted);
    CHECK(pacer.take(UPSTREAM, impatient(4), at(10'501)).outcome == Outcome::Denied);
    // Each upstream has its own turns.
    pacer.take("i-2", impatient(4), at(10'500));
    CHECK(pacer.take("i-2", impatient(4), at(10'750)).outcome == Outcome::Granted);
}

TEST_CASE("A request that can wait has its turn reserved, and the next one comes after it", "[upstream-limit]")
{
    UpstreamPacer pacer;
    auto const first = pacer.take(UPSTREAM, { 4, milliseconds(600), {} }, at(0));
    CHECK(first.outcome == Outcome::Granted);
    CHECK(first.wait == milliseconds(250));
    CHECK(pacer.take(UPSTREAM, { 4, milliseconds(600), {} }, at(0)).wait == milliseconds(500));
    auto const third = pacer.take(UPSTREAM, { 4, milliseconds(600), {} }, at(0));
    CHECK(third.outcome == Outcome::Denied);
    CHECK(third.wait == milliseconds(750));
    // A returned turn goes to the next request.
    pacer.return_turn(UPSTREAM, at(10));
    CHECK(pacer.take(UPSTREAM, { 4, milliseconds(600), {} }, at(10)).wait == milliseconds(490));
}

TEST_CASE("Clients are told to retry at different times, as far as they can wait", "[upstream-limit]")
{
    UpstreamPacer pacer;
    std::vector<Duration> told;
    for (int i = 0; i < 4; ++i)
        told.push_back(pacer.take(UPSTREAM, { 4, {}, milliseconds(800) }, at(0)).wait);
    CHECK(told == std::vector<Duration> { milliseconds(250), milliseconds(500), milliseconds(750), milliseconds(1000) });
    // The last client does not retry, so that time remains available.
    CHECK(pacer.take(UPSTREAM, { 4, {}, milliseconds(1200) }, at(0)).wait == milliseconds(1000));
}

TEST_CASE("A higher limit moves turns forward, a lower one delays them", "[upstream-limit]")
{
    UpstreamPacer pacer;
    pacer.take(UPSTREAM, impatient(0.25), at(0));
    CHECK(pacer.take(UPSTREAM, impatient(4), at(0)).wait == milliseconds(250));
    CHECK(pacer.take(UPSTREAM, impatient(4), at(250)).outcome == Outcome::Granted);
    CHECK(pacer.take(UPSTREAM, impatient(0.25), at(500)).outcome == Outcome::Granted);
    CHECK(pacer.take(UPSTREAM, impatient(0.25), at(4400)).outcome == Outcome::Denied);
    CHECK(pacer.take(UPSTREAM, impatient(0.25), at(4500)).outcome == Outcome::Granted);
    pacer.retain([](std::string_view) { return false; });
    CHECK(pacer.take(UPSTREAM, impatient(4), at(20'000)).outcome == Outcome::Denied);
}

TEST_CASE("The request rate of an upstream never exceeds its limit", "[upstream-limit]")
{
    constexpr Duration WINDOW = seconds(4);
    std::mt19937 random(7);
    for (double const rate : { 0.25, 1.0, 5.3, 40.0 }) {
        UpstreamPacer pacer;
        std::vector<MonotonicTime> sent;
        std::uniform_int_distribution<int> pause(0, 60);
        std::uniform_int_distribution<int> wait(0, 300);
        std::int64_t now = 0;
        for (int i = 0; i < 5000; ++i) {
            now += pause(random);
            auto const turn = pacer.take(UPSTREAM, { rate, milliseconds(std::max(0, wait(random) - 150)), seconds(2) }, at(now));
            if (turn.outcome == Outcome::Granted)
                sent.push_back(at(now) + turn.wait);
        }
        std::size_t most = 0;
        for (auto first = sent.begin(); first != sent.end(); ++first)
            most = std::max(most, static_cast<std::size_t>(std::lower_bound(first, sent.end(), *first + WINDOW) - first));
        CAPTURE(rate);
        CHECK(static_cast<double>(most) <= rate * to_seconds(WINDOW) + 1);
        // If several times the limit is requested, the limit is fully used.
        double const asked_rate = 5000 / to_seconds(milliseconds(now));
        if (rate * 4 <= asked_rate)
            CHECK(static_cast<double>(sent.size()) >= 0.9 * rate * to_seconds(milliseconds(now)));
    }
}
