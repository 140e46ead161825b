// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/SendAccounting.h>
#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <vector>

using namespace Spurtide;

namespace {

MonotonicTime at_milliseconds(std::int64_t value) { return MonotonicTime {} + milliseconds(value); }

SharedRetryBudget budget_of(double allowance) { return SharedRetryBudget({ .ratio = 0, .allowance = allowance, .window = seconds(10), .safety_factor = 1 }); }

std::size_t extra_sends_in(SharedRetryBudget& budget, std::int64_t now) { return budget.level(1, at_milliseconds(now)).extra_sends; }

enum class Step {
    PrefillAccepted,
    PrefillRefused,
    Run,
};

SendAccounting::Send send_of(Step step) { return step == Step::Run ? SendAccounting::Send::Run : SendAccounting::Send::Prefill; }

/// Makes one send if the budget covers it, and returns whether it did.
bool send(SendAccounting& ledger, Step step, std::int64_t now)
{
    bool const is_covered = ledger.can_charge(send_of(step), 1, at_milliseconds(now));
    REQUIRE(ledger.try_charge(send_of(step), 1, at_milliseconds(now)) == is_covered);
    if (!is_covered)
        return false;
    if (step == Step::Run)
        ledger.note_run(at_milliseconds(now));
    else
        ledger.note_prefill(step == Step::PrefillAccepted ? SendAccounting::PrefillOutcome::Accepted : SendAccounting::PrefillOutcome::NotAccepted, at_milliseconds(now));
    return true;
}

/// Counts the arrivals after the first, from the sends alone.
std::size_t extra_arrivals(std::vector<Step> const& sent)
{
    auto const accepted_prefills = static_cast<std::size_t>(std::count(sent.begin(), sent.end(), Step::PrefillAccepted));
    auto const arrivals = sent.size() - std::min<std::size_t>(1, accepted_prefills);
    return arrivals - std::min<std::size_t>(1, arrivals);
}

}

// Covers each order in which six prefills and runs can end, with each budget from zero to more than sufficient.
TEST_CASE("Exactly the arrivals beyond the first are charged, in any order of sends", "[retry-budget]")
{
    constexpr std::array STEPS { Step::PrefillAccepted, Step::PrefillRefused, Step::Run };
    constexpr int LENGTH = 6;
    constexpr int ORDERS = 729;
    for (int order = 0; order < ORDERS; ++order) {
        for (int allowance = 0; allowance <= 2 * LENGTH; ++allowance) {
            auto budget = budget_of(allowance);
            SendAccounting ledger(budget);
            std::vector<Step> sent;
            for (int i = 0, rest = order; i < LENGTH; ++i, rest /= 3) {
                auto const step = STEPS.at(static_cast<std::size_t>(rest % 3));
                if (send(ledger, step, i))
                    sent.push_back(step);
                if (extra_arrivals(sent) > static_cast<std::size_t>(allowance) || extra_arrivals(sent) > extra_sends_in(budget, i))
                    FAIL("order " << order << " allowance " << allowance << " step " << i);
            }
            ledger.refund_unused();
            if (extra_sends_in(budget, LENGTH) != extra_arrivals(sent))
                FAIL("order " << order << " allowance " << allowance << ": " << extra_sends_in(budget, LENGTH) << " charged, " << extra_arrivals(sent) << " arrived");
        }
    }
}

TEST_CASE("A second prefill is sent only if the budget also covers the run that follows it", "[retry-budget]")
{
    auto budget = budget_of(1);
    SendAccounting ledger(budget);
    REQUIRE(send(ledger, Step::PrefillAccepted, 0));
    REQUIRE(ledger.uncharged(SendAccounting::Send::Prefill) == 1);
    REQUIRE(send(ledger, Step::Run, 1));
    REQUIRE(ledger.uncharged(SendAccounting::Send::Prefill) == 2);
    REQUIRE_FALSE(send(ledger, Step::PrefillAccepted, 2));
    REQUIRE(send(ledger, Step::Run, 3));
}

TEST_CASE("A charge counts within the window from when the send is made", "[retry-budget]")
{
    auto budget = budget_of(1);
    SendAccounting ledger(budget);
    REQUIRE(send(ledger, Step::Run, 0));
    REQUIRE(ledger.try_charge(SendAccounting::Send::Run, 1, at_milliseconds(100)));
    ledger.note_run(at_milliseconds(1500));
    REQUIRE(extra_sends_in(budget, 10'200) == 1);
    REQUIRE(extra_sends_in(budget, 11'600) == 0);
}

TEST_CASE("A refund returns the charge of this request and not a recent one of another", "[retry-budget]")
{
    auto budget = budget_of(2);
    SendAccounting early(budget);
    SendAccounting late(budget);
    REQUIRE(send(early, Step::Run, 0));
    REQUIRE(send(late, Step::Run, 0));
    REQUIRE(early.try_charge(SendAccounting::Send::Run, 1, at_milliseconds(10)));
    REQUIRE(late.try_charge(SendAccounting::Send::Run, 1, at_milliseconds(9000)));
    REQUIRE(extra_sends_in(budget, 10'500) == 1);
    early.refund_unused();
    REQUIRE(extra_sends_in(budget, 10'500) == 1);
}
