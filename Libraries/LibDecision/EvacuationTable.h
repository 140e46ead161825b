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

/// An operator's order that a data centre's upstreams get nothing new, or its end.
struct Evacuation {
    std::string data_centre;
    /// The registry's version of the change; a later one holds.
    std::int64_t version = 0;
    enum class State {
        Ordered,
        Over,
    } state
        = State::Ordered;

    bool operator==(Evacuation const&) const = default;
};

/// What was heard of evacuations: what changed, or all that are ordered as of a position.
struct EvacuationUpdate {
    enum class Extent {
        Snapshot,
        Delta,
    } extent
        = Extent::Delta;
    std::vector<Evacuation> evacuations;
    /// Of the whole alone: the registry's version as of which it holds.
    std::int64_t position = 0;
};

/// Which data centres are evacuated. What VMs know of it can be merged in any order: the last change of each data centre
/// holds, and an end is remembered like an order, so that late news of the order don't bring it back.
class EvacuationTable {
public:
    /// Gives the changes that were news.
    std::vector<Evacuation> take(EvacuationUpdate const& news);

    bool is_evacuated(std::string_view data_centre) const;
    /// Orders and ends, as they are told to others.
    std::vector<Evacuation> all() const;

private:
    std::map<std::string, Evacuation, std::less<>> known;
};

}
