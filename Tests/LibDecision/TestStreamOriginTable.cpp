// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/StreamOriginTable.h>
#include <catch2/catch.hpp>

using namespace Spurtide;

namespace {

constexpr MonotonicTime START {};

StreamOrigin origin_at(std::string version, std::string service = "engines")
{
    return { std::move(service), std::move(version), { "i-1", 0 } };
}

} // namespace

// Guards against streams that continue at a version that none of their events
// came from.
TEST_CASE("Conflicting origins of a stream count as none, also when one of "
          "them is noted again",
    "[stream-versions]")
{
    auto const [other, is_conflicting] = GENERATE(table<StreamOrigin, bool>({
        { origin_at("v1"), false },
        // It continued at another engine of the version.
        { { "engines", "v1", { "i-2", 7 } }, false },
        { origin_at("v2"), true },
        { origin_at("v1", "others"), true },
    }));
    StreamOriginTable table({});
    REQUIRE(table.note("s", origin_at("v1"), START) == StreamOriginTable::NoteResult::Noted);
    CHECK(table.note("s", other, START) == (is_conflicting ? StreamOriginTable::NoteResult::Conflicting : StreamOriginTable::NoteResult::Noted));
    table.note("s", origin_at("v1"), START + seconds(1));
    CHECK(table.find("s", START + seconds(1)).has_value() != is_conflicting);
}

// Guards against origins that are forgotten while their streams go on, or kept
// for ever.
TEST_CASE(
    "An origin is known for its retention, counted from when it was last noted",
    "[stream-versions]")
{
    StreamOriginTable::Options options;
    options.retention = seconds(10);
    StreamOriginTable table(options);
    table.note("s", origin_at("v1"), START);
    table.note("s", origin_at("v1"), START + seconds(6));
    auto const found = table.find("s", START + seconds(15));
    REQUIRE(found);
    CHECK(found->origin == origin_at("v1"));
    CHECK(found->age == seconds(9));
    CHECK_FALSE(table.find("s", START + seconds(16)));
    table.remove_expired(START + seconds(16));
    CHECK(table.size() == 0);
    // The name may be used for another stream by then.
    CHECK(table.note("s", origin_at("v2"), START + seconds(17)) == StreamOriginTable::NoteResult::Noted);
}

// Guards against callers that fill the memory of a VM, or push out the origins
// of others' streams.
TEST_CASE("A full table notes no further origins until others expire",
    "[stream-versions]")
{
    StreamOriginTable::Options options;
    options.maximum_size = 3;
    options.retention = seconds(10);
    StreamOriginTable table(options);
    for (int i = 0; i < 3; ++i)
        table.note("s" + std::to_string(i), origin_at("v1"), START + seconds(i));
    CHECK(table.note("s3", origin_at("v1"), START + seconds(5)) == StreamOriginTable::NoteResult::NotNoted);
    CHECK(table.find("s0", START + seconds(5)));
    CHECK(table.note("s4", origin_at("v1"), START + seconds(10)) == StreamOriginTable::NoteResult::Noted);
    CHECK(table.size() == 3);
}

// Guards against origins that name no version, and names that no caller could
// have.
TEST_CASE("Uncertain origins and unusable names are not noted",
    "[stream-versions]")
{
    StreamOriginTable table({});
    CHECK(table.note("s", origin_at(""), START) == StreamOriginTable::NoteResult::NotNoted);
    CHECK(table.note("", origin_at("v1"), START) == StreamOriginTable::NoteResult::NotNoted);
    CHECK(table.note(std::string(257, 'a'), origin_at("v1"), START) == StreamOriginTable::NoteResult::NotNoted);
    CHECK(table.note(std::string(256, 'a'), origin_at("v1"), START) == StreamOriginTable::NoteResult::Noted);
    CHECK(table.size() == 1);
}
