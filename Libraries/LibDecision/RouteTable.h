// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibAccounts/AccountBook.h>
#include <LibCore/Time.h>
#include <LibDecision/VirtualMachineCount.h>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Spurtide {

/// How often a request may be executed.
enum class RouteKind {
    /// May be executed more than once.
    Repeatable,
    /// Executed at most once.
    NotRepeatable,
    /// An event stream, executed at most once unless it is resumable.
    Stream,
};

struct RouteTarget {
    std::string service;
    /// Weight relative to the other targets of the route.
    std::int64_t weight = 1;

    bool operator==(RouteTarget const&) const = default;
};

struct Route {
    std::string name;
    /// Lower case, without a port.
    std::string host;
    std::string path_prefix;
    RouteKind kind = RouteKind::Repeatable;
    /// The longest time that a request may take.
    Duration timeout = seconds(30);
    /// Latency objective for the response, or for the first event of a stream.
    Duration latency_target = seconds(1);
    /// Objective for the longest gap between two events of a stream; zero if there is none.
    Duration event_gap_target {};
    /// How long clients wait for the first event of a stream before they disconnect.
    Duration first_event_patience = seconds(30);
    /// 0 is the highest priority.
    std::int64_t priority = 0;
    /// The number of upstreams to which one request may be sent.
    std::int64_t maximum_attempts = 1;
    RouteAccess access = RouteAccess::Accounts;
    /// Whether an interrupted stream may be resumed on another upstream after the last event received.
    bool is_resumable = false;
    /// The regions that the requests and all data derived from them must not leave; empty if unrestricted.
    std::vector<std::string> home_regions {};
    std::vector<RouteTarget> targets;

    /// Selects a target by weight with a uniformly distributed hash, such as that of the request identifier.
    std::string const& target_for(std::uint64_t hash) const;
};

/// Properties shared by all engines of a service.
struct EngineTraits {
    std::int64_t slots = 1;
    std::int64_t memory_tokens = 0;
    double cache_bytes_per_token = 0;
    double link_bytes_per_second = 1;
    /// Tokens per event of a stream, except for the last event.
    std::int64_t tokens_per_event = 1;
    /// How long an engine keeps a finished prefill for retrieval by others.
    Duration cache_hold = milliseconds(500);
};

struct ServiceTraits {
    std::string name;
    /// Connections that one upstream accepts from all VMs together.
    std::int64_t maximum_connections = 64;
    /// Requests per second that one upstream handles from all VMs together during its warm-up; 0 if unlimited.
    double cold_rate = 0;
    /// Set for services whose upstreams are engines.
    std::optional<EngineTraits> engine;
};

/// Limits on client requests.
struct CallerLimits {
    std::size_t maximum_head = 16UL * 1024;
    std::size_t maximum_body = 4UL * 1024 * 1024;
    Duration head_timeout = seconds(3);
    Duration idle_timeout = seconds(15);
};

/// Returns how many idle connections each VM may keep to an upstream of any of the services. All VMs together use at
/// most half of the upstream's connection limit, or one connection each if that is more; the rest is reserved for
/// active requests.
std::size_t idle_connections_per_virtual_machine(std::span<ServiceTraits const> services, VirtualMachineCount const& machines);

/// The configuration of the data path. A higher version supersedes a lower one.
struct RoutingConfiguration {
    std::int64_t version = 0;
    std::vector<Route> routes;
    std::vector<ServiceTraits> services;
    CallerLimits limits;
    /// Null if clients need no account.
    std::shared_ptr<AccountBook const> accounts;
};

/// Finds the route of a request: the one with the longest matching path prefix among those of the host.
class RouteTable {
public:
    explicit RouteTable(RoutingConfiguration configuration);

    Route const* find(std::string_view host, std::string_view target) const;
    ServiceTraits const* service(std::string_view name) const;
    /// Whether each route of this table has the same targets in the other one.
    bool has_same_targets_in(RouteTable const& other) const;
    RoutingConfiguration const& configuration() const { return this->current; }
    std::int64_t version() const { return this->current.version; }

private:
    RoutingConfiguration current;
    /// Indices into the routes by host, sorted by descending prefix length.
    std::map<std::string, std::vector<std::size_t>, std::less<>> by_host;
};

/// Returns the host in lower case and without its port.
std::string normalize_host(std::string_view host);

}
