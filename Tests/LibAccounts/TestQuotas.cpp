// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibAccounts/QuotaCredit.h>
#include <LibAccounts/QuotaLedger.h>
#include <catch2/catch.hpp>
#include <deque>

using namespace Spurtide;

namespace {

constexpr Duration WINDOW = seconds(8);

MonotonicTime at(std::int64_t time) { return MonotonicTime(milliseconds(1'000'000 + time)); }

AccountLimit limit_of(double rate, double burst)
{
    AccountLimit limit;
    limit.unit = AccountLimit::Unit::Tokens;
    limit.rate = rate;
    limit.burst = burst;
    return limit;
}

QuotaLedger::Ask ask_for(double needed)
{
    QuotaLedger::Ask ask;
    ask.needed = needed;
    ask.wanted = needed;
    ask.patience = seconds(10);
    return ask;
}

/// Sums what was used over a sliding window and keeps the most that it ever was.
class WindowSum {
public:
    void add(double amount, MonotonicTime now)
    {
        this->used.emplace_back(now, amount);
        this->sum += amount;
        while (now - this->used.front().first > WINDOW) {
            this->sum -= this->used.front().second;
            this->used.pop_front();
        }
        this->most = std::max(this->most, this->sum);
    }

    double most = 0;

private:
    std::deque<std::pair<MonotonicTime, double>> used;
    double sum = 0;
};

}

TEST_CASE("An account gets its rate and one burst, whatever it asks for", "[quota][burst]")
{
    // An account that sends many times its usual, as a caller's loop without a pause does.
    QuotaLedger ledger({ WINDOW });
    auto const limit = limit_of(1000, 2000);
    WindowSum sum;
    double granted = 0;
    for (std::int64_t time = 0; time < 20'000; time += 2) {
        auto const given = ledger.take("one", limit, 1, ask_for(100), at(time)).granted;
        sum.add(given, at(time));
        granted += given;
    }
    CHECK(sum.most <= 1000 * 8 + 2000);
    CHECK(granted >= 1000 * 20 + 2000 - 100);
}

TEST_CASE("An account inside its limit is never refused", "[quota]")
{
    QuotaLedger ledger({ WINDOW });
    auto const limit = limit_of(1000, 1000);
    for (std::int64_t time = 0; time < 30'000; time += 500)
        REQUIRE(ledger.take("one", limit, 1, ask_for(500), at(time)).granted == 500);
}

TEST_CASE("A lower limit holds at once, and a higher one lifts at once", "[quota][config]")
{
    QuotaLedger ledger({ WINDOW });
    REQUIRE(ledger.take("one", limit_of(1000, 8000), 1, ask_for(100), at(0)).granted == 100);
    // What is left of the old burst is gone with it.
    CHECK(ledger.take("one", limit_of(10, 50), 1, ask_for(40), at(1)).granted == 40);
    CHECK(ledger.take("one", limit_of(10, 50), 1, ask_for(40), at(2)).granted == 0);
    CHECK(ledger.take("one", limit_of(10, 500), 1, ask_for(400), at(3)).granted == 400);
}

TEST_CASE("A request larger than the burst passes when the burst is whole, and is paid for afterwards", "[quota]")
{
    QuotaLedger ledger({ WINDOW });
    auto const limit = limit_of(100, 200);
    CHECK(ledger.take("one", limit, 1, ask_for(500), at(0)).granted == 500);
    CHECK(ledger.take("one", limit, 1, ask_for(10), at(1000)).granted == 0);
    CHECK(ledger.take("one", limit, 1, ask_for(10), at(3200)).granted == 10);
}

TEST_CASE("An account without a burst of its own still gets its rate", "[quota]")
{
    QuotaLedger ledger({ WINDOW });
    auto const limit = limit_of(100, 0);
    double granted = 0;
    for (std::int64_t time = 0; time < 10'000; time += 100)
        granted += ledger.take("one", limit, 1, ask_for(20), at(time)).granted;
    CHECK(granted >= 1000);
    CHECK(granted <= 1100);
}

TEST_CASE("A ledger that is new in office gives no second burst", "[quota][kill]")
{
    auto const limit = limit_of(1000, 1000);
    // Three VMs used all that the account has: the rate of the window and the burst.
    double const used_by_each = (1000 * 8 + 1000) / 3.0;
    QuotaLedger fresh({ WINDOW });
    double granted = 0;
    for (int vm = 0; vm < 3; ++vm) {
        auto ask = ask_for(300);
        ask.used_before = used_by_each;
        granted += fresh.take("one", limit, 1, ask, at(vm)).granted;
    }
    // The first of them is answered before the others have told; a third of the use is less than the rate made good.
    CHECK(granted <= 600);
    CHECK(*fresh.level("one") <= 1);

    // Where the use stayed inside the rate, the burst is whole.
    QuotaLedger calm({ WINDOW });
    auto ask = ask_for(1000);
    ask.used_before = 8000;
    CHECK(calm.take("one", limit, 1, ask, at(0)).granted == 1000);
}

TEST_CASE("Parted data centres stay inside the limit together", "[quota][cut]")
{
    // Two sides of a cut, 23 VMs and 37; each gives out its part, from the whole to the cut and back.
    auto const limit = limit_of(1000, 1000);
    QuotaLedger small({ WINDOW });
    QuotaLedger large({ WINDOW });
    WindowSum sum;
    for (std::int64_t time = 0; time < 40'000; time += 5) {
        bool const is_cut = time >= 10'000 && time < 16'000;
        if (is_cut)
            sum.add(small.take("one", limit, 23.0 / 60, ask_for(50), at(time)).granted, at(time));
        sum.add(large.take("one", limit, is_cut ? 37.0 / 60 : 1, ask_for(50), at(time)).granted, at(time));
    }
    // The part that the smaller side gives at first is a burst more.
    CHECK(sum.most <= 1000 * 8 + 1000 + 1000 * 23.0 / 60 + 50);
}

TEST_CASE("Who is told when to come back gets it then, one behind the other", "[quota]")
{
    QuotaLedger ledger({ WINDOW });
    auto const limit = limit_of(100, 100);
    REQUIRE(ledger.take("one", limit, 1, ask_for(100), at(0)).granted == 100);
    std::vector<Duration> waits;
    for (int i = 0; i < 3; ++i) {
        auto const answer = ledger.take("one", limit, 1, ask_for(50), at(0));
        REQUIRE(answer.granted == 0);
        waits.push_back(answer.retry_after);
    }
    CHECK(waits[0] == milliseconds(500));
    CHECK(waits[1] == milliseconds(1000));
    CHECK(waits[2] == milliseconds(1500));
    // One that cannot wait so long takes no turn.
    auto hasty = ask_for(50);
    hasty.patience = milliseconds(100);
    CHECK(ledger.take("one", limit, 1, hasty, at(0)).retry_after == milliseconds(2000));
    CHECK(ledger.take("one", limit, 1, ask_for(50), at(0)).retry_after == milliseconds(2000));
    for (auto const wait : waits)
        CHECK(ledger.take("one", limit, 1, ask_for(50), at(to_milliseconds(wait))).granted == 50);
}

TEST_CASE("In advance only accounts that are far from their limit get something", "[quota]")
{
    QuotaLedger ledger({ WINDOW });
    auto const limit = limit_of(100, 1000);
    auto ask = ask_for(50);
    ask.wanted = 300;
    CHECK(ledger.take("one", limit, 1, ask, at(0)).granted == 300);
    CHECK(ledger.take("one", limit, 1, ask, at(0)).granted == 50);
    CHECK(ledger.take("one", limit, 1, ask, at(0)).granted == 50);
    ledger.give_back("one", 10'000, at(0));
    CHECK(*ledger.level("one") == 1000);
    ledger.retain(AccountBook {});
    CHECK_FALSE(ledger.level("one"));
}

TEST_CASE("Credit is used once, and what lies unused goes back", "[quota]")
{
    QuotaCredit::Options options;
    options.keep = milliseconds(500);
    QuotaCredit credit(options);
    CHECK(credit.spend("one", 10, at(0)) == QuotaCredit::Outcome::MustAsk);
    credit.add("one", 25, at(0));
    CHECK(credit.spend("one", 10, at(1)) == QuotaCredit::Outcome::Spent);
    CHECK(credit.spend("one", 10, at(2)) == QuotaCredit::Outcome::Spent);
    CHECK(credit.spend("one", 10, at(3)) == QuotaCredit::Outcome::MustAsk);
    CHECK(credit.take_unused("one", at(400)) == 0);
    // What is too old is not used: the ledger may have given the rate anew.
    CHECK(credit.spend("one", 5, at(501)) == QuotaCredit::Outcome::MustAsk);
    CHECK(credit.take_unused("one", at(501)) == 5);
    CHECK(credit.take_unused("one", at(502)) == 0);
    CHECK(credit.used_in_window("one", at(502)) == 20);
    CHECK(credit.used_in_window("one", at(20'000)) == 0);
    CHECK(credit.used_in_window("other", at(0)) == 0);
}

TEST_CASE("A request that has not run gives its cost back", "[quota][not-run]")
{
    QuotaCredit credit({});
    credit.add("one", 10, at(0));
    REQUIRE(credit.spend("one", 10, at(0)) == QuotaCredit::Outcome::Spent);
    credit.give_back("one", 10, at(100));
    CHECK(credit.used_in_window("one", at(100)) == 0);
    CHECK(credit.spend("one", 10, at(101)) == QuotaCredit::Outcome::Spent);
    credit.give_back("one", 10, at(200));
    auto const unused = credit.take_all_unused(at(5000));
    REQUIRE(unused.size() == 1);
    CHECK(unused.front().account == "one");
    CHECK(unused.front().amount == 10);
    CHECK(credit.take_all_unused(at(30'000)).empty());
}

TEST_CASE("A VM asks in advance by what it used lately", "[quota]")
{
    QuotaCredit credit({});
    CHECK(credit.wanted("one", 10, at(0)) == 10);
    for (std::int64_t time = 0; time < 8000; time += 100) {
        credit.add("one", 10, at(time));
        REQUIRE(credit.spend("one", 10, at(time)) == QuotaCredit::Outcome::Spent);
    }
    // 100 a second were used; half a second of that is asked for beside the need.
    CHECK(credit.wanted("one", 10, at(8000)) >= 10 + 45);
    CHECK(credit.wanted("one", 10, at(8000)) <= 10 + 57);
}
