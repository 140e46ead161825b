// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <LibDecision/StorePosition.h>
#include <LibDecision/StreamOrigin.h>
#include <LibDecision/StreamOriginRecord.h>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Spurtide {

/// Groups the origins of streams into records and decides which of them have to be written to the registry, and which rows are
/// no longer needed. A record is written again as it grows, until it is full or old enough; the next origin then opens another.
/// Performs no I/O: the owner writes, and passes in the time and the outcome.
class StreamOriginJournal {
public:
    struct Options {
        /// How long callers may come back for a stream, counted from when its origin was last added.
        Duration retention = seconds(60);
        /// How long a record takes further origins. Each write repeats the whole record.
        Duration record_time = seconds(5);
        std::size_t maximum_record_size = 512;
        /// Origins in all records together. Later ones are not kept while the registry takes no writes.
        std::size_t maximum_size = 65536;
        /// Rows removed by one write.
        std::size_t maximum_removals = 64;
    };

    /// The keys of all rows begin with the prefix, which no other process uses, also no earlier incarnation of this one.
    StreamOriginJournal(Options options, std::string key_prefix);

    enum class AddResult {
        Added,
        /// It is in a record that will be kept for long enough.
        Known,
        /// The origin is uncertain, or the journal is full.
        NotAdded,
    };
    AddResult add(std::string_view request, StreamOrigin const& origin, MonotonicTime now);

    struct Write {
        std::string key;
        StreamOriginRecord record;
        std::vector<std::string> removed_keys;
        /// Identifies the state of the record that is written.
        std::uint64_t revision = 0;
    };
    /// Records that are not stored as they are.
    std::size_t unstored_records() const;
    /// The oldest of those, if there is one.
    std::optional<Write> next_write(MonotonicTime now);
    void note_written(Write const& write);
    /// The write may still be executed, and would then replace what a later one stored under its key. The record moves to another key.
    void note_write_in_doubt(Write const& write, MonotonicTime now);
    /// The registry was restored from an older copy, which may lack the latest writes.
    void rewrite_all();

    /// A row that the registry holds.
    struct StoredRow {
        std::string key;
        StorePosition version;
    };
    /// Rows that others left behind are removed once they have not changed for as long as anybody needs them.
    void note_stored(std::span<StoredRow const> rows, MonotonicTime now);

    std::size_t size() const { return this->known.size(); }

private:
    struct Record {
        std::string key;
        MonotonicTime opened_at;
        MonotonicTime changed_at;
        std::map<std::pair<std::string, std::string>, std::vector<StreamKey>> groups;
        std::size_t size = 0;
        std::uint64_t revision = 0;
        std::uint64_t stored_revision = 0;
    };

    struct KnownStream {
        MonotonicTime added_at;
        std::uint64_t origin_hash = 0;
    };

    struct ForeignRow {
        StorePosition version;
        MonotonicTime unchanged_since;
    };

    std::string next_key();
    Record& open_record(MonotonicTime now);
    Record* find_record(std::string_view key);
    void remove_expired(MonotonicTime now);
    std::vector<std::string> due_removals(MonotonicTime now) const;

    Options options;
    std::string key_prefix;
    std::uint64_t last_record = 0;
    /// The oldest first.
    std::deque<Record> records;
    /// The streams in the records, as they were last added.
    std::unordered_map<StreamKey, KnownStream> known;
    /// Keys of rows, and when they may be removed.
    std::map<std::string, MonotonicTime> removals;
    std::map<std::string, ForeignRow> foreign_rows;
};

}
