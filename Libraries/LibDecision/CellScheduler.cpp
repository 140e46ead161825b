// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Verify.h>
#include <LibDecision/CellScheduler.h>
#include <algorithm>
#include <array>
#include <utility>
#include <xxhash.h>

namespace Spurtide {

namespace {

constexpr double LATENESS_QUANTILE = 0.95;
constexpr double RATE_SMOOTHING = 0.2;
/// Bounds of an engine's slowness, so that one sample distorted by packet loss or a paused VM has little effect.
constexpr double MINIMUM_SLOWNESS = 0.5;
constexpr double MAXIMUM_SLOWNESS = 20;
/// Prefill rate of a decode engine relative to a prefill engine, as defined by the engine protocol.
constexpr double DECODE_PREFILL_RELATIVE_RATE = 0.5;
/// Initial stretch: chunks of a few hundred tokens, each followed by a decode step.
constexpr double INITIAL_DECODE_PREFILL_STRETCH = 1.3;
constexpr double MAXIMUM_DECODE_PREFILL_STRETCH = 4;
constexpr int MAXIMUM_BACKOFF_DOUBLINGS = 10;
/// Longer than the maximum delay of an engine report.
constexpr Duration RELEASED_RETENTION = seconds(5);
/// Covers the duration of an answer and the time until its caller retries; after that the cache has usually been
/// evicted.
constexpr Duration CACHED_PROMPT_RETENTION = seconds(20);
/// Shorter outputs are too noisy to estimate the step time.
constexpr std::int64_t MINIMUM_STEP_TIME_TOKENS = 8;
/// The feasibility check of waiting requests visits every engine, so its frequency is limited.
constexpr Duration FEASIBILITY_CHECK_INTERVAL = milliseconds(50);
/// A prefill engine is assigned the prompt that it runs and the next one.
constexpr std::int64_t PREFILL_ENGINE_SLOTS = 2;
/// Shorter prefills are below the resolution of the measurement and say nothing about an engine's rate.
constexpr Duration MINIMUM_MEASURED_PREFILL = milliseconds(5);

std::size_t earliest(std::span<PlacementCandidate const> candidates)
{
    auto const best = std::min_element(candidates.begin(), candidates.end(), [](auto const& a, auto const& b) { return a.ready + a.preference_penalty < b.ready + b.preference_penalty; });
    return static_cast<std::size_t>(best - candidates.begin());
}

RequestTraits traits_of(PlacementAsk const& ask)
{
    return { ask.account, ask.model, ask.own_part, ask.prompt_tokens, ask.maximum_output_tokens, ask.expected_output_tokens };
}

std::size_t most_free(std::span<PlacementCandidate const> candidates)
{
    auto const best = std::max_element(candidates.begin(), candidates.end(), [](auto const& a, auto const& b) { return a.free_slots < b.free_slots; });
    return static_cast<std::size_t>(best - candidates.begin());
}

}

std::string_view to_string(RefusalReason reason)
{
    constexpr std::array<std::string_view, 8> NAMES = { "unknown_model", "unknown_account", "rate_limited", "no_upstream", "cannot_meet_first_token", "queue_full", "duplicate", "cannot_finish_in_time" };
    return NAMES.at(static_cast<std::size_t>(reason));
}

CellScheduler::CellScheduler(Options options)
    : options(std::move(options))
    , lateness(LATENESS_QUANTILE, 0)
{
    if (!this->options.policy.choose_prefill)
        this->options.policy.choose_prefill = earliest;
    if (!this->options.policy.choose_decode)
        this->options.policy.choose_decode = most_free;
}

void CellScheduler::set_engines(std::span<EngineDescription const> descriptions)
{
    std::map<std::string, Engine, std::less<>> remaining;
    for (auto const& description : descriptions) {
        auto const found = this->engines.find(description.name);
        bool const is_known = found != this->engines.end();
        // A restarted engine has lost the grants and the cache of its previous process.
        bool const has_restarted = is_known && found->second.description.started != description.started;
        if (has_restarted)
            std::erase_if(this->cached, [&](auto const& entry) { return entry.second.engine == description.name; });
        Engine engine;
        if (is_known && !has_restarted)
            engine = std::move(found->second);
        else {
            this->prefill_rates.try_emplace(description.model, description.prefill_rate);
            auto const measured = this->model_step_times.find(description.model);
            engine.step_time = measured != this->model_step_times.end() ? measured->second : this->options.initial_step_time;
        }
        engine.description = description;
        remaining.emplace(description.name, std::move(engine));
    }
    this->engines = std::move(remaining);
}

void CellScheduler::set_accounts(std::span<AccountDescription const> descriptions, MonotonicTime now)
{
    std::map<std::string, Account, std::less<>> remaining;
    for (auto const& description : descriptions) {
        auto const found = this->accounts.find(description.name);
        bool const same_limit = found != this->accounts.end()
            && found->second.description.requests_per_second == description.requests_per_second
            && found->second.description.burst == description.burst;
        // Changing the weight must not refill the bucket, otherwise frequent changes would bypass the rate limit.
        auto bucket = same_limit ? found->second.bucket : TokenBucket(description.requests_per_second, description.burst, now);
        remaining.emplace(description.name, Account { description, bucket });
    }
    this->accounts = std::move(remaining);
    for (auto& [model, shares] : this->memory_shares) {
        for (auto const& [name, account] : this->accounts)
            shares.set_weight(name, account.description.weight);
    }
}

void CellScheduler::report(std::string_view name, EngineReport const& report, MonotonicTime now)
{
    auto const found = this->engines.find(name);
    if (found == this->engines.end())
        return;
    auto& engine = found->second;
    engine.last_report = now;
    engine.reported_life = report.life;
    if (report.step_time > Duration::zero())
        engine.step_time = report.step_time;
    for (auto const& held : report.held) {
        auto const known = this->granted.find(held.request);
        if (known != this->granted.end())
            known->second.last_seen = now;
        else if (!this->released.contains(held.request))
            this->adopt(engine, held, now);
    }
    this->remove_unreported(engine, report, now);
    this->schedule(now);
}

// Adopted grants are removed as soon as the engine no longer reports them.
void CellScheduler::remove_unreported(Engine const& engine, EngineReport const& report, MonotonicTime now)
{
    std::vector<std::string> unreported;
    for (auto const& request : engine.slots) {
        auto const found = this->granted.find(request);
        if (found == this->granted.end() || !found->second.adopted)
            continue;
        auto const is_reported = [&](HeldWork const& held) { return held.request == request; };
        if (std::none_of(report.held.begin(), report.held.end(), is_reported))
            unreported.push_back(request);
    }
    for (auto const& request : unreported)
        this->remove_granted(request, now);
}

void CellScheduler::remove_origin(std::string_view origin, MonotonicTime now)
{
    std::erase_if(this->waiting, [&](auto const& ask) { return ask.origin == origin; });
    std::vector<std::string> orphans;
    for (auto const& [request, granted] : this->granted) {
        if (granted.ask.origin == origin && !granted.adopted)
            orphans.push_back(request);
    }
    for (auto const& request : orphans) {
        this->remove_granted(request, now);
        // Unlike after a release, the engine's next report decides whether the slot is free.
        this->released.erase(request);
    }
    this->schedule(now);
}

std::set<std::string> CellScheduler::origins() const
{
    std::set<std::string> names;
    for (auto const& [request, granted] : this->granted) {
        if (!granted.adopted)
            names.insert(granted.ask.origin);
    }
    for (auto const& ask : this->waiting)
        names.insert(ask.origin);
    return names;
}

MonotonicTime CellScheduler::busy_until(Engine const& engine, MonotonicTime now) const
{
    auto const time_of = [&](QueuedPrefill const& prefill) { return this->compute_time(engine, prefill.tokens); };
    auto until = now;
    for (std::size_t i = 0; i < engine.prefills.size(); ++i) {
        auto const& prefill = engine.prefills[i];
        until = i == 0 ? std::max(now, prefill.started + time_of(prefill)) : until + time_of(prefill);
    }
    return until;
}

PrefillRateEstimator const& CellScheduler::prefill_rate_of(Engine const& engine) const
{
    auto const found = this->prefill_rates.find(engine.description.model);
    VERIFY(found != this->prefill_rates.end());
    return found->second;
}

// A decode engine interleaves prefill chunks with decode steps, at half the rate of a prefill engine or slightly less.
Duration CellScheduler::compute_time(Engine const& engine, std::int64_t tokens) const
{
    auto const expected_time = to_seconds(this->prefill_rate_of(engine).compute_time(tokens));
    if (engine.description.role == EngineRole::Prefill)
        return from_seconds(expected_time * engine.slowness);
    auto const stretch = this->decode_prefill_stretch.find(engine.description.model);
    return from_seconds(expected_time / DECODE_PREFILL_RELATIVE_RATE * (stretch == this->decode_prefill_stretch.end() ? INITIAL_DECODE_PREFILL_STRETCH : stretch->second));
}

// The latency of a result can only be measured for a prompt that was not queued behind another.
void CellScheduler::update_prefill_rate(Engine& engine, QueuedPrefill const& prefill, MonotonicTime now)
{
    auto const taken = std::chrono::duration_cast<Duration>(now - prefill.started);
    if (taken < MINIMUM_MEASURED_PREFILL)
        return;
    auto& estimator = this->prefill_rates.find(engine.description.model)->second;
    if (engine.description.role == EngineRole::Decode) {
        if (prefill.was_queued)
            return;
        auto& stretch = this->decode_prefill_stretch.try_emplace(engine.description.model, INITIAL_DECODE_PREFILL_STRETCH).first->second;
        auto const nominal_time = to_seconds(estimator.compute_time(prefill.tokens)) / DECODE_PREFILL_RELATIVE_RATE;
        stretch += RATE_SMOOTHING * (to_seconds(taken - estimator.latency()) / nominal_time - stretch);
        stretch = std::clamp(stretch, 1.0, MAXIMUM_DECODE_PREFILL_STRETCH);
        return;
    }
    if (!prefill.was_queued)
        estimator.add_sample(prefill.tokens, taken);
    if (!estimator.is_known())
        return;
    auto const expected_time = to_seconds(estimator.compute_time(prefill.tokens) + estimator.latency());
    engine.slowness += RATE_SMOOTHING * (to_seconds(taken) / expected_time - engine.slowness);
    ++engine.slowness_samples;
    engine.slowness = std::clamp(engine.slowness, MINIMUM_SLOWNESS, MAXIMUM_SLOWNESS);
}

// The engine starts the next queued prompt while the result of this one is still in transit.
void CellScheduler::end_prefill(std::string_view name, std::string_view request, MonotonicTime now)
{
    auto const engine = this->engines.find(name);
    if (engine == this->engines.end())
        return;
    auto& prefills = engine->second.prefills;
    auto const found = std::find_if(prefills.begin(), prefills.end(), [&](auto const& prefill) { return prefill.request == request; });
    if (found == prefills.end())
        return;
    bool const was_first = found == prefills.begin();
    prefills.erase(found);
    if (was_first && !prefills.empty())
        prefills.front().started = std::max(prefills.front().started, now - this->prefill_rate_of(engine->second).latency());
}

// Requests from before this keeper's term occupy the engine until their origin or the reaper ends them.
void CellScheduler::adopt(Engine& engine, HeldWork const& held, MonotonicTime now)
{
    if (engine.description.role != EngineRole::Decode)
        return;
    Granted granted;
    granted.ask.request = held.request;
    granted.ask.account = held.account;
    granted.ask.origin = held.origin;
    granted.ask.model = engine.description.model;
    granted.decode_engine = engine.description.name;
    granted.phase = GrantProgress::Decoding;
    granted.adopted = true;
    granted.is_confirmed = true;
    granted.granted_at = now;
    granted.last_seen = now;
    granted.decode_from = now;
    this->hold_slot(engine, held.request);
    this->hold_memory(granted, now);
    this->granted.emplace(held.request, std::move(granted));
}

void CellScheduler::note_failure(std::string_view name, MonotonicTime now)
{
    auto const found = this->engines.find(name);
    if (found == this->engines.end())
        return;
    auto& engine = found->second;
    engine.last_report.reset();
    // Concurrent requests observe the same failure, so only the first failure after the backoff counts.
    if (now < engine.backoff_until)
        return;
    auto const doublings = std::min(engine.consecutive_failures++, MAXIMUM_BACKOFF_DOUBLINGS);
    engine.backoff_until = now + std::min(this->options.maximum_backoff, this->options.initial_backoff * (1 << doublings));
}

bool CellScheduler::is_probed(std::string_view name) const
{
    auto const found = this->engines.find(name);
    return found != this->engines.end() && found->second.consecutive_failures > 0;
}

void CellScheduler::note_success(std::string_view name)
{
    auto const found = this->engines.find(name);
    if (found == this->engines.end())
        return;
    found->second.consecutive_failures = 0;
    found->second.probe_request.clear();
}

void CellScheduler::hold_slot(Engine& engine, std::string const& request)
{
    engine.slots.insert(request);
    engine.forecast.reset();
}

void CellScheduler::free_slot(std::string_view name, std::string_view request)
{
    auto const found = this->engines.find(name);
    if (found == this->engines.end())
        return;
    auto const slot = found->second.slots.find(request);
    if (slot != found->second.slots.end())
        found->second.slots.erase(slot);
    found->second.forecast.reset();
}

void CellScheduler::update_step_time(Granted const& granted, std::int64_t output_tokens, MonotonicTime now)
{
    auto const engine = this->engines.find(granted.decode_engine);
    if (this->options.report_need == Options::ReportNeed::Required || granted.phase != GrantProgress::Decoding || engine == this->engines.end())
        return;
    // Tokens that another engine has produced say nothing about the pace of this one.
    auto const tokens_here = output_tokens - granted.ask.relayed_tokens - static_cast<std::int64_t>(granted.tokens_before);
    if (tokens_here < MINIMUM_STEP_TIME_TOKENS)
        return;
    this->paces.add(granted.decode_engine, granted.ask.model, tokens_here, std::chrono::duration_cast<Duration>(now - granted.decode_from), now);
    auto const sample = (now - granted.decode_from) / tokens_here;
    auto& step = engine->second.step_time;
    step += std::chrono::duration_cast<Duration>((sample - step) * RATE_SMOOTHING);
    this->model_step_times.insert_or_assign(engine->second.description.model, step);
}

void CellScheduler::set_leaving(std::string_view name, EngineReport::Life life)
{
    auto const found = this->engines.find(name);
    if (found != this->engines.end())
        found->second.hinted_life = life;
}

void CellScheduler::ask(PlacementAsk ask, MonotonicTime now)
{
    auto const account = this->accounts.find(ask.account);
    if (account == this->accounts.end()) {
        this->refuse(ask, RefusalReason::UnknownAccount, MAXIMUM_RETRY_AFTER, now);
        return;
    }
    if (!ask.migrates_from.empty()) {
        this->ask_for_move(std::move(ask), now);
        return;
    }
    this->remove_superseded(ask, now);
    auto const same_request = [&](auto const& other) { return other.request == ask.request; };
    if (this->granted.contains(ask.request) || std::any_of(this->waiting.begin(), this->waiting.end(), same_request)) {
        this->refuse(ask, RefusalReason::Duplicate, MINIMUM_RETRY_AFTER, now);
        return;
    }
    auto const serves = [&](auto const& entry) { return entry.second.description.model == ask.model; };
    if (std::none_of(this->engines.begin(), this->engines.end(), serves)) {
        this->refuse(ask, RefusalReason::UnknownModel, MAXIMUM_RETRY_AFTER, now);
        return;
    }
    if (this->waiting.size() >= this->options.queue_limit) {
        this->refuse(ask, RefusalReason::QueueFull, this->expected_wait(ask.model, now), now);
        return;
    }
    // A request that is placed again after a failure has already been counted against the rate limit.
    if (ask.relayed_tokens == 0 && !account->second.bucket.try_take(1, now)) {
        this->refuse(ask, RefusalReason::RateLimited, account->second.bucket.time_until(1, now), now);
        return;
    }
    this->note_memory_ask(ask, now);
    this->ask_forecasts.erase(ask.request);
    this->detect_caller_retry(ask, now);
    if (this->refuse_if_infeasible(ask, now))
        return;
    this->waiting.push_back(std::move(ask));
    this->schedule(now);
}

void CellScheduler::refuse(PlacementAsk const& ask, RefusalReason reason, Duration retry_after, MonotonicTime now)
{
    if (this->options.return_spread > Duration::zero())
        retry_after += Duration(static_cast<std::int64_t>(XXH3_64bits(ask.request.data(), ask.request.size()) % static_cast<std::uint64_t>(this->options.return_spread.count())));
    retry_after = std::clamp(retry_after, MINIMUM_RETRY_AFTER, MAXIMUM_RETRY_AFTER);
    if (ask.late_deadline && ask.relayed_tokens == 0 && now + retry_after < *ask.late_deadline)
        this->refusal_history.note_refused(traits_of(ask), ask.first_token_deadline, *ask.late_deadline);
    this->decisions.emplace_back(PlacementRefusal { ask.request, reason, retry_after, ask.caller_attempt });
}

// A retrying caller measures its latency from the first attempt. The retry is scheduled for that deadline if it can be
// met and served late otherwise, because a second refusal would fail the caller's request.
void CellScheduler::detect_caller_retry(PlacementAsk& ask, MonotonicTime now)
{
    bool const is_first_placement = ask.relayed_tokens == 0 && ask.excluded_engines.empty();
    if (!is_first_placement || ask.own_part.empty() || !ask.late_deadline)
        return;
    auto const deadline = this->refusal_history.take_matching_refusal(traits_of(ask), now);
    if (!deadline)
        return;
    ask.caller_attempt = CallerAttempt::Retry;
    auto const best = this->best_first_token(ask, now);
    if (best && *best + this->expected_lateness() <= *deadline) {
        ask.first_token_deadline = *deadline;
        ask.decide_by = ask.decide_by ? std::min(*ask.decide_by, *deadline) : *deadline;
        return;
    }
    ask.timeliness = PlacementAsk::Timeliness::Late;
    ask.first_token_deadline = *ask.late_deadline;
    ask.decide_by = ask.late_deadline;
}

void CellScheduler::progress(std::string_view request, GrantProgress progress, MonotonicTime now, AskIdentity const& identity)
{
    auto const found = this->granted.find(request);
    if (found == this->granted.end() || !found->second.ask.identity().matches(identity))
        return;
    auto& granted = found->second;
    granted.is_confirmed = true;
    granted.last_seen = now;
    bool has_freed_capacity = false;
    auto const engine = this->engines.find(granted.prefill_engine);
    if (progress == GrantProgress::CacheHeld && granted.phase == GrantProgress::Prefilling && engine != this->engines.end()) {
        has_freed_capacity = true;
        this->note_success(granted.prefill_engine);
        auto const& prefills = engine->second.prefills;
        bool const is_first = !prefills.empty() && prefills.front().request == request;
        if (is_first)
            this->update_prefill_rate(engine->second, prefills.front(), now);
        this->end_prefill(granted.prefill_engine, request, now);
    }
    if (progress == GrantProgress::Decoding && granted.phase != GrantProgress::Decoding) {
        granted.decode_from = now;
        if (!granted.ask.own_part.empty())
            this->cached.insert_or_assign(granted.ask.own_part, CachedPrompt { granted.decode_engine, now });
        has_freed_capacity = has_freed_capacity || this->is_probed(granted.decode_engine) || granted.prefill_engine.empty();
        this->end_decode_prefill(granted, now);
        this->note_success(granted.decode_engine);
        if (granted.predicted_first_token != MonotonicTime {})
            this->lateness.add(std::max(0.0, to_seconds(now - granted.predicted_first_token) * 1000));
    }
    granted.phase = progress;
    auto const decode = this->engines.find(granted.decode_engine);
    if (decode != this->engines.end())
        decode->second.forecast.reset();
    if (has_freed_capacity)
        this->schedule(now);
}

// A decode engine has finished its prefill once the answer starts.
void CellScheduler::end_decode_prefill(Granted const& granted, MonotonicTime now)
{
    auto const engine = this->engines.find(granted.decode_engine);
    if (!granted.prefill_engine.empty() || engine == this->engines.end())
        return;
    auto const& prefills = engine->second.prefills;
    if (!prefills.empty() && prefills.front().request == granted.ask.request)
        this->update_prefill_rate(engine->second, prefills.front(), now);
    this->end_prefill(granted.decode_engine, granted.ask.request, now);
}

void CellScheduler::restore(PlacementAsk ask, std::string_view prefill_engine, std::string_view decode_engine, GrantProgress progress, Duration age, MonotonicTime now, std::string_view moves_to)
{
    auto const decode = this->engines.find(decode_engine);
    auto known = this->granted.find(ask.request);
    bool const is_other_grant = known != this->granted.end() && known->second.ask.origin == ask.origin && !known->second.ask.identity().matches(ask.identity());
    if (is_other_grant) {
        bool const is_delayed_record = ask.number < known->second.ask.number;
        if (is_delayed_record)
            return;
        // The release of the earlier grant was lost.
        this->remove_granted(ask.request, now);
        this->released.erase(ask.request);
        known = this->granted.end();
    }
    bool const is_known = known != this->granted.end() && !known->second.adopted;
    if (is_known) {
        known->second.last_seen = now;
        known->second.is_confirmed = true;
        this->reconcile_progress(known->second, progress, age, now);
        this->reconcile_move(known->second, decode_engine, moves_to, now);
    }
    auto const released = this->released.find(ask.request);
    // The request may have been placed again by another keeper since it was released here.
    bool const is_over = released != this->released.end() && now - age <= released->second;
    if (decode == this->engines.end() || is_known || is_over)
        return;
    if (known != this->granted.end()) {
        this->free_slot(known->second.decode_engine, ask.request);
        this->release_memory(known->second, now);
        this->granted.erase(known);
    }
    Granted granted;
    granted.prefill_engine = prefill_engine;
    granted.decode_engine = decode_engine;
    granted.phase = progress;
    granted.is_confirmed = true;
    granted.granted_at = now;
    granted.last_seen = now;
    granted.decode_from = now - age;
    this->hold_slot(decode->second, ask.request);
    auto const prefill = this->engines.find(granted.prefilling_engine());
    if (progress == GrantProgress::Prefilling && prefill != this->engines.end())
        prefill->second.prefills.push_back({ ask.request, ask.prompt_tokens, now, true });
    auto const request = ask.request;
    granted.ask = std::move(ask);
    this->hold_memory(granted, now);
    auto& restored = this->granted.emplace(request, std::move(granted)).first->second;
    this->start_move(restored, moves_to, now);
}

void CellScheduler::note_cached(std::string_view engine, std::span<std::string const> own_parts, MonotonicTime now)
{
    for (auto const& part : own_parts)
        this->cached.insert_or_assign(part, CachedPrompt { std::string(engine), now });
}

void CellScheduler::release(std::string_view request, std::int64_t output_tokens, MonotonicTime now, AskIdentity const& identity)
{
    std::erase_if(this->waiting, [&](auto const& ask) { return ask.request == request && ask.identity().matches(identity); });
    auto const found = this->granted.find(request);
    if (found != this->granted.end() && found->second.ask.identity().matches(identity)) {
        if (output_tokens > 0)
            this->output_estimate(found->second.ask.model).add(static_cast<double>(output_tokens));
        this->update_step_time(found->second, output_tokens, now);
        this->remove_granted(found->first, now);
    }
    this->schedule(now);
}

void CellScheduler::remove_superseded(PlacementAsk const& ask, MonotonicTime now)
{
    auto const is_superseded = [&](PlacementAsk const& earlier) {
        auto const& numbers = ask.released_numbers;
        return earlier.request == ask.request && earlier.origin == ask.origin && std::find(numbers.begin(), numbers.end(), earlier.number) != numbers.end();
    };
    std::erase_if(this->waiting, is_superseded);
    auto const found = this->granted.find(ask.request);
    if (found != this->granted.end() && is_superseded(found->second.ask))
        this->remove_granted(ask.request, now);
}

// Renewals repeat what this keeper was not told, as another VM was the keeper at the time, or the report was lost. How long the
// phase took is not measured, as the renewal is late.
void CellScheduler::reconcile_progress(Granted& granted, GrantProgress progress, Duration age, MonotonicTime now)
{
    if (progress <= granted.phase)
        return;
    bool const has_prefilled = progress == GrantProgress::Decoding || !granted.prefill_engine.empty();
    if (has_prefilled) {
        this->end_prefill(granted.prefilling_engine(), granted.ask.request, now);
        this->note_success(granted.prefilling_engine());
    }
    if (progress == GrantProgress::Decoding) {
        granted.decode_from = now - age;
        this->note_success(granted.decode_engine);
    }
    granted.phase = progress;
    auto const decode = this->engines.find(granted.decode_engine);
    if (decode != this->engines.end())
        decode->second.forecast.reset();
}

void CellScheduler::remove_granted(std::string request, MonotonicTime now)
{
    // NOTE: The name is copied because the caller's reference may point into the node that is erased.
    auto const found = this->granted.find(request);
    VERIFY(found != this->granted.end());
    this->end_prefill(found->second.prefilling_engine(), request, now);
    this->released.insert_or_assign(request, now);
    this->free_slot(found->second.decode_engine, request);
    this->free_slot(found->second.moves_to, request);
    this->release_memory(found->second, now);
    this->granted.erase(found);
}

void CellScheduler::advance(MonotonicTime now)
{
    std::vector<std::string> expired;
    for (auto const& [request, granted] : this->granted) {
        bool const is_unconfirmed = !granted.is_confirmed && now - granted.granted_at > this->options.grant_lease;
        if (is_unconfirmed || now - granted.last_seen > this->options.stale_grant_timeout)
            expired.push_back(request);
    }
    for (auto const& request : expired) {
        this->remove_granted(request, now);
        // Unlike after a release, the VM that holds the grant may renew it: another one was taken for the keeper for a while.
        this->released.erase(request);
    }
    std::erase_if(this->cached, [&](auto const& entry) { return now - entry.second.since > CACHED_PROMPT_RETENTION; });
    this->refusal_history.remove_expired(now);
    this->forget_missing_paces(now);
    std::erase_if(this->released, [&](auto const& entry) { return now - entry.second > RELEASED_RETENTION; });
    if (now - this->last_feasibility_check >= FEASIBILITY_CHECK_INTERVAL) {
        this->last_feasibility_check = now;
        this->refuse_infeasible(now);
    }
    this->schedule(now);
}

std::vector<PlacementDecision> CellScheduler::take_decisions()
{
    return std::exchange(this->decisions, {});
}

std::optional<CellScheduler::Location> CellScheduler::locate(std::string_view request) const
{
    auto const found = this->granted.find(request);
    if (found == this->granted.end())
        return {};
    return Location { found->second.decode_engine, found->second.ask.account };
}

bool CellScheduler::knows(std::string_view request) const
{
    return this->granted.find(request) != this->granted.end();
}

std::map<std::string, std::vector<CellScheduler::EngineState>> CellScheduler::engine_states() const
{
    std::map<std::string, std::vector<EngineState>> states;
    for (auto const& [name, engine] : this->engines) {
        bool const is_serving = engine.reported_life == EngineReport::Life::Serving && engine.hinted_life == EngineReport::Life::Serving;
        EngineState state;
        state.is_leaving = !is_serving;
        state.name = name;
        state.role = engine.description.role;
        state.data_centre = engine.description.data_centre;
        state.work = static_cast<std::int64_t>(engine.prefills.size() + engine.slots.size());
        state.prefill_rate = this->prefill_rate_of(engine).rate();
        state.step_time = this->mean_step_time(engine.description.model);
        state.is_rate_measured = this->prefill_rate_of(engine).is_known() && this->model_step_times.contains(engine.description.model);
        state.memory_tokens = static_cast<double>(engine.description.memory_tokens);
        state.decode_slots = engine.description.decode_slots;
        state.is_failing = engine.consecutive_failures > 0;
        auto const relative_time = this->relative_time_of(engine);
        state.relative_time = relative_time.value_or(1);
        state.is_speed_measured = relative_time.has_value();
        states[engine.description.model].push_back(std::move(state));
    }
    return states;
}

std::set<std::string> CellScheduler::saturated_models(double share) const
{
    std::set<std::string> models;
    for (auto const& ask : this->waiting)
        models.insert(ask.model);
    struct SlotCount {
        std::int64_t taken = 0;
        std::int64_t all = 0;
    };
    std::map<std::pair<std::string_view, EngineRole>, SlotCount> slots_by_role;
    for (auto const& [name, engine] : this->engines) {
        bool const runs_prefills = engine.description.role == EngineRole::Prefill;
        auto& role_slots = slots_by_role[{ engine.description.model, engine.description.role }];
        role_slots.taken += static_cast<std::int64_t>(runs_prefills ? engine.prefills.size() : engine.slots.size());
        role_slots.all += runs_prefills ? PREFILL_ENGINE_SLOTS : engine.description.decode_slots;
    }
    for (auto const& [model_and_role, slot_count] : slots_by_role) {
        if (static_cast<double>(slot_count.taken) > share * static_cast<double>(slot_count.all))
            models.emplace(model_and_role.first);
    }
    return models;
}

CellScheduler::Summary CellScheduler::summary(MonotonicTime now) const
{
    Summary summary;
    summary.waiting = this->waiting.size();
    summary.granted = this->granted.size();
    summary.engines = this->engines.size();
    for (auto const& [name, engine] : this->engines) {
        if (!this->is_usable(engine, now))
            continue;
        ++summary.engines_heard;
        if (engine.description.role == EngineRole::Decode)
            summary.free_slots += std::max<std::int64_t>(0, this->usable_slots(engine) - static_cast<std::int64_t>(engine.slots.size()));
    }
    return summary;
}

}
