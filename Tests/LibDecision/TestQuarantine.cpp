// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/Quarantine.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <limits>
#include <random>

using namespace Spurtide;

namespace {

constexpr std::int64_t NOW = 1'800'000'000'000;
constexpr std::int64_t HOUR = 3600 * 1000;

RequestFingerprint request_number(int number) { return RequestFingerprint::of({ "POST", "h.example", "/x", "", std::to_string(number) }); }

}

TEST_CASE("A request is held for an hour, then on probation, and each time for twice as long", "[quarantine]")
{
    Quarantine quarantine { Quarantine::Options {} };
    auto const request = request_number(1);
    CHECK_FALSE(quarantine.held_for(request, NOW));
    CHECK_FALSE(quarantine.is_on_probation(request, NOW));
    quarantine.add(request, NOW);
    CHECK(quarantine.held_for(request, NOW) == seconds(3600));
    CHECK(quarantine.held_for(request, NOW + HOUR - 1) == milliseconds(1));
    CHECK_FALSE(quarantine.is_on_probation(request, NOW + HOUR - 1));
    CHECK_FALSE(quarantine.held_for(request, NOW + HOUR));
    CHECK(quarantine.is_on_probation(request, NOW + HOUR));
    quarantine.add(request, NOW + HOUR);
    CHECK(quarantine.held_for(request, NOW + HOUR) == seconds(2 * 3600));
    for (int i = 0; i < 100; ++i)
        quarantine.add(request, NOW + HOUR);
    CHECK(quarantine.held_for(request, NOW + HOUR) == Quarantine::Options {}.maximum_hold);
    auto const much_later = NOW + 50 * HOUR;
    CHECK_FALSE(quarantine.is_on_probation(request, much_later));
    quarantine.forget_old(much_later);
    CHECK(quarantine.entries().empty());
    CHECK(quarantine.digest() == 0);
}

TEST_CASE("VMs that merge the same entries, in any order and repeatedly, converge", "[quarantine]")
{
    for (unsigned seed = 0; seed < 200; ++seed) {
        std::mt19937 random(seed);
        std::vector<QuarantineEntry> entries;
        for (int i = 0; i < 30; ++i)
            entries.push_back({ request_number(static_cast<int>(random() % 5)), 1 + static_cast<std::int64_t>(random() % 3), NOW + static_cast<std::int64_t>(random() % HOUR) });
        Quarantine::Options options;
        options.capacity = 3 + seed % 3;
        Quarantine first { options };
        Quarantine second { options };
        for (auto const& entry : entries)
            first.merge(entry, NOW);
        std::shuffle(entries.begin(), entries.end(), random);
        for (auto const& entry : entries)
            second.merge(entry, NOW);
        // Entries that were evicted are sent again.
        for (auto const& entry : second.entries())
            first.merge(entry, NOW);
        for (auto const& entry : first.entries())
            second.merge(entry, NOW);
        CHECK(first.entries() == second.entries());
        CHECK(first.digest() == second.digest());
        CHECK(first.entries().size() <= options.capacity);
    }
}

TEST_CASE("Implausible entries are rejected", "[quarantine]")
{
    constexpr auto LEAST = std::numeric_limits<std::int64_t>::min();
    constexpr auto MOST = std::numeric_limits<std::int64_t>::max();
    auto const request = request_number(1);
    Quarantine quarantine { Quarantine::Options {} };
    for (auto const& entry : { QuarantineEntry { request, 0, NOW + HOUR }, QuarantineEntry { request, -1, NOW + HOUR }, QuarantineEntry { request, MOST, NOW + HOUR }, QuarantineEntry { request, 1, MOST }, QuarantineEntry { request, 1, LEAST }, QuarantineEntry { request, 1, NOW + 1000 * HOUR } }) {
        CHECK(quarantine.merge(entry, NOW) == Quarantine::MergeResult::Unchanged);
        CHECK_FALSE(quarantine.held_for(request, NOW));
    }
    CHECK(quarantine.merge({ request, 1, NOW + HOUR }, NOW) == Quarantine::MergeResult::Changed);
    CHECK(quarantine.merge({ request, 1, NOW + HOUR }, NOW) == Quarantine::MergeResult::Unchanged);
}
