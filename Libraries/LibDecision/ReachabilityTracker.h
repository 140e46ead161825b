// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Spurtide {

/// The identity and the data centre of an upstream.
struct UpstreamLocation {
    std::string identity;
    std::string data_centre;
};

/// Tracks which upstreams this VM can reach. An upstream that does not respond to requests for a while is probed by a
/// connection. If the connection fails, it receives no requests and is probed until a connection succeeds. A data
/// centre counts as cut off if several of its upstreams are unreachable and none responds. The VM itself counts as
/// partitioned if connections to several upstreams fail and none is established, also not to further ones; connections that
/// were open before may go on. Time is passed in, and the caller performs the probes.
class ReachabilityTracker {
public:
    struct Options {
        /// How long an upstream may be silent with requests in flight before it is probed. Longer than most responses
        /// take.
        Duration silence = milliseconds(300);
        /// How long an upstream that refuses new connections may be silent on its open ones with requests in flight.
        Duration silence_while_refusing = milliseconds(1000);
        /// Minimum time between two probes of an upstream.
        Duration probe_interval = milliseconds(300);
        /// A data centre is not cut off if any of its upstreams responded this recently.
        Duration data_centre_silence = milliseconds(300);
        /// Unreachable upstreams at which a data centre counts as cut off.
        std::size_t data_centre_failures = 2;
        /// Further upstreams of a cut-off data centre to probe in each round, in addition to those that are unreachable
        /// or silent.
        std::size_t partition_probes = 1;
        /// Unreachable upstreams at which this VM may be partitioned, and probes further upstreams to find out: those that became
        /// unreachable since a connection was last established, or any while no upstream responds.
        std::size_t partition_failures = 2;
        /// How long those probes may stay unanswered before this VM counts as partitioned: a connection attempt and some
        /// margin.
        Duration partition_confirmation = milliseconds(350);
        /// Unreachable upstreams probed in one round while this VM is partitioned.
        std::size_t probes_per_round = 4;
    };

    ReachabilityTracker(Options options, std::string own_data_centre);

    void note_sent(std::string_view identity, std::string_view data_centre, MonotonicTime now);
    /// Records that the upstream sent something, such as a part of a response.
    void note_response(std::string_view identity, MonotonicTime now);
    /// Records the end of a request to the upstream, whatever its outcome.
    void note_finished(std::string_view identity);

    void note_probe(std::string_view identity, MonotonicTime now);
    void note_reached(std::string_view identity, std::string_view data_centre, MonotonicTime now);
    void note_unreachable(std::string_view identity, std::string_view data_centre, MonotonicTime now);

    enum class Isolation {
        None,
        /// No VM of another data centre responds.
        OwnDataCentre,
    };
    /// Sets whether this VM's data centre is isolated according to the membership. Each other data centre counts as cut
    /// off from then on, until one of its upstreams responds.
    void set_isolation(Isolation isolation, MonotonicTime now);

    bool is_reachable(std::string_view identity, std::string_view data_centre, MonotonicTime now) const;
    /// Whether requests in flight at an unreachable upstream wait in vain, as far as can be told.
    bool is_unresponsive(std::string_view identity, MonotonicTime now) const;
    /// Whether the upstream sent something, or accepted a connection, at that time or later.
    bool has_responded_since(std::string_view identity, MonotonicTime since) const;
    /// Whether a probe of the upstream may be sent now.
    bool may_probe(std::string_view identity, MonotonicTime now) const;
    /// Since when connections to the upstream have failed; empty if it counts as reachable.
    std::optional<MonotonicTime> unreachable_since(std::string_view identity) const;
    bool is_cut_off(std::string_view data_centre, MonotonicTime now) const;
    bool is_any_cut_off(MonotonicTime now) const;
    /// Number of upstreams to which the last connection attempt failed.
    std::size_t unreachable_count() const { return this->unreachable; }
    /// Whether this VM cannot connect to any upstream, although it has tried several.
    bool is_partitioned(MonotonicTime now) const;
    /// Whether this VM should connect to the upstream itself.
    bool has_direct_path(std::string_view identity, std::string_view data_centre, MonotonicTime now) const { return !this->is_partitioned(now) && this->is_reachable(identity, data_centre, now); }
    /// When any upstream last responded; empty before the first response.
    std::optional<MonotonicTime> last_contact() const { return this->last_response; }
    /// Whether enough connections failed for this VM to be partitioned.
    bool may_be_partitioned(MonotonicTime now) const { return this->suspected_since(now).has_value(); }
    /// Whether further upstreams have to be probed to find out if this VM, or a data centre, is cut off, or no longer is.
    bool needs_partition_probes(MonotonicTime now) const { return this->new_failures > 0 || this->may_be_partitioned(now) || this->is_any_cut_off(now); }
    /// Returns the upstreams to probe now because they are silent or unreachable.
    std::vector<std::string> due_probes(MonotonicTime now);
    /// Returns further upstreams to probe in data centres that count as cut off, or in all if this VM may be partitioned, in
    /// order to detect the extent of the partition and its end. If an upstream became unreachable and no connection has been
    /// established since, returns at least one, in any data centre: only its connection tells a crashed upstream from a
    /// partition while requests go to no other upstream.
    std::vector<std::string> due_partition_probes(std::span<UpstreamLocation const> upstreams, MonotonicTime now);
    /// Forgets upstreams that are no longer listed and have no requests in flight.
    void retain(std::function<bool(std::string_view)> const& is_listed);

private:
    enum class Reachability {
        Reachable,
        Unreachable,
    };

    struct Entry {
        std::string data_centre;
        std::int64_t in_flight = 0;
        /// When the upstream last responded, or when the first request after that was sent.
        MonotonicTime waiting_since;
        MonotonicTime last_probe;
        Reachability reachability = Reachability::Reachable;
        MonotonicTime unreachable_since;
        std::optional<MonotonicTime> last_response;
    };

    struct DataCentre {
        std::optional<MonotonicTime> last_response;
        std::size_t unreachable = 0;
    };

    void set_reachability(Entry& entry, Reachability reachability);
    /// Since when this VM may be partitioned; empty if it is not.
    std::optional<MonotonicTime> suspected_since(MonotonicTime now) const;
    void note_contact(std::string_view data_centre, MonotonicTime now);
    bool needs_probe(Entry const& entry, MonotonicTime now) const;
    bool was_probed(Entry const& entry, MonotonicTime now) const { return now - entry.last_probe < this->options.probe_interval; }

    Options options;
    std::string own_data_centre;
    std::map<std::string, Entry, std::less<>> entries;
    std::map<std::string, DataCentre, std::less<>> data_centres;
    /// In all data centres.
    std::size_t unreachable = 0;
    std::optional<MonotonicTime> isolated_since;
    /// When any upstream last responded.
    std::optional<MonotonicTime> last_response;
    /// When several upstreams were unreachable for the first time since a connection was last established.
    std::optional<MonotonicTime> failing_since;
    /// Upstreams that became unreachable since then.
    std::size_t new_failures = 0;
    std::size_t probe_rotation = 0;
    std::size_t round_rotation = 0;
};

}
