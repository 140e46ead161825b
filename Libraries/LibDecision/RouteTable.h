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

/// What may be repeated of a request.
enum class RouteKind {
    /// May run more than once.
    Repeatable,
    /// Runs at most once.
    NotRepeatable,
    /// An event stream. Runs at most once, but for resumable ones.
    Stream,
};

struct RouteTarget {
    std::string service;
    /// Share of the requests, against those of the route's other targets.
    std::int64_t weight = 1;
};

struct Route {
    std::string name;
    /// Without a port, in lower case.
    std::string host;
    std::string path_prefix;
    RouteKind kind = RouteKind::Repeatable;
    /// Longest time that a request is held.
    Duration timeout = seconds(30);
    /// Time within which an answer, or a stream's first event, is on time.
    Duration latency_target = seconds(1);
    /// Longest pause between two events that is on time; zero where none is set.
    Duration pause_target {};
    /// How long callers of a stream wait for its first event before they leave.
    Duration first_event_patience = seconds(30);
    /// 0 goes first.
    std::int64_t priority = 0;
    /// Upstreams that one request may be sent to.
    std::int64_t maximum_attempts = 1;
    RouteAccess access = RouteAccess::Accounts;
    /// Whether a stream may go on at another upstream behind the last event that came.
    bool is_resumable = false;
    /// Regions that its requests, their prompts and what is made of them stay in; empty for all.
    std::vector<std::string> home_regions {};
    std::vector<RouteTarget> targets;

    /// Picks a target by a number that is spread evenly, such as a hash of the request's name.
    std::string const& target_for(std::uint64_t hash) const;
};

/// What the engines of a service have in common.
struct EngineTraits {
    std::int64_t slots = 1;
    std::int64_t memory_tokens = 0;
    double cache_bytes_per_token = 0;
    double link_bytes_per_second = 1;
    /// Tokens that one event of a stream holds, but for the last.
    std::int64_t tokens_per_event = 1;
    /// How long an engine keeps a finished prefill for others.
    Duration cache_hold = milliseconds(500);
};

struct ServiceTraits {
    std::string name;
    /// Connections that one upstream takes from all VMs together.
    std::int64_t maximum_connections = 64;
    /// Requests a second that one upstream bears from all VMs together while it is cold; 0 where nothing bounds them.
    double cold_rate = 0;
    /// Set for services whose upstreams are engines.
    std::optional<EngineTraits> engine;
};

/// What callers may send.
struct CallerLimits {
    std::size_t maximum_head = 16UL * 1024;
    std::size_t maximum_body = 4UL * 1024 * 1024;
    Duration head_timeout = seconds(3);
    Duration idle_timeout = seconds(15);
};

/// The configuration that the data path works by. A higher version replaces a lower one.
/// How many connections each VM may keep at rest to an upstream of any of the services: all VMs together half of what it takes,
/// or one each where that is more. The rest is for connections that carry requests.
std::size_t idle_connections_per_virtual_machine(std::span<ServiceTraits const> services, VirtualMachineCount const& machines);

struct RoutingConfiguration {
    std::int64_t version = 0;
    std::vector<Route> routes;
    std::vector<ServiceTraits> services;
    CallerLimits limits;
    /// Null where callers need no account.
    std::shared_ptr<AccountBook const> accounts;
};

/// Finds the route of a request: among those of its host, the one with the longest prefix of its path.
class RouteTable {
public:
    explicit RouteTable(RoutingConfiguration configuration);

    Route const* find(std::string_view host, std::string_view target) const;
    ServiceTraits const* service(std::string_view name) const;
    RoutingConfiguration const& configuration() const { return this->current; }
    std::int64_t version() const { return this->current.version; }

private:
    RoutingConfiguration current;
    /// Indexes of routes by host, the longest prefix first.
    std::map<std::string, std::vector<std::size_t>, std::less<>> by_host;
};

/// A host without its port, in lower case.
std::string normalize_host(std::string_view host);

}
