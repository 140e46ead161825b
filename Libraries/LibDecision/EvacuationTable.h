// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Spurtide {

/// An operator's order to send no new work to the upstreams of a data centre, or the end of such an order.
struct Evacuation {
    std::string data_centre;
    /// The registry's version of the change; the highest version wins.
    std::int64_t version = 0;
    enum class State {
        Ordered,
        Over,
    } state
        = State::Ordered;

    bool operator==(Evacuation const&) const = default;
};

/// An update of the evacuations: either a delta, or a snapshot of all that are ordered as of a position.
struct EvacuationUpdate {
    enum class Extent {
        Snapshot,
        Delta,
    } extent
        = Extent::Delta;
    std::vector<Evacuation> evacuations;
    /// Set for snapshots only: the registry version that the snapshot reflects.
    std::int64_t position = 0;
};

/// The evacuated data centres. Updates can be merged in any order: the latest change per data centre wins, and ended
/// evacuations are kept as tombstones so that a delayed update does not revive them.
class EvacuationTable {
public:
    /// Merges the update and returns the data centres whose state changed.
    std::vector<Evacuation> merge(EvacuationUpdate const& update);

    bool is_evacuated(std::string_view data_centre) const;
    /// Returns orders and tombstones, as they are sent to peers.
    std::vector<Evacuation> all() const;

private:
    std::map<std::string, Evacuation, std::less<>> known;
};

}
