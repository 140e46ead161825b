// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <LibDecision/CellScheduler.h>
#include <LibDecision/EvacuationTable.h>
#include <LibDecision/StorePosition.h>
#include <LibDecision/UpstreamIncarnation.h>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
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
    /// Version of the upstream's software, which differs from that of an engine's weights; empty if unknown.
    std::string software_version {};
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
    StorePosition version;
};

/// The update that one VM sends to another: a snapshot, or the changes since the version that the other VM has.
struct UpstreamListing {
    enum class Extent {
        Snapshot,
        Delta,
    } extent
        = Extent::Snapshot;
    StorePosition version;
    std::vector<UpstreamRecord> records;
    /// Identities of removed upstreams; set for deltas only.
    std::vector<std::string> removed;
};

/// The known upstreams, and which of them accept new work. Entries that expire during a registry outage are retained
/// for a short time after it, as live upstreams announce themselves again; entries removed while the registry is
/// available disappear at once. When the registry begins a new era, what is known and its older copy contradicts holds until
/// there was time to write it again. Upstreams of an evacuated data centre, and those that announced their departure in a
/// response, are presented as leaving, so that all are treated alike; peers receive the state that the registry has.
class UpstreamList {
public:
    struct Options {
        /// How long expired entries are retained after the registry has recovered.
        Duration lapse_grace = milliseconds(1800);
        /// How long upstreams and operators may take to write again what a new era lacks. Upstreams need about two seconds.
        Duration rewrite_grace = seconds(3);
        /// How long an upstream whose removal a new era lacks stays out of use. Longer than the registry needs to remove the
        /// entry of a silent upstream once more.
        Duration lost_removal_hold = seconds(10);
        /// Removals kept for peers that request a delta. A peer that requests older ones receives a snapshot.
        std::size_t remembered_removals = 1024;
        /// How long the software versions of upstreams that are no longer listed are remembered.
        Duration remembered_versions = seconds(600);
        /// Departures kept for upstreams that are no longer listed, as their entries may come back.
        std::size_t remembered_departures = 1024;
    };

    explicit UpstreamList(Options options)
        : options(options)
        , evacuation_table({ options.rewrite_grace })
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
    SnapshotResult replace(std::vector<UpstreamChange> const& listed, StorePosition position, MonotonicTime now);
    /// Returns what a peer with the given version is missing; a snapshot if that version is of an earlier era.
    UpstreamListing listing_since(StorePosition known_version) const;
    /// Merges an update from a peer; outdated changes are ignored, and so are changes relative to a list of another era.
    void merge(UpstreamListing const& listing, MonotonicTime now);
    /// Merges the update and returns the evacuations whose state changed.
    std::vector<Evacuation> merge(EvacuationUpdate const& update, MonotonicTime now);
    /// Adopts what a new era says of evacuations once there was time to write them again; returns those that changed.
    std::vector<Evacuation> advance_evacuations(MonotonicTime now);
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
    /// Drops retained entries whose time is over, and ends the holds of lost removals. Returns whether any upstream changed.
    bool advance(MonotonicTime now);

    /// The version of the latest known change. Equal lists may have been read at different registry positions.
    StorePosition version() const { return this->current_version; }
    /// Returns all entries, including retained ones.
    std::vector<UpstreamRecord> records() const;
    /// Visits all entries without copying them, which is expensive with thousands of upstreams.
    void for_each(std::function<void(UpstreamRecord const&)> const& visit) const;
    /// Whether the upstream accepts new work.
    bool takes_work(std::string_view identity) const;
    UpstreamRecord const* find(std::string_view identity) const;
    /// The software version that all upstreams of the service had during the given time up to the last update, listed or not any
    /// more. Empty if there were several, or if this list may have missed some.
    std::optional<std::string> only_software_version(std::string_view service, Duration lookback, MonotonicTime now) const;
    std::size_t size() const { return this->entries.size(); }

private:
    struct Entry {
        /// Its state is Leaving if the data centre is evacuated, the upstream announced its departure or its removal was lost.
        UpstreamRecord record;
        /// The state in the registry.
        UpstreamRecord::Life announced_life = UpstreamRecord::Life::Serving;
        StorePosition version;
        /// Set if the entry has expired and is retained.
        std::optional<MonotonicTime> retained_until;
    };

    struct Removal {
        StorePosition version;
        /// Start time of the incarnation that was removed; 0 if not reported.
        std::int64_t started = 0;
    };

    /// A removal that happened before the current era and that the registry may have lost.
    struct LostRemoval {
        std::int64_t started = 0;
        MonotonicTime until;
    };

    void enter_era(StorePosition position, MonotonicTime now);
    bool is_removal_lost(UpstreamRecord const& record) const;
    bool end_lost_removals(MonotonicTime now);
    void extend_grace(MonotonicTime until);
    bool may_entries_come_back(MonotonicTime now) const;
    void update_life(Entry& entry) const;
    void update_lives(std::span<Evacuation const> changes);
    bool is_older(UpstreamChange const& change) const;
    void remember_removal(std::string const& identity, Removal removal);
    std::int64_t start_of(std::string const& identity) const;
    void remove_or_retain(std::string const& identity, MonotonicTime now);
    void forget_old_departures();
    void note_ended(UpstreamRecord const& record, MonotonicTime now);

    Options options;
    std::map<std::string, Entry, std::less<>> entries;
    EvacuationTable evacuation_table;
    /// Start times of the incarnations that announced their departure, by identity.
    std::map<std::string, std::int64_t, std::less<>> departures;
    StorePosition current_version;
    /// Removals of the current era. Those before `removals_known_from` are incomplete.
    std::map<std::string, Removal, std::less<>> removals;
    StorePosition removals_known_from;
    /// The position at which this list entered the current era. Entries up to it may come from the older copy.
    StorePosition era_entered;
    std::map<std::string, LostRemoval, std::less<>> lost_removals;
    RegistryState registry = RegistryState::Available;
    /// Entries that disappear until then may come back.
    std::optional<MonotonicTime> grace_until;
    /// Since when no entry can have come and gone without this list's knowledge; empty before the first listing.
    std::optional<MonotonicTime> complete_since;
    /// When an upstream with this service and software version last disappeared or changed its version.
    std::map<std::pair<std::string, std::string>, MonotonicTime> ended_versions;
    /// Number of retained entries. Usually zero, which makes advance() cheap.
    std::size_t retained_entries = 0;
};

}
