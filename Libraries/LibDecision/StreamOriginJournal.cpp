// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/StreamOriginJournal.h>
#include <algorithm>

namespace Spurtide {

namespace {

std::uint64_t hash_of(StreamOrigin const& origin)
{
    return XXH3_64bits_withSeed(origin.software_version.data(), origin.software_version.size(), XXH3_64bits(origin.service.data(), origin.service.size()));
}

}

StreamOriginJournal::StreamOriginJournal(Options options, std::string key_prefix)
    : options(options)
    , key_prefix(std::move(key_prefix))
{
}

std::string StreamOriginJournal::next_key() { return this->key_prefix + std::to_string(++this->last_record); }

StreamOriginJournal::Record& StreamOriginJournal::open_record(MonotonicTime now)
{
    bool const has_open = !this->records.empty() && now - this->records.back().opened_at < this->options.record_time && this->records.back().size < this->options.maximum_record_size;
    if (!has_open) {
        Record record;
        record.key = this->next_key();
        record.opened_at = now;
        this->records.push_back(std::move(record));
    }
    return this->records.back();
}

StreamOriginJournal::Record* StreamOriginJournal::find_record(std::string_view key)
{
    auto const found = std::find_if(this->records.begin(), this->records.end(), [&](auto const& record) { return record.key == key; });
    return found == this->records.end() ? nullptr : &*found;
}

StreamOriginJournal::AddResult StreamOriginJournal::add(std::string_view request, StreamOrigin const& origin, MonotonicTime now)
{
    if (!origin.is_certain() || request.empty())
        return AddResult::NotAdded;
    this->remove_expired(now);
    auto const key = stream_key(request);
    auto const origin_hash = hash_of(origin);
    auto const found = this->known.find(key);
    // Another origin by the same name is kept as well, so that readers see the conflict.
    bool const is_same = found != this->known.end() && found->second.origin_hash == origin_hash;
    if (is_same && now - found->second.added_at < this->options.retention / 2)
        return AddResult::Known;
    if (found == this->known.end() && this->known.size() >= this->options.maximum_size)
        return AddResult::NotAdded;
    auto& record = this->open_record(now);
    record.groups[{ origin.service, origin.software_version }].push_back(key);
    ++record.size;
    ++record.revision;
    record.changed_at = now;
    this->known.insert_or_assign(key, KnownStream { now, origin_hash });
    return AddResult::Added;
}

void StreamOriginJournal::remove_expired(MonotonicTime now)
{
    while (!this->records.empty() && now - this->records.front().changed_at >= this->options.retention) {
        auto const& record = this->records.front();
        for (auto const& [origin, streams] : record.groups) {
            for (auto const stream : streams) {
                auto const found = this->known.find(stream);
                if (found != this->known.end() && now - found->second.added_at >= this->options.retention)
                    this->known.erase(found);
            }
        }
        if (record.stored_revision > 0)
            this->removals.insert_or_assign(record.key, now);
        this->records.pop_front();
    }
}

std::vector<std::string> StreamOriginJournal::due_removals(MonotonicTime now) const
{
    std::vector<std::string> keys;
    for (auto const& [key, due_at] : this->removals) {
        if (now >= due_at && keys.size() < this->options.maximum_removals)
            keys.push_back(key);
    }
    return keys;
}

std::size_t StreamOriginJournal::unstored_records() const
{
    return static_cast<std::size_t>(std::count_if(this->records.begin(), this->records.end(), [](auto const& record) { return record.revision != record.stored_revision; }));
}

std::optional<StreamOriginJournal::Write> StreamOriginJournal::next_write(MonotonicTime now)
{
    this->remove_expired(now);
    auto const found = std::find_if(this->records.begin(), this->records.end(), [](auto const& record) { return record.revision != record.stored_revision; });
    if (found == this->records.end())
        return {};
    Write write;
    write.key = found->key;
    write.revision = found->revision;
    write.removed_keys = this->due_removals(now);
    for (auto const& [origin, streams] : found->groups)
        write.record.groups.push_back({ origin.first, origin.second, streams });
    return write;
}

void StreamOriginJournal::note_written(Write const& write)
{
    for (auto const& key : write.removed_keys) {
        this->removals.erase(key);
        this->foreign_rows.erase(key);
    }
    if (auto* record = this->find_record(write.key))
        record->stored_revision = write.revision;
}

void StreamOriginJournal::note_write_in_doubt(Write const& write, MonotonicTime now)
{
    auto* record = this->find_record(write.key);
    if (!record)
        return;
    this->removals.insert_or_assign(record->key, now + this->options.retention);
    record->key = this->next_key();
    record->stored_revision = 0;
}

void StreamOriginJournal::rewrite_all()
{
    for (auto& record : this->records)
        record.stored_revision = 0;
}

void StreamOriginJournal::note_stored(std::span<StoredRow const> rows, MonotonicTime now)
{
    std::set<std::string_view> stored;
    for (auto const& row : rows) {
        stored.insert(row.key);
        if (row.key.starts_with(this->key_prefix))
            continue;
        auto const [known_row, is_new] = this->foreign_rows.try_emplace(row.key, ForeignRow { row.version, now });
        if (!is_new && known_row->second.version != row.version)
            known_row->second = { row.version, now };
        // Its owner removes it after the retention if it is alive.
        if (now - known_row->second.unchanged_since >= 2 * this->options.retention)
            this->removals.insert_or_assign(row.key, now);
    }
    std::erase_if(this->foreign_rows, [&](auto const& row) { return !stored.contains(row.first); });
}

}
