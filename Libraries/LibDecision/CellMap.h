// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Spurtide {

/// An engine that is assigned to a cell.
struct CellMember {
    std::string name;
    /// Model and role. Engines of each kind are distributed evenly over the cells.
    std::string kind;
};

/// Partitions the engines of a data centre into cells and assigns a keeper VM to each cell by rendezvous hashing. The
/// result depends only on the two lists, so all VMs compute the same map.
class CellMap {
public:
    /// Minimum number of engines per cell.
    static constexpr std::size_t ENGINES_PER_CELL = 24;

    static CellMap create(std::span<CellMember const> engines, std::span<std::string const> virtual_machines);

    std::size_t cell_count() const { return this->keepers.size(); }
    std::optional<std::size_t> cell_of(std::string_view engine) const;
    /// The VM that keeps a cell.
    std::string const& keeper_of(std::size_t cell) const { return this->keepers.at(cell); }
    std::vector<std::size_t> cells_kept_by(std::string_view virtual_machine) const;
    std::vector<std::string> engines_of(std::size_t cell) const;

private:
    struct Assignment {
        std::string engine;
        std::size_t cell;
    };

    std::vector<std::string> keepers;
    std::vector<Assignment> assignments;
};

/// A stable score of a pair of names for rendezvous hashing; the pair with the highest score is chosen.
std::uint64_t rendezvous_score(std::string_view left, std::string_view right);

}
