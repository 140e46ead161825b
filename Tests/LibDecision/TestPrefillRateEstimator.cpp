// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/PrefillRateEstimator.h>
#include <catch2/catch.hpp>
#include <vector>

using namespace Spurtide;

namespace {

Duration taken(std::int64_t tokens, double rate, Duration latency)
{
    return from_seconds(static_cast<double>(tokens) / rate) + latency;
}

}

// Unqueued prompts of widely different lengths, at engines whose results arrive some time after the computation. Rates
// and latencies are those of a small fast model and of a large slow one.
TEST_CASE("Prompts of different lengths separate prefill rate and latency")
{
    auto const rate = GENERATE(8'000.0, 33'333.0, 55'556.0);
    auto const latency = GENERATE(milliseconds(0), milliseconds(12), milliseconds(47));
    PrefillRateEstimator estimator(50'000);
    for (auto const tokens : { 3000, 900, 6600, 2100, 4200, 1300, 5000, 2700 })
        estimator.add_sample(tokens, taken(tokens, rate, latency));
    REQUIRE(estimator.is_known());
    CHECK(estimator.rate() == Approx(rate).epsilon(0.01));
    CHECK(to_seconds(estimator.latency()) == Approx(to_seconds(latency)).margin(0.0005));
    CHECK(to_seconds(estimator.compute_time(3200)) == Approx(3200 / rate).epsilon(0.01));
}

TEST_CASE("Prompts of equal length yield only a rate")
{
    PrefillRateEstimator estimator(50'000);
    for (int i = 0; i < 10; ++i)
        estimator.add_sample(3000, milliseconds(150));
    CHECK(estimator.rate() == Approx(20'000).epsilon(0.01));
    CHECK(estimator.latency() == Duration::zero());
}

TEST_CASE("A single delayed prompt does not dominate the estimate")
{
    PrefillRateEstimator estimator(50'000);
    estimator.add_sample(100, milliseconds(1000));
    CHECK(estimator.rate() > 39'000);
    CHECK_FALSE(estimator.is_known());
}

TEST_CASE("Samples without duration or length are ignored")
{
    PrefillRateEstimator estimator(50'000);
    estimator.add_sample(0, milliseconds(10));
    estimator.add_sample(100, Duration::zero());
    CHECK(estimator.rate() == Approx(50'000));
}

TEST_CASE("A changing rate is followed")
{
    PrefillRateEstimator estimator(50'000);
    std::vector<int> const lengths { 3000, 900, 6600, 2100, 4200, 1300 };
    for (int i = 0; i < 30; ++i)
        estimator.add_sample(lengths[i % lengths.size()], taken(lengths[i % lengths.size()], 50'000, milliseconds(20)));
    for (int i = 0; i < 150; ++i)
        estimator.add_sample(lengths[i % lengths.size()], taken(lengths[i % lengths.size()], 10'000, milliseconds(20)));
    CHECK(estimator.rate() == Approx(10'000).epsilon(0.1));
}
