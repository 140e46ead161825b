// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <LibDecision/CellScheduler.h>
#include <LibDecision/EvacuationTable.h>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Spurtide {

/// An upstream as it announces itself.
struct UpstreamRecord {
    /// Names the upstream. It may start again under the same name, with nothing that it had before.
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
    /// How many orders the engine took since its start.
    std::int64_t orders_taken = 0;
    /// Its start in milliseconds since the epoch, by its own clock; tells two starts apart. 0 where it does not tell.
    std::int64_t started = 0;
    /// How much longer it is cold, as of its entry: until then it bears a bounded rate of requests.
    Duration cold_for {};
    /// The same as a time of this VM's; set by the list.
    MonotonicTime cold_until {};

    bool operator==(UpstreamRecord const&) const = default;
};

/// One change of the list: a record, or the end of one.
struct UpstreamChange {
    std::string identity;
    /// Empty when the upstream is gone.
    std::optional<UpstreamRecord> record;
    /// The list's version with this change.
    std::int64_t version = 0;
};

/// What one VM tells another of its list: all of it, or what changed since the version that the other has.
struct UpstreamListing {
    enum class Extent {
        Snapshot,
        Delta,
    } extent
        = Extent::Snapshot;
    std::int64_t version = 0;
    std::vector<UpstreamRecord> records;
    /// Identities of those that are gone, where it tells changes alone.
    std::vector<std::string> removed;
};

/// The upstreams that are known, and which of them get new work. Upstreams whose entries lapsed while their
/// registry was away are kept for a short time after its return, since those that live announce themselves
/// again; entries that end while the registry is well are gone at once. Those of an evacuated data centre are
/// shown as leaving, so that all that holds for the ones holds for the others; peers are told what they said.
class UpstreamList {
public:
    struct Options {
        /// How long after the registry's return lapsed entries are kept.
        Duration lapse_grace = milliseconds(1800);
        /// Ends that are remembered for peers that ask what changed; one that asks for older ones gets the whole.
        std::size_t remembered_removals = 1024;
    };

    explicit UpstreamList(Options options)
        : options(options)
    {
    }

    enum class RegistryState {
        Available,
        Unreachable,
    };
    /// Tells whether the registry can be read just now.
    void note_registry(RegistryState state, MonotonicTime now);

    void apply(UpstreamChange const& change, MonotonicTime now);
    /// Takes the whole list as of a position; what is not in it is gone. Entries have the versions of their last changes.
    void replace(std::vector<UpstreamChange> const& listed, std::int64_t position, MonotonicTime now);
    /// What a peer with that version lacks.
    UpstreamListing listing_since(std::int64_t known) const;
    /// Takes what a peer told; older news change nothing.
    void take(UpstreamListing const& listing, MonotonicTime now);
    /// Gives the changes that were news.
    std::vector<Evacuation> take(EvacuationUpdate const& news);
    EvacuationTable const& evacuations() const { return this->evacuation_table; }
    /// Lets time pass; true where a kept entry was dropped.
    bool advance(MonotonicTime now);

    /// That of the newest change that is known. Equal lists may have read the registry at different positions.
    std::int64_t version() const { return this->current_version; }
    /// All that are known and not gone.
    std::vector<UpstreamRecord> records() const;
    /// The same without copies, which at thousands of upstreams cost more than what is done with them.
    void for_each(std::function<void(UpstreamRecord const&)> const& visit) const;
    /// Whether the upstream of that identity may get new work.
    bool takes_work(std::string_view identity) const;
    UpstreamRecord const* find(std::string_view identity) const;
    std::size_t size() const { return this->entries.size(); }

private:
    struct Entry {
        /// Leaving where the data centre is evacuated.
        UpstreamRecord record;
        /// As the upstream itself says.
        UpstreamRecord::Life announced_life = UpstreamRecord::Life::Serving;
        std::int64_t version = 0;
        /// Set while the entry lapsed and is kept.
        std::optional<MonotonicTime> retained_until;
    };

    bool was_recently_unreachable(MonotonicTime now) const;
    void update_life(Entry& entry) const;
    bool is_older(UpstreamChange const& change) const;
    void remember_removal(std::string const& identity, std::int64_t version);
    void remove_or_retain(std::string const& identity, MonotonicTime now);

    Options options;
    std::map<std::string, Entry, std::less<>> entries;
    EvacuationTable evacuation_table;
    std::int64_t current_version = 0;
    /// The version with which each of them ended. Those before the next are not all known.
    std::map<std::string, std::int64_t, std::less<>> removals;
    std::int64_t removals_known_from = 0;
    RegistryState registry = RegistryState::Available;
    std::optional<MonotonicTime> returned_at;
    /// Of the entries, those that lapsed and are kept: mostly none, and then there is nothing to look through.
    std::size_t retained_entries = 0;
};

}
