// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <LibDecision/CellScheduler.h>
#include <LibDecision/EvacuationTable.h>
#include <LibDecision/UpstreamIncarnation.h>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Spurtide {

/// An upstream as announced in the registry.
struct UpstreamRecord {
    /// An upstream may restart under the same identity, without any of its earlier state.
    std::string identity;
    std::string service;
    /// HOST:PORT.
    std::string address;
    std::string data_centre;
    std::int64_t slots = 1;
    enum class Life {
        Serving,
        Leaving,
    } life
        = Life::Serving;
    /// Set for engines.
    std::optional<EngineRole> role;
    /// Number of orders that the engine has accepted since its start.
    std::int64_t orders_taken = 0;
    /// Start time in milliseconds since the epoch by the upstream's clock, which distinguishes two incarnations; 0 if
    /// not reported.
    std::int64_t started = 0;
    /// Remaining warm-up time as of the registry entry. During warm-up the upstream handles a limited request rate.
    Duration cold_for {};
    /// End of the warm-up on this VM's clock; set by the list.
    MonotonicTime cold_until {};

    bool operator==(UpstreamRecord const&) const = default;
};

/// A change of one entry: a new record, or its removal.
struct UpstreamChange {
    std::string identity;
    /// Empty if the upstream was removed.
    std::optional<UpstreamRecord> record;
    /// The version of the list with this change.
    std::int64_t version = 0;
};

/// The update that one VM sends to another: a snapshot, or the changes since the version that the other VM has.
struct UpstreamListing {
    enum class Extent {
        Snapshot,
        Delta,
    } extent
        = Extent::Snapshot;
    std::int64_t version = 0;
    std::vector<UpstreamRecord> records;
    /// Identities of removed upstreams; set for deltas only.
    std::vector<std::string> removed;
};

/// The known upstreams, and which of them accept new work. Entries that expire during a registry outage are retained
/// for a short time after it, as live upstreams announce themselves again; entries removed while the registry is
/// available disappear at once. Upstreams of an evacuated data centre, and those that announced their departure in a
/// response, are presented as leaving, so that all are treated alike; peers receive the state that the registry has.
class UpstreamList {
public:
    struct Options {
        /// How long expired entries are retained after the registry has recovered.
        Duration lapse_grace = milliseconds(1800);
        /// Removals kept for peers that request a delta. A peer that requests older ones receives a snapshot.
        std::size_t remembered_removals = 1024;
        /// Departures kept for upstreams that are no longer listed, as their entries may come back.
        std::size_t remembered_departures = 1024;
    };

    explicit UpstreamList(Options options)
        : options(options)
    {
    }

    enum class RegistryState {
        Available,
        Unreachable,
    };
    /// Sets whether the registry can currently be read.
    void note_registry(RegistryState state, MonotonicTime now);

    void apply(UpstreamChange const& change, MonotonicTime now);
    enum class SnapshotResult {
        Adopted,
        /// The snapshot is older than the list.
        Ignored,
    };
    /// Replaces the list with a snapshot as of a position; entries not contained in it are removed. Each entry has the
    /// version of its last change.
    SnapshotResult replace(std::vector<UpstreamChange> const& listed, std::int64_t position, MonotonicTime now);
    /// Returns what a peer with the given version is missing.
    UpstreamListing listing_since(std::int64_t known_version) const;
    /// Merges an update from a peer; outdated changes are ignored.
    void merge(UpstreamListing const& listing, MonotonicTime now);
    /// Merges the update and returns the evacuations whose state changed.
    std::vector<Evacuation> merge(EvacuationUpdate const& update);
    EvacuationTable const& evacuations() const { return this->evacuation_table; }
    /// Records that an upstream announced its departure. It is leaving from then on, even if the registry lists it as
    /// serving; its next incarnation is not. Returns whether its state changed.
    bool note_departure(UpstreamIncarnation const& upstream);
    /// Whether this incarnation announced its departure in a response.
    bool has_departed(UpstreamRecord const& record) const;
    /// Returns the upstreams that announced their departure but are listed as serving in the registry.
    std::vector<UpstreamIncarnation> unregistered_departures() const;
    /// Hash of the above; 0 if there are none.
    std::uint64_t departures_digest() const;
    /// Drops retained entries whose time is over. Returns whether there were any.
    bool advance(MonotonicTime now);

    /// The version of the latest known change. Equal lists may have been read at different registry positions.
    std::int64_t version() const { return this->current_version; }
    /// Returns all entries, including retained ones.
    std::vector<UpstreamRecord> records() const;
    /// Visits all entries without copying them, which is expensive with thousands of upstreams.
    void for_each(std::function<void(UpstreamRecord const&)> const& visit) const;
    /// Whether the upstream accepts new work.
    bool takes_work(std::string_view identity) const;
    UpstreamRecord const* find(std::string_view identity) const;
    std::size_t size() const { return this->entries.size(); }

private:
    struct Entry {
        /// Its state is Leaving if the data centre is evacuated or the upstream announced its departure.
        UpstreamRecord record;
        /// The state in the registry.
        UpstreamRecord::Life announced_life = UpstreamRecord::Life::Serving;
        std::int64_t version = 0;
        /// Set if the entry has expired and is retained.
        std::optional<MonotonicTime> retained_until;
    };

    bool was_recently_unreachable(MonotonicTime now) const;
    void update_life(Entry& entry) const;
    bool is_older(UpstreamChange const& change) const;
    void remember_removal(std::string const& identity, std::int64_t version);
    void remove_or_retain(std::string const& identity, MonotonicTime now);
    void forget_old_departures();

    Options options;
    std::map<std::string, Entry, std::less<>> entries;
    EvacuationTable evacuation_table;
    /// Start times of the incarnations that announced their departure, by identity.
    std::map<std::string, std::int64_t, std::less<>> departures;
    std::int64_t current_version = 0;
    /// The version of each removal. Removals before `removals_known_from` are incomplete.
    std::map<std::string, std::int64_t, std::less<>> removals;
    std::int64_t removals_known_from = 0;
    RegistryState registry = RegistryState::Available;
    std::optional<MonotonicTime> returned_at;
    /// Number of retained entries. Usually zero, which makes advance() cheap.
    std::size_t retained_entries = 0;
};

}
