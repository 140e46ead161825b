// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <LibCore/LogLine.h>
#include <LibCore/ProcessLog.h>
#include <LibCore/ProcessMemory.h>
#include <LibRouter/StreamMigrator.h>
#include <LibWire/WireMetrics.h>
#include <Services/NodeServer/Node.h>
#include <Services/NodeServer/NodeMetrics.h>
#include <algorithm>
#include <array>
#include <set>
#include <xxhash.h>

namespace Spurtide {

namespace {

constexpr Duration HEARTBEAT = milliseconds(500);
/// An upstream that left gets nothing new within the time that its entry is kept and this.
constexpr Duration LAPSE_CHECK = milliseconds(100);
/// A node that heard nobody by then takes it that it is alone.
constexpr Duration LONGEST_START = milliseconds(1500);
/// The balancer asks once a second and takes a VM out after two misses.
constexpr Duration BALANCER_NOTICE = milliseconds(2500);
constexpr Duration STOP_POLL = milliseconds(50);
/// A shorter lease would be over before an order is answered.
constexpr Duration SHORTEST_LEASE = milliseconds(3000);
/// A caller waits for it, and is refused if it takes longer.
constexpr Duration UPSTREAMS_CONFIRMATION_TIMEOUT = milliseconds(200);
/// The rest is for connections to upstreams, other VMs and the registry.
constexpr std::int64_t CALLERS_PART_OF_DESCRIPTORS = 2;
/// The rest is for the program itself, its connections, what it knows of upstreams, and what the allocator cannot reuse.
constexpr std::size_t BUFFERS_PART_OF_MEMORY = 4;
/// Each relayed request needs another one to an upstream.
constexpr std::int64_t RELAY_PART_OF_DESCRIPTORS = 8;
/// Steps get longer as engines fill up, and are measured as means of whole answers: with 5.09 ms and 0.0303 ms a request
/// a full batch of 64 takes 16 % longer than a half one, worked out and rounded up.
constexpr double PACE_ERROR = 0.2;
/// Left of the grace time when the rest is cut off.
constexpr Duration STOP_MARGIN = milliseconds(400);
/// Between the interruption of what still runs and the exit, for the responses to it.
constexpr Duration INTERRUPTION_TIME = milliseconds(100);
/// Renewals of a grant that may fail to come before it counts as over, and what a VM that is busy may be late with one.
/// Where a slow VM's grants are taken for over its next renewal brings them back.
constexpr int RENEWALS_MISSED = 2;
constexpr Duration RENEWAL_MARGIN = milliseconds(200);

std::string wire_endpoint(Address const& address) { return "tcp://" + address.to_string(); }

std::uint64_t spread_of(std::string const& name) { return XXH3_64bits(name.data(), name.size()); }

CellScheduler::Options scheduler_options(NodeSettings const& settings)
{
    CellScheduler::Options options;
    options.memory_headroom = settings.memory_headroom;
    options.forecast.spread = settings.length_spread;
    options.forecast.deviations = settings.memory_deviations;
    options.forecast.progress_error = PACE_ERROR;
    options.return_spread = settings.return_spread;
    options.policy.decode_prefill = SchedulerPolicy::DecodePrefill::Overflow;
    options.policy.last_resort = SchedulerPolicy::LastResort::On;
    options.policy.backfill = SchedulerPolicy::Backfill::On;
    if (settings.completion_placement == NodeSettings::CompletionPlacement::Off)
        options.policy.completion = SchedulerPolicy::Completion::Ignored;
    if (settings.account_share_bound == NodeSettings::AccountShareBound::Off)
        options.policy.account_bound = SchedulerPolicy::AccountBound::Off;
    options.report_need = CellScheduler::Options::ReportNeed::None;
    options.stale_grant_timeout = PlacementClient::Options {}.renewal_interval * RENEWALS_MISSED + RENEWAL_MARGIN;
    options.cache_hold = milliseconds(500);
    // In the order of what engines of today take; measured from the first answers on.
    options.initial_step_time = milliseconds(1);
    // Events of several tokens come at once, so pauses of a whole answer are what counts.
    options.token_target = milliseconds(250);
    return options;
}

}

std::string_view to_string(NodeStartError error)
{
    constexpr std::array<std::string_view, 3> NAMES = { "cannot_listen_for_callers", "cannot_listen_for_operations", "cannot_listen_for_peers" };
    return NAMES.at(static_cast<std::size_t>(error));
}

Node::Node(asio::io_context& loop, NodeSettings node_settings, NodeAdapters node_adapters)
    : loop(loop)
    , settings(std::move(node_settings))
    , adapters(std::move(node_adapters))
    , state { .loop = loop, .dialect = this->adapters.dialect, .metrics = this->metrics, .data_centre = this->settings.data_centre, .regions = this->settings.regions, .retry_options = this->settings.retry }
    , request_router(this->state)
    , started_at(monotonic_now())
    , stop_timer(loop)
{
}

// Messages that wait for an answer are told of the end while the members that they report to are still there.
Node::~Node()
{
    if (this->kernel)
        this->kernel->stop();
}

Result<std::unique_ptr<Node>, NodeStartError> Node::create(asio::io_context& loop, NodeSettings settings, NodeAdapters adapters)
{
    if (settings.memory_bytes)
        BufferMemory::the().set_limit(*settings.memory_bytes / BUFFERS_PART_OF_MEMORY);
    std::unique_ptr<Node> node(new Node(loop, std::move(settings), std::move(adapters)));
    TRY(node->start());
    return node;
}

Result<Done, NodeStartError> Node::start()
{
    Kernel::Options options;
    options.virtual_machine = this->settings.virtual_machine;
    options.listen_endpoint = wire_endpoint(this->settings.wire_address);
    options.loop = &this->loop;
    auto created = Kernel::create(std::move(options));
    if (created.is_error())
        return Failure { NodeStartError::CannotListenForPeers };
    this->kernel = created.release_value();

    MembershipService::Options members;
    members.virtual_machine = this->settings.virtual_machine;
    for (auto const& seed : this->settings.seeds)
        members.seeds.push_back("tcp://" + seed);
    members.heartbeat_interval = HEARTBEAT;
    this->membership = std::make_unique<MembershipService>(
        members, *this->kernel, [this] { return this->state.routes ? this->state.routes->version() : 0; }, [this](auto const& endpoint, auto version) { this->relay->handle_configuration_version(endpoint, version); });
    this->membership->set_upstreams_hooks([this] { return this->state.upstreams.version(); }, [this](auto const& endpoint, auto version) { this->relay->handle_upstreams_version(endpoint, version); });
    this->membership->set_evacuation_hooks([this]() -> EvacuationTable const& { return this->state.upstreams.evacuations(); }, [this](auto const& news) { this->adopt_evacuations(news, "heartbeat"); });
    this->relay = std::make_unique<RegistryRelay>(RegistryRelay::Options { this->settings.data_centre }, *this->kernel, this->state.upstreams, this->relay_hooks());
    this->membership->set_data_centre_of([](MemberRecord const& member) { return RegistryRelay::data_centre_of(member); });
    VirtualMachineRanking::Hooks ranking_hooks;
    ranking_hooks.partition_members = [this]() -> std::optional<std::vector<std::string>> {
        if (!this->membership->is_cut_off())
            return {};
        return this->kernel->directory().virtual_machines_with(this->relay->service());
    };
    this->placement = std::make_unique<PlacementClient>(PlacementClient::Options {}, *this->kernel);
    this->placement->ranking().set_hooks(std::move(ranking_hooks));
    this->create_quota();
    this->create_quarantine();
    this->create_limiter();
    this->create_call_admission();
    this->create_stream_origins();
    this->placement_service = std::make_unique<PlacementService>(scheduler_options(this->settings), *this->kernel, this->metrics, this->loop);
    PromptCacheFetcher::Hooks prompt_cache_hooks;
    prompt_cache_hooks.is_keeper = [this] { return this->state.routes && this->membership->is_settled() && this->placement->is_keeper(); };
    prompt_cache_hooks.is_used = [this](auto engine) { return this->placement_service->uses_engine(engine); };
    prompt_cache_hooks.on_cached = [this](auto engine, auto own_parts) { this->placement_service->note_cached(engine, own_parts); };
    this->prompt_cache_fetcher = std::make_unique<PromptCacheFetcher>(PromptCacheFetcher::Options {}, this->state, std::move(prompt_cache_hooks));
    this->state.placement = this->placement.get();
    if (this->settings.stream_migration == NodeSettings::StreamMigration::On) {
        StreamMigrationPolicy::Options migration;
        migration.length_spread = this->settings.length_spread;
        // A leaving engine serves until all VMs have heard of it, and aborts what runs soon after.
        migration.service_after_announcement = this->settings.news_time;
        this->state.stream_moves = std::make_shared<StreamMoves>(StreamMigrationPolicy(migration));
    }
    this->state.sending_machines = [this] { return this->membership->sending_machines(); };
    this->state.retry_allowance_part = [this] { return this->retry_allowance_part(); };
    this->state.time_until_exit = [this]() -> std::optional<Duration> {
        if (!this->is_stopping)
            return {};
        return std::chrono::duration_cast<Duration>(this->stop_began + this->settings.stop_grace - STOP_MARGIN - monotonic_now());
    };
    this->host_services();

    auto callers_server = HttpServer::create(this->loop, this->settings.caller_address, [this](auto& exchange) { return this->request_router.handle(exchange); });
    if (callers_server.is_error())
        return Failure { NodeStartError::CannotListenForCallers };
    this->callers = callers_server.release_value();
    this->callers->set_most_connections(static_cast<std::size_t>(this->settings.descriptors / CALLERS_PART_OF_DESCRIPTORS));
    this->callers->set_admission([this] { return this->accepts_connection(); });
    this->callers->set_out_of_memory_head([this](auto const& head) { return this->request_router.reject_unread(head); });
    auto operations_server = HttpServer::create(this->loop, this->settings.operations_address, [this](auto& exchange) { return this->answer_operations(exchange); });
    if (operations_server.is_error())
        return Failure { NodeStartError::CannotListenForOperations };
    this->operations = operations_server.release_value();
    this->serve_metrics();
    this->create_relay();

    RegistryFollower::Options follow;
    follow.retry_seed = spread_of(this->settings.virtual_machine);
    this->follower = std::make_unique<RegistryFollower>(follow, this->loop, this->adapters.registry, this->hooks());
    this->state.confirm_upstreams = [this] { return this->follower->confirm_upstreams(UPSTREAMS_CONFIRMATION_TIMEOUT); };
    if (this->settings.role_changes == NodeSettings::RoleChanges::On)
        this->create_role_controller();
    this->kernel->start();
    this->relay->start();
    this->membership->start();
    this->placement->start();
    this->quota->start();
    this->quarantine->start();
    this->stream_origins->start();
    this->stream_origin_recorder->start();
    this->call_admission_service->start();
    this->placement_service->start();
    if (this->role_controller)
        this->role_controller->start();
    this->prompt_cache_fetcher->start();
    this->follower->start();
    this->kernel->every(seconds(1), [this] { this->every_second(); });
    this->kernel->every(LAPSE_CHECK, [this] { this->drop_lapsed(); });
    return Done {};
}

void Node::create_relay()
{
    RelayClient::Hooks client_hooks;
    client_hooks.data_centre_of = [](MemberRecord const& member) { return RegistryRelay::data_centre_of(member); };
    client_hooks.region_of = [this](std::string_view data_centre) { return std::string(region_of(data_centre, this->settings.regions)); };
    client_hooks.has_company = [this] { return this->membership->has_company(); };
    this->relay_client = std::make_unique<RelayClient>(RelayClient::Options {}, *this->kernel, this->settings.data_centre, std::move(client_hooks));
    this->state.relays = this->relay_client.get();
    if (!this->settings.relay_address)
        return;
    this->relay_service = std::make_unique<RelayService>(this->state, RelayService::Hooks { [this] { return this->is_stopping; } });
    this->membership->set_endpoints_hook([this] {
        std::vector<ServiceEndpoint> endpoints;
        if (this->offers_relay())
            endpoints.push_back(RelayClient::announcement(this->relay_server->address(), this->kernel->incarnation()));
        return endpoints;
    });
    this->serve_relay();
}

void Node::serve_relay()
{
    if (this->relay_server || !this->relay_service)
        return;
    this->relay_server = this->listen_if_possible("relay", *this->settings.relay_address, [this](auto& exchange) { return this->relay_service->handle(exchange); });
    if (!this->relay_server)
        return;
    this->relay_server->set_most_connections(static_cast<std::size_t>(this->settings.descriptors / RELAY_PART_OF_DESCRIPTORS));
    this->relay_server->set_body_kind(BufferMemory::Kind::RelayedBodies);
    this->relay_server->set_out_of_memory_head([](auto const&) { return relay_outcome_head(RelayOutcome::OutOfMemory); });
    this->limit_relayed_requests();
}

// The body of a relayed request holds the head as well, which has a few fields more than the caller's.
void Node::limit_relayed_requests()
{
    if (!this->relay_server)
        return;
    HttpLimits limits;
    limits.maximum_body = this->callers->limits().maximum_body + 2 * this->callers->limits().maximum_head;
    this->relay_server->set_limits(limits);
}

bool Node::offers_relay() const
{
    return this->relay_server && this->state.routes && !this->is_stopping && !this->state.reachability->is_partitioned(monotonic_now());
}

void Node::create_role_controller()
{
    RoleController::Options options;
    options.lease.length = std::max(this->settings.lease_time, SHORTEST_LEASE);
    if (this->settings.start == NodeSettings::Start::First)
        options.lease.missing_row = LeaseTerm::MissingRow::NeverWritten;
    RoleController::Hooks hooks;
    hooks.is_keeper = [this] {
        bool const reaches_engines = !this->state.reachability->is_partitioned(monotonic_now());
        return !this->is_stopping && this->state.routes && reaches_engines && this->membership->is_settled() && this->placement->is_keeper();
    };
    hooks.engine_states = [this] { return this->placement_service->engine_states(); };
    hooks.on_change = [this] { this->engines_changed(); };
    this->role_controller = std::make_unique<RoleController>(options, this->state, this->adapters.leases, this->kernel->incarnation(), std::move(hooks));
    PlacementService::Hooks placement_hooks;
    placement_hooks.on_first_ask = [this](PlacementAsk const& ask) { this->role_controller->note_request(ask.model, ask.prompt_tokens, ask.expected_output_tokens); };
    placement_hooks.is_changing_role = [this](std::string_view engine) { return this->role_controller->is_changing(engine); };
    this->placement_service->set_hooks(std::move(placement_hooks));
}

std::size_t Node::live_virtual_machines() const
{
    return std::max<std::size_t>(1, this->kernel->directory().virtual_machines_with(PLACEMENT_SERVICE).size());
}

double Node::retry_allowance_part() const
{
    // What this VM sent before its process was killed still counts, and no process remembers it.
    bool const may_have_used_it = this->settings.start == NodeSettings::Start::Again && monotonic_now() - this->started_at < this->settings.retry.window;
    if (may_have_used_it || !this->membership->is_settled())
        return 0;
    return this->membership->count().share_of_each();
}

QuotaCounter::MembershipCounts Node::count_virtual_machines() const
{
    QuotaCounter::MembershipCounts count;
    // A VM that is only suspected may be the other side of a cut, which gives out its part as well.
    auto const seen = this->membership->count();
    count.live = std::max<std::size_t>(1, seen.live);
    count.lost = seen.missing;
    // Where all start for the first time nobody has forgotten anything.
    if (this->settings.start == NodeSettings::Start::Again)
        count.recently_started = this->membership->count_started_after(unix_milliseconds() - to_milliseconds(this->settings.quota_window));
    return count;
}

void Node::create_quota()
{
    QuotaCounter::Hooks hooks;
    hooks.routes = [this] { return this->state.routes; };
    hooks.is_settled = [this] { return this->membership->is_settled(); };
    hooks.virtual_machines = [this] { return this->count_virtual_machines(); };
    QuotaLedger::Options ledger;
    ledger.window = this->settings.quota_window;
    ledger.tolerance = this->settings.quota_tolerance;
    this->quota_counter = std::make_unique<QuotaCounter>(ledger, *this->kernel, this->placement->ranking(), std::move(hooks));
    QuotaClient::Options client;
    client.credit.window = this->settings.quota_window;
    this->quota = std::make_unique<QuotaClient>(client, *this->kernel, this->placement->ranking(), *this->quota_counter);
    this->state.quota = this->quota.get();
}

void Node::create_quarantine()
{
    this->quarantine = std::make_unique<ReplicatedQuarantine>(ReplicatedQuarantine::Options {}, *this->kernel, this->placement->ranking(), this->adapters.quarantine, this->loop);
    this->crash_analyzer = std::make_unique<CrashAnalyzer>(CrashAnalyzer::Options {}, *this->quarantine, this->loop);
    this->crash_reporter = std::make_unique<CrashReporter>(CrashReporter::Options {}, *this->kernel, this->placement->ranking(), *this->quarantine, *this->crash_analyzer);
    this->membership->set_quarantine_hooks([this] { return this->quarantine->digest(); }, [this](auto const& endpoint, auto digest) { this->quarantine->handle_digest(endpoint, digest); });
    this->state.quarantine = this->quarantine.get();
    this->state.crashes = this->crash_reporter.get();
}

void Node::create_limiter()
{
    UpstreamLimitCounter::Hooks hooks;
    hooks.is_settled = [this] { return this->membership->is_settled(); };
    hooks.virtual_machines = [this] { return this->membership->count(); };
    hooks.is_listed = [this](std::string_view upstream) { return this->state.upstreams.find(upstream) != nullptr; };
    hooks.departures = [this] { return this->state.upstreams.unregistered_departures(); };
    hooks.on_departure = [this](auto const& upstream) { this->adopt_departure(upstream, "peer"); };
    auto& ranking = this->placement->ranking();
    this->limit_counter = std::make_unique<UpstreamLimitCounter>(*this->kernel, ranking, this->upstream_limits, std::move(hooks));
    UpstreamLimiter::Options options;
    options.departures_digest = [this] { return this->state.upstreams.departures_digest(); };
    this->limiter = std::make_unique<UpstreamLimiter>(std::move(options), *this->kernel, ranking, this->upstream_limits, *this->limit_counter);
    this->membership->set_upstream_limits_hooks([this] { return this->limiter->digest(); }, [this](auto const& endpoint, auto digest) { this->limiter->handle_digest(endpoint, digest); });
    this->state.limiter = this->limiter.get();
    this->state.note_departure = [this](auto const& upstream) { this->adopt_departure(upstream, "response"); };
}

void Node::create_call_admission()
{
    this->call_admission_service = std::make_unique<CallAdmissionService>(CallAdmissionService::Options {}, *this->kernel, this->state.upstreams, this->metrics, this->loop);
    this->call_admission = std::make_unique<CallAdmissionClient>(CallAdmissionClient::Options {}, *this->kernel, this->placement->ranking(), this->metrics, this->settings.data_centre);
    // Every VM hosts the service, so that the setting can be switched on at one VM after the other.
    if (this->settings.call_admission == NodeSettings::CallAdmission::On)
        this->state.call_admission = this->call_admission.get();
}

void Node::create_stream_origins()
{
    auto const data_centre_of = [](MemberRecord const& member) { return RegistryRelay::data_centre_of(member); };
    StreamOriginRecorder::Hooks hooks;
    hooks.era = [this] { return this->state.upstreams.version().era; };
    hooks.data_centre_count = [this, data_centre_of] {
        std::set<std::string> data_centres;
        for (auto const& member : this->kernel->directory().members())
            data_centres.insert(data_centre_of(member));
        return std::max<std::size_t>(1, data_centres.size());
    };
    auto& port = this->adapters.stream_origins;
    this->stream_origin_recorder = std::make_unique<StreamOriginRecorder>(StreamOriginRecorder::Options {}, this->loop, port, this->metrics, this->kernel->incarnation(), std::move(hooks));
    this->stream_origin_archive = std::make_unique<StreamOriginArchive>(StreamOriginArchive::Options {}, this->loop, port, this->metrics);
    this->stream_origins = std::make_unique<StreamOriginDirectory>(StreamOriginDirectory::Options {}, *this->kernel, this->metrics, this->settings.data_centre, data_centre_of);
    this->stream_origins->set_registry(*this->stream_origin_recorder, *this->stream_origin_archive);
    this->state.stream_origins = this->stream_origins.get();
    this->state.longest_absence = this->settings.longest_absence;
}

void Node::host_services()
{
    this->kernel->host("directory", [this](wire::Envelope const& request, Kernel::Responder const& respond) {
        if (request.has_heartbeat())
            return this->membership->handle_heartbeat(request.heartbeat(), respond);
        if (request.has_member_records())
            return this->membership->handle_records(request.member_records(), respond);
        respond(error_reply(wire::ERROR_CODE_UNKNOWN_MESSAGE));
    });
    this->relay->host();
    this->kernel->host(std::string(PLACEMENT_SERVICE), [this](wire::Envelope const& request, Kernel::Responder const& respond) { this->placement_service->handle(request, respond); });
    this->quota_counter->host();
    this->limit_counter->host();
    this->call_admission_service->host();
    this->crash_reporter->host();
    this->stream_origins->host();
    // A mark in the directory: a VM that is to be asked before others.
    if (this->settings.processor_share >= this->settings.keeper_processor_share)
        this->kernel->host(std::string(STRONG_PLACEMENT_SERVICE), [](wire::Envelope const&, Kernel::Responder const& respond) { respond(error_reply(wire::ERROR_CODE_UNKNOWN_MESSAGE)); });
}

RegistryFollower::Hooks Node::hooks()
{
    RegistryFollower::Hooks hooks;
    hooks.on_configuration = [this](auto const& found) { this->adopt(found, "registry"); };
    hooks.on_evacuations = [this](auto const& news) { this->adopt_evacuations(news, "registry"); };
    hooks.on_upstreams = [this](UpstreamSnapshot const& snapshot) {
        auto const result = this->state.upstreams.replace(snapshot.listed, snapshot.position, monotonic_now());
        LogLine("upstreams_read").with("result", result == UpstreamList::SnapshotResult::Adopted ? "adopted" : "ignored").with("count", static_cast<std::int64_t>(snapshot.listed.size())).with("version", this->state.upstreams.version().version).with("position", snapshot.position.version).with("era", snapshot.position.era);
        this->engines_changed();
        this->relay->publish();
    };
    hooks.on_upstream_news = [this](UpstreamNews const& news) {
        for (auto const& change : news.changes) {
            auto const state_name = !change.record ? "gone" : change.record->life == UpstreamRecord::Life::Leaving ? "leaving"
                                                                                                                   : "serving";
            LogLine line("upstream_changed");
            line.with("upstream", change.identity).with("state", state_name).with("version", change.version.version).with("era", change.version.era);
            if (change.record)
                line.with("software", change.record->software_version);
            this->state.upstreams.apply(change, monotonic_now());
        }
        this->engines_changed();
        this->relay->publish();
    };
    hooks.on_upstreams_state = [this](auto registry) {
        // One that the registry turns away and others tell of it knows as much as one that leaves watching to them.
        if (registry == UpstreamList::RegistryState::Available || !this->relay->has_recent_update())
            this->state.upstreams.note_registry(registry, monotonic_now());
    };
    hooks.on_call = [this](auto what, auto result) {
        this->metrics.increment("spurtide_registry_calls_total", "Calls to the registry by what they were for and how they ended", { { "what", std::string(what) }, { "result", std::string(result) } });
    };
    hooks.watches = [this] { return this->relay->watches(); };
    hooks.batching_delay = [this] { return this->relay->batching_delay(this->settings.news_time); };
    hooks.maximum_retry_interval = [this](Duration usual) { return this->relay->maximum_retry_interval(usual); };
    hooks.upstreams_version = [this] { return this->state.upstreams.version(); };
    return hooks;
}

RegistryRelay::Hooks Node::relay_hooks()
{
    RegistryRelay::Hooks hooks;
    hooks.on_configuration = [this](auto const& found) { this->adopt(found, "peer"); };
    hooks.on_evacuations = [this](auto const& news) { this->adopt_evacuations(news, "watcher"); };
    hooks.on_upstreams = [this] {
        this->follower->note_era(this->state.upstreams.version().era);
        this->engines_changed();
    };
    hooks.configuration_version = [this] { return this->configuration_version(); };
    hooks.follows_configuration = [this] { return this->state.routes && this->follower->follows_configuration(); };
    hooks.follows_upstreams = [this] { return this->follower->follows_upstreams(); };
    hooks.company = [this] { return this->membership->has_company() ? WatchPlan::PeerReachability::Some : WatchPlan::PeerReachability::None; };
    return hooks;
}

void Node::adopt(ConfigurationDocument const& found, std::string_view source)
{
    auto decoded = this->adapters.registry.decode(found);
    if (decoded.is_error()) {
        auto const& fault = decoded.error();
        LogLine("configuration_unreadable").with("source", source).with("error", to_string(fault.kind)).with("field", fault.field);
        return;
    }
    auto const known = this->state.routes ? this->state.routes->version() : 0;
    if (this->state.routes && decoded.value().version <= known)
        return;
    auto const& limits = decoded.value().limits;
    HttpLimits http;
    http.maximum_head = limits.maximum_head;
    http.maximum_body = limits.maximum_body;
    http.head_timeout = limits.head_timeout;
    http.idle_timeout = limits.idle_timeout;
    this->callers->set_limits(http);
    this->limit_relayed_requests();
    auto const before = std::exchange(this->state.routes, std::make_shared<RouteTable const>(decoded.release_value()));
    if (!before || !before->has_same_targets_in(*this->state.routes))
        this->state.targets_since = monotonic_now();
    this->relay->set_document(found);
    this->adopt_accounts();
    LogLine("configuration_in_force").with("version", this->state.routes->version()).with("before", known).with("source", source).with("routes", static_cast<std::int64_t>(this->state.routes->configuration().routes.size()));
    this->engines_changed();
    this->relay->publish();
    this->membership->spread_news();
}

void Node::adopt_accounts()
{
    auto const& book = this->state.routes->configuration().accounts;
    this->placement_service->set_accounts(book ? std::span<ClientAccount const>(book->accounts()) : std::span<ClientAccount const>());
    if (book)
        this->quota_counter->retain(*book);
    this->call_admission->set_accounts(book ? std::span<ClientAccount const>(book->accounts()) : std::span<ClientAccount const>());
}

std::size_t Node::count_upstreams(std::string_view data_centre) const
{
    std::size_t count = 0;
    this->state.upstreams.for_each([&](auto const& record) { count += record.data_centre == data_centre ? 1 : 0; });
    return count;
}

void Node::adopt_evacuations(EvacuationUpdate const& news, std::string_view source)
{
    auto const changes = this->state.upstreams.merge(news, monotonic_now());
    this->announce_evacuations(changes, source);
}

void Node::announce_evacuations(std::span<Evacuation const> changes, std::string_view source)
{
    if (changes.empty())
        return;
    for (auto const& change : changes) {
        auto const event = change.state == Evacuation::State::Ordered ? "evacuation_in_force" : "evacuation_over";
        // None where nobody here knows of such a data centre; some may come.
        LogLine(event).with("evacuated", change.data_centre).with("version", change.version.version).with("era", change.version.era).with("source", source).with("upstreams", static_cast<std::int64_t>(this->count_upstreams(change.data_centre)));
    }
    this->engines_changed();
    this->relay->publish();
    this->membership->spread_news();
}

void Node::adopt_departure(UpstreamIncarnation const& upstream, std::string_view source)
{
    if (!this->state.upstreams.note_departure(upstream))
        return;
    LogLine("upstream_departing").with("upstream", upstream.identity).with("started", upstream.started).with("source", source);
    this->engines_changed();
}

void Node::engines_changed()
{
    if (this->state.routes)
        this->placement_service->offer_engines(this->state.routes, this->state.upstreams);
    auto const is_listed = [this](std::string_view identity) { return this->state.upstreams.find(identity) != nullptr; };
    this->state.selector.retain(is_listed);
    this->state.reachability->retain(is_listed);
    this->upstream_limits.retain(is_listed);
    this->limiter->forget_unlimited();
    this->call_admission_service->note_upstreams_changed();
}

std::string Node::wire_address() const
{
    constexpr std::string_view SCHEME = "tcp://";
    return this->kernel->endpoint().substr(SCHEME.size());
}

bool Node::is_ready() const
{
    bool const has_upstreams = this->follower->has_upstreams() || this->state.upstreams.size() > 0;
    bool const has_peers = this->kernel->directory().virtual_machines_with("placement").size() > 1;
    bool const has_waited = monotonic_now() - this->started_at >= LONGEST_START;
    return !this->is_stopping && this->state.routes && has_upstreams && (has_peers || has_waited);
}

bool Node::knows_upstream(std::string_view identity, UpstreamRecord::Life life) const
{
    auto const* record = this->state.upstreams.find(identity);
    return record && record->life == life;
}

asio::awaitable<void> Node::answer_operations(HttpExchange& exchange)
{
    auto const& target = exchange.request().head.target;
    HttpResponseHead head;
    head.status = 404;
    std::string body;
    if (target == this->adapters.readiness_path || target == "/readyz")
        head.status = this->is_ready() ? 200 : 503;
    if (target == "/healthz")
        head.status = 200;
    if (target == "/metrics") {
        head.status = 200;
        head.headers.add("Content-Type", "text/plain; version=0.0.4");
        this->publish_metrics();
        body = this->metrics.render();
    }
    static_cast<void>(co_await exchange.respond(std::move(head), body));
}

void Node::serve_metrics()
{
    if (this->metrics_server || !this->settings.metrics_address)
        return;
    this->metrics_server = this->listen_if_possible("metrics", *this->settings.metrics_address, [this](auto& exchange) { return this->answer_operations(exchange); });
}

std::unique_ptr<HttpServer> Node::listen_if_possible(std::string_view server, Address const& address, HttpServer::Handler handler)
{
    auto created = HttpServer::create(this->loop, address, std::move(handler));
    auto const failed = this->failed_listens.find(server);
    bool const has_failed_before = failed != this->failed_listens.end();
    this->metrics.set("spurtide_listening", "1 while an optional server listens at its address", created.is_error() ? 0 : 1, { { "server", std::string(server) } });
    if (created.is_error()) {
        if (!has_failed_before)
            LogLine(std::string(server) + "_not_served").with("address", address.to_string());
        ++this->failed_listens[std::string(server)];
        return {};
    }
    if (has_failed_before)
        LogLine(std::string(server) + "_served").with("address", address.to_string()).with("failed_attempts", failed->second);
    return created.release_value();
}

void Node::publish_metrics()
{
    NodeFacts facts;
    if (this->is_stopping)
        facts.state = NodeFacts::State::Stopping;
    else
        facts.state = this->is_ready() ? NodeFacts::State::Ready : NodeFacts::State::NotReady;
    facts.configuration_version = this->configuration_version();
    facts.upstreams_version = this->state.upstreams.version();
    facts.upstreams = this->state.upstreams.size();
    facts.reach = this->state.reachability->is_partitioned(monotonic_now()) ? NodeFacts::Reach::None : NodeFacts::Reach::Some;
    facts.unreachable_upstreams = this->state.reachability->unreachable_count();
    facts.live_virtual_machines = this->live_virtual_machines();
    facts.caller_connections = this->callers->connection_count();
    facts.running_requests = this->callers->exchange_count();
    facts.stream_origins = this->stream_origins->size();
    facts.quarantined_requests = this->quarantine->size();
    facts.limited_upstreams = this->upstream_limits.size();
    facts.paused_upstreams = this->upstream_limits.paused_upstreams(monotonic_now());
    facts.departing_upstreams = this->state.upstreams.unregistered_departures().size();
    for (auto const& evacuation : this->state.upstreams.evacuations().all())
        facts.evacuations.push_back({ evacuation, this->count_upstreams(evacuation.data_centre) });
    facts.keeping = this->placement->is_keeper() ? NodeFacts::Keeping::This : NodeFacts::Keeping::Others;
    if (!this->relay->watches())
        facts.upstreams_source = NodeFacts::Source::Peers;
    else if (this->follower->follows_upstreams())
        facts.upstreams_source = NodeFacts::Source::Registry;
    facts.dropped_log_lines = ProcessLog::dropped_lines();
    auto const& memory = BufferMemory::the();
    facts.buffer_limit_bytes = memory.limit();
    for (auto const kind : BufferMemory::KINDS)
        facts.buffers.push_back({ to_string(kind), memory.used(kind), memory.refusals(kind) });
    facts.memory = read_process_memory();
    publish_node_metrics(facts, this->metrics);
    publish_wire_metrics(*this->kernel, this->metrics);
}

void Node::every_second()
{
    auto const now = monotonic_now();
    ProcessLog::flush();
    if (this->state.routes)
        this->state.pool.set_resting_limit(idle_connections_per_virtual_machine(this->state.routes->configuration().services, this->membership->count()));
    this->state.pool.sweep(now);
    this->upstream_limits.forget_ended_pauses(now);
    this->stream_origin_archive->forget_old(now);
    if (!this->is_stopping) {
        this->serve_metrics();
        this->serve_relay();
    }
    if (this->membership->is_settled() && this->placement->is_keeper())
        this->quarantine->verify_store(this->state.upstreams.version().era);
}

bool Node::accepts_connection()
{
    if (this->connection_admission.try_accept(monotonic_now()))
        return true;
    ++this->closed_connections;
    this->metrics.increment("spurtide_connections_closed_unread_total", "New connections of callers that were closed since the event loop did not keep up", {});
    return false;
}

void Node::note_loop_delay(MonotonicTime now)
{
    if (!this->last_lapse_check) {
        this->last_lapse_check = now;
        return;
    }
    auto const delay = std::max(Duration::zero(), std::chrono::duration_cast<Duration>(now - *this->last_lapse_check - LAPSE_CHECK));
    this->last_lapse_check = now;
    this->metrics.observe_seconds("spurtide_loop_delay_seconds", "How late a timer of the event loop ran", to_seconds(delay));
    bool const was_overloaded = this->connection_admission.is_overloaded();
    this->connection_admission.note_loop_delay(delay, now);
    bool const is_overloaded = this->connection_admission.is_overloaded();
    if (is_overloaded != was_overloaded)
        LogLine(is_overloaded ? "overload_began" : "overload_ended").with("loop_delay_ms", to_milliseconds(delay)).with("closed_connections", std::exchange(this->closed_connections, 0)).with("requests", static_cast<std::int64_t>(this->callers->exchange_count()));
}

void Node::drop_lapsed()
{
    auto const now = monotonic_now();
    this->note_loop_delay(now);
    this->note_cut(now);
    this->state.prober.tick();
    this->note_partition(now);
    this->announce_evacuations(this->state.upstreams.advance_evacuations(now), "new_era");
    if (this->state.upstreams.advance(now)) {
        LogLine("lapsed_upstreams_dropped").with("left", static_cast<std::int64_t>(this->state.upstreams.size()));
        this->engines_changed();
    }
}

// What no other data centre answers is not found out by each request anew.
void Node::note_cut(MonotonicTime now)
{
    bool const is_cut_off = this->membership->is_cut_off();
    if (is_cut_off != this->was_cut_off)
        LogLine(is_cut_off ? "data_centre_cut_off" : "data_centre_reached_others");
    this->was_cut_off = is_cut_off;
    this->state.reachability->set_isolation(is_cut_off ? ReachabilityTracker::Isolation::OwnDataCentre : ReachabilityTracker::Isolation::None, now);
}

// Other VMs learn at once whether this one can relay.
void Node::note_partition(MonotonicTime now)
{
    bool const is_partitioned = this->state.reachability->is_partitioned(now);
    if (is_partitioned == this->was_partitioned)
        return;
    this->was_partitioned = is_partitioned;
    LogLine line(is_partitioned ? "partitioned_from_upstreams" : "upstreams_reached_again");
    line.with("unreachable", static_cast<std::int64_t>(this->state.reachability->unreachable_count())).with("upstreams", static_cast<std::int64_t>(this->state.upstreams.size()));
    if (auto const last = this->state.reachability->last_contact())
        line.with("last_response_ms", to_milliseconds(std::chrono::duration_cast<Duration>(now - *last)));
    line.with("relay_available", this->relay_client->is_available(now) ? "yes" : "no");
    this->membership->spread_news();
}

void Node::stop(std::function<void()> when_done)
{
    if (this->is_stopping)
        return;
    this->is_stopping = true;
    this->stop_began = monotonic_now();
    this->when_stopped = std::move(when_done);
    LogLine("stopping").with("requests", static_cast<std::int64_t>(this->callers->exchange_count())).with("connections", static_cast<std::int64_t>(this->callers->connection_count()));
    this->callers->close_after_answers();
    if (this->relay_server)
        this->relay_server->close_after_answers();
    this->membership->leave([] {});
    this->poll_stop();
}

void Node::poll_stop()
{
    auto const spent = monotonic_now() - this->stop_began;
    bool const is_late = spent >= this->settings.stop_grace - STOP_MARGIN;
    auto const relayed = this->relay_server ? this->relay_server->exchange_count() : 0;
    if (spent >= BALANCER_NOTICE)
        this->callers->close_idle();
    bool const is_idle = spent >= BALANCER_NOTICE && relayed == 0 && this->callers->exchange_count() == 0 && this->callers->connection_count() == 0;
    if (is_idle) {
        this->exit_process(0);
        return;
    }
    if (is_late) {
        this->interrupt_requests();
        return;
    }
    this->stop_timer.expires_after(STOP_POLL);
    this->stop_timer.async_wait([this](asio::error_code error) {
        if (!error)
            this->poll_stop();
    });
    this->request_router.recheck_waiting_requests();
}

void Node::interrupt_requests()
{
    auto const relayed = this->relay_server ? this->relay_server->exchange_count() : 0;
    auto const interrupted = this->callers->exchange_count() + relayed;
    this->request_router.interrupt_requests();
    if (this->relay_server)
        this->relay_server->abort_exchanges();
    this->stop_timer.expires_after(INTERRUPTION_TIME);
    this->stop_timer.async_wait([this, interrupted](asio::error_code error) {
        if (error)
            return;
        // The kernel closes what is open at the exit in good order, which looks like the end of a response without a length.
        this->callers->abort_exchanges();
        this->exit_process(interrupted);
    });
}

void Node::exit_process(std::size_t interrupted)
{
    LogLine("stopped").with("requests_cut", static_cast<std::int64_t>(interrupted));
    this->when_stopped();
}

}
