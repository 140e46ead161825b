// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibAsync/HttpServer.h>
#include <LibCore/Metrics.h>
#include <LibCore/MonotonicTimer.h>
#include <LibDecision/ConnectionAdmission.h>
#include <LibRouter/CallAdmissionClient.h>
#include <LibRouter/CallAdmissionService.h>
#include <LibRouter/CrashReporter.h>
#include <LibRouter/PlacementClient.h>
#include <LibRouter/PlacementService.h>
#include <LibRouter/PromptCacheFetcher.h>
#include <LibRouter/QuotaClient.h>
#include <LibRouter/RegistryFollower.h>
#include <LibRouter/RegistryRelay.h>
#include <LibRouter/RelayClient.h>
#include <LibRouter/RelayService.h>
#include <LibRouter/ReplicatedQuarantine.h>
#include <LibRouter/RequestRouter.h>
#include <LibRouter/RoleController.h>
#include <LibRouter/RouterState.h>
#include <LibRouter/StreamOriginDirectory.h>
#include <LibRouter/UpstreamLimiter.h>
#include <LibWire/Kernel.h>
#include <Services/ConfigServer/MembershipService.h>
#include <Services/NodeServer/NodeSettings.h>
#include <functional>
#include <map>
#include <memory>
#include <span>

namespace Spurtide {

/// Why a node cannot start.
enum class NodeStartError {
    CannotListenForCallers,
    CannotListenForOperations,
    CannotListenForPeers,
};

std::string_view to_string(NodeStartError error);

/// The adapters through which a node meets its deployment.
struct NodeAdapters {
    CallerDialect const& dialect;
    RegistryPort& registry;
    LeasePort& leases;
    QuarantinePort& quarantine;
    StreamOriginPort& stream_origins;
    /// Path that is asked for readiness.
    std::string readiness_path;
};

/// One VM's router: the entry, the keeper of the engines, the membership and the follower of the registry on
/// one event loop.
class Node {
public:
    static Result<std::unique_ptr<Node>, NodeStartError> create(asio::io_context& loop, NodeSettings settings, NodeAdapters adapters);
    ~Node();
    Node(Node const&) = delete;
    Node& operator=(Node const&) = delete;

    /// Leaves, lets running requests end, and calls the function when all is done or the grace time is over.
    void stop(std::function<void()> when_done);
    bool is_ready() const;
    /// 0 before the first one.
    std::int64_t configuration_version() const { return this->state.routes ? this->state.routes->version() : 0; }
    bool knows_upstream(std::string_view identity, UpstreamRecord::Life life) const;
    Address const& caller_address() const { return this->callers->address(); }
    Address const& operations_address() const { return this->operations->address(); }
    /// Where other VMs send requests to relay; empty if this VM relays none.
    std::optional<Address> relay_address() const { return this->relay_server ? std::optional(this->relay_server->address()) : std::nullopt; }
    /// Where other VMs reach this one, as ADDRESS:PORT.
    std::string wire_address() const;

private:
    Node(asio::io_context& loop, NodeSettings settings, NodeAdapters adapters);
    Result<Done, NodeStartError> start();
    void host_services();
    std::size_t live_virtual_machines() const;
    /// This VM's part of the retry budgets' allowance; nothing while it may have used it before a start, or does not know
    /// yet how many share it.
    double retry_allowance_part() const;
    bool accepts_connection();
    void note_loop_delay(MonotonicTime now);
    QuotaCounter::MembershipCounts count_virtual_machines() const;
    void create_quota();
    void create_quarantine();
    void create_limiter();
    void create_call_admission();
    void create_stream_origins();
    void create_relay();
    void serve_relay();
    void limit_relayed_requests();
    /// Whether this VM offers to relay requests of VMs that are partitioned from the upstreams.
    bool offers_relay() const;
    void create_role_controller();
    RegistryFollower::Hooks hooks();
    RegistryRelay::Hooks relay_hooks();
    void adopt(ConfigurationDocument const& document, std::string_view source);
    void adopt_accounts();
    std::size_t count_upstreams(std::string_view data_centre) const;
    void adopt_evacuations(EvacuationUpdate const& news, std::string_view source);
    void announce_evacuations(std::span<Evacuation const> changes, std::string_view source);
    void adopt_departure(UpstreamIncarnation const& upstream, std::string_view source);
    void engines_changed();
    asio::awaitable<void> answer_operations(HttpExchange& exchange);
    void serve_metrics();
    /// Listens on an address that requests can do without. Returns null, and logs it once, while the address cannot be used.
    std::unique_ptr<HttpServer> listen_if_possible(std::string_view server, Address const& address, HttpServer::Handler handler);
    void publish_metrics();
    void every_second();
    void drop_lapsed();
    void note_cut(MonotonicTime now);
    void note_partition(MonotonicTime now);
    void poll_stop();
    /// Refuses the requests whose rest would come too late to be answered before the exit.
    void refuse_incomplete_requests();
    /// Ends what still runs at the end of the grace time.
    void interrupt_requests();
    void exit_process(std::size_t interrupted);

    asio::io_context& loop;
    NodeSettings settings;
    NodeAdapters adapters;
    Metrics metrics;
    RouterState state;
    RequestRouter request_router;
    std::unique_ptr<Kernel> kernel;
    std::unique_ptr<MembershipService> membership;
    std::unique_ptr<RegistryRelay> relay;
    std::unique_ptr<PlacementClient> placement;
    std::unique_ptr<QuotaCounter> quota_counter;
    std::unique_ptr<QuotaClient> quota;
    UpstreamLimitTable upstream_limits;
    std::unique_ptr<UpstreamLimitCounter> limit_counter;
    std::unique_ptr<UpstreamLimiter> limiter;
    std::unique_ptr<CallAdmissionService> call_admission_service;
    std::unique_ptr<CallAdmissionClient> call_admission;
    std::unique_ptr<StreamOriginRecorder> stream_origin_recorder;
    std::unique_ptr<StreamOriginArchive> stream_origin_archive;
    std::unique_ptr<StreamOriginDirectory> stream_origins;
    std::unique_ptr<RelayClient> relay_client;
    std::unique_ptr<RelayService> relay_service;
    ConnectionAdmission connection_admission { ConnectionAdmission::Options {} };
    /// New connections closed since the last log line about them.
    std::int64_t closed_connections = 0;
    std::unique_ptr<ReplicatedQuarantine> quarantine;
    std::unique_ptr<CrashAnalyzer> crash_analyzer;
    std::unique_ptr<CrashReporter> crash_reporter;
    std::unique_ptr<PlacementService> placement_service;
    /// Empty where engines keep the roles that they have.
    std::unique_ptr<RoleController> role_controller;
    std::unique_ptr<PromptCacheFetcher> prompt_cache_fetcher;
    std::unique_ptr<RegistryFollower> follower;
    std::unique_ptr<HttpServer> callers;
    std::unique_ptr<HttpServer> operations;
    /// Empty where this VM relays no requests, or its address cannot be used yet.
    std::unique_ptr<HttpServer> relay_server;
    /// Empty where metrics have no address of their own, or it cannot be used yet.
    std::unique_ptr<HttpServer> metrics_server;
    /// Attempts to listen that failed so far, by server.
    std::map<std::string, std::int64_t, std::less<>> failed_listens;
    std::optional<MonotonicTime> last_lapse_check;
    MonotonicTime started_at;
    bool was_cut_off = false;
    bool was_partitioned = false;
    bool is_stopping = false;
    bool refuses_incomplete = false;
    MonotonicTime stop_began;
    std::function<void()> when_stopped;
    MonotonicTimer stop_timer;
};

}
