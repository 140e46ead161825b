// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/StreamOriginJournal.h>
#include <Tests/Support/VirtualClock.h>
#include <catch2/catch.hpp>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

StreamOrigin origin_at(std::string version)
{
    return { "engines", std::move(version), { "i-1", 0 } };
}

StreamOriginJournal::Options small_options()
{
    StreamOriginJournal::Options options;
    options.retention = seconds(10);
    options.record_time = seconds(2);
    options.maximum_record_size = 3;
    options.maximum_size = 8;
    return options;
}

std::size_t streams_in(StreamOriginRecord const& record)
{
    std::size_t count = 0;
    for (auto const& group : record.groups)
        count += group.streams.size();
    return count;
}

/// Writes all that is due; returns the keys.
std::vector<std::string> write_all(StreamOriginJournal& journal, MonotonicTime now)
{
    std::vector<std::string> keys;
    while (auto const write = journal.next_write(now)) {
        keys.push_back(write->key);
        journal.note_written(*write);
    }
    return keys;
}

}

// Guards against origins that are never written, or written again and again.
TEST_CASE("A record is written until the registry holds all of it, and a full or old one is followed by another", "[stream-versions]")
{
    StreamOriginJournal journal(small_options(), "p/");
    CHECK_FALSE(journal.next_write(at_milliseconds(0)));
    journal.add("s1", origin_at("v1"), at_milliseconds(0));
    journal.add("s2", origin_at("v2"), at_milliseconds(0));
    auto const write = journal.next_write(at_milliseconds(0));
    REQUIRE(write);
    CHECK(write->record.groups == std::vector<StreamOriginRecord::Group> { { "engines", "v1", { stream_key("s1") } }, { "engines", "v2", { stream_key("s2") } } });
    // It grows while it is written.
    journal.add("s3", origin_at("v1"), at_milliseconds(1));
    journal.note_written(*write);
    CHECK(write_all(journal, at_milliseconds(2)) == std::vector<std::string> { write->key });
    CHECK(write_all(journal, at_milliseconds(2)).empty());
    journal.add("s4", origin_at("v1"), at_milliseconds(3));
    auto const after_full = write_all(journal, at_milliseconds(3));
    journal.add("s5", origin_at("v1"), at_milliseconds(2100));
    auto const after_old = write_all(journal, at_milliseconds(2100));
    CHECK(std::set<std::string> { write->key, after_full.at(0), after_old.at(0) }.size() == 3);
}

// Guards against a delayed write that replaces what was stored under its key since.
TEST_CASE("A record whose write is in doubt moves to another key, and the first row is removed later", "[stream-versions]")
{
    StreamOriginJournal journal(small_options(), "p/");
    journal.add("s1", origin_at("v1"), at_milliseconds(0));
    auto const in_doubt = journal.next_write(at_milliseconds(0)).value();
    journal.note_write_in_doubt(in_doubt, at_milliseconds(0));
    auto const again = journal.next_write(at_milliseconds(1)).value();
    CHECK(again.key != in_doubt.key);
    CHECK(again.record == in_doubt.record);
    CHECK(again.removed_keys.empty());
    journal.note_written(again);
    journal.add("s2", origin_at("v1"), at_milliseconds(10'000));
    auto const later = journal.next_write(at_milliseconds(10'000)).value();
    CHECK(std::count(later.removed_keys.begin(), later.removed_keys.end(), in_doubt.key) == 1);
}

// Guards against rows that fill the registry, and against streams whose origins go while they last.
TEST_CASE("Rows are removed after the retention, and origins that are added again stay", "[stream-versions]")
{
    StreamOriginJournal journal(small_options(), "p/");
    journal.add("short", origin_at("v1"), at_milliseconds(0));
    journal.add("long", origin_at("v1"), at_milliseconds(0));
    auto const first = write_all(journal, at_milliseconds(0)).at(0);
    CHECK(journal.add("long", origin_at("v1"), at_milliseconds(4'000)) == StreamOriginJournal::AddResult::Known);
    CHECK(journal.add("long", origin_at("v1"), at_milliseconds(6'000)) == StreamOriginJournal::AddResult::Added);
    write_all(journal, at_milliseconds(6'000));
    journal.add("other", origin_at("v1"), at_milliseconds(10'500));
    auto const write = journal.next_write(at_milliseconds(10'500)).value();
    CHECK(write.removed_keys == std::vector<std::string> { first });
    journal.note_written(write);
    CHECK(journal.size() == 2);
}

// Guards against a conflict of names that readers cannot see, so that a stream continues at the wrong version.
TEST_CASE("Two origins of one name are both kept", "[stream-versions]")
{
    StreamOriginJournal journal(small_options(), "p/");
    journal.add("s", origin_at("v1"), at_milliseconds(0));
    CHECK(journal.add("s", origin_at("v2"), at_milliseconds(1)) == StreamOriginJournal::AddResult::Added);
    CHECK(streams_in(journal.next_write(at_milliseconds(1)).value().record) == 2);
}

// Guards against memory that grows while the registry takes no writes.
TEST_CASE("The journal is bounded, and takes origins again as old ones expire", "[stream-versions]")
{
    StreamOriginJournal journal(small_options(), "p/");
    for (int i = 0; i < 20; ++i)
        journal.add("s" + std::to_string(i), origin_at("v1"), at_milliseconds(0));
    CHECK(journal.size() == 8);
    CHECK(journal.add("another", origin_at("v1"), at_milliseconds(1)) == StreamOriginJournal::AddResult::NotAdded);
    CHECK(journal.add("another", origin_at("v1"), at_milliseconds(10'000)) == StreamOriginJournal::AddResult::Added);
    CHECK(journal.add("uncertain", origin_at(""), at_milliseconds(10'000)) == StreamOriginJournal::AddResult::NotAdded);
}

// Guards against origins that a restored registry lacks.
TEST_CASE("All records are written again after the registry was restored", "[stream-versions]")
{
    StreamOriginJournal journal(small_options(), "p/");
    for (int i = 0; i < 5; ++i)
        journal.add("s" + std::to_string(i), origin_at("v1"), at_milliseconds(0));
    auto const keys = write_all(journal, at_milliseconds(0));
    REQUIRE(keys.size() == 2);
    journal.rewrite_all();
    CHECK(write_all(journal, at_milliseconds(1)) == keys);
}

// Guards against rows of VMs that are gone, which nobody else removes, and against the loss of rows that are in use.
TEST_CASE("Rows that others left behind are removed once they have not changed for long", "[stream-versions]")
{
    StreamOriginJournal journal(small_options(), "p/");
    using StoredRow = StreamOriginJournal::StoredRow;
    journal.note_stored(std::vector<StoredRow> { { "gone/1", { 1, 5 } }, { "alive/1", { 1, 6 } }, { "p/9", { 1, 7 } } }, at_milliseconds(0));
    journal.note_stored(std::vector<StoredRow> { { "gone/1", { 1, 5 } }, { "alive/1", { 1, 9 } }, { "p/9", { 1, 7 } } }, at_milliseconds(15'000));
    journal.note_stored(std::vector<StoredRow> { { "gone/1", { 1, 5 } }, { "alive/1", { 1, 9 } }, { "p/9", { 1, 7 } } }, at_milliseconds(20'000));
    journal.add("s", origin_at("v1"), at_milliseconds(20'000));
    CHECK(journal.next_write(at_milliseconds(20'000)).value().removed_keys == std::vector<std::string> { "gone/1" });
}
