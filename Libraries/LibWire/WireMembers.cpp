// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibWire/WireMembers.h>

namespace Spurtide {

namespace {

// A peer of a later version may send a life this one does not know; it is treated as suspect.
MemberLiveness read_life(std::int32_t value)
{
    if (value < 0 || value > static_cast<std::int32_t>(MemberLiveness::Leaving))
        return MemberLiveness::Suspect;
    return static_cast<MemberLiveness>(value);
}

}

void write_record(MemberRecord const& record, wire::MemberRecord& message)
{
    message.set_vm(record.virtual_machine);
    message.set_incarnation(record.incarnation);
    message.set_version(record.version);
    message.set_life(static_cast<std::int32_t>(record.liveness));
    message.set_generation(record.configuration_generation);
    if (!record.services.empty()) {
        message.set_endpoint(record.services.front().endpoint);
        message.set_process(record.services.front().incarnation);
    }
    for (auto const& service : record.services) {
        if (service.endpoint == message.endpoint() && service.incarnation == message.process()) {
            message.add_hosted(service.service);
            continue;
        }
        auto* entry = message.add_services();
        entry->set_service(service.service);
        entry->set_endpoint(service.endpoint);
        entry->set_incarnation(service.incarnation);
    }
}

MemberRecord read_record(wire::MemberRecord const& message)
{
    MemberRecord record;
    record.virtual_machine = message.vm();
    record.incarnation = message.incarnation();
    record.version = message.version();
    record.liveness = read_life(message.life());
    record.configuration_generation = message.generation();
    for (auto const& service : message.hosted())
        record.services.push_back({ service, message.endpoint(), message.process() });
    for (auto const& service : message.services())
        record.services.push_back({ service.service(), service.endpoint(), service.incarnation() });
    return record;
}

void write_digest(MemberDigest const& digest, wire::MemberDigest& message)
{
    message.set_vm(digest.virtual_machine);
    message.set_incarnation(digest.incarnation);
    message.set_version(digest.version);
    message.set_life(static_cast<std::int32_t>(digest.liveness));
    message.set_generation(digest.configuration_generation);
}

MemberDigest read_digest(wire::MemberDigest const& message)
{
    return { message.vm(), message.incarnation(), message.version(), read_life(message.life()), message.generation() };
}

}
