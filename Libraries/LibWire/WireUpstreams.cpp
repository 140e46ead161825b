// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibWire/WireUpstreams.h>

namespace Spurtide {

namespace {

// As the message says: 0 stands for a plain service.
constexpr std::int32_t PREFILL = 1;
constexpr std::int32_t DECODE = 2;

}

void write_upstream(UpstreamRecord const& record, wire::UpstreamEntry& message)
{
    message.set_identity(record.identity);
    message.set_service(record.service);
    message.set_address(record.address);
    message.set_data_centre(record.data_centre);
    message.set_slots(record.slots);
    message.set_leaving(record.life == UpstreamRecord::Life::Leaving);
    if (record.role)
        message.set_role(*record.role == EngineRole::Prefill ? PREFILL : DECODE);
    message.set_orders_taken(record.orders_taken);
    message.set_started(record.started);
    message.set_cold_for_microseconds(record.cold_for.count());
    message.set_software_version(record.software_version);
}

UpstreamRecord read_upstream(wire::UpstreamEntry const& message)
{
    UpstreamRecord record;
    record.identity = message.identity();
    record.service = message.service();
    record.address = message.address();
    record.data_centre = message.data_centre();
    record.slots = message.slots();
    record.life = message.leaving() ? UpstreamRecord::Life::Leaving : UpstreamRecord::Life::Serving;
    if (message.role() != 0)
        record.role = message.role() == PREFILL ? EngineRole::Prefill : EngineRole::Decode;
    record.orders_taken = message.orders_taken();
    record.started = message.started();
    record.cold_for = Duration(message.cold_for_microseconds());
    record.software_version = message.software_version();
    return record;
}

void write_listing(UpstreamListing const& listing, wire::UpstreamsContent& message)
{
    message.set_version(listing.version.version);
    message.set_era(listing.version.era);
    message.set_only_changes(listing.extent == UpstreamListing::Extent::Delta);
    for (auto const& record : listing.records)
        write_upstream(record, *message.add_upstreams());
    for (auto const& identity : listing.removed)
        message.add_gone(identity);
}

UpstreamListing read_listing(wire::UpstreamsContent const& message)
{
    UpstreamListing listing;
    listing.extent = message.only_changes() ? UpstreamListing::Extent::Delta : UpstreamListing::Extent::Snapshot;
    listing.version = StorePosition(message.era(), message.version());
    for (auto const& entry : message.upstreams())
        listing.records.push_back(read_upstream(entry));
    listing.removed.assign(message.gone().begin(), message.gone().end());
    return listing;
}

void write_evacuations(EvacuationTable const& book, google::protobuf::RepeatedPtrField<wire::Evacuation>& messages)
{
    for (auto const& evacuation : book.all()) {
        auto* message = messages.Add();
        message->set_data_centre(evacuation.data_centre);
        message->set_version(evacuation.version.version);
        message->set_era(evacuation.version.era);
        message->set_over(evacuation.state == Evacuation::State::Over);
    }
}

EvacuationUpdate read_evacuations(google::protobuf::RepeatedPtrField<wire::Evacuation> const& messages)
{
    EvacuationUpdate news;
    for (auto const& message : messages)
        news.evacuations.push_back({ message.data_centre(), { message.era(), message.version() }, message.over() ? Evacuation::State::Over : Evacuation::State::Ordered });
    return news;
}

}
