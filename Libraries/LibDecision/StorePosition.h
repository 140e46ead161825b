// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <compare>
#include <cstdint>

namespace Spurtide {

/// A point in the history of the platform's store. When the store is restored from an older copy it begins a new era: the
/// latest versions are lost and are given out again. A position of a later era is the later one, whatever the versions.
class StorePosition {
public:
    /// The position before all others.
    constexpr StorePosition() = default;
    constexpr StorePosition(std::int64_t era, std::int64_t version)
        : era(era)
        , version(version)
    {
    }

    /// Larger ones are not valid; those that are fit into a number that a double holds exactly.
    static constexpr int BITS_OF_VERSION = 40;
    static constexpr std::int64_t MAXIMUM_VERSION = (std::int64_t { 1 } << BITS_OF_VERSION) - 1;
    static constexpr std::int64_t MAXIMUM_ERA = (std::int64_t { 1 } << 13) - 1;

    constexpr bool is_valid() const { return this->era >= 0 && this->era <= MAXIMUM_ERA && this->version >= 0 && this->version <= MAXIMUM_VERSION; }
    /// A single number in the order of positions; the version itself for a store that does not state its era.
    constexpr std::int64_t ordinal() const { return (this->era << BITS_OF_VERSION) | this->version; }

    constexpr auto operator<=>(StorePosition const&) const = default;

    /// Rises by one with each restoration; 0 for a store that does not state its era.
    std::int64_t era = 0;
    /// Rises with each transaction of an era.
    std::int64_t version = 0;
};

}
