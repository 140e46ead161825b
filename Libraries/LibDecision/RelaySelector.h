// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Spurtide {

/// Another VM that offers to relay requests to upstreams.
struct RelayCandidate {
    std::string virtual_machine;
    std::string data_centre;
    /// Empty if unknown.
    std::string region;
    /// Where it takes relayed requests, as HOST:PORT.
    std::string address;
};

/// Selects the VM that relays a request to an upstream which this VM cannot reach itself. Nearby VMs are preferred until they
/// have several of this VM's requests in flight. Each VM uses a few relays of each distance, chosen by rendezvous hashing, so
/// that the load of a data centre without paths of its own is spread over all others and connections stay bounded. Time is
/// passed in.
class RelaySelector {
public:
    struct Options {
        /// Relays used of each distance.
        std::size_t relays_per_distance = 4;
        /// Requests in flight at which a relay in the same region is as good as one in the same data centre.
        std::int64_t region_penalty = 4;
        /// The same for a relay in another region.
        std::int64_t remote_penalty = 12;
        /// How long a relay that failed, or could not relay, is not used.
        Duration backoff = milliseconds(1000);
    };

    RelaySelector(Options options, std::string own_virtual_machine, std::string own_data_centre, std::string own_region);

    /// Replaces the VMs that offer to relay.
    void set_candidates(std::vector<RelayCandidate> candidates);

    /// Whether a VM may be used for a request.
    using Filter = std::function<bool(RelayCandidate const&)>;
    /// Selects a relay; empty if there is none that may be used.
    std::optional<RelayCandidate> choose(
        MonotonicTime now, Filter const& may_use = [](auto const&) { return true; }) const;

    void note_sent(std::string_view virtual_machine);
    void note_end(std::string_view virtual_machine);
    /// Records that the relay did not answer, or cannot relay now.
    void note_failure(std::string_view virtual_machine, MonotonicTime now);

private:
    enum class Distance {
        SameDataCentre,
        SameRegion,
        OtherRegion,
    };

    struct RelayState {
        std::int64_t in_flight = 0;
        MonotonicTime unused_until;
    };

    Distance distance_of(RelayCandidate const& candidate) const;
    std::int64_t cost_of(RelayCandidate const& candidate) const;
    bool is_in_backoff(std::string_view virtual_machine, MonotonicTime now) const;

    Options options;
    std::string own_virtual_machine;
    std::string own_data_centre;
    std::string own_region;
    /// Nearest first; those of one distance by their rendezvous score.
    std::vector<RelayCandidate> candidates;
    std::map<std::string, RelayState, std::less<>> states;
};

}
