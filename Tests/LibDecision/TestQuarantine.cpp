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

// Guards against refusing prompts that share only some of the parts of those that crash engines.
TEST_CASE("Parts hold the prompts that have all of them, until they are lifted", "[quarantine][crashing-part]")
{
    auto const part = [](std::string_view name) { return PromptPart::of("m", name); };
    auto const held = make_prompt_parts({ part("system"), part("bad") });
    auto const longer = make_prompt_parts({ part("system"), part("tools"), part("bad") });
    Quarantine quarantine { Quarantine::Options {} };
    auto const entry = quarantine.add(held, NOW);
    CHECK(quarantine.held_for(held, NOW) == Quarantine::Options {}.first_hold_of_parts);
    CHECK(quarantine.held_for(longer, NOW) == Quarantine::Options {}.first_hold_of_parts);
    CHECK_FALSE(quarantine.held_for(make_prompt_parts({ part("system") }), NOW));
    CHECK_FALSE(quarantine.held_for(PromptParts {}, NOW));

    Quarantine other { Quarantine::Options {} };
    // A VM of an older version passes it on without the parts.
    auto without_parts = entry;
    without_parts.parts.clear();
    other.merge(without_parts, NOW);
    CHECK_FALSE(other.held_for(held, NOW));
    CHECK(other.merge(entry, NOW) == Quarantine::MergeResult::Changed);
    CHECK(other.held_for(held, NOW));
    CHECK(other.digest() == quarantine.digest());

    auto const lifted = quarantine.lift(longer, NOW);
    REQUIRE(lifted.size() == 1);
    CHECK_FALSE(quarantine.held_for(held, NOW));
    other.merge(lifted.front(), NOW);
    other.merge(entry, NOW);
    CHECK_FALSE(other.held_for(held, NOW));
    CHECK(other.digest() == quarantine.digest());
    quarantine.add(held, NOW);
    CHECK(quarantine.held_for(held, NOW));
}

TEST_CASE("An entry whose parts do not match its fingerprint is rejected", "[quarantine][crashing-part]")
{
    Quarantine quarantine { Quarantine::Options {} };
    auto const parts = make_prompt_parts({ PromptPart::of("m", "system") });
    QuarantineEntry forged { request_number(1), 1, NOW + HOUR };
    forged.parts = parts;
    CHECK(quarantine.merge(forged, NOW) == Quarantine::MergeResult::Unchanged);
    QuarantineEntry too_many { request_number(1), 1, NOW + HOUR };
    for (std::uint64_t i = 0; i < 1000; ++i)
        too_many.parts.push_back({ i });
    too_many.request = RequestFingerprint::of_parts(too_many.parts);
    CHECK(quarantine.merge(too_many, NOW) == Quarantine::MergeResult::Unchanged);
    CHECK_FALSE(quarantine.held_for(parts, NOW));
    CHECK(quarantine.size() == 0);
}
