// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/AnswerDurationEstimator.h>
#include <LibDecision/StopPolicy.h>
#include <catch2/catch.hpp>
#include <cmath>
#include <limits>
#include <optional>
#include <random>
#include <string>

using namespace Spurtide;

TEST_CASE("A stopping VM accepts only requests that will end before it exits", "[planned-stop]")
{
    struct Row {
        std::string name;
        std::int64_t timeout;
        std::optional<std::int64_t> longest;
        std::int64_t left;
        bool accepted;
    };
    auto const row = GENERATE(values<Row>({
        { "a stream of unknown pace at the begin of the stop", 14'000, {}, 7600, false },
        { "a stream of unknown pace in the first third", 14'000, {}, 5100, false },
        { "a stream of unknown pace later", 14'000, {}, 5000, false },
        { "a stream of unknown pace at the end", 14'000, {}, 100, false },
        { "a stream of unknown pace that times out in time", 3000, {}, 3000, true },
        { "a call that times out in time", 1500, {}, 1500, true },
        { "a call that does not", 1500, {}, 1499, false },
        { "a short call", 400, {}, 500, true },
        { "a short call at the exit", 400, {}, 0, false },
        { "a short stream, late in the stop", 14'000, 1500, 1600, true },
        { "a short stream, too late", 14'000, 1500, 1400, false },
        { "a long stream at the begin of the stop", 14'000, 8000, 7600, false },
        { "a usual stream in the first third", 14'000, 5500, 5200, false },
        { "a usual stream at the begin of the stop", 14'000, 5500, 7600, true },
        { "a long stream that times out in time", 1000, 8000, 1000, true },
        { "a request after the exit was due", 0, {}, -1, false },
    }));
    CAPTURE(row.name);
    DurationBounds bounds { milliseconds(row.timeout) };
    if (row.longest)
        bounds.longest_answer = milliseconds(*row.longest);
    CHECK(may_begin_before_exit(bounds, milliseconds(row.left)) == row.accepted);
}

TEST_CASE("The longest duration of answers follows their slowest recent pace and the greatest length")
{
    AnswerDurationEstimator pace;
    CHECK_FALSE(pace.longest("engines", 4000));
    // Samples with too few tokens or without a duration are ignored.
    pace.add_sample("engines", 7, seconds(1));
    pace.add_sample("engines", 1000, Duration::zero());
    CHECK_FALSE(pace.longest("engines", 4000));
    pace.add_sample("engines", 1000, seconds(1));
    CHECK_FALSE(pace.longest("others", 4000));
    CHECK(to_milliseconds(*pace.longest("engines", 4000)) == 4000);
    // Without a greatest length, only the timeout bounds the answer.
    CHECK_FALSE(pace.longest("engines", 0));
    // A slower answer counts at once, and is forgotten slowly.
    pace.add_sample("engines", 1000, seconds(3));
    CHECK(to_milliseconds(*pace.longest("engines", 4000)) == 12'000);
    pace.add_sample("engines", 1000, seconds(1));
    CHECK(to_milliseconds(*pace.longest("engines", 4000)) > 11'000);
    for (int i = 0; i < 60; ++i)
        pace.add_sample("engines", 1000, seconds(1));
    CHECK(to_milliseconds(*pace.longest("engines", 4000)) < 4200);
    // Callers may state any number.
    CHECK(*pace.longest("engines", std::numeric_limits<std::int64_t>::max()) > seconds(3600));
}

// Guards against streams that a stopping VM accepts by their expected length and interrupts at its exit. The balancer sends it
// clients during the whole stop where few VMs of its data centre are ready. Lengths are log-normally distributed around the
// expected ones and bounded by the greatest length, with a first event within 0.5 s and a grace period of 7.6 s. The time per
// token varies from answer to answer with the load of the engines.
TEST_CASE("No stream that a stopping VM accepts is interrupted, and each that cannot be interrupted is accepted", "[planned-stop]")
{
    std::mt19937_64 random(7);
    std::lognormal_distribution<double> median(std::log(1500.0), 0.5);
    std::lognormal_distribution<double> error(0, 0.6);
    std::uniform_real_distribution<double> seconds_per_token(0.0005, 0.001);
    std::uniform_int_distribution<std::int64_t> greatest_length(500, 8000);
    auto const first_event = milliseconds(500);
    AnswerDurationEstimator pace;
    for (int i = 0; i < 20; ++i)
        pace.add_sample("engines", 1000, from_seconds(1000 * seconds_per_token(random)));
    pace.add_sample("engines", 1000, from_seconds(1));
    int accepted = 0;
    int interrupted = 0;
    int refused_in_vain = 0;
    constexpr int STREAMS = 4000;
    for (int i = 0; i < STREAMS; ++i) {
        auto const greatest = greatest_length(random);
        auto const tokens = std::min(median(random) * error(random), static_cast<double>(greatest));
        auto const ends_after = first_event + from_seconds(tokens * seconds_per_token(random));
        auto const left = milliseconds(7600 - i % 7600);
        if (may_begin_before_exit({ seconds(14), first_event + *pace.longest("engines", greatest) }, left)) {
            ++accepted;
            interrupted += ends_after > left ? 1 : 0;
        } else
            refused_in_vain += first_event + from_seconds(static_cast<double>(greatest) * 0.001) <= left ? 1 : 0;
    }
    CHECK(interrupted == 0);
    CHECK(refused_in_vain == 0);
    CHECK(accepted * 4 > STREAMS);
}
