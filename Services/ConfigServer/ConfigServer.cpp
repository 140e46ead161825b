// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibConfiguration/Configuration.h>
#include <LibCore/Clock.h>
#include <LibCore/LogLine.h>
#include <LibDecision/CellMap.h>
#include <LibService/ServerCore.h>
#include <LibWire/WireMembers.h>
#include <LibWire/WireMetrics.h>
#include <Services/ConfigServer/ConfigServer.h>
#include <algorithm>
#include <future>
#include <utility>

namespace Spurtide {

namespace {

/// VMs of a data centre that watch the platform; the others learn from their peers.
constexpr std::size_t WATCHERS = 3;
constexpr std::size_t WORKERS = 4;
constexpr std::size_t LONGEST_QUEUE = 1000;
constexpr Duration LEAVE_TIMEOUT = milliseconds(500);
constexpr Duration PEER_FETCH_TIMEOUT = milliseconds(2000);

wire::ApplyStatus status_of(ApplyErrorKind kind)
{
    switch (kind) {
    case ApplyErrorKind::Conflict:
        return wire::APPLY_STATUS_CONFLICT;
    case ApplyErrorKind::NotAccepted:
    case ApplyErrorKind::TableWentBack:
        return wire::APPLY_STATUS_NOT_ACCEPTED;
    case ApplyErrorKind::InDoubt:
        return wire::APPLY_STATUS_IN_DOUBT;
    }
    VERIFY_NOT_REACHED();
}

wire::ClaimStatus status_of(ClaimOutcome outcome)
{
    switch (outcome) {
    case ClaimOutcome::Granted:
        return wire::CLAIM_STATUS_GRANTED;
    case ClaimOutcome::Taken:
        return wire::CLAIM_STATUS_TAKEN;
    case ClaimOutcome::InDoubt:
        return wire::CLAIM_STATUS_IN_DOUBT;
    }
    VERIFY_NOT_REACHED();
}

wire::Envelope apply_reply(ConfigurationStore& store, wire::ApplyConfiguration const& message)
{
    wire::Envelope reply;
    auto* body = reply.mutable_apply_reply();
    auto const read = read_configuration(message.content(), "configuration");
    if (read.is_error()) {
        body->set_status(wire::APPLY_STATUS_INVALID);
        body->set_detail(read.error().describe());
        return reply;
    }
    auto const applied = store.apply({ message.apply_id(), message.base_generation(), message.content(), message.author() }, unix_milliseconds());
    if (applied.is_error()) {
        body->set_status(status_of(applied.error().kind));
        body->set_generation(applied.error().present.generation);
        body->set_current_author(applied.error().present.author);
        return reply;
    }
    body->set_status(wire::APPLY_STATUS_ACCEPTED);
    body->set_generation(applied.value());
    LogLine("configuration_accepted").with("generation", applied.value()).with("author", message.author()).with("apply_id", message.apply_id());
    return reply;
}

wire::Envelope history_reply(ConfigurationStore& store)
{
    auto const history = store.history();
    if (history.is_error())
        return error_reply(wire::ERROR_CODE_PLATFORM_UNAVAILABLE);
    wire::Envelope reply;
    auto* body = reply.mutable_history_reply();
    for (auto const& entry : history.value()) {
        auto* message = body->add_entries();
        message->set_generation(entry.generation);
        message->set_author(entry.author);
        message->set_content_hash(entry.content_hash);
        message->set_unix_milliseconds(entry.unix_milliseconds);
    }
    return reply;
}

}

Result<ConfigServer::Options, SettingsError> ConfigServer::read_options(nlohmann::json const& settings, std::string_view source)
{
    std::vector<SettingsFault> faults;
    SettingsReader reader(settings, std::string(source), "", faults);
    Options options;
    options.server = read_server_settings(reader, 8);
    options.platform_address = read_address(reader, "platform_address");
    options.platform_timeout = reader.milliseconds("platform_timeout_milliseconds", 10, 60000, 2000);
    for (auto const& peer : reader.texts("peers", Presence::Optional)) {
        if (!parse_address(peer))
            reader.fault(SettingsFaultKind::OutOfRange, "peers", "HOST:PORT");
        options.peers.push_back("tcp://" + peer);
    }
    options.heartbeat_interval = reader.milliseconds("heartbeat_interval_milliseconds", 50, 60000, 1000);
    options.watch_interval = reader.milliseconds("watch_interval_milliseconds", 50, 60000, 1000);
    options.membership.suspicion_timeout = reader.milliseconds("suspicion_timeout_milliseconds", 100, 600'000, 3000);
    reader.finish();
    if (!faults.empty())
        return Failure { SettingsError { std::move(faults) } };
    return options;
}

ConfigServer::ConfigServer(Options options)
    : options(std::move(options))
    , platform(this->options.platform_address, this->options.platform_timeout)
    , store(this->platform, this->platform)
    , claims(this->platform)
{
}

Result<std::unique_ptr<ConfigServer>, ServerStartError> ConfigServer::create(Options options)
{
    std::unique_ptr<ConfigServer> server(new ConfigServer(std::move(options)));
    auto core = TRY(open_server_core(server->options.server, ""));
    server->listener = std::move(core.listener);
    server->kernel = std::move(core.kernel);
    server->host_services();
    return server;
}

void ConfigServer::host_services()
{
    auto* raw = this;
    MembershipService::Options membership_options;
    membership_options.virtual_machine = this->options.server.virtual_machine;
    membership_options.seeds = this->options.peers;
    membership_options.heartbeat_interval = this->options.heartbeat_interval;
    membership_options.table = this->options.membership;
    this->membership = std::make_unique<MembershipService>(
        membership_options, *this->kernel, [raw] { return raw->store.generation(); }, [raw](auto const& endpoint, auto) { raw->fetch_from_peer(endpoint); });
    this->kernel->host("directory", [raw](auto const& request, auto respond) { raw->handle_directory(request, respond); });
    this->kernel->host("config", [raw](auto const& request, auto respond) { raw->handle_config(request, respond); });
    this->listener->serve_operations(this->metrics, [raw] { return raw->store.generation() > 0; });
    for (std::size_t i = 0; i < WORKERS; ++i)
        this->workers.emplace_back([raw] { raw->work(); });
    this->watcher = std::thread([raw] { raw->watch(); });
    keep_wire_metrics_published(*this->kernel, this->metrics);
    this->membership->start();
    this->kernel->start();
    this->listener->start();
}

ConfigServer::~ConfigServer() { this->stop(); }

// Returns once a peer knows, so that the news is not lost with this process.
void ConfigServer::leave()
{
    if (!this->kernel)
        return;
    auto told = std::make_shared<std::promise<void>>();
    auto future = told->get_future();
    this->kernel->post([this, told] {
        this->membership->leave([told, is_first = std::make_shared<bool>(true)] {
            if (std::exchange(*is_first, false))
                told->set_value();
        });
    });
    future.wait_for(LEAVE_TIMEOUT);
}

void ConfigServer::stop()
{
    {
        std::scoped_lock const lock(this->mutex);
        if (this->stopping)
            return;
        this->stopping = true;
    }
    this->leave();
    this->wake.notify_all();
    if (this->watcher.joinable())
        this->watcher.join();
    for (auto& worker : this->workers)
        worker.join();
    if (this->kernel)
        this->kernel->stop();
    if (this->listener)
        this->listener->stop();
}

void ConfigServer::run_on_worker(std::function<void()> task)
{
    {
        std::scoped_lock const lock(this->mutex);
        // Past this the platform is slower than its callers wait, so more waiting helps nobody.
        if (this->queue.size() >= LONGEST_QUEUE)
            return;
        this->queue.push_back(std::move(task));
    }
    this->wake.notify_all();
}

void ConfigServer::work()
{
    std::unique_lock lock(this->mutex);
    while (true) {
        this->wake.wait(lock, [this] { return this->stopping || !this->queue.empty(); });
        if (this->stopping)
            return;
        auto const task = std::move(this->queue.front());
        this->queue.erase(this->queue.begin());
        lock.unlock();
        task();
        lock.lock();
    }
}

bool ConfigServer::is_watcher() const
{
    auto const machines = this->kernel->directory().virtual_machines_with("config");
    auto const own = rendezvous_score(this->options.server.virtual_machine, "watch");
    auto const ahead = std::count_if(machines.begin(), machines.end(), [&](auto const& name) { return rendezvous_score(name, "watch") > own; });
    return static_cast<std::size_t>(ahead) < WATCHERS;
}

void ConfigServer::watch()
{
    std::unique_lock lock(this->mutex);
    while (!this->stopping) {
        lock.unlock();
        if (this->is_watcher()) {
            auto const before = this->store.generation();
            auto const refreshed = this->store.refresh();
            if (this->store.generation() > before)
                this->kernel->post([this] { this->membership->spread_news(); });
            bool const is_reachable = !refreshed.is_error();
            if (this->platform_reachable.exchange(is_reachable) != is_reachable)
                LogLine("platform_reachable").with("reachable", is_reachable ? "yes" : "no");
        }
        this->watch_machines();
        this->metrics.set("spurtide_configuration_generation", "Generation in force on this VM.", static_cast<double>(this->store.generation()));
        lock.lock();
        this->wake.wait_for(lock, this->options.watch_interval, [this] { return this->stopping; });
    }
}

// One read a second of each VM: 340 VMs stay well under the list's two thousand.
void ConfigServer::watch_machines()
{
    auto const listed = this->platform.list();
    if (listed.is_error())
        return;
    std::vector<std::string> leaving;
    for (auto const& machine : listed.value()) {
        if (machine.life == ListedMachine::Life::Leaving)
            leaving.push_back(machine.name);
    }
    this->kernel->post([this, leaving = std::move(leaving)] { this->membership->set_leaving_machines(leaving); });
}

void ConfigServer::fetch_from_peer(std::string const& endpoint)
{
    wire::Envelope envelope;
    envelope.set_service("config");
    envelope.mutable_get_configuration()->set_known_generation(this->store.generation());
    this->kernel->request(endpoint, std::move(envelope), PEER_FETCH_TIMEOUT, [this](WireReply const& reply) {
        if (reply.is_error() || !reply.value().has_configuration_content())
            return;
        auto const& body = reply.value().configuration_content();
        if (!body.content().empty() && this->store.adopt(body.generation(), body.content()))
            this->membership->spread_news();
    });
}

void ConfigServer::handle_directory(wire::Envelope const& request, Kernel::Responder const& respond)
{
    switch (request.body_case()) {
    case wire::Envelope::kAnnounce:
        return this->membership->handle_announce(request.announce(), respond);
    case wire::Envelope::kHeartbeat:
        return this->membership->handle_heartbeat(request.heartbeat(), respond);
    case wire::Envelope::kMemberRecords:
        return this->membership->handle_records(request.member_records(), respond);
    default:
        return respond(error_reply(wire::ERROR_CODE_UNKNOWN_MESSAGE));
    }
}

void ConfigServer::handle_config(wire::Envelope const& request, Kernel::Responder const& respond)
{
    switch (request.body_case()) {
    case wire::Envelope::kGetConfiguration: {
        auto const held = this->store.held();
        wire::Envelope reply;
        auto* body = reply.mutable_configuration_content();
        body->set_generation(held.generation);
        if (held.generation > request.get_configuration().known_generation())
            body->set_content(held.content);
        return respond(std::move(reply));
    }
    case wire::Envelope::kApplyConfiguration:
        return this->run_on_worker([this, message = request.apply_configuration(), respond] {
            respond(apply_reply(this->store, message));
            this->kernel->post([this] { this->membership->spread_news(); });
        });
    case wire::Envelope::kHistory:
        return this->run_on_worker([this, respond] { respond(history_reply(this->store)); });
    case wire::Envelope::kClaim:
        return this->run_on_worker([this, message = request.claim(), respond] {
            auto const outcome = this->claims.claim(message.account(), message.id(), message.token());
            LogLine("claim").with("account", message.account()).with("id", message.id()).with("outcome", to_string(outcome));
            wire::Envelope reply;
            reply.mutable_claim_reply()->set_status(status_of(outcome));
            respond(std::move(reply));
        });
    case wire::Envelope::kStatusRequest: {
        wire::Envelope reply;
        auto* body = reply.mutable_status_reply();
        body->set_generation(this->store.generation());
        body->set_platform_reachable(this->platform_reachable);
        for (auto const& member : this->membership->members())
            write_record(member, *body->add_members());
        return respond(std::move(reply));
    }
    default:
        return respond(error_reply(wire::ERROR_CODE_UNKNOWN_MESSAGE));
    }
}

}
