// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Verify.h>
#include <LibDecision/RouteTable.h>
#include <algorithm>
#include <numeric>

namespace Spurtide {

namespace {

/// More idle connections to one upstream do not help with the load peaks of a single VM.
constexpr std::int64_t MAXIMUM_IDLE_CONNECTIONS = 32;
/// Share of an upstream's connection limit that may be idle.
constexpr double IDLE_SHARE = 0.5;

}

std::size_t idle_connections_per_virtual_machine(std::span<ServiceTraits const> services, VirtualMachineCount const& machines)
{
    auto idle_connections = MAXIMUM_IDLE_CONNECTIONS;
    for (auto const& service : services) {
        auto const share = static_cast<double>(service.maximum_connections) * IDLE_SHARE * machines.share_of_each();
        idle_connections = std::min(idle_connections, static_cast<std::int64_t>(share));
    }
    return static_cast<std::size_t>(std::max<std::int64_t>(1, idle_connections));
}

std::string normalize_host(std::string_view host)
{
    auto const colon = host.rfind(':');
    // NOTE: A bracketed IPv6 address contains colons even without a port.
    if (colon != std::string_view::npos && host.find(']', colon) == std::string_view::npos)
        host = host.substr(0, colon);
    std::string text(host);
    std::transform(text.begin(), text.end(), text.begin(), [](char character) { return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a') : character; });
    return text;
}

std::string const& Route::target_for(std::uint64_t hash) const
{
    VERIFY(!this->targets.empty());
    auto const total = std::accumulate(this->targets.begin(), this->targets.end(), std::int64_t { 0 }, [](auto sum, auto const& target) { return sum + target.weight; });
    if (total <= 0)
        return this->targets.front().service;
    auto left = static_cast<std::int64_t>(hash % static_cast<std::uint64_t>(total));
    for (auto const& target : this->targets) {
        left -= target.weight;
        if (left < 0)
            return target.service;
    }
    return this->targets.back().service;
}

RouteTable::RouteTable(RoutingConfiguration configuration)
    : current(std::move(configuration))
{
    for (std::size_t i = 0; i < this->current.routes.size(); ++i)
        this->by_host[normalize_host(this->current.routes[i].host)].push_back(i);
    for (auto& [host, indexes] : this->by_host) {
        std::sort(indexes.begin(), indexes.end(), [&](auto a, auto b) { return this->current.routes[a].path_prefix.size() > this->current.routes[b].path_prefix.size(); });
    }
}

Route const* RouteTable::find(std::string_view host, std::string_view target) const
{
    auto const found = this->by_host.find(normalize_host(host));
    if (found == this->by_host.end())
        return nullptr;
    auto const path = target.substr(0, target.find('?'));
    for (auto const index : found->second) {
        if (path.starts_with(this->current.routes[index].path_prefix))
            return &this->current.routes[index];
    }
    return nullptr;
}

bool RouteTable::has_same_targets_in(RouteTable const& other) const
{
    return std::all_of(this->current.routes.begin(), this->current.routes.end(), [&](auto const& route) {
        auto const* same = other.find(route.host, route.path_prefix);
        return same && same->path_prefix == route.path_prefix && same->targets == route.targets;
    });
}

ServiceTraits const* RouteTable::service(std::string_view name) const
{
    auto const found = std::find_if(this->current.services.begin(), this->current.services.end(), [&](auto const& service) { return service.name == name; });
    return found == this->current.services.end() ? nullptr : &*found;
}

}
