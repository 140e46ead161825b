// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/UpstreamList.h>
#include <algorithm>
#include <set>

namespace Spurtide {

void UpstreamList::note_registry(RegistryState state, MonotonicTime now)
{
    if (this->registry == RegistryState::Away && state == RegistryState::Well) {
        this->returned_at = now;
        for (auto& [identity, entry] : this->entries) {
            if (entry.kept_until)
                entry.kept_until = now + this->options.lapse_grace;
        }
    }
    this->registry = state;
}

bool UpstreamList::was_away_lately(MonotonicTime now) const
{
    return this->registry == RegistryState::Away || (this->returned_at && now - *this->returned_at < this->options.lapse_grace);
}

void UpstreamList::end(std::string const& identity, MonotonicTime now)
{
    auto const found = this->entries.find(identity);
    if (found == this->entries.end())
        return;
    // One that said that it leaves has left.
    bool const may_come_back = found->second.record.life == UpstreamRecord::Life::Serving && this->was_away_lately(now);
    if (!may_come_back)
        this->entries.erase(found);
    else if (!found->second.kept_until)
        found->second.kept_until = (this->registry == RegistryState::Away ? now : *this->returned_at) + this->options.lapse_grace;
}

void UpstreamList::apply(UpstreamChange const& change, MonotonicTime now)
{
    auto const found = this->entries.find(change.identity);
    if (found != this->entries.end() && found->second.version > change.version)
        return;
    this->current_version = std::max(this->current_version, change.version);
    if (change.record)
        this->entries.insert_or_assign(change.identity, Entry { *change.record, change.version, {} });
    else
        this->end(change.identity, now);
}

void UpstreamList::replace(std::vector<UpstreamRecord> const& records, std::int64_t version, MonotonicTime now)
{
    if (version < this->current_version)
        return;
    std::set<std::string> listed;
    for (auto const& record : records) {
        listed.insert(record.identity);
        this->apply({ record.identity, record, version }, now);
    }
    std::vector<std::string> missing;
    for (auto const& [identity, entry] : this->entries) {
        if (!listed.contains(identity))
            missing.push_back(identity);
    }
    for (auto const& identity : missing)
        this->end(identity, now);
    this->current_version = version;
}

bool UpstreamList::advance(MonotonicTime now)
{
    if (this->registry == RegistryState::Away)
        return false;
    auto const dropped = std::erase_if(this->entries, [&](auto const& entry) { return entry.second.kept_until && now >= *entry.second.kept_until; });
    return dropped > 0;
}

std::vector<UpstreamRecord> UpstreamList::records() const
{
    std::vector<UpstreamRecord> records;
    records.reserve(this->entries.size());
    for (auto const& [identity, entry] : this->entries)
        records.push_back(entry.record);
    return records;
}

std::vector<UpstreamRecord> UpstreamList::listed_records() const
{
    std::vector<UpstreamRecord> records;
    for (auto const& [identity, entry] : this->entries) {
        if (!entry.kept_until)
            records.push_back(entry.record);
    }
    return records;
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
