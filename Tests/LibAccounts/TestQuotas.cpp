// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibAccounts/QuotaCredit.h>
#include <LibAccounts/QuotaLedger.h>
#include <catch2/catch.hpp>
#include <deque>
#include <utility>

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

TEST_CASE("An account gets its rate and one burst in any window, whatever it asks for", "[quota][burst]")
{
    // An account that sends many times its usual, as a caller's loop without a pause does.
    QuotaLedger ledger({ WINDOW });
    auto const limit = limit_of(1000, 2000);
    WindowSum sum;
    double granted = 0;
    for (std::int64_t time = 0; time < 40'000; time += 2) {
        auto const given = ledger.take("one", limit, {}, ask_for(100), at(time)).granted;
        sum.add(given, at(time));
        granted += given;
    }
    CHECK(sum.most <= 1000 * 8 + 2000);
    // The oldest slice counts whole: a thirty-second less than it might be.
    CHECK(granted >= (1000 * 40 + 2000) * 31.0 / 32 - 100);
}

TEST_CASE("An account inside its limit is never refused, however unevenly its requests come", "[quota]")
{
    // Streams of 14,000 tokens on an account with a rate of two a second, which come four at a time: a token bucket of
    // one second's rate refuses half of them. In any window at most four times four come, 224,000 of 261,000.
    QuotaLedger ledger({ WINDOW });
    auto const limit = limit_of(29'000, 29'000);
    for (std::int64_t time = 0; time < 32'000; time += 2500) {
        for (int i = 0; i < 4; ++i)
            REQUIRE(ledger.take("one", limit, {}, ask_for(14'000), at(time)).granted >= 14'000);
    }
}

TEST_CASE("A lower limit holds at once, and a higher one lifts at once", "[quota][config]")
{
    QuotaLedger ledger({ WINDOW });
    auto const high = limit_of(1000, 1000);
    for (std::int64_t time = 0; time < 8000; time += 10)
        static_cast<void>(ledger.take("one", high, {}, ask_for(100), at(time)));
    // After a window that was used whole the account has the new burst at once, and the new rate.
    auto const low = limit_of(100, 50);
    WindowSum sum;
    for (std::int64_t time = 8000; time < 24'000; time += 10)
        sum.add(ledger.take("one", low, {}, ask_for(25), at(time)).granted, at(time));
    CHECK(sum.most <= 100 * 8 + 50);
    CHECK(sum.most >= 100 * 8 + 50 - 50);
    CHECK(ledger.take("one", high, {}, ask_for(3000), at(24'000)).granted == 3000);
}

TEST_CASE("A request larger than a window's allowance passes alone", "[quota]")
{
    QuotaLedger ledger({ WINDOW });
    auto const limit = limit_of(100, 200);
    CHECK(ledger.take("one", limit, {}, ask_for(5000), at(0)).granted == 5000);
    CHECK(ledger.take("one", limit, {}, ask_for(10), at(4000)).granted == 0);
    CHECK(ledger.take("one", limit, {}, ask_for(10), at(8300)).granted == 10);
}

TEST_CASE("An account without a burst of its own still gets its rate", "[quota]")
{
    QuotaLedger ledger({ WINDOW });
    auto const limit = limit_of(100, 0);
    double granted = 0;
    for (std::int64_t time = 0; time < 16'000; time += 100)
        granted += ledger.take("one", limit, {}, ask_for(20), at(time)).granted;
    CHECK(granted >= 1600 * 31.0 / 32 - 20);
    CHECK(granted <= 1600);
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
        ask.used_before.assign(9, used_by_each / 9);
        granted += fresh.take("one", limit, {}, ask, at(vm)).granted;
    }
    // The first two are answered before all have told.
    CHECK(granted == 600);
    CHECK(*fresh.free_part("one", at(3)) == 0);
    CHECK(fresh.take("one", limit, {}, ask_for(300), at(4)).granted == 0);
    // Later what is as old as the window counts no more.
    CHECK(fresh.take("one", limit, {}, ask_for(3000), at(5500)).granted == 3000);
}

TEST_CASE("Parted data centres stay inside the limit together", "[quota][cut]")
{
    // Two sides of a cut, 23 VMs and 37; each gives out its part, from the whole to the cut and back.
    auto const limit = limit_of(1000, 1000);
    QuotaLedger small({ WINDOW });
    QuotaLedger large({ WINDOW });
    WindowSum sum;
    QuotaCredit on_small({});
    bool has_told = false;
    for (std::int64_t time = 0; time < 40'000; time += 5) {
        bool const is_cut = time >= 10'000 && time < 16'000;
        if (is_cut) {
            auto ask = ask_for(50);
            // Its VMs tell what they used before.
            if (!has_told)
                ask.used_before = on_small.use_by_eighths("one", at(time));
            has_told = true;
            sum.add(small.take("one", limit, { 23.0 / 60, 1 }, ask, at(time)).granted, at(time));
        }
        auto const given = large.take("one", limit, { is_cut ? 37.0 / 60 : 1, 1 }, ask_for(50), at(time)).granted;
        sum.add(given, at(time));
        if (!is_cut && given > 0) {
            // Its part of the requests comes to the VMs of the small side.
            on_small.add("one", given * 23.0 / 60, at(time));
            REQUIRE(on_small.spend("one", given * 23.0 / 60, at(time)) == QuotaCredit::Outcome::Spent);
        }
    }
    CHECK(sum.most <= (1000 * 8 + 1000) * 33.0 / 32);
}

TEST_CASE("Two sides of a cut stay inside the limit though one account's callers are mostly on one of them", "[quota][cut]")
{
    // All is used on the first side, whose counter goes on; the second side's counter begins anew, and hears of it from a VM
    // that used nearly nothing.
    auto const limit = limit_of(1000, 1000);
    for (double const part_of_second : { 0.1, 0.3, 0.5 }) {
        QuotaLedger first { QuotaLedger::Options {} };
        QuotaLedger second { QuotaLedger::Options {} };
        WindowSum sum;
        QuotaLedger::Answer last;
        std::int64_t now = 0;
        for (; now < 9000; now += 20) {
            last = first.take("a", limit, {}, ask_for(100), at(now));
            sum.add(last.granted, at(now));
        }
        bool is_first_ask = true;
        for (; now < 30000; now += 20) {
            sum.add(first.take("a", limit, { 1 - part_of_second }, ask_for(100), at(now)).granted, at(now));
            auto ask = ask_for(100);
            if (std::exchange(is_first_ask, false))
                ask.known_use = last.known_use;
            sum.add(second.take("a", limit, { part_of_second }, ask, at(now)).granted, at(now));
        }
        CAPTURE(part_of_second);
        // What operators put up with.
        CHECK(sum.most <= 1.1 * (1000 * to_seconds(WINDOW) + 1000));
    }
}

TEST_CASE("What VMs tell of their own use takes the place of what was assumed", "[quota][kill]")
{
    auto const limit = limit_of(1000, 1000);
    QuotaLedger ledger { QuotaLedger::Options {} };
    auto first = ask_for(100);
    first.known_use = { 1000, 2000 };
    CHECK(ledger.take("a", limit, {}, first, at(0)).granted == 100);
    CHECK(ledger.free_part("a", at(0)) == Approx(1 - 3100.0 / 9000));
    // An older word of the same adds nothing, and each VM's own use is a part of it.
    auto second = ask_for(100);
    second.known_use = { 900, 1900 };
    second.used_before = { 500, 1000 };
    CHECK(ledger.take("a", limit, {}, second, at(10)).granted == 100);
    CHECK(ledger.free_part("a", at(10)) == Approx(1 - 3200.0 / 9000));
    auto third = ask_for(100);
    third.used_before = { 500, 1500 };
    CHECK(ledger.take("a", limit, {}, third, at(20)).granted == 100);
    CHECK(ledger.free_part("a", at(20)) == Approx(1 - 3800.0 / 9000));
    // All of it leaves the window.
    CHECK(ledger.free_part("a", at(9000)) == 1);
}

TEST_CASE("What all VMs used is handed on as of the time at which it is", "[quota][cut]")
{
    QuotaCredit credit { QuotaCredit::Options {} };
    CHECK(credit.known_use("a", at(0)).empty());
    credit.note_known_use("a", { 10, 20, 30 }, at(0));
    CHECK(credit.known_use("a", at(0)) == std::vector<double> { 10, 20, 30 });
    CHECK(credit.known_use("a", at(2100)) == std::vector<double> { 0, 0, 10, 20, 30 });
    CHECK(credit.known_use("a", at(7100)) == std::vector<double> { 0, 0, 0, 0, 0, 0, 0, 10, 20 });
    CHECK(credit.known_use("a", at(60000)).empty());
}

TEST_CASE("One that stood in and is first then gives the rest at once", "[quota][kill]")
{
    // All VMs were killed; the one that counts answers before it has met the others.
    QuotaLedger ledger({ WINDOW });
    auto const limit = limit_of(1000, 1000);
    double granted = 0;
    for (std::int64_t time = 0; time < 1000; time += 10)
        granted += ledger.take("one", limit, { 1, 0.25 }, ask_for(100), at(time)).granted;
    CHECK(granted == 2200);
    granted += ledger.take("one", limit, {}, ask_for(2500), at(1000)).granted;
    CHECK(granted == 4700);
    for (std::int64_t time = 1000; time < 7000; time += 10)
        granted += ledger.take("one", limit, {}, ask_for(100), at(time)).granted;
    CHECK(granted == 9000);
}

TEST_CASE("After a kill of all an account has its rate at once and stays inside its window", "[quota][kill]")
{
    // An account that uses whatever it gets; all VMs are killed when it has just used most of a window, and are back after
    // half a second. Nobody knows what was used.
    auto const limit = limit_of(1000, 1000);
    WindowSum sum;
    QuotaLedger before({ WINDOW });
    std::int64_t const killed = GENERATE(1000, 3000, 5000, 7000, 9500, 13'000);
    for (std::int64_t time = 0; time < killed; time += 5)
        sum.add(before.take("one", limit, {}, ask_for(20), at(time)).granted, at(time));
    QuotaLedger after({ WINDOW });
    double granted = 0;
    for (std::int64_t time = killed + 1500; time < killed + 9500; time += 5) {
        auto const given = after.take("one", limit, { 1, 1, 1 }, ask_for(20), at(time)).granted;
        granted += given;
        sum.add(given, at(time));
    }
    CHECK(granted >= 0.9 * 8000);
    // Operators put up with a tenth more, and somewhat for errors of counting.
    CHECK(sum.most <= 1.17 * 9000);
}

TEST_CASE("A small account whose use was forgotten gets a few streams at once", "[quota][kill]")
{
    // Streams of 14,000 tokens; operators put up with 120,000 over the limit.
    QuotaLedger ledger({ WINDOW, 120'000 });
    auto const small = limit_of(29'000, 29'000);
    for (int i = 0; i < 3; ++i)
        CHECK(ledger.take("one", small, { 1, 1, 1 }, ask_for(14'000), at(0)).granted == 14'000);
    CHECK(ledger.take("one", small, { 1, 1, 1 }, ask_for(14'000), at(0)).granted == 0);
    // A large one has its rate, which is soon a stream.
    auto const large = limit_of(221'000, 221'000);
    CHECK(ledger.take("two", large, { 1, 1, 1 }, ask_for(14'000), at(0)).granted == 0);
    CHECK(ledger.take("two", large, { 1, 1, 1 }, ask_for(14'000), at(300)).granted == 14'000);
}

TEST_CASE("Who is told when to come back gets it then, one behind the other", "[quota]")
{
    QuotaLedger ledger({ WINDOW });
    auto const limit = limit_of(100, 0);
    // The window is used whole, 100 in each second.
    for (std::int64_t time = 0; time < 8000; time += 250)
        REQUIRE(ledger.take("one", limit, {}, ask_for(25), at(time)).granted == 25);
    std::vector<Duration> waits;
    for (int i = 0; i < 3; ++i) {
        auto const answer = ledger.take("one", limit, {}, ask_for(50), at(7900));
        REQUIRE(answer.granted == 0);
        waits.push_back(answer.retry_after);
    }
    CHECK(waits[0] < waits[1]);
    CHECK(waits[1] < waits[2]);
    CHECK(waits[2] <= milliseconds(2000));
    // One that cannot wait so long takes no turn.
    auto hasty = ask_for(50);
    hasty.patience = milliseconds(100);
    auto const told = ledger.take("one", limit, {}, hasty, at(7900)).retry_after;
    CHECK(told > waits[2]);
    CHECK(ledger.take("one", limit, {}, ask_for(50), at(7900)).retry_after == told);
    for (auto const wait : waits)
        CHECK(ledger.take("one", limit, {}, ask_for(50), at(7900 + to_milliseconds(wait))).granted == 50);
}

TEST_CASE("In advance only accounts that are far from their limit get something", "[quota]")
{
    QuotaLedger ledger({ WINDOW });
    auto const limit = limit_of(100, 600);
    auto ask = ask_for(50);
    ask.wanted = 400;
    CHECK(ledger.take("one", limit, {}, ask, at(0)).granted == 400);
    CHECK(ledger.take("one", limit, {}, ask, at(0)).granted == 50);
    ledger.give_back("one", 10'000, at(0));
    CHECK(*ledger.free_part("one", at(0)) == 1);
    ledger.retain(AccountBook {});
    CHECK_FALSE(ledger.free_part("one", at(0)));
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
    CHECK(credit.foreseen("one", at(0)) == 0);
    for (std::int64_t time = 0; time < 8000; time += 100) {
        credit.add("one", 10, at(time));
        REQUIRE(credit.spend("one", 10, at(time)) == QuotaCredit::Outcome::Spent);
    }
    // 100 a second were used; half a second of that is asked for beside the need.
    CHECK(credit.foreseen("one", at(8000)) >= 45);
    CHECK(credit.foreseen("one", at(8000)) <= 57);
}
