// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/EngineSubset.h>
#include <algorithm>
#include <catch2/catch.hpp>

using namespace Spurtide;

namespace {

/// Engines of one model, spread over data centres.
struct Fleet {
    Fleet(std::size_t engines, std::size_t data_centres)
    {
        for (std::size_t i = 0; i < engines; ++i)
            this->names.push_back("engine-" + std::to_string(i));
        for (std::size_t i = 0; i < data_centres; ++i)
            this->places.push_back("dc-" + std::to_string(i));
        for (std::size_t i = 0; i < engines; ++i)
            this->candidates.push_back({ this->names[i], "model", this->places[i % data_centres] });
    }

    std::vector<std::string> names;
    std::vector<std::string> places;
    std::vector<SubsetCandidate> candidates;
};

std::size_t count_in(Fleet const& fleet, std::vector<std::size_t> const& chosen, std::string_view data_centre)
{
    return static_cast<std::size_t>(std::count_if(chosen.begin(), chosen.end(), [&](auto index) { return fleet.candidates[index].data_centre == data_centre; }));
}

std::vector<std::size_t> common(std::vector<std::size_t> const& one, std::vector<std::size_t> const& other)
{
    std::vector<std::size_t> both;
    std::set_intersection(one.begin(), one.end(), other.begin(), other.end(), std::back_inserter(both));
    return both;
}

}

TEST_CASE("The subset does not grow with the fleet and covers each data centre", "[fleet]")
{
    auto const engines = GENERATE(8'650, 20'000, 40'000);
    Fleet const fleet(static_cast<std::size_t>(engines), 5);
    EngineSubset subset({ 32 });
    auto const chosen = subset.choose(fleet.candidates);
    CHECK(chosen.size() == 160);
    for (auto const& place : fleet.places)
        CHECK(count_in(fleet, chosen, place) == 32);
    CHECK(subset.is_partial("model"));
}

TEST_CASE("A deployment of hundreds of upstreams uses all of its engines", "[fleet]")
{
    Fleet const fleet(90, 3);
    EngineSubset subset({ 32 });
    CHECK(subset.choose(fleet.candidates).size() == 90);
    CHECK_FALSE(subset.is_partial("model"));
}

TEST_CASE("A new keeper selects the same engines, and small changes of the fleet change little", "[fleet][kill]")
{
    Fleet const fleet(8'650, 5);
    EngineSubset first({ 32 });
    EngineSubset second({ 32 });
    auto const chosen = first.choose(fleet.candidates);
    CHECK(second.choose(fleet.candidates) == chosen);
    // A tenth of the selected engines is removed.
    auto fewer = fleet.candidates;
    for (std::size_t i = 0; i < chosen.size(); i += 10)
        fewer[chosen[i]].model = "gone";
    auto const after = second.choose(fewer);
    CHECK(common(chosen, after).size() == chosen.size());
    CHECK(after.size() == chosen.size() + 16);
}

TEST_CASE("Engines that leave at once are replaced by the next selection", "[fleet][leaving]")
{
    Fleet fleet(8'650, 5);
    EngineSubset subset({ 32 });
    auto const chosen = subset.choose(fleet.candidates);
    for (std::size_t i = 0; i < chosen.size(); i += 2)
        fleet.candidates[chosen[i]].life = SubsetCandidate::Life::Leaving;
    auto const after = subset.choose(fleet.candidates);
    auto const serving = std::count_if(after.begin(), after.end(), [&](auto index) { return fleet.candidates[index].life == SubsetCandidate::Life::Serving; });
    CHECK(serving == 160);
    // Leaving engines stay selected, because their running requests still have to be counted.
    CHECK(common(chosen, after) == chosen);
}

TEST_CASE("The subset grows on demand until it includes all engines", "[fleet][burst]")
{
    Fleet const fleet(8'650, 5);
    EngineSubset subset({ 32 });
    auto chosen = subset.choose(fleet.candidates);
    int growths = 0;
    while (subset.is_partial("model")) {
        subset.grow("model");
        ++growths;
        auto const more = subset.choose(fleet.candidates);
        CHECK(common(chosen, more) == chosen);
        chosen = more;
    }
    CHECK(chosen.size() == 8'650);
    CHECK(growths == 6);
    subset.grow("model");
    CHECK(subset.choose(fleet.candidates).size() == 8'650);
}

TEST_CASE("An engine with requests of another keeper is included", "[fleet][kill]")
{
    Fleet fleet(8'650, 5);
    EngineSubset subset({ 32 });
    auto const chosen = subset.choose(fleet.candidates);
    std::size_t other = 0;
    while (std::binary_search(chosen.begin(), chosen.end(), other))
        ++other;
    subset.pin(fleet.names[other]);
    auto const after = subset.choose(fleet.candidates);
    CHECK(std::binary_search(after.begin(), after.end(), other));
    CHECK(common(chosen, after) == chosen);
    CHECK(after.size() == 161);
}
