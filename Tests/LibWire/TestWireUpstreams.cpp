// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibWire/WireUpstreams.h>
#include <catch2/catch.hpp>

using namespace Spurtide;

TEST_CASE("An upstream comes back from the wire as it was")
{
    auto const life = GENERATE(UpstreamRecord::Life::Serving, UpstreamRecord::Life::Leaving);
    auto const role = GENERATE(std::optional<EngineRole> {}, std::optional<EngineRole> { EngineRole::Prefill }, std::optional<EngineRole> { EngineRole::Decode });
    UpstreamRecord const record { "i-1", "engines", "127.0.0.1:80", "dc", 64, life, role, 3, 1'767'225'600'000, "v1.1" };
    wire::UpstreamEntry message;
    write_upstream(record, message);
    CHECK(read_upstream(message) == record);
}

TEST_CASE("A listing comes back from the wire as it was")
{
    UpstreamListing listing;
    listing.extent = GENERATE(UpstreamListing::Extent::Snapshot, UpstreamListing::Extent::Delta);
    listing.version = StorePosition(2, 9);
    listing.records.push_back({ "i-1", "engines", "127.0.0.1:80", "dc", 64, UpstreamRecord::Life::Leaving, EngineRole::Decode, 3, 0 });
    listing.removed = { "i-2", "i-3" };
    wire::UpstreamsContent message;
    write_listing(listing, message);
    auto const read = read_listing(message);
    CHECK(read.extent == listing.extent);
    CHECK(read.version == listing.version);
    CHECK(read.records == listing.records);
    CHECK(read.removed == listing.removed);
}

TEST_CASE("Evacuations come back from the wire as they were")
{
    EvacuationTable table(EvacuationTable::Options {});
    table.merge({ EvacuationUpdate::Extent::Delta, { { "a", { 1, 7 }, Evacuation::State::Ordered }, { "b", { 2, 3 }, Evacuation::State::Over } }, {} }, MonotonicTime {});
    wire::Heartbeat message;
    write_evacuations(table, *message.mutable_evacuations());
    CHECK(read_evacuations(message.evacuations()).evacuations == table.all());
}
