// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/AnswerDurationEstimator.h>
#include <LibDecision/StopPolicy.h>
#include <catch2/catch.hpp>
#include <cmath>
#include <random>
#include <string>

using namespace Spurtide;

TEST_CASE("A stopping VM accepts only requests that will end before it exits", "[planned-stop]")
{
    struct Case {
        RouteKind kind;
        std::int64_t longest;
        std::int64_t left;
        bool accepted;
    };
    auto const given = GENERATE(
        Case { RouteKind::Stream, 14'000, 7600, true }, Case { RouteKind::Stream, 14'000, 5100, true }, Case { RouteKind::Stream, 14'000, 5000, false }, Case { RouteKind::Stream, 14'000, 100, false },
        Case { RouteKind::NotRepeatable, 1500, 1500, true }, Case { RouteKind::NotRepeatable, 1500, 1499, false }, Case { RouteKind::Repeatable, 400, 500, true }, Case { RouteKind::Repeatable, 400, 0, false });
    CAPTURE(static_cast<int>(given.kind), given.longest, given.left);
    REQUIRE(may_begin_before_stop(given.kind, { milliseconds(given.longest) }, { milliseconds(given.left), milliseconds(7600) }) == given.accepted);
}

TEST_CASE("A stream begins on a stopping VM if nine in ten of its kind end before the VM exits", "[planned-stop]")
{
    struct Row {
        std::string name;
        std::int64_t probable;
        std::int64_t left;
        bool accepted;
    };
    auto const row = GENERATE(values<Row>({
        { "a short one, late in the stop", 1500, 1600, true },
        { "a short one, too late", 1500, 1400, false },
        { "a long one at its begin", 8000, 7600, false },
        { "a usual one in the first third", 5500, 5200, false },
        { "a usual one at its begin", 5500, 7600, true },
    }));
    CAPTURE(row.name);
    CHECK(may_begin_before_stop(RouteKind::Stream, { milliseconds(14'000), milliseconds(row.probable) }, { milliseconds(row.left), milliseconds(7600) }) == row.accepted);
}

TEST_CASE("The 90th percentile of durations follows their pace and the expected length")
{
    AnswerDurationEstimator pace;
    CHECK_FALSE(pace.percentile_90("engines", 1000, 4000, 0.6));
    // Samples with too few tokens or without a duration are ignored.
    pace.add_sample("engines", 7, seconds(1));
    pace.add_sample("engines", 1000, Duration::zero());
    CHECK_FALSE(pace.percentile_90("engines", 1000, 4000, 0.6));
    pace.add_sample("engines", 1000, seconds(1));
    CHECK_FALSE(pace.percentile_90("others", 1000, 4000, 0.6));
    CHECK(to_milliseconds(*pace.percentile_90("engines", 1000, 4000, 0.6)) == 2155);
    // The estimate never exceeds the maximum, which applies by itself if no length is expected.
    CHECK(to_milliseconds(*pace.percentile_90("engines", 3000, 4000, 0.6)) == 4000);
    CHECK(to_milliseconds(*pace.percentile_90("engines", 0, 4000, 0.6)) == 4000);
    CHECK(to_milliseconds(*pace.percentile_90("engines", 1000, 0, 0.6)) == 2155);
    for (int i = 0; i < 40; ++i)
        pace.add_sample("engines", 1000, seconds(2));
    CHECK(to_milliseconds(*pace.percentile_90("engines", 1000, 4000, 0.6)) > 3900);
}

// Models rolling restarts of most VMs of a deployment, in which the load balancer sends clients to each stopping VM for
// two more seconds. Stream lengths are log-normally distributed around the expected length, with 1 ms per token, a
// first event within 0.5 s and a grace period of 7.6 s.
TEST_CASE("Few of the streams that stopping VMs accept are interrupted, and most are accepted while there is time", "[planned-stop]")
{
    std::mt19937_64 random(7);
    std::lognormal_distribution<double> median(std::log(3500.0), 0.5);
    std::lognormal_distribution<double> error(0, 0.6);
    AnswerDurationEstimator pace;
    pace.add_sample("engines", 1000, seconds(1));
    struct Count {
        int accepted = 0;
        int interrupted = 0;
    };
    Count by_pace;
    Count by_remaining_time;
    constexpr int STREAMS = 4000;
    for (int i = 0; i < STREAMS; ++i) {
        auto const expected = median(random);
        auto const ends_after = milliseconds(500 + static_cast<std::int64_t>(std::min(expected * error(random), 11'000.0)));
        auto const left = milliseconds(7600 - i % 2000);
        auto const count = [&](ExpectedDuration time, Count& counted) {
            if (!may_begin_before_stop(RouteKind::Stream, time, { left, milliseconds(7600) }))
                return;
            ++counted.accepted;
            counted.interrupted += ends_after > left ? 1 : 0;
        };
        count({ seconds(14), milliseconds(500) + *pace.percentile_90("engines", static_cast<std::int64_t>(expected), 11'000, 0.6) }, by_pace);
        count({ seconds(14) }, by_remaining_time);
    }
    CHECK(by_remaining_time.accepted == STREAMS);
    CHECK(by_remaining_time.interrupted > STREAMS / 5);
    CHECK(by_pace.interrupted * 20 < STREAMS);
    // The median length is close to the remaining time. The other streams are served elsewhere.
    CHECK(by_pace.accepted * 4 > STREAMS);
}
