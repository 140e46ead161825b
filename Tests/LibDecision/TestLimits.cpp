// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/QuantileEstimator.h>
#include <LibDecision/RetryBudget.h>
#include <LibDecision/TokenBucket.h>
#include <Tests/Support/VirtualClock.h>
#include <catch2/catch.hpp>
#include <random>

using namespace Spurtide;
using namespace Spurtide::Tests;

TEST_CASE("A token bucket permits its burst, then its rate")
{
    TokenBucket bucket(10, 5, at_milliseconds(0));
    for (int i = 0; i < 5; ++i)
        CHECK(bucket.try_take(1, at_milliseconds(0)));
    CHECK_FALSE(bucket.try_take(1, at_milliseconds(0)));
    CHECK(bucket.time_until(1, at_milliseconds(0)) == milliseconds(100));
    CHECK_FALSE(bucket.try_take(1, at_milliseconds(99)));
    CHECK(bucket.try_take(1, at_milliseconds(100)));
}

TEST_CASE("A token bucket never holds more than its burst, and gains nothing while the clock stands still")
{
    TokenBucket bucket(10, 2, at_milliseconds(0));
    CHECK(bucket.try_take(2, at_milliseconds(60'000)));
    CHECK_FALSE(bucket.try_take(1, at_milliseconds(60'000)));
    CHECK_FALSE(bucket.try_take(1, at_milliseconds(0)));
}

TEST_CASE("Retries are limited to a fraction of the requests")
{
    RetryBudget budget(0.1, 5);
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.note_request();
        retries += budget.try_spend() ? 1 : 0;
        retries += budget.try_spend() ? 1 : 0;
    }
    CHECK(retries >= 100);
    CHECK(retries <= 105);
}

TEST_CASE("The estimator follows the quantile of a series and its drift")
{
    std::mt19937_64 random(7);
    std::uniform_real_distribution<double> low(0, 100);
    std::uniform_real_distribution<double> high(100, 300);
    QuantileEstimator estimator(0.8, 64);
    for (int i = 0; i < 5000; ++i)
        estimator.add(low(random));
    CHECK(estimator.estimate() == Approx(80).margin(12));
    for (int i = 0; i < 5000; ++i)
        estimator.add(high(random));
    CHECK(estimator.estimate() == Approx(260).margin(30));
}
