// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibWire/ServiceDirectory.h>
#include <algorithm>

namespace Spurtide {

namespace {

std::optional<std::string> endpoint_of(MemberRecord const& member, std::string_view service)
{
    auto const found = std::find_if(member.services.begin(), member.services.end(), [&](auto const& entry) { return entry.service == service; });
    if (found == member.services.end())
        return {};
    return found->endpoint;
}

bool takes_new_work(MemberRecord const& member)
{
    return member.liveness == MemberLiveness::Alive || member.liveness == MemberLiveness::Suspect;
}

}

ServiceDirectory::ServiceDirectory(std::string virtual_machine)
    : own_virtual_machine(std::move(virtual_machine))
{
}

void ServiceDirectory::replace(std::int64_t version, std::int64_t configuration_generation, std::vector<MemberRecord> members, std::vector<std::string> leaving_machines)
{
    std::scoped_lock const lock(this->mutex);
    this->current_version = version;
    this->current_generation = std::max(this->current_generation, configuration_generation);
    this->current_members = std::move(members);
    this->current_leaving_machines = std::move(leaving_machines);
}

void ServiceDirectory::set_leaving_machines(std::vector<std::string> machines)
{
    std::scoped_lock const lock(this->mutex);
    this->current_leaving_machines = std::move(machines);
}

std::vector<std::string> ServiceDirectory::leaving_machines() const
{
    std::scoped_lock const lock(this->mutex);
    return this->current_leaving_machines;
}

void ServiceDirectory::note_generation(std::int64_t configuration_generation)
{
    std::scoped_lock const lock(this->mutex);
    this->current_generation = std::max(this->current_generation, configuration_generation);
}

std::int64_t ServiceDirectory::version() const
{
    std::scoped_lock const lock(this->mutex);
    return this->current_version;
}

std::int64_t ServiceDirectory::configuration_generation() const
{
    std::scoped_lock const lock(this->mutex);
    return this->current_generation;
}

std::vector<std::string> ServiceDirectory::resolve(std::string_view service) const
{
    std::scoped_lock const lock(this->mutex);
    std::vector<std::string> endpoints;
    for (auto const& member : this->current_members) {
        bool const is_own = member.virtual_machine == this->own_virtual_machine;
        if (!is_own && !takes_new_work(member))
            continue;
        auto endpoint = endpoint_of(member, service);
        if (!endpoint)
            continue;
        endpoints.insert(is_own ? endpoints.begin() : endpoints.end(), std::move(*endpoint));
    }
    return endpoints;
}

std::optional<std::string> ServiceDirectory::resolve_on(std::string_view virtual_machine, std::string_view service) const
{
    std::scoped_lock const lock(this->mutex);
    for (auto const& member : this->current_members) {
        if (member.virtual_machine == virtual_machine)
            return endpoint_of(member, service);
    }
    return {};
}

std::optional<std::string> ServiceDirectory::find_incarnation(std::string_view incarnation) const
{
    std::scoped_lock const lock(this->mutex);
    for (auto const& member : this->current_members) {
        if (member.liveness == MemberLiveness::Dead)
            continue;
        for (auto const& service : member.services) {
            if (service.incarnation == incarnation)
                return service.endpoint;
        }
    }
    return {};
}

std::vector<std::string> ServiceDirectory::virtual_machines_with(std::string_view service) const
{
    std::scoped_lock const lock(this->mutex);
    std::vector<std::string> names;
    for (auto const& member : this->current_members) {
        if (member.liveness == MemberLiveness::Alive && endpoint_of(member, service))
            names.push_back(member.virtual_machine);
    }
    return names;
}

std::vector<MemberRecord> ServiceDirectory::members() const
{
    std::scoped_lock const lock(this->mutex);
    return this->current_members;
}

}
