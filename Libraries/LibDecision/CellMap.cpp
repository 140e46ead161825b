// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/CellMap.h>
#include <algorithm>
#include <map>
#include <xxhash.h>

namespace Spurtide {

namespace {

std::vector<std::string> sorted(std::span<std::string const> names)
{
    std::vector<std::string> copy(names.begin(), names.end());
    std::sort(copy.begin(), copy.end());
    copy.erase(std::unique(copy.begin(), copy.end()), copy.end());
    return copy;
}

std::string cell_name(std::size_t cell) { return "cell-" + std::to_string(cell); }

/// Assigns each cell to the VM with the highest rendezvous score among those that do not keep a cell yet.
std::vector<std::string> choose_keepers(std::size_t cells, std::span<std::string const> virtual_machines)
{
    std::vector<std::string> available(virtual_machines.begin(), virtual_machines.end());
    std::vector<std::string> keepers;
    for (std::size_t cell = 0; cell < cells; ++cell) {
        auto const name = cell_name(cell);
        auto const best = std::max_element(available.begin(), available.end(), [&](auto const& a, auto const& b) {
            return rendezvous_score(a, name) < rendezvous_score(b, name);
        });
        keepers.push_back(*best);
        available.erase(best);
    }
    return keepers;
}

}

std::uint64_t rendezvous_score(std::string_view left, std::string_view right)
{
    auto const seed = XXH3_64bits(left.data(), left.size());
    return XXH3_64bits_withSeed(right.data(), right.size(), seed);
}

CellMap CellMap::create(std::span<CellMember const> engines, std::span<std::string const> virtual_machines)
{
    CellMap map;
    auto const machines = sorted(virtual_machines);
    if (machines.empty())
        return map;
    auto const cells = std::clamp<std::size_t>(engines.size() / ENGINES_PER_CELL, 1, machines.size());
    map.keepers = choose_keepers(cells, machines);

    std::map<std::string, std::vector<std::string>> by_kind;
    for (auto const& engine : engines)
        by_kind[engine.kind].push_back(engine.name);
    for (auto& [kind, names] : by_kind) {
        std::sort(names.begin(), names.end());
        // Bounded load: no cell takes more than its even share of a kind, rounded up.
        std::size_t const bound = (names.size() + cells - 1) / cells;
        std::vector<std::size_t> load(cells, 0);
        for (auto const& name : names) {
            std::size_t best = cells;
            for (std::size_t cell = 0; cell < cells; ++cell) {
                if (load[cell] >= bound)
                    continue;
                if (best == cells || rendezvous_score(cell_name(cell), name) > rendezvous_score(cell_name(best), name))
                    best = cell;
            }
            ++load[best];
            map.assignments.push_back({ name, best });
        }
    }
    std::sort(map.assignments.begin(), map.assignments.end(), [](auto const& a, auto const& b) { return a.engine < b.engine; });
    return map;
}

std::optional<std::size_t> CellMap::cell_of(std::string_view engine) const
{
    auto const found = std::lower_bound(this->assignments.begin(), this->assignments.end(), engine, [](auto const& assignment, auto name) { return assignment.engine < name; });
    if (found == this->assignments.end() || found->engine != engine)
        return {};
    return found->cell;
}

std::vector<std::size_t> CellMap::cells_kept_by(std::string_view virtual_machine) const
{
    std::vector<std::size_t> kept;
    for (std::size_t cell = 0; cell < this->keepers.size(); ++cell) {
        if (this->keepers[cell] == virtual_machine)
            kept.push_back(cell);
    }
    return kept;
}

std::vector<std::string> CellMap::engines_of(std::size_t cell) const
{
    std::vector<std::string> engines;
    for (auto const& assignment : this->assignments) {
        if (assignment.cell == cell)
            engines.push_back(assignment.engine);
    }
    return engines;
}

}
