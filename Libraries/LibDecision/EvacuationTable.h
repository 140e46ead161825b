// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <LibDecision/StorePosition.h>
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
    StorePosition version;
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
    StorePosition position;
};

/// The evacuated data centres. Updates can be merged in any order: the latest change per data centre wins, and ended
/// evacuations are kept as tombstones so that a delayed update does not revive them. When the registry begins a new era, a
/// state that its older copy contradicts is kept until the operators had the time to write it again.
class EvacuationTable {
public:
    struct Options {
        /// How long operators may take to write again what a new era lacks.
        Duration settle_time = seconds(3);
    };

    explicit EvacuationTable(Options options)
        : options(options)
    {
    }

    /// Merges the update and returns the data centres whose state changed. What an earlier era said is ignored.
    std::vector<Evacuation> merge(EvacuationUpdate const& update, MonotonicTime now);
    /// Begins a new era; changes up to the position may come from the older copy. Ignored if the era is not later.
    void enter_era(StorePosition position, MonotonicTime now);
    /// Adopts the states that the new era still has once the time to contradict them is over; returns those that changed.
    std::vector<Evacuation> advance(MonotonicTime now);

    bool is_evacuated(std::string_view data_centre) const;
    /// Returns orders and tombstones, as they are sent to peers.
    std::vector<Evacuation> all() const;

private:
    enum class Origin {
        Row,
        /// A snapshot lacks the row.
        Absence,
    };

    bool is_doubtful(Evacuation const& known_state, Evacuation const& received, Origin origin, MonotonicTime now) const;
    void merge_one(Evacuation const& received, Origin origin, MonotonicTime now, std::vector<Evacuation>& changes);

    Options options;
    std::map<std::string, Evacuation, std::less<>> known;
    /// States of the new era that contradict known ones.
    std::map<std::string, Evacuation, std::less<>> doubtful;
    StorePosition era_entered;
    MonotonicTime settled_at;
};

}
