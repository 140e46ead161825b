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

namespace {

constexpr MonotonicTime START {};

/// A service whose streams are seen one after the other.
struct StreamsOfService {
    explicit StreamsOfService(std::int64_t announced_tokens_per_event = 1)
        : announced(announced_tokens_per_event)
    {
    }

    AnswerDurationEstimator::Stream stream(std::int64_t events, std::int64_t maximum_tokens = 1'000'000) const { return { "engines", events, maximum_tokens, this->announced }; }
    /// A stream that ends whole, with this time between its first event and its last.
    void complete(std::int64_t events, Duration duration, std::int64_t maximum_tokens = 1'000'000)
    {
        this->estimator.note_events(this->stream(events, maximum_tokens));
        this->estimator.note_complete(this->stream(events, maximum_tokens), duration, this->now);
    }
    std::optional<Duration> longest(std::int64_t maximum_tokens) const { return this->estimator.longest("engines", maximum_tokens, this->announced); }

    std::int64_t announced;
    MonotonicTime now = START;
    AnswerDurationEstimator estimator;
};

}

TEST_CASE("The longest duration of answers follows their slowest recent pace and the greatest length")
{
    StreamsOfService seen;
    CHECK_FALSE(seen.longest(4000));
    // Samples with too few tokens or without a duration are ignored.
    seen.complete(7, seconds(1));
    seen.complete(1001, Duration::zero());
    CHECK_FALSE(seen.longest(4000));
    seen.complete(1001, seconds(1));
    CHECK_FALSE(seen.estimator.longest("others", 4000, 1));
    // The last event may hold no token.
    CHECK(to_milliseconds(*seen.longest(4000)) == Approx(4001));
    // Without a greatest length, only the timeout bounds the answer.
    CHECK_FALSE(seen.longest(0));
    // A slower answer counts at once.
    seen.complete(1001, seconds(3));
    CHECK(to_milliseconds(*seen.longest(4000)) == Approx(12'003));
    // Callers may state any number.
    CHECK(*seen.longest(std::numeric_limits<std::int64_t>::max()) > seconds(3600));
}

// Guards against streams that are interrupted because one engine of many is slow: answers of the others made the slow one's
// pace forgotten within a second.
TEST_CASE("The slowest pace is forgotten with time, and not with the number of faster answers", "[planned-stop]")
{
    StreamsOfService seen;
    seen.complete(1001, seconds(3));
    for (int i = 0; i < 1000; ++i)
        seen.complete(1001, seconds(1));
    CHECK(to_milliseconds(*seen.longest(4000)) == Approx(12'003));
    seen.now = START + seconds(29);
    seen.complete(1001, seconds(1));
    CHECK(to_milliseconds(*seen.longest(4000)) == Approx(12'003));
    // Without newer answers, the last ones are all that is known.
    seen.now = START + seconds(300);
    CHECK(to_milliseconds(*seen.longest(4000)) == Approx(12'003));
    for (int period = 0; period < 2; ++period) {
        seen.complete(1001, seconds(1));
        seen.now += seconds(31);
    }
    CHECK(to_milliseconds(*seen.longest(4000)) == Approx(4001));
}

// Guards against streams that a stopping VM accepted by the configuration's tokens per event, and interrupted since events of
// their engines hold fewer.
TEST_CASE("Events are only known to hold one token until streams agree with the announced number", "[planned-stop]")
{
    StreamsOfService seen(8);
    seen.complete(11, seconds(1), 80);
    // 800 tokens may take as many events of 0.1 s each, and one that marks the end.
    CHECK(to_milliseconds(*seen.longest(800)) == Approx(80'100));
    for (int i = 0; i < 60; ++i)
        seen.complete(11, seconds(1), 80);
    CHECK(to_milliseconds(*seen.longest(800)) == Approx(10'100));
    SECTION("a stream of more events than its greatest length allows")
    {
        // A stream that is still running shows it.
        seen.estimator.note_events(seen.stream(13, 80));
        CHECK(to_milliseconds(*seen.longest(800)) == Approx(80'100));
        for (int i = 0; i < 1000; ++i)
            seen.complete(11, seconds(1), 80);
        CHECK(to_milliseconds(*seen.longest(800)) == Approx(80'100));
    }
    SECTION("a stream that moved may have an event more for each engine")
    {
        auto moved = seen.stream(13, 80);
        moved.engines = 2;
        seen.estimator.note_events(moved);
        CHECK(to_milliseconds(*seen.longest(800)) == Approx(10'100));
    }
    SECTION("a configuration that announces another number")
    {
        seen.announced = 4;
        CHECK(to_milliseconds(*seen.longest(800)) == Approx(80'100));
    }
}

// Guards against a bound that short streams of many tokens an event make too short: three events come with two pauses.
TEST_CASE("The pace is that of the pauses between events", "[planned-stop]")
{
    StreamsOfService seen(64);
    for (int i = 0; i < 60; ++i)
        seen.complete(3, seconds(2), 192);
    CHECK(*seen.longest(640) >= seconds(10));
    CHECK(*seen.longest(640) <= seconds(12));
}

TEST_CASE("The slowest recent time to the first event is known by service", "[planned-stop]")
{
    AnswerDurationEstimator estimator;
    CHECK(estimator.slowest_begin("engines") == Duration::zero());
    estimator.note_begin("engines", milliseconds(700), START);
    estimator.note_begin("engines", milliseconds(20), START + seconds(1));
    CHECK(to_milliseconds(estimator.slowest_begin("engines")) == Approx(700));
    CHECK(estimator.slowest_begin("others") == Duration::zero());
}

// Guards against streams that a stopping VM accepts by their expected length and interrupts at its exit. The balancer sends it
// clients during the whole stop where few VMs of its data centre are ready. Lengths are log-normally distributed around the
// expected ones and bounded by the greatest length, with a first event within 0.5 s, perhaps an event without a token at the
// end, and a grace period of 7.6 s. The time per token varies from answer to answer with the load of the engines.
TEST_CASE("No stream that a stopping VM accepts is interrupted, and each that cannot be interrupted is accepted", "[planned-stop]")
{
    std::mt19937_64 random(7);
    std::lognormal_distribution<double> median(std::log(1500.0), 0.5);
    std::lognormal_distribution<double> error(0, 0.6);
    std::uniform_real_distribution<double> seconds_per_token(0.0005, 0.001);
    std::uniform_int_distribution<std::int64_t> greatest_length(500, 8000);
    auto const first_event = milliseconds(500);
    StreamsOfService seen;
    for (int i = 0; i < 20; ++i)
        seen.complete(1000, from_seconds(999 * seconds_per_token(random)));
    seen.complete(1000, from_seconds(0.999));
    int accepted = 0;
    int interrupted = 0;
    int refused_in_vain = 0;
    constexpr int STREAMS = 4000;
    for (int i = 0; i < STREAMS; ++i) {
        auto const greatest = greatest_length(random);
        auto const tokens = std::min(median(random) * error(random), static_cast<double>(greatest));
        auto const ends_after = first_event + from_seconds(tokens * seconds_per_token(random));
        auto const left = milliseconds(7600 - i % 7600);
        if (may_begin_before_exit({ seconds(14), first_event + *seen.longest(greatest) }, left)) {
            ++accepted;
            interrupted += ends_after > left ? 1 : 0;
        } else
            refused_in_vain += first_event + from_seconds(static_cast<double>(greatest + 1) * 0.001) <= left ? 1 : 0;
    }
    CHECK(interrupted == 0);
    CHECK(refused_in_vain == 0);
    CHECK(accepted * 4 > STREAMS);
}
