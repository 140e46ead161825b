// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <LibCore/LogLine.h>
#include <LibWire/WirePlacement.h>
#include <Services/PlacementServer/CellKeeper.h>
#include <algorithm>
#include <asio/post.hpp>
#include <utility>

namespace Spurtide {

namespace {

constexpr Duration TICK = milliseconds(20);
constexpr Duration QUESTION_TIMEOUT = milliseconds(1000);

}

CellKeeper::CellKeeper(Options options, Kernel& kernel, Metrics& metrics)
    : options(std::move(options))
    , kernel(kernel)
    , metrics(metrics)
    , scheduler(this->options.scheduler)
    , reaper(this->options.reaper)
    , pool(this->options.engine_callers)
{
}

CellKeeper::~CellKeeper() { this->stop(); }

void CellKeeper::start()
{
    this->kernel.every(TICK, [this] { this->tick(); });
    this->kernel.every(this->options.report_interval, [this] { this->poll_engines(); });
    this->kernel.every(seconds(1), [this] { this->forget_dead_origins(); });
}

void CellKeeper::stop()
{
    this->pool.join();
}

void CellKeeper::configure(std::shared_ptr<Configuration const> next)
{
    this->configuration = std::move(next);
    std::vector<AccountDescription> accounts;
    for (auto const& account : this->configuration->accounts)
        accounts.push_back(account.description);
    this->scheduler.set_accounts(accounts, monotonic_now());
    this->update_cells();
    this->configured = true;
}

// The cells follow the configuration and the VMs that host a placement service.
void CellKeeper::update_cells()
{
    if (!this->configuration)
        return;
    auto machines = this->kernel.directory().virtual_machines_with("placement");
    if (this->configuration->generation == this->mapped_generation && machines == this->mapped_machines)
        return;
    this->mapped_generation = this->configuration->generation;
    this->mapped_machines = machines;
    auto const map = CellMap::create(cell_members(*this->configuration, this->options.data_centre), machines);
    std::vector<EngineDescription> kept;
    std::map<std::string, Engine> next;
    for (auto const cell : map.cells_kept_by(this->options.virtual_machine)) {
        for (auto const& name : map.engines_of(cell)) {
            auto const* configured_engine = this->configuration->find_engine(name);
            kept.push_back(configured_engine->description);
            auto const found = this->engines.find(name);
            bool const is_same = found != this->engines.end() && found->second.description.address == configured_engine->address;
            next.emplace(name, is_same ? found->second : Engine { this->options.make_engine(*configured_engine), *configured_engine, false, monotonic_now() });
        }
    }
    this->engines = std::move(next);
    this->scheduler.set_engines(kept);
    this->update_leaving();
    LogLine("cells").with("generation", this->mapped_generation).with("machines", static_cast<std::int64_t>(machines.size())).with("cells", static_cast<std::int64_t>(map.cell_count())).with("engines_kept", static_cast<std::int64_t>(kept.size()));
}

// Whichever hint says that an engine is leaving, it gets nothing new while any of them does.
void CellKeeper::update_leaving()
{
    for (auto const& [name, engine] : this->engines) {
        bool const is_listed = std::find(this->listed_leaving.begin(), this->listed_leaving.end(), name) != this->listed_leaving.end();
        bool const is_leaving = is_listed || this->drained.contains(name);
        this->scheduler.set_leaving(name, is_leaving ? EngineReport::Life::Leaving : EngineReport::Life::Serving);
    }
}

void CellKeeper::hand_over()
{
    this->is_handing_over = true;
    for (auto const& [request, respond] : std::exchange(this->pending_asks, {})) {
        this->scheduler.release(request, 0, monotonic_now());
        respond(error_reply(wire::ERROR_CODE_NOT_KEEPER));
    }
}

void CellKeeper::take_grant_records(wire::GrantRecords const& records)
{
    for (auto const& record : records.records()) {
        PlacementAsk ask;
        ask.request = record.request();
        ask.account = record.account();
        ask.model = record.model();
        ask.origin = records.origin();
        ask.prompt_tokens = std::max<std::int64_t>(0, record.prompt_tokens());
        this->scheduler.restore(std::move(ask), record.prefill_engine(), record.decode_engine(), read_progress(record.progress()), Duration::zero(), monotonic_now());
    }
}

void CellKeeper::tick()
{
    this->update_cells();
    auto leaving = this->kernel.directory().leaving_machines();
    if (leaving != this->listed_leaving) {
        this->listed_leaving = std::move(leaving);
        this->update_leaving();
    }
    this->scheduler.advance(monotonic_now());
    this->publish_decisions();
}

void CellKeeper::handle(wire::Envelope const& request, Kernel::Responder const& respond)
{
    auto const now = monotonic_now();
    switch (request.body_case()) {
    case wire::Envelope::kPlacementAsk:
        return this->handle_ask(request.placement_ask(), respond);
    case wire::Envelope::kProgress:
        this->scheduler.progress(request.progress().request(), read_progress(request.progress().progress()), now);
        return this->publish_decisions();
    case wire::Envelope::kRelease:
        this->pending_asks.erase(request.release().request());
        if (!request.release().failed_engine().empty()) {
            LogLine("engine_failure").with("engine", request.release().failed_engine()).with("request", request.release().request());
            this->scheduler.note_failure(request.release().failed_engine(), now);
        }
        this->scheduler.release(request.release().request(), request.release().output_tokens(), now);
        return this->publish_decisions();
    case wire::Envelope::kGrantRecords:
        return this->take_grant_records(request.grant_records());
    case wire::Envelope::kLocate:
        return this->handle_locate(request.locate(), respond);
    case wire::Envelope::kDrain:
        this->handle_drain(request.drain());
        respond(status_reply());
        return;
    case wire::Envelope::kStatusRequest:
        return respond(this->status_reply());
    default:
        return respond(error_reply(wire::ERROR_CODE_UNKNOWN_MESSAGE));
    }
}

void CellKeeper::handle_ask(wire::PlacementAsk const& message, Kernel::Responder const& respond)
{
    if (!this->configuration)
        return respond(error_reply(wire::ERROR_CODE_NOT_READY));
    this->update_cells();
    if (this->engines.empty() || this->is_handing_over)
        return respond(error_reply(wire::ERROR_CODE_NOT_KEEPER));
    auto const now = monotonic_now();
    PlacementAsk ask;
    ask.request = message.request();
    ask.account = message.account();
    ask.model = message.model();
    ask.origin = message.origin();
    ask.prompt_tokens = std::max<std::int64_t>(0, message.prompt_tokens());
    ask.maximum_output_tokens = message.maximum_output_tokens();
    ask.relayed_tokens = std::max<std::int64_t>(0, message.relayed_tokens());
    ask.first_token_deadline = now + Duration(message.first_token_within_microseconds());
    ask.priority = message.priority();
    // A second ask under a name that waits would take over the first one's answer.
    if (!this->pending_asks.emplace(ask.request, respond).second) {
        wire::Envelope reply;
        reply.mutable_placement_refusal()->set_reason(wire::REFUSAL_REASON_DUPLICATE);
        return respond(std::move(reply));
    }
    this->scheduler.ask(std::move(ask), now);
    this->publish_decisions();
}

void CellKeeper::publish_decisions()
{
    for (auto const& decision : this->scheduler.take_decisions()) {
        if (auto const* grant = std::get_if<PlacementGrant>(&decision))
            this->answer_grant(*grant);
        else
            this->answer_refusal(std::get<PlacementRefusal>(decision));
    }
}

void CellKeeper::answer_grant(PlacementGrant const& grant)
{
    LogLine("placement").with("request", grant.request).with("decision", "grant").with("prefill", grant.prefill_engine).with("decode", grant.decode_engine).with("candidates", static_cast<std::int64_t>(grant.candidates)).with("predicted_first_token_milliseconds", to_milliseconds(grant.predicted_first_token - monotonic_now()));
    this->metrics.increment("spurtide_placements_total", "Placement decisions.", { { "decision", "grant" }, { "reason", "" } });
    auto const found = this->pending_asks.find(grant.request);
    if (found == this->pending_asks.end())
        return;
    wire::Envelope reply;
    reply.mutable_placement_grant()->set_prefill_engine(grant.prefill_engine);
    reply.mutable_placement_grant()->set_decode_engine(grant.decode_engine);
    found->second(std::move(reply));
    this->pending_asks.erase(found);
}

void CellKeeper::answer_refusal(PlacementRefusal const& refusal)
{
    LogLine("placement").with("request", refusal.request).with("decision", "refuse").with("reason", to_string(refusal.reason)).with("retry_after_milliseconds", to_milliseconds(refusal.retry_after));
    this->metrics.increment("spurtide_placements_total", "Placement decisions.", { { "decision", "refuse" }, { "reason", std::string(to_string(refusal.reason)) } });
    auto const found = this->pending_asks.find(refusal.request);
    if (found == this->pending_asks.end())
        return;
    wire::Envelope reply;
    reply.mutable_placement_refusal()->set_reason(wire_reason(refusal.reason));
    reply.mutable_placement_refusal()->set_retry_after_milliseconds(to_milliseconds(refusal.retry_after));
    found->second(std::move(reply));
    this->pending_asks.erase(found);
}

void CellKeeper::handle_locate(wire::Locate const& message, Kernel::Responder const& respond)
{
    auto const location = this->scheduler.locate(message.request());
    if (!location)
        return respond(error_reply(wire::ERROR_CODE_UNKNOWN_REQUEST));
    wire::Envelope reply;
    reply.mutable_located()->set_decode_engine(location->decode_engine);
    reply.mutable_located()->set_account(location->account);
    respond(std::move(reply));
}

void CellKeeper::handle_drain(wire::Drain const& message)
{
    if (message.leaving())
        this->drained.insert(message.engine());
    else
        this->drained.erase(message.engine());
    this->update_leaving();
    LogLine("drain").with("engine", message.engine()).with("leaving", message.leaving() ? "yes" : "no");
}

wire::Envelope CellKeeper::status_reply() const
{
    auto const summary = this->scheduler.summary(monotonic_now());
    wire::Envelope reply;
    auto* cell = reply.mutable_status_reply()->mutable_cell();
    cell->set_waiting(static_cast<std::int64_t>(summary.waiting));
    cell->set_granted(static_cast<std::int64_t>(summary.granted));
    cell->set_free_slots(summary.free_slots);
    cell->set_engines_heard(static_cast<std::int64_t>(summary.engines_heard));
    cell->set_engines(static_cast<std::int64_t>(summary.engines));
    for (auto const& name : this->drained)
        cell->add_leaving(name);
    return reply;
}

void CellKeeper::poll_engines()
{
    for (auto& [name, engine] : this->engines) {
        if (engine.is_polled)
            continue;
        engine.is_polled = true;
        asio::post(this->pool, [this, name = name, port = engine.port] {
            auto report = port->report();
            this->kernel.post([this, name, report = std::move(report)] {
                auto const found = this->engines.find(name);
                if (found != this->engines.end())
                    found->second.is_polled = false;
                if (!report.is_error())
                    this->take_report(name, report.value());
            });
        });
    }
    auto const summary = this->scheduler.summary(monotonic_now());
    this->metrics.set("spurtide_cell_waiting", "Requests that wait for a placement.", static_cast<double>(summary.waiting));
    this->metrics.set("spurtide_cell_granted", "Requests that hold a grant.", static_cast<double>(summary.granted));
    this->metrics.set("spurtide_cell_free_slots", "Decode slots that are free.", static_cast<double>(summary.free_slots));
    this->metrics.set("spurtide_cell_engines_heard", "Engines with a fresh report.", static_cast<double>(summary.engines_heard));
}

void CellKeeper::take_report(std::string const& name, EngineReport const& report)
{
    auto const found = this->engines.find(name);
    bool const is_settled = found != this->engines.end() && monotonic_now() - found->second.kept_since >= this->options.settle_time;
    if (is_settled)
        this->scheduler.report(name, report, monotonic_now());
    this->publish_decisions();
    this->reap(name, report);
}

void CellKeeper::reap(std::string const& name, EngineReport const& report)
{
    auto const is_alive = [this](std::string_view origin) { return this->kernel.directory().find_incarnation(origin).has_value(); };
    auto const findings = this->reaper.observe(name, report.held, is_alive, monotonic_now());
    for (auto const& question : findings.questions)
        this->ask_origin(question);
    for (auto const& cancellation : findings.cancellations)
        this->cancel(cancellation);
}

void CellKeeper::ask_origin(OrphanReaper::Question const& question)
{
    auto const endpoint = this->kernel.directory().find_incarnation(question.origin);
    if (!endpoint)
        return;
    wire::Envelope envelope;
    envelope.set_service("entry");
    envelope.mutable_ownership_question()->add_requests(question.request);
    this->kernel.request(*endpoint, std::move(envelope), QUESTION_TIMEOUT, [this, question](WireReply const& reply) {
        if (reply.is_error() || !reply.value().has_ownership_reply())
            return;
        for (auto const& request : reply.value().ownership_reply().disowned())
            this->reaper.note_disowned(question.engine, request);
    });
}

void CellKeeper::cancel(OrphanReaper::Cancellation const& cancellation)
{
    auto const found = this->engines.find(cancellation.engine);
    if (found == this->engines.end())
        return;
    LogLine("reap").with("request", cancellation.request).with("engine", cancellation.engine).with("reason", cancellation.reason);
    this->metrics.increment("spurtide_reaped_total", "Held work that was cancelled since nobody owns it.", { { "reason", std::string(cancellation.reason) } });
    asio::post(this->pool, [port = found->second.port, request = cancellation.request] {
        // A cancel that fails is tried again at the engine's next report.
        auto const cancelled = port->cancel(request, 0);
        static_cast<void>(cancelled);
    });
}

void CellKeeper::forget_dead_origins()
{
    auto const now = monotonic_now();
    auto const is_live = [this](std::string const& origin) { return this->kernel.directory().find_incarnation(origin).has_value(); };
    for (auto const& origin : this->missing_origins.take_dead(this->scheduler.origins(), is_live, this->options.origin_grace, now)) {
        LogLine("origin_gone").with("origin", origin);
        this->scheduler.remove_origin(origin, now);
    }
}

}
