// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/LeaseTerm.h>
#include <Tests/Support/StorePositions.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <vector>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

using Step = LeaseTerm::Step;

MonotonicTime at(std::int64_t time) { return MonotonicTime(milliseconds(time)); }

constexpr Duration NEEDED = milliseconds(500);

LeaseTerm make_term(std::string const& holder) { return LeaseTerm({ seconds(3), milliseconds(800) }, holder); }

}

TEST_CASE("A missing row is written at once, and the term counts from before the write", "[lapsed-lease]")
{
    auto term = make_term("a");
    CHECK(term.next_step(at(0), NEEDED) == Step::Read);
    term.note_read({}, at(10));
    REQUIRE(term.next_step(at(10), NEEDED) == Step::Write);
    CHECK(term.expected_version() == 0_v);
    term.note_write_sent(at(10));
    // The term starts when the write is sent, not when its late answer arrives.
    term.note_written(7_v, at(1000));
    CHECK(term.fence() == 7);
    CHECK(term.is_held(at(2209)));
    CHECK_FALSE(term.is_held(at(2210)));
    CHECK(term.next_step(at(1709), NEEDED) == Step::Use);
    CHECK(term.next_step(at(1711), NEEDED) == Step::Write);
    CHECK(term.expected_version() == 7_v);
}

TEST_CASE("The row of another holder is taken only after two unchanged terms on the local clock", "[lapsed-lease]")
{
    auto term = make_term("b");
    term.note_read({ LeaseRow { "a", 7_v }, {} }, at(0));
    CHECK(term.next_step(at(6799), NEEDED) == Step::Wait);
    SECTION("unchanged")
    {
        term.note_read({ LeaseRow { "a", 7_v }, {} }, at(5000));
        CHECK(term.next_step(at(6799), NEEDED) == Step::Wait);
        CHECK(term.next_step(at(6800), NEEDED) == Step::Write);
        CHECK(term.expected_version() == 7_v);
    }
    SECTION("renewed meanwhile")
    {
        term.note_read({ LeaseRow { "a", 9_v }, {} }, at(5000));
        CHECK(term.next_step(at(6800), NEEDED) == Step::Wait);
        CHECK(term.next_step(at(11'799), NEEDED) == Step::Wait);
        CHECK(term.next_step(at(11'800), NEEDED) == Step::Write);
    }
}

TEST_CASE("After a rejected or unanswered write the row is read first", "[answer-lost]")
{
    auto term = make_term("a");
    term.note_read({}, at(0));
    term.note_write_sent(at(0));
    term.note_write_failed();
    CHECK_FALSE(term.is_held(at(1)));
    CHECK(term.next_step(at(1), NEEDED) == Step::Read);
    SECTION("the write took effect")
    {
        term.note_read({ LeaseRow { "a", 3_v }, {} }, at(900));
        CHECK(term.next_step(at(900), NEEDED) == Step::Use);
        CHECK(term.fence() == 3);
        // The term starts when the write was sent, not when the row was read.
        CHECK_FALSE(term.is_held(at(2200)));
    }
    SECTION("the write did not take effect")
    {
        term.note_read({}, at(900));
        CHECK(term.next_step(at(900), NEEDED) == Step::Write);
    }
    SECTION("another process wrote first")
    {
        term.note_read({ LeaseRow { "b", 3_v }, {} }, at(900));
        CHECK(term.next_step(at(900), NEEDED) == Step::Wait);
    }
}

TEST_CASE("Reading the own row does not extend a term", "[lapsed-lease]")
{
    auto term = make_term("a");
    term.note_read({}, at(0));
    term.note_write_sent(at(0));
    term.note_written(3_v, at(5));
    term.note_read({ LeaseRow { "a", 3_v }, {} }, at(2100));
    CHECK(term.is_held(at(2100)));
    CHECK_FALSE(term.is_held(at(2200)));
    CHECK(term.next_step(at(2200), NEEDED) == Step::Write);
}

TEST_CASE("After the store was restored a term is used to its end, and none begins before it", "[lapsed-lease]")
{
    auto term = make_term("a");
    term.note_read({ LeaseRow { "a", { 1, 90 } }, { 1, 90 } }, at(0));
    term.note_write_sent(at(0));
    term.note_written({ 1, 100 }, at(5));
    auto const fence = term.fence();
    term.note_era(2, at(1000));
    CHECK(term.next_step(at(1000), NEEDED) == Step::Use);
    CHECK(term.fence() == fence);
    SECTION("the row was lost")
    {
        term.note_read({ {}, { 2, 95 } }, at(3000));
        CHECK(term.next_step(at(7799), NEEDED) == Step::Wait);
        CHECK(term.next_step(at(7800), NEEDED) == Step::Write);
        CHECK(term.expected_version() == StorePosition());
    }
    SECTION("the copy has an own row")
    {
        term.note_read({ LeaseRow { "a", { 2, 40 } }, { 2, 95 } }, at(3000));
        CHECK_FALSE(term.is_held(at(3000)));
        CHECK(term.next_step(at(9799), NEEDED) == Step::Wait);
        CHECK(term.next_step(at(9800), NEEDED) == Step::Write);
    }
    term.note_write_sent(at(10'000));
    term.note_written({ 2, 96 }, at(10'005));
    CHECK(term.is_held(at(10'100)));
    CHECK(term.fence() > fence);
}

// Guards against a term that is counted from a later write, which was rejected, when an earlier one took effect.
TEST_CASE("A term whose write was not answered is counted from the first write that may have begun it", "[lapsed-lease][answer-lost]")
{
    auto term = make_term("a");
    term.note_read({ LeaseRow { "b", 3_v }, {} }, at(0));
    REQUIRE(term.next_step(at(6800), NEEDED) == Step::Write);
    term.note_write_sent(at(6800));
    term.note_write_failed();
    // Not done yet.
    term.note_read({ LeaseRow { "b", 3_v }, {} }, at(7000));
    // The first takes effect before the second arrives.
    term.note_write_sent(at(12'000));
    term.note_write_failed();
    term.note_read({ LeaseRow { "a", 5_v }, {} }, at(12'100));
    CHECK_FALSE(term.is_held(at(12'100)));
    term.note_write_sent(at(12'200));
    term.note_written(6_v, at(12'210));
    CHECK(term.is_held(at(14'399)));
}

// Guards against two holders where a restoration lost the row of a term before this process started.
TEST_CASE("A process that starts takes a missing row at once only where it cannot have been lost", "[lapsed-lease]")
{
    struct Row {
        LeaseTerm::MissingRow missing;
        std::int64_t era;
        Step step;
    };
    auto const row = GENERATE(values<Row>({
        { LeaseTerm::MissingRow::MayBeLost, 2, Step::Wait },
        { LeaseTerm::MissingRow::MayBeLost, 0, Step::Write },
        { LeaseTerm::MissingRow::NeverWritten, 2, Step::Write },
    }));
    LeaseTerm term({ seconds(3), milliseconds(800), row.missing }, "a");
    term.note_read({ {}, { row.era, 90 } }, at(0));
    CHECK(term.next_step(at(6799), NEEDED) == row.step);
    term.note_read({ {}, { row.era, 90 } }, at(6799));
    CHECK(term.next_step(at(6800), NEEDED) == Step::Write);
}

TEST_CASE("A write that matches another row in a new era begins no term", "[lapsed-lease]")
{
    auto term = make_term("a");
    term.note_read({ LeaseRow { "a", { 1, 100 } }, { 1, 100 } }, at(0));
    REQUIRE(term.next_step(at(3000), NEEDED) == Step::Write);
    term.note_write_sent(at(3000));
    // The version was given out again, to the row of another holder.
    term.note_written({ 2, 101 }, at(3005));
    CHECK_FALSE(term.is_held(at(3005)));
    CHECK(term.next_step(at(3005), NEEDED) == Step::Read);
    term.note_read({ LeaseRow { "a", { 2, 101 } }, { 2, 101 } }, at(3010));
    CHECK_FALSE(term.is_held(at(3010)));
    CHECK(term.next_step(at(9809), NEEDED) == Step::Wait);
}

// Simulates three processes with lost answers, delayed writes, pauses and restorations of the store from older copies in virtual
// time. Orders of different holders have to be at least one term apart, and fencing tokens must never decrease.
TEST_CASE("Holders never overlap despite lost answers, delayed writes, pauses and restored stores", "[lapsed-lease][freeze][answer-lost]")
{
    auto const seed = GENERATE(range(1, 41));
    struct Variant {
        /// Writes of other rows at once.
        std::int64_t other_writes;
        /// Chance of a restoration at each step.
        double restorations;
    };
    auto const variant = GENERATE(values<Variant>({ { 0, 0 }, { 1, 0 }, { 1, 0.0005 }, { 1, 0.003 } }));
    CAPTURE(seed, variant.other_writes, variant.restorations);
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    auto const chance = [&](double share) { return std::uniform_real_distribution<double>(0, 1)(random) < share; };
    auto const some = [&](std::int64_t most) { return std::uniform_int_distribution<std::int64_t>(0, most)(random); };

    struct Write {
        std::size_t process;
        StorePosition expected;
        std::int64_t takes_effect;
    };
    struct Process {
        LeaseTerm term;
        std::int64_t busy_until = 0;
    };
    std::vector<Process> processes;
    for (auto const* name : { "a", "b", "c" })
        processes.push_back({ make_term(name) });
    struct Store {
        std::optional<LeaseRow> row;
        std::int64_t version = 0;
    };
    Store store;
    std::vector<Store> copies;
    std::int64_t era = variant.other_writes > 0 ? 1 : 0;
    std::vector<Write> late;
    std::optional<std::pair<std::size_t, std::int64_t>> last_order;
    std::int64_t last_token = 0;
    int changes_of_holder = 0;
    // The store compares the versions alone.
    auto const apply = [&](Write const& write) -> std::optional<StorePosition> {
        if ((store.row ? store.row->version.version : 0) != write.expected.version)
            return {};
        store.row = LeaseRow { processes[write.process].term.holder(), { era, ++store.version } };
        return store.row->version;
    };
    auto const restore = [&] {
        store = copies[copies.size() - 1 - static_cast<std::size_t>(some(static_cast<std::int64_t>(std::min<std::size_t>(copies.size(), 300)) - 1))];
        ++era;
        if (store.row)
            store.row->version.era = era;
    };
    for (std::int64_t now = 0; now < 120'000; now += 20) {
        copies.push_back(store);
        if (variant.other_writes > 0 && chance(variant.restorations))
            restore();
        if (variant.other_writes > 0)
            store.version += some(variant.other_writes);
        for (auto const& write : late) {
            if (write.takes_effect <= now)
                apply(write);
        }
        std::erase_if(late, [&](auto const& write) { return write.takes_effect <= now; });
        auto const index = static_cast<std::size_t>(some(2));
        auto& process = processes[index];
        if (now < process.busy_until)
            continue;
        if (chance(0.01)) {
            // Paused without noticing.
            process.busy_until = now + some(12'000);
            continue;
        }
        auto& term = process.term;
        switch (term.next_step(at(now), NEEDED)) {
        case Step::Use:
            if (last_order && last_order->first != index) {
                ++changes_of_holder;
                REQUIRE(now - last_order->second >= 3000);
            }
            REQUIRE(term.fence() >= last_token);
            last_token = term.fence();
            last_order = { index, now };
            break;
        case Step::Read:
            if (!chance(0.1))
                term.note_read({ store.row, { era, store.version } }, at(now));
            break;
        case Step::Wait:
            term.note_write_failed();
            break;
        case Step::Write: {
            Write const write { index, term.expected_version(), now + some(6000) };
            term.note_write_sent(at(now));
            if (chance(0.15)) {
                // The write is lost from the sender's view and may still take effect.
                late.push_back(write);
                term.note_write_failed();
                break;
            }
            auto const written = apply(write);
            if (!written || chance(0.2))
                term.note_write_failed();
            else
                term.note_written(*written, at(now + 5));
            break;
        }
        }
    }
    CHECK(last_order);
    // With other draws, and between restorations, there may be no time for another holder.
    if (variant.other_writes == 0)
        CHECK(changes_of_holder > 0);
}
