// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/AccountShares.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <map>
#include <string>

using namespace Spurtide;

namespace {

constexpr MonotonicTime START { seconds(1000) };

MonotonicTime after(Duration duration) { return START + duration; }

/// Serves accounts that always have requests, lowest usage first, and counts what each consumed.
std::map<std::string, double> serve(AccountShares& shares, std::vector<std::string> const& accounts, MonotonicTime from, int requests)
{
    std::map<std::string, double> served;
    for (int i = 0; i < requests; ++i) {
        auto const now = from + milliseconds(10) * i;
        for (auto const& account : accounts)
            shares.note_active(account, now);
        auto const next = *std::min_element(accounts.begin(), accounts.end(), [&](auto const& a, auto const& b) {
            return shares.usage(a, now) < shares.usage(b, now);
        });
        shares.consume(next, 1, now);
        served[next] += 1;
    }
    return served;
}

}

TEST_CASE("Usage is what an account holds and consumed, by its weight", "[shares]")
{
    AccountShares shares { {} };
    CHECK(shares.usage("a", START) == 0);
    shares.hold("a", 3, START);
    shares.consume("a", 5, START);
    CHECK(shares.usage("a", START) == Approx(8));
    shares.set_weight("a", 4);
    CHECK(shares.usage("a", START) == Approx(2));
    shares.release("a", 3, START);
    CHECK(shares.held("a") == 0);
    CHECK(shares.usage("a", START) == Approx(1.25));
    CHECK(shares.usage("b", START) == 0);
}

TEST_CASE("Consumption decays, and held amounts do not", "[shares]")
{
    AccountShares shares { {} };
    shares.hold("a", 1, START);
    shares.consume("a", 10, START);
    CHECK(shares.usage("a", after(seconds(10))) == Approx(1 + 10 * std::exp(-1)));
    // Guards against a decay that depends on how often usage is updated.
    for (int i = 1; i <= 100; ++i)
        shares.consume("a", 0, after(milliseconds(100) * i));
    CHECK(shares.usage("a", after(seconds(10))) == Approx(1 + 10 * std::exp(-1)));
    CHECK(shares.usage("a", after(seconds(200))) == Approx(1).epsilon(0.001));
    // Messages may be processed out of order.
    CHECK(shares.usage("a", START) <= 11);
}

TEST_CASE("Released amounts never become negative", "[shares]")
{
    AccountShares shares { {} };
    shares.release("unknown", 5, START);
    CHECK(shares.usage("unknown", START) == 0);
    for (int i = 0; i < 10; ++i)
        shares.hold("a", 0.1, START);
    for (int i = 0; i < 10; ++i)
        shares.release("a", 0.1, START);
    CHECK(shares.held("a") == 0);
    shares.hold("a", 1, START);
    shares.release("a", 2, START);
    CHECK(shares.held("a") == 0);
}

// Guards against an account that collects credit while it is idle and then blocks all others.
TEST_CASE("An account that joins or returns starts level with the active account of lowest usage", "[shares]")
{
    AccountShares shares { {} };
    shares.consume("low", 20, START);
    shares.consume("high", 50, START);
    shares.note_active("new", START);
    CHECK(shares.usage("new", START) == Approx(20));
    shares.set_weight("heavy", 2);
    shares.note_active("heavy", START);
    CHECK(shares.usage("heavy", START) == Approx(20));

    // While it is active it keeps its own usage.
    shares.note_active("low", after(seconds(9)));
    CHECK(shares.usage("low", after(seconds(9))) == Approx(20 * std::exp(-0.9)));

    // Only "high" remains active for the next ten seconds.
    shares.consume("high", 100, after(seconds(18)));
    auto const later = after(seconds(25));
    shares.note_active("low", later);
    CHECK(shares.usage("low", later) == Approx(shares.usage("high", later)));
}

TEST_CASE("An account that returns keeps what has not decayed of its consumption", "[shares]")
{
    AccountShares shares { {} };
    shares.consume("hot", 1000, START);
    shares.consume("other", 1, after(seconds(9)));
    shares.note_active("hot", after(seconds(11)));
    CHECK(shares.usage("hot", after(seconds(11))) == Approx(1000 * std::exp(-1.1)));
}

TEST_CASE("Accounts are active while they hold something and for some time after they used something", "[shares]")
{
    AccountShares shares { {} };
    shares.set_weight("weighted", 2);
    CHECK_FALSE(shares.has_other_active("a", START));
    shares.note_active("a", START);
    CHECK_FALSE(shares.has_other_active("a", START));
    CHECK(shares.has_other_active("b", START));
    CHECK(shares.has_other_active("b", after(milliseconds(9999))));
    CHECK_FALSE(shares.has_other_active("b", after(seconds(10))));
    shares.hold("a", 1, START);
    CHECK(shares.has_other_active("b", after(seconds(100))));
    shares.release("a", 1, after(seconds(100)));
    CHECK(shares.has_other_active("b", after(seconds(109))));
    CHECK_FALSE(shares.has_other_active("b", after(seconds(110))));
}

// Guards against memory that grows with every account name ever seen.
TEST_CASE("Inactive accounts are forgotten unless they have a weight or hold something", "[shares]")
{
    AccountShares shares { {} };
    shares.consume("idle", 100, START);
    shares.hold("holder", 100, START);
    shares.set_weight("weighted", 2);
    shares.consume("weighted", 100, START);
    shares.forget_inactive(after(seconds(10)));
    CHECK(shares.usage("idle", START) == 0);
    CHECK(shares.usage("holder", START) == Approx(100));
    CHECK(shares.usage("weighted", START) == Approx(50));
}

TEST_CASE("Accounts that always have requests are served in proportion to their weights", "[shares]")
{
    AccountShares shares { {} };
    shares.set_weight("b", 3);
    auto const served = serve(shares, { "a", "b" }, START, 4000);
    // Requests are not divisible, and decay moves the balance by less than one in a hundred.
    CHECK(served.at("a") == Approx(1000).epsilon(0.02));
    CHECK(served.at("b") == Approx(3000).epsilon(0.02));
}

TEST_CASE("An account that joins gets its share at once and no more", "[shares]")
{
    AccountShares shares { {} };
    serve(shares, { "a", "b" }, START, 2000);
    auto const served = serve(shares, { "a", "b", "new" }, after(seconds(20)), 300);
    for (auto const& [account, amount] : served) {
        CAPTURE(account);
        CHECK(amount == Approx(100).epsilon(0.05));
    }
}
