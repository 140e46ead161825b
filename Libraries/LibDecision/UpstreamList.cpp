// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/UpstreamList.h>
#include <algorithm>
#include <set>
#include <xxhash.h>

namespace Spurtide {

void UpstreamList::note_registry(RegistryState state, MonotonicTime now)
{
    if (this->registry == RegistryState::Unreachable && state == RegistryState::Available) {
        this->extend_grace(now + this->options.lapse_grace);
        for (auto& [identity, entry] : this->entries) {
            if (entry.retained_until)
                entry.retained_until = this->grace_until;
        }
    }
    this->registry = state;
}

void UpstreamList::extend_grace(MonotonicTime until)
{
    this->grace_until = std::max(until, this->grace_until.value_or(until));
}

bool UpstreamList::may_entries_come_back(MonotonicTime now) const
{
    return this->registry == RegistryState::Unreachable || (this->grace_until && now < *this->grace_until);
}

// Changes that the older copy lacks stay in force until there was time to write them again: entries are retained, and
// departures and removals hold for their incarnations.
void UpstreamList::enter_era(StorePosition position, MonotonicTime now)
{
    if (position.era <= this->current_version.era)
        return;
    bool const has_earlier_state = !this->entries.empty() || !this->removals.empty();
    for (auto const& [identity, entry] : this->entries) {
        if (entry.announced_life == UpstreamRecord::Life::Leaving)
            this->departures.insert_or_assign(identity, entry.record.started);
    }
    for (auto const& [identity, removal] : this->removals)
        this->lost_removals.insert_or_assign(identity, LostRemoval { removal.started, now + this->options.lost_removal_hold });
    this->removals.clear();
    this->removals_known_from = position;
    this->current_version = StorePosition(position.era, 0);
    this->era_entered = position;
    if (this->complete_since)
        this->complete_since = now;
    if (has_earlier_state)
        this->extend_grace(now + this->options.rewrite_grace);
    this->evacuation_table.enter_era(position, now);
}

bool UpstreamList::is_removal_lost(UpstreamRecord const& record) const
{
    auto const found = this->lost_removals.find(record.identity);
    if (found == this->lost_removals.end())
        return false;
    // An entry without a start time does not prove that the upstream started again.
    return found->second.started == 0 || record.started == 0 || found->second.started == record.started;
}

bool UpstreamList::end_lost_removals(MonotonicTime now)
{
    bool is_changed = false;
    for (auto removal = this->lost_removals.begin(); removal != this->lost_removals.end();) {
        if (now < removal->second.until) {
            ++removal;
            continue;
        }
        auto const listed = this->entries.find(removal->first);
        removal = this->lost_removals.erase(removal);
        if (listed == this->entries.end())
            continue;
        auto const before = listed->second.record.life;
        this->update_life(listed->second);
        is_changed |= listed->second.record.life != before;
    }
    return is_changed;
}

std::int64_t UpstreamList::start_of(std::string const& identity) const
{
    auto const found = this->entries.find(identity);
    return found == this->entries.end() ? 0 : found->second.record.started;
}

void UpstreamList::remove_or_retain(std::string const& identity, MonotonicTime now)
{
    auto const found = this->entries.find(identity);
    if (found == this->entries.end())
        return;
    // An upstream that announced its departure does not come back.
    bool const may_come_back = found->second.announced_life == UpstreamRecord::Life::Serving && this->may_entries_come_back(now);
    if (!may_come_back) {
        this->retained_entries -= found->second.retained_until ? 1 : 0;
        this->note_ended(found->second.record, now);
        this->entries.erase(found);
    } else if (!found->second.retained_until) {
        found->second.retained_until = this->registry == RegistryState::Unreachable ? now + this->options.lapse_grace : *this->grace_until;
        ++this->retained_entries;
    }
}

bool UpstreamList::is_older(UpstreamChange const& change) const
{
    auto const found = this->entries.find(change.identity);
    if (found != this->entries.end() && found->second.version > change.version)
        return true;
    auto const removed_at = this->removals.find(change.identity);
    return removed_at != this->removals.end() && removed_at->second.version > change.version;
}

void UpstreamList::remember_removal(std::string const& identity, Removal removal)
{
    this->removals.insert_or_assign(identity, removal);
    if (this->removals.size() <= this->options.remembered_removals)
        return;
    auto const oldest = std::min_element(this->removals.begin(), this->removals.end(), [](auto const& one, auto const& other) { return one.second.version < other.second.version; });
    this->removals_known_from = std::max(this->removals_known_from, oldest->second.version);
    this->removals.erase(oldest);
}

void UpstreamList::apply(UpstreamChange const& change, MonotonicTime now)
{
    if (this->is_older(change))
        return;
    this->enter_era(change.version, now);
    this->current_version = std::max(this->current_version, change.version);
    // Written after the restoration.
    if (change.version > this->era_entered)
        this->lost_removals.erase(change.identity);
    if (change.record) {
        Entry entry { *change.record, change.record->life, change.version, {} };
        // An older copy of the registry may list an incarnation that has been replaced, with the software that it had.
        if (entry.record.started < this->start_of(change.identity))
            entry.record.software_version.clear();
        this->update_life(entry);
        if (entry.record.cold_for > Duration::zero())
            entry.record.cold_until = now + entry.record.cold_for;
        auto const before = this->entries.find(change.identity);
        this->retained_entries -= before != this->entries.end() && before->second.retained_until ? 1 : 0;
        if (before != this->entries.end() && before->second.record.software_version != entry.record.software_version)
            this->note_ended(before->second.record, now);
        bool const is_other_start = before != this->entries.end() && before->second.record.started != entry.record.started;
        if (this->complete_since && (is_other_start || this->removals.contains(change.identity)))
            this->complete_since = now;
        this->entries.insert_or_assign(change.identity, std::move(entry));
        this->removals.erase(change.identity);
        return;
    }
    // An update tells only the last state of an entry. Before its removal, or before another start, the upstream may have had a version
    // that this list has not heard of.
    if (this->complete_since)
        this->complete_since = now;
    Removal const removal { change.version, this->start_of(change.identity) };
    this->remove_or_retain(change.identity, now);
    this->remember_removal(change.identity, removal);
}

UpstreamList::SnapshotResult UpstreamList::replace(std::vector<UpstreamChange> const& listed, StorePosition position, MonotonicTime now)
{
    if (position < this->current_version)
        return SnapshotResult::Ignored;
    this->enter_era(position, now);
    std::set<std::string> identities;
    for (auto const& change : listed) {
        identities.insert(change.identity);
        // The listing reflects a later position, so the upstream came back after the known removal.
        this->removals.erase(change.identity);
        this->apply(change, now);
    }
    std::vector<std::string> missing;
    for (auto const& [identity, entry] : this->entries) {
        if (!identities.contains(identity))
            missing.push_back(identity);
    }
    // Some upstreams may have been added and removed before this listing was made.
    this->removals.clear();
    this->removals_known_from = position;
    this->complete_since = now;
    for (auto const& identity : missing) {
        Removal const removal { position, this->start_of(identity) };
        this->remove_or_retain(identity, now);
        this->remember_removal(identity, removal);
    }
    return SnapshotResult::Adopted;
}

UpstreamListing UpstreamList::listing_since(StorePosition known_version) const
{
    UpstreamListing listing;
    listing.version = this->current_version;
    bool const knows_all_removals = known_version >= this->removals_known_from;
    listing.extent = knows_all_removals ? UpstreamListing::Extent::Delta : UpstreamListing::Extent::Snapshot;
    for (auto const& [identity, entry] : this->entries) {
        if (entry.retained_until || (knows_all_removals && entry.version <= known_version))
            continue;
        listing.records.push_back(entry.record);
        listing.records.back().life = entry.announced_life;
        listing.records.back().cold_until = {};
    }
    if (!knows_all_removals)
        return listing;
    for (auto const& [identity, removal] : this->removals) {
        if (removal.version > known_version)
            listing.removed.push_back(identity);
    }
    return listing;
}

void UpstreamList::merge(UpstreamListing const& listing, MonotonicTime now)
{
    bool const is_delta = listing.extent == UpstreamListing::Extent::Delta;
    if (is_delta && listing.version.era != this->current_version.era)
        return;
    std::vector<UpstreamChange> changes;
    changes.reserve(listing.records.size() + listing.removed.size());
    for (auto const& record : listing.records)
        changes.push_back({ record.identity, record, listing.version });
    for (auto const& identity : listing.removed)
        changes.push_back({ identity, {}, listing.version });
    if (!is_delta)
        this->replace(changes, listing.version, now);
    else {
        for (auto const& change : changes)
            this->apply(change, now);
    }
    this->current_version = std::max(this->current_version, listing.version);
}

void UpstreamList::update_life(Entry& entry) const
{
    bool const must_leave = this->evacuation_table.is_evacuated(entry.record.data_centre) || this->has_departed(entry.record) || this->is_removal_lost(entry.record);
    entry.record.life = must_leave ? UpstreamRecord::Life::Leaving : entry.announced_life;
}

bool UpstreamList::has_departed(UpstreamRecord const& record) const
{
    auto const found = this->departures.find(record.identity);
    // An entry without a start time does not prove that the upstream started again.
    return found != this->departures.end() && (record.started == 0 || found->second == record.started);
}

bool UpstreamList::note_departure(UpstreamIncarnation const& upstream)
{
    auto const listed = this->entries.find(upstream.identity);
    // A response of the previous incarnation says nothing about the one that is listed now.
    bool const is_listed = listed != this->entries.end();
    if (is_listed && listed->second.record.started != 0 && listed->second.record.started != upstream.started)
        return false;
    this->departures.insert_or_assign(upstream.identity, upstream.started);
    this->forget_old_departures();
    if (!is_listed)
        return false;
    auto const before = listed->second.record.life;
    this->update_life(listed->second);
    return listed->second.record.life != before;
}

void UpstreamList::forget_old_departures()
{
    if (this->departures.size() <= this->options.remembered_departures)
        return;
    std::erase_if(this->departures, [this](auto const& departure) { return !this->entries.contains(departure.first); });
}

std::vector<UpstreamIncarnation> UpstreamList::unregistered_departures() const
{
    std::vector<UpstreamIncarnation> upstreams;
    for (auto const& [identity, started] : this->departures) {
        auto const found = this->entries.find(identity);
        if (found != this->entries.end() && found->second.announced_life == UpstreamRecord::Life::Serving && this->has_departed(found->second.record))
            upstreams.push_back({ identity, started });
    }
    return upstreams;
}

std::uint64_t UpstreamList::departures_digest() const
{
    std::uint64_t digest = 0;
    for (auto const& [identity, started] : this->unregistered_departures())
        digest ^= XXH3_64bits_withSeed(identity.data(), identity.size(), ~static_cast<std::uint64_t>(started));
    return digest;
}

std::vector<Evacuation> UpstreamList::merge(EvacuationUpdate const& update, MonotonicTime now)
{
    auto changes = this->evacuation_table.merge(update, now);
    this->update_lives(changes);
    return changes;
}

std::vector<Evacuation> UpstreamList::advance_evacuations(MonotonicTime now)
{
    auto changes = this->evacuation_table.advance(now);
    this->update_lives(changes);
    return changes;
}

void UpstreamList::update_lives(std::span<Evacuation const> changes)
{
    if (changes.empty())
        return;
    for (auto& [identity, entry] : this->entries)
        this->update_life(entry);
}

bool UpstreamList::advance(MonotonicTime now)
{
    if (this->registry == RegistryState::Unreachable || (this->retained_entries == 0 && this->lost_removals.empty()))
        return false;
    bool const has_ended_holds = this->end_lost_removals(now);
    auto const dropped = std::erase_if(this->entries, [&](auto const& entry) {
        bool const is_over = entry.second.retained_until && now >= *entry.second.retained_until;
        if (is_over)
            this->note_ended(entry.second.record, now);
        return is_over;
    });
    this->retained_entries -= dropped;
    return has_ended_holds || dropped > 0;
}

void UpstreamList::note_ended(UpstreamRecord const& record, MonotonicTime now)
{
    if (this->ended_versions.size() >= this->options.remembered_removals)
        std::erase_if(this->ended_versions, [&](auto const& ended) { return now - ended.second >= this->options.remembered_versions; });
    this->ended_versions.insert_or_assign({ record.service, record.software_version }, now);
}

std::optional<std::string> UpstreamList::only_software_version(std::string_view service, Duration lookback, MonotonicTime now) const
{
    bool const is_complete = this->complete_since && now - *this->complete_since >= lookback && lookback <= this->options.remembered_versions;
    if (!is_complete)
        return {};
    std::set<std::string_view> versions;
    for (auto const& [identity, entry] : this->entries) {
        if (entry.record.service == service)
            versions.insert(entry.record.software_version);
    }
    for (auto const& [ended, at] : this->ended_versions) {
        if (ended.first == service && now - at < lookback)
            versions.insert(ended.second);
    }
    if (versions.size() != 1 || versions.begin()->empty())
        return {};
    return std::string(*versions.begin());
}

std::vector<UpstreamRecord> UpstreamList::records() const
{
    std::vector<UpstreamRecord> records;
    records.reserve(this->entries.size());
    for (auto const& [identity, entry] : this->entries)
        records.push_back(entry.record);
    return records;
}

void UpstreamList::for_each(std::function<void(UpstreamRecord const&)> const& visit) const
{
    for (auto const& [identity, entry] : this->entries)
        visit(entry.record);
}

UpstreamRecord const* UpstreamList::find(std::string_view identity) const
{
    auto const found = this->entries.find(identity);
    return found == this->entries.end() ? nullptr : &found->second.record;
}

bool UpstreamList::takes_work(std::string_view identity) const
{
    auto const* record = this->find(identity);
    return record && record->life == UpstreamRecord::Life::Serving;
}

}
