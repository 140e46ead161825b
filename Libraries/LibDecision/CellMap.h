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

/// An engine as far as its cell is concerned.
struct CellMember {
    std::string name;
    /// Model and role together; each cell gets a balanced share of every kind.
    std::string kind;
};

/// Parts a data centre's engines into cells and names the VM that keeps each. The same lists give
/// the same map on every VM.
class CellMap {
public:
    /// Engines a cell should hold at the least.
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

/// A stable score of a pair of names; the highest score wins a rendezvous.
std::uint64_t rendezvous_score(std::string_view left, std::string_view right);

}
