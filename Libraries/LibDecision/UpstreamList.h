// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <LibDecision/CellScheduler.h>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Spurtide {

/// An upstream as it announces itself.
struct UpstreamRecord {
    /// Names one life of the upstream; no other has the same.
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
    /// How many orders the engine took in this life.
    std::int64_t orders_taken = 0;

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

/// The upstreams that are known, and which of them get new work. Upstreams whose entries lapsed while their
/// registry was away are kept for a short time after its return, since those that live announce themselves
/// again; entries that end while the registry is well are gone at once.
class UpstreamList {
public:
    struct Options {
        /// How long after the registry's return lapsed entries are kept.
        Duration lapse_grace = milliseconds(1800);
    };

    explicit UpstreamList(Options options)
        : options(options)
    {
    }

    enum class RegistryState {
        Well,
        Away,
    };
    /// Tells whether the registry can be read just now.
    void note_registry(RegistryState state, MonotonicTime now);

    void apply(UpstreamChange const& change, MonotonicTime now);
    /// Takes the whole list as of a version; what is not in it is gone.
    void replace(std::vector<UpstreamRecord> const& records, std::int64_t version, MonotonicTime now);
    /// Lets time pass; true where a kept entry was dropped.
    bool advance(MonotonicTime now);

    std::int64_t version() const { return this->current_version; }
    /// All that are known and not gone.
    std::vector<UpstreamRecord> records() const;
    /// Those that the registry lists, without the lapsed ones that are kept.
    std::vector<UpstreamRecord> listed_records() const;
    /// Whether the upstream of that identity may get new work.
    bool takes_work(std::string_view identity) const;
    UpstreamRecord const* find(std::string_view identity) const;
    std::size_t size() const { return this->entries.size(); }

private:
    struct Entry {
        UpstreamRecord record;
        std::int64_t version = 0;
        /// Set while the entry lapsed and is kept.
        std::optional<MonotonicTime> kept_until;
    };

    bool was_away_lately(MonotonicTime now) const;
    void end(std::string const& identity, MonotonicTime now);

    Options options;
    std::map<std::string, Entry, std::less<>> entries;
    std::int64_t current_version = 0;
    RegistryState registry = RegistryState::Well;
    std::optional<MonotonicTime> returned_at;
};

}
