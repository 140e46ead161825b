// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <LibCore/LogLine.h>
#include <LibRouter/PlacementService.h>
#include <LibWire/WirePlacement.h>
#include <algorithm>
#include <utility>

namespace Spurtide {

namespace {

/// How often the scheduler is advanced while asks are pending.
constexpr Duration PENDING_TICK_INTERVAL = milliseconds(20);
constexpr Duration HOUSEKEEPING_INTERVAL = milliseconds(500);
/// Longer than it takes for news of a new VM to reach all others.
constexpr Duration DEAD_ORIGIN_GRACE = seconds(2);
/// Account quotas are enforced before a placement is requested.
constexpr double UNLIMITED_RATE = 1e9;
/// The rate of a typical engine, assumed until prefills have been measured.
constexpr double INITIAL_PREFILL_TOKENS_PER_SECOND = 50'000;
/// Share of a model's slots in use above which more engines are added to the subset. Long prompts can fill an engine's memory
/// while only half of its slots are in use, and a burst of twice the load must find room at once.
constexpr double CROWDED_SLOT_SHARE = 0.25;

std::string_view visit_name(CallerAttempt visit) { return visit == CallerAttempt::Retry ? "return" : "first"; }

EngineDescription engine_description(UpstreamRecord const& record, ServiceTraits const& service)
{
    auto const& traits = *service.engine;
    EngineDescription engine;
    engine.name = record.identity;
    engine.model = record.service;
    engine.role = *record.role;
    engine.decode_slots = traits.slots;
    engine.memory_tokens = traits.memory_tokens;
    engine.cache_bytes_per_token = traits.cache_bytes_per_token;
    engine.link_rate = traits.link_bytes_per_second;
    engine.prefill_rate = INITIAL_PREFILL_TOKENS_PER_SECOND;
    engine.tokens_per_event = traits.tokens_per_event;
    engine.data_centre = record.data_centre;
    engine.started = record.started;
    engine.cold_rate = service.cold_rate;
    engine.cold_until = record.cold_until;
    engine.software_version = record.software_version;
    return engine;
}

/// The ask that a release or a report of progress refers to.
template<typename Message>
AskIdentity identity_of(Message const& message)
{
    return { message.origin(), message.number() };
}

PlacementAsk ask_from_message(wire::PlacementAsk const& message, MonotonicTime now)
{
    PlacementAsk ask;
    ask.request = message.request();
    ask.account = message.account();
    ask.model = message.model();
    ask.origin = message.origin();
    ask.prompt_tokens = message.prompt_tokens();
    ask.maximum_output_tokens = message.maximum_output_tokens();
    ask.relayed_tokens = message.relayed_tokens();
    ask.expected_output_tokens = message.expected_output_tokens();
    ask.priority = message.priority();
    ask.data_centre = message.data_centre();
    ask.longest_pause = Duration(message.longest_pause_microseconds());
    ask.own_part = message.own_part();
    ask.software_version = message.software_version();
    ask.migrates_from = message.migrates_from();
    ask.number = message.number();
    ask.released_numbers.assign(message.released_numbers().begin(), message.released_numbers().end());
    if (message.finish_within_microseconds() > 0)
        ask.finish_by = now + Duration(message.finish_within_microseconds());
    ask.first_token_deadline = now + Duration(message.first_token_within_microseconds());
    if (message.decide_within_microseconds() > 0)
        ask.decide_by = now + Duration(message.decide_within_microseconds());
    if (message.late_within_microseconds() > 0)
        ask.late_deadline = now + Duration(message.late_within_microseconds());
    ask.excluded_engines.assign(message.excluded_engines().begin(), message.excluded_engines().end());
    ask.excluded_data_centres.assign(message.excluded_data_centres().begin(), message.excluded_data_centres().end());
    return ask;
}

}

PlacementService::PlacementService(CellScheduler::Options options, Kernel& kernel, Metrics& metrics, asio::io_context& loop)
    : scheduler(std::move(options))
    , kernel(kernel)
    , metrics(metrics)
    , timer(loop)
{
    this->ensure_account({});
}

// The asking VM may have a newer configuration, with accounts that are unknown here.
void PlacementService::ensure_account(std::string const& account)
{
    if (this->account_weights.try_emplace(account, 1).second)
        this->update_account_weights();
}

void PlacementService::set_accounts(std::span<ClientAccount const> accounts)
{
    std::map<std::string, double> weights { { {}, 1 } };
    double largest = 0;
    for (auto const& account : accounts)
        largest = std::max(largest, account.limit ? account.limit->rate : 0);
    // Accounts share scarce engines in proportion to their rate limits; an account without a limit weighs as much as the largest.
    for (auto const& account : accounts)
        weights[account.name] = account.limit ? account.limit->rate / largest : 1;
    if (weights == this->account_weights)
        return;
    this->account_weights = std::move(weights);
    this->update_account_weights();
}

void PlacementService::update_account_weights()
{
    std::vector<AccountDescription> descriptions;
    descriptions.reserve(this->account_weights.size());
    for (auto const& [name, weight] : this->account_weights)
        descriptions.push_back({ name, weight, UNLIMITED_RATE, UNLIMITED_RATE });
    this->scheduler.set_accounts(descriptions, this->hooks.clock());
}

void PlacementService::start()
{
    this->kernel.every(HOUSEKEEPING_INTERVAL, [this] {
        auto const now = this->note_activity();
        // Only follow the upstream list while this service is asked for placements.
        if (std::exchange(this->was_asked, false) && this->has_newer_offer)
            this->refresh_engines();
        this->forget_dead_origins(now);
        this->scheduler.advance(now);
        this->send_decisions();
    });
}

void PlacementService::set_engines(RoutingConfiguration const& configuration, UpstreamList const& upstreams)
{
    std::vector<EngineDescription> engines;
    std::set<std::string, std::less<>> leaving;
    std::vector<std::pair<UpstreamRecord const*, ServiceTraits const*>> listed;
    std::vector<SubsetCandidate> candidates;
    upstreams.for_each([&](UpstreamRecord const& record) {
        auto const service = std::find_if(configuration.services.begin(), configuration.services.end(), [&](auto const& other) { return other.name == record.service; });
        if (service == configuration.services.end() || !service->engine || !record.role)
            return;
        listed.emplace_back(&record, &*service);
        auto const life = record.life == UpstreamRecord::Life::Leaving ? SubsetCandidate::Life::Leaving : SubsetCandidate::Life::Serving;
        candidates.push_back({ record.identity, record.service, record.data_centre, life, record.software_version });
    });
    this->subset_engine_names.clear();
    for (auto const index : this->subset.choose(candidates)) {
        auto const& [record, service] = listed[index];
        engines.push_back(engine_description(*record, *service));
        this->subset_engine_names.insert(record->identity);
        if (record->life == UpstreamRecord::Life::Leaving || this->hooks.is_changing_role(record->identity))
            leaving.insert(record->identity);
    }
    this->scheduler.set_engines(engines);
    for (auto const& engine : engines)
        this->scheduler.set_leaving(engine.name, leaving.contains(engine.name) ? EngineReport::Life::Leaving : EngineReport::Life::Serving);
}

void PlacementService::offer_engines(std::shared_ptr<RouteTable const> routes, UpstreamList const& upstreams)
{
    this->offered_routes = std::move(routes);
    this->offered_upstreams = &upstreams;
    this->has_newer_offer = true;
}

void PlacementService::refresh_engines()
{
    this->has_newer_offer = false;
    if (this->offered_routes)
        this->set_engines(this->offered_routes->configuration(), *this->offered_upstreams);
}

void PlacementService::apply_offered_engines()
{
    this->was_asked = true;
    if (this->has_newer_offer)
        this->refresh_engines();
}

bool PlacementService::uses_engine(std::string_view engine)
{
    this->apply_offered_engines();
    return this->subset_engine_names.contains(engine);
}

// Engines outside the subset are unused as long as they are not needed. A crowded model shows that more are.
void PlacementService::grow_subset(MonotonicTime now)
{
    // Skip the check if all engines are in use already.
    if (!this->offered_routes || !this->subset.is_partial())
        return;
    auto crowded = this->scheduler.saturated_models(CROWDED_SLOT_SHARE);
    std::erase_if(crowded, [&](auto const& model) { return !this->subset.is_partial(model); });
    if (crowded.empty())
        return;
    for (auto const& model : crowded)
        this->subset.grow(model);
    this->refresh_engines();
    LogLine("engines_added").with("models", static_cast<std::int64_t>(crowded.size())).with("engines", static_cast<std::int64_t>(this->subset_engine_names.size()));
    this->scheduler.advance(now);
}

std::map<std::string, std::vector<CellScheduler::EngineState>> PlacementService::engine_states()
{
    this->apply_offered_engines();
    return this->scheduler.engine_states();
}

MonotonicTime PlacementService::note_activity()
{
    auto const now = this->hooks.clock();
    this->pauses.note_iteration(now);
    return now;
}

void PlacementService::handle(wire::Envelope const& request, Kernel::Responder const& respond)
{
    auto const now = this->note_activity();
    this->apply_offered_engines();
    switch (request.body_case()) {
    case wire::Envelope::kPlacementAsk:
        this->handle_placement_ask(request.placement_ask(), respond);
        break;
    case wire::Envelope::kProgress:
        if (auto const move_end = read_move_end(request.progress().move_end())) {
            LogLine("move_ended").with("request", request.progress().request()).with("outcome", *move_end == MoveEnd::Moved ? "moved" : "abandoned").with("decode", request.progress().moved_to());
            this->scheduler.end_move(request.progress().request(), *move_end, request.progress().moved_to(), now, identity_of(request.progress()));
        } else
            this->scheduler.progress(request.progress().request(), read_progress(request.progress().progress()), now, identity_of(request.progress()));
        break;
    case wire::Envelope::kRelease: {
        auto const& release = request.release();
        if (!release.failed_engine().empty())
            this->scheduler.note_failure(release.failed_engine(), now);
        // Every prefill for a refused placement is wasted, so both engines get no requests until a single one has tried them.
        for (auto const& engine : release.refusing_engines())
            this->scheduler.note_failure(engine, now);
        auto const identity = identity_of(release);
        auto const pending = this->pending_replies.find(release.request());
        if (pending != this->pending_replies.end() && pending->second.identity.matches(identity))
            this->pending_replies.erase(pending);
        this->scheduler.release(release.request(), release.output_tokens(), now, identity);
        break;
    }
    case wire::Envelope::kGrantRecords:
        this->handle_grant_records(request.grant_records());
        break;
    default:
        respond(error_reply(wire::ERROR_CODE_UNKNOWN_MESSAGE));
        return;
    }
    this->send_decisions();
}

void PlacementService::handle_placement_ask(wire::PlacementAsk const& message, Kernel::Responder const& respond)
{
    auto const now = this->hooks.clock();
    // Clients that asked while this process was suspended have moved on to another keeper; a grant would go unused.
    if (this->pauses.is_catching_up(now) && message.origin() != this->kernel.incarnation()) {
        LogLine("stale_ask_dropped").with("request", message.request()).with("origin", message.origin());
        return;
    }
    if (this->scheduler.summary(now).engines == 0) {
        // This process has just started. Let the client ask another VM, which already knows the engines.
        respond(error_reply(wire::ERROR_CODE_NOT_READY));
        return;
    }
    this->pending_replies.insert_or_assign(message.request(), PendingReply { { message.origin(), message.number() }, respond });
    LogLine("asked").with("request", message.request()).with("software", message.software_version()).with("prompt_tokens", message.prompt_tokens()).with("maximum_output_tokens", message.maximum_output_tokens()).with("expected_output_tokens", message.expected_output_tokens()).with("first_token_within_ms", message.first_token_within_microseconds() / 1000).with("decide_within_ms", message.decide_within_microseconds() / 1000).with("finish_within_ms", message.finish_within_microseconds() / 1000).with("migrates_from", message.migrates_from());
    auto ask = ask_from_message(message, now);
    this->ensure_account(ask.account);
    if (ask.relayed_tokens == 0 && ask.excluded_engines.empty() && ask.migrates_from.empty())
        this->hooks.on_first_ask(ask);
    this->scheduler.ask(std::move(ask), now);
    this->grow_subset(now);
}

// A previous keeper may have used engines outside this subset. Engines that have left the upstream list are ignored.
void PlacementService::keep_granted_engines(wire::GrantRecords const& message)
{
    bool has_new = false;
    auto const keep = [&](std::string const& engine) {
        bool const is_left_out = !engine.empty() && !this->subset_engine_names.contains(engine) && this->offered_upstreams && this->offered_upstreams->find(engine);
        if (!is_left_out)
            return;
        this->subset.pin(engine);
        has_new = true;
    };
    for (auto const& record : message.records()) {
        keep(record.decode_engine());
        keep(record.moves_to());
    }
    if (has_new)
        this->refresh_engines();
}

void PlacementService::handle_grant_records(wire::GrantRecords const& message)
{
    auto const now = this->hooks.clock();
    this->keep_granted_engines(message);
    for (auto const& record : message.records()) {
        PlacementAsk ask;
        ask.request = record.request();
        ask.account = record.account();
        ask.model = record.model();
        ask.origin = message.origin();
        ask.number = record.number();
        ask.prompt_tokens = record.prompt_tokens();
        ask.maximum_output_tokens = record.maximum_output_tokens();
        ask.expected_output_tokens = record.expected_output_tokens();
        ask.own_part = record.own_part();
        if (record.finish_within_microseconds() > 0)
            ask.finish_by = now + Duration(record.finish_within_microseconds());
        this->scheduler.restore(std::move(ask), record.prefill_engine(), record.decode_engine(), read_progress(record.progress()), Duration(record.age_microseconds()), now, record.moves_to());
    }
}

void PlacementService::send_decisions()
{
    for (auto const& decision : this->scheduler.take_decisions()) {
        wire::Envelope reply;
        std::string request;
        if (auto const* grant = std::get_if<PlacementGrant>(&decision)) {
            request = grant->request;
            reply.mutable_placement_grant()->set_prefill_engine(grant->prefill_engine);
            reply.mutable_placement_grant()->set_decode_engine(grant->decode_engine);
            reply.mutable_placement_grant()->set_is_return(grant->caller_attempt == CallerAttempt::Retry);
            this->metrics.increment("spurtide_placements_total", "Decisions of this keeper", { { "outcome", "granted" } });
            LogLine("placed").with("request", request).with("visit", visit_name(grant->caller_attempt)).with("prefill", grant->prefill_engine).with("decode", grant->decode_engine).with("candidates", static_cast<std::int64_t>(grant->candidates)).with("account_usage", static_cast<std::int64_t>(grant->account_usage));
        } else {
            auto const& refusal = std::get<PlacementRefusal>(decision);
            request = refusal.request;
            reply.mutable_placement_refusal()->set_reason(wire_reason(refusal.reason));
            reply.mutable_placement_refusal()->set_retry_after_milliseconds(to_milliseconds(refusal.retry_after));
            reply.mutable_placement_refusal()->set_is_return(refusal.caller_attempt == CallerAttempt::Retry);
            this->metrics.increment("spurtide_placements_total", "Decisions of this keeper", { { "outcome", std::string(to_string(refusal.reason)) } });
            auto const summary = this->scheduler.summary(this->hooks.clock());
            LogLine("not_placed").with("request", request).with("visit", visit_name(refusal.caller_attempt)).with("reason", to_string(refusal.reason)).with("retry_after_ms", to_milliseconds(refusal.retry_after)).with("waiting", static_cast<std::int64_t>(summary.waiting)).with("granted", static_cast<std::int64_t>(summary.granted)).with("engines", static_cast<std::int64_t>(summary.engines_heard));
        }
        auto const pending = this->pending_replies.find(request);
        if (pending == this->pending_replies.end())
            continue;
        auto const respond = std::move(pending->second.respond);
        this->pending_replies.erase(pending);
        respond(std::move(reply));
    }
    if (this->pending_replies.empty() || this->is_timer_set)
        return;
    this->is_timer_set = true;
    this->timer.expires_after(PENDING_TICK_INTERVAL);
    this->timer.async_wait([this](asio::error_code error) {
        // The timer is only cancelled by the destructor.
        if (error)
            return;
        this->is_timer_set = false;
        this->tick();
    });
}

void PlacementService::tick()
{
    auto const now = this->note_activity();
    this->apply_offered_engines();
    this->scheduler.advance(now);
    this->send_decisions();
}

void PlacementService::forget_dead_origins(MonotonicTime now)
{
    auto const is_live = [this](std::string const& origin) { return origin == this->kernel.incarnation() || this->kernel.directory().find_incarnation(origin); };
    for (auto const& origin : this->missing_origins.take_dead(this->scheduler.origins(), is_live, DEAD_ORIGIN_GRACE, now)) {
        LogLine("origin_gone").with("origin", origin);
        this->scheduler.remove_origin(origin, now);
    }
}

}
