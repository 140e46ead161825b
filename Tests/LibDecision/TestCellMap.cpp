// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/CellMap.h>
#include <catch2/catch.hpp>
#include <map>
#include <set>

using namespace Spurtide;

namespace {

std::vector<CellMember> engines(std::size_t count, std::size_t kinds)
{
    std::vector<CellMember> members;
    for (std::size_t i = 0; i < count; ++i)
        members.push_back({ "engine-" + std::to_string(i), "kind-" + std::to_string(i % kinds) });
    return members;
}

std::vector<std::string> machines(std::size_t count)
{
    std::vector<std::string> names;
    for (std::size_t i = 0; i < count; ++i)
        names.push_back("vm-" + std::to_string(i));
    return names;
}

}

TEST_CASE("A small data centre has one cell, a large one a cell for each VM")
{
    CHECK(CellMap::create(engines(9, 2), machines(8)).cell_count() == 1);
    CHECK(CellMap::create(engines(48, 2), machines(8)).cell_count() == 2);
    CHECK(CellMap::create(engines(460, 10), machines(13)).cell_count() == 13);
    CHECK(CellMap::create(engines(9, 2), {}).cell_count() == 0);
}

TEST_CASE("Every engine is in one cell, and every cell has its own keeper and an even share of each kind")
{
    auto const all = engines(460, 10);
    auto const map = CellMap::create(all, machines(13));
    std::set<std::string> keepers;
    std::map<std::pair<std::size_t, std::string>, std::size_t> shares;
    std::size_t placed = 0;
    for (std::size_t cell = 0; cell < map.cell_count(); ++cell) {
        keepers.insert(map.keeper_of(cell));
        placed += map.engines_of(cell).size();
    }
    for (auto const& engine : all)
        ++shares[{ map.cell_of(engine.name).value(), engine.kind }];
    CHECK(keepers.size() == 13);
    CHECK(placed == 460);
    for (auto const& [key, share] : shares)
        CHECK(share <= (46 + 12) / 13);
}

TEST_CASE("The map does not depend on the order of the lists")
{
    auto all = engines(100, 4);
    auto names = machines(5);
    auto const map = CellMap::create(all, names);
    std::reverse(all.begin(), all.end());
    std::reverse(names.begin(), names.end());
    auto const other = CellMap::create(all, names);
    for (auto const& engine : all)
        CHECK(map.cell_of(engine.name) == other.cell_of(engine.name));
    for (std::size_t cell = 0; cell < map.cell_count(); ++cell)
        CHECK(map.keeper_of(cell) == other.keeper_of(cell));
}

TEST_CASE("Replacing a VM moves few cells to other keepers")
{
    auto const all = engines(460, 10);
    auto names = machines(13);
    auto const before = CellMap::create(all, names);
    names[4] = "vm-new";
    auto const after = CellMap::create(all, names);
    int moved = 0;
    for (std::size_t cell = 0; cell < before.cell_count(); ++cell)
        moved += before.keeper_of(cell) == after.keeper_of(cell) ? 0 : 1;
    CHECK(moved <= 6);
}
