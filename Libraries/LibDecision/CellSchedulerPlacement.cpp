// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

// Placement decisions of the cell scheduler: the order of requests, the choice of engines, and refusals. Input events
// are handled in CellScheduler.cpp.

#include <LibDecision/CellScheduler.h>
#include <algorithm>
#include <limits>
#include <xxhash.h>

namespace Spurtide {

namespace {

constexpr double INITIAL_OUTPUT_ESTIMATE_TOKENS = 64;
/// Larger delays indicate a fault rather than a prediction error.
constexpr Duration MAXIMUM_EXPECTED_LATENESS = milliseconds(400);
/// Limits how many waiting requests a backfill pass skips, which bounds the work per pass.
constexpr std::size_t MAXIMUM_SKIPPED_REQUESTS = 8;
/// The same for requests that wait for a faster engine although others have capacity. There may be many of them, and they leave that
/// capacity to shorter ones.
constexpr std::size_t MAXIMUM_SKIPPED_LONG_REQUESTS = 32;
/// Prompt length used to convert the compute time of an engine into a rate.
constexpr std::int64_t RATE_REFERENCE_TOKENS = 1000;
/// Maximum prompt tokens that a decode engine processes between two decode steps. A quarter of the chunk size of
/// prefill engines, which is 1,024 to 2,048 tokens for current engines.
constexpr std::int64_t MAXIMUM_DECODE_PREFILL_CHUNK_TOKENS = 512;
/// Burst allowed to an idle cold engine, in seconds of its rate. Together with the following second the engine gets at
/// most 25 % more than its rate.
constexpr double COLD_START_BURST_SECONDS = 0.25;
/// Fraction of the longest acceptable pause that a prefill may use; the rest covers network delay.
constexpr double MAXIMUM_PAUSE_SHARE = 0.95;
/// Two ticks of the keeper, so that a request is considered at least once more before it has to be decided.
constexpr Duration OVERFLOW_BEFORE_DECISION = milliseconds(40);
/// Limit on cached forecasts of requests that are no longer waiting; all are purged when it is exceeded.
constexpr std::size_t MAXIMUM_UNUSED_FORECASTS = 64;

}

void CellScheduler::schedule(MonotonicTime now)
{
    this->mark_last_resorts(now);
    this->free_decode_memory.clear();
    if (this->ask_forecasts.size() > MAXIMUM_UNUSED_FORECASTS + 2 * this->waiting.size())
        this->ask_forecasts.clear();
    std::set<std::string> models;
    for (auto const& ask : this->waiting)
        models.insert(ask.model);
    for (auto const& model : models)
        this->schedule_model(model, now);
}

// Engines that lose individual answers enter backoff one after another until none is left. The ones with the fewest
// failures stay in use: a request that fails there is no worse off than a refused one.
void CellScheduler::mark_last_resorts(MonotonicTime now)
{
    if (this->options.policy.last_resort == SchedulerPolicy::LastResort::Off)
        return;
    struct Group {
        bool has_usable = false;
        int fewest_failures = std::numeric_limits<int>::max();
    };
    std::map<std::pair<std::string_view, EngineRole>, Group> groups;
    for (auto& [name, engine] : this->engines) {
        engine.is_last_resort = false;
        auto& group = groups[{ engine.description.model, engine.description.role }];
        group.has_usable = group.has_usable || this->is_usable(engine, now);
        if (engine.reported_life == EngineReport::Life::Serving && engine.hinted_life == EngineReport::Life::Serving)
            group.fewest_failures = std::min(group.fewest_failures, engine.consecutive_failures);
    }
    for (auto& [name, engine] : this->engines) {
        auto const& group = groups[{ engine.description.model, engine.description.role }];
        engine.is_last_resort = !group.has_usable && engine.consecutive_failures <= group.fewest_failures;
    }
}

std::vector<std::string_view> CellScheduler::decode_versions(PlacementAsk const& ask, MonotonicTime now) const
{
    // There are few versions, so most engines need no further check.
    std::vector<std::string_view> versions;
    for (auto const& [name, engine] : this->engines) {
        auto const& version = engine.description.software_version;
        bool const is_new = std::find(versions.begin(), versions.end(), version) == versions.end();
        if (is_new && this->is_eligible(engine, EngineRole::Decode, ask, now))
            versions.push_back(version);
    }
    return versions;
}

std::vector<CellScheduler::Engine const*> CellScheduler::paired_prefill_engines(PlacementAsk const& ask, MonotonicTime now) const
{
    auto const versions = this->decode_versions(ask, now);
    std::vector<Engine const*> paired;
    for (auto const& [name, engine] : this->engines) {
        bool const has_partner = std::find(versions.begin(), versions.end(), engine.description.software_version) != versions.end();
        if (has_partner && this->is_eligible(engine, EngineRole::Prefill, ask, now))
            paired.push_back(&engine);
    }
    return paired;
}

// While a decode engine runs a prefill, its other answers progress by only one step per chunk. If the resulting pause
// exceeds the limit, all of them would be late for the sake of a single request.
bool CellScheduler::can_run_prefill(Engine const& engine, PlacementAsk const& ask, MonotonicTime now) const
{
    if (!engine.prefills.empty())
        return false;
    auto const tokens = ask.prompt_tokens + ask.relayed_tokens;
    auto const chunk_tokens = std::min(tokens, engine.description.tokens_per_event * MAXIMUM_DECODE_PREFILL_CHUNK_TOKENS);
    auto const pause = this->compute_time(engine, chunk_tokens) + engine.step_time * engine.description.tokens_per_event;
    bool const delays_other_answers = ask.longest_pause > Duration::zero() && !engine.slots.empty() && to_seconds(pause) > MAXIMUM_PAUSE_SHARE * to_seconds(ask.longest_pause);
    if (delays_other_answers)
        return false;
    // The prefill extends how long the running answers hold their memory, which is modelled as additional copies of the
    // request.
    auto const answer_time = this->answer_forecast(ask, 0).expected_tokens * to_seconds(engine.step_time);
    auto const others = static_cast<double>(engine.slots.size()) * to_seconds(this->compute_time(engine, tokens)) / std::max(to_seconds(engine.step_time), answer_time);
    return engine.description.memory_tokens == 0 || this->forecast_of(engine, now).has_capacity_for(this->forecast_of(ask), Duration::zero(), this->usable_memory(engine), 1 + others);
}

// An engine that ran this prefill before, for an interrupted answer or in the same session, still has it cached and
// only has to process the tokens relayed since.
std::optional<CellScheduler::Placement> CellScheduler::find_cached(PlacementAsk const& ask, MonotonicTime now) const
{
    auto const known = ask.own_part.empty() ? this->cached.end() : this->cached.find(ask.own_part);
    if (known == this->cached.end() || this->options.policy.decode_prefill == SchedulerPolicy::DecodePrefill::Off)
        return {};
    auto const found = this->engines.find(known->second.engine);
    if (found == this->engines.end() || !this->is_eligible(found->second, EngineRole::Decode, ask, now))
        return {};
    auto const& engine = found->second;
    Placement placement;
    placement.decode = found->first;
    placement.tokens = std::max(ask.relayed_tokens, MAXIMUM_DECODE_PREFILL_CHUNK_TOKENS);
    placement.prefill_end = this->busy_until(engine, now) + this->compute_time(engine, placement.tokens) + this->prefill_rate_of(engine).latency();
    placement.first_token = placement.prefill_end + engine.step_time;
    placement.candidates = 1;
    if (!this->has_capacity(engine, ask, now, placement.prefill_end))
        return {};
    placement.outlook = this->choose_decode({ { found->first, 0, placement.prefill_end } }, ask).outlook;
    return placement;
}

std::optional<CellScheduler::Placement> CellScheduler::find_decode_prefill(PlacementAsk const& ask, DecodePrefillCause cause, MonotonicTime now) const
{
    std::vector<PlacementCandidate> candidates;
    for (auto const& [name, engine] : this->engines) {
        if (!this->is_eligible(engine, EngineRole::Decode, ask, now))
            continue;
        if (cause == DecodePrefillCause::Overflow && !this->can_run_prefill(engine, ask, now))
            continue;
        auto const ready = this->busy_until(engine, now) + this->prefill_time(engine, ask);
        if (this->has_capacity(engine, ask, now, ready - this->options.safety_margin))
            candidates.push_back({ name, this->capacity_score(engine, ask, now, ready), ready });
    }
    if (candidates.empty())
        return {};
    auto const candidate_count = candidates.size();
    auto const [chosen, outlook] = this->choose_decode(std::move(candidates), ask);
    Placement placement;
    placement.outlook = outlook;
    placement.decode = chosen.engine;
    placement.prefill_end = chosen.ready;
    placement.tokens = ask.prompt_tokens + ask.relayed_tokens;
    placement.first_token = chosen.ready + this->engines.find(chosen.engine)->second.step_time;
    placement.candidates = candidate_count;
    return placement;
}

// Prompts are placed on decode engines if prefill engines would miss the deadline, or shortly before a decision is due.
bool CellScheduler::is_overflow_due(PlacementAsk const& ask, MonotonicTime now) const
{
    if (this->options.policy.decode_prefill != SchedulerPolicy::DecodePrefill::Overflow)
        return false;
    if (ask.decide_by && *ask.decide_by - now <= OVERFLOW_BEFORE_DECISION)
        return true;
    auto const disaggregated = this->best_disaggregated(ask, now);
    return !disaggregated || *disaggregated > ask.first_token_deadline;
}

bool CellScheduler::is_on_time(Placement const& placement, PlacementAsk const& ask) const
{
    return placement.first_token + this->expected_lateness() <= ask.first_token_deadline;
}

void CellScheduler::schedule_model(std::string const& model, MonotonicTime now)
{
    this->refuse_overdue(model, now);
    std::set<std::string> skipped;
    std::size_t skipped_new = 0;
    std::size_t skipped_resumed = 0;
    std::size_t skipped_long = 0;
    bool is_account_waiting = false;
    while (auto const index = this->next_waiting(model, skipped, now)) {
        auto const request = this->waiting[*index].request;
        bool const is_resumed = !this->waiting[*index].software_version.empty();
        auto const share = this->share_status(this->waiting[*index], now);
        // Accounts over their share do not fill the gaps that are too small for a waiting request of one within its share.
        if (share == ShareStatus::Bounded || (share == ShareStatus::Over && is_account_waiting)) {
            this->skip_account(this->waiting[*index], skipped);
            continue;
        }
        auto const step = this->schedule_one(*index, now);
        if (step == ScheduleStep::Placed || step == ScheduleStep::Refused)
            continue;
        is_account_waiting = is_account_waiting || share == ShareStatus::Within;
        bool const may_skip_long = this->options.policy.backfill == SchedulerPolicy::Backfill::On && skipped_long < MAXIMUM_SKIPPED_LONG_REQUESTS;
        if (may_skip_long && step == ScheduleStep::MustWaitForFasterEngine) {
            ++skipped_long;
            skipped.insert(request);
            continue;
        }
        auto& count = is_resumed ? skipped_resumed : skipped_new;
        bool const may_skip = ++count <= MAXIMUM_SKIPPED_REQUESTS;
        if (this->options.policy.backfill == SchedulerPolicy::Backfill::Off || (!may_skip && !is_resumed))
            return;
        skipped.insert(request);
        // The engines of one version may be full while those of others have room for new streams.
        if (!may_skip)
            this->skip_resumed(model, skipped);
    }
}

void CellScheduler::skip_resumed(std::string_view model, std::set<std::string>& skipped) const
{
    for (auto const& ask : this->waiting) {
        if (ask.model == model && !ask.software_version.empty())
            skipped.insert(ask.request);
    }
}

CellScheduler::ScheduleStep CellScheduler::schedule_one(std::size_t index, MonotonicTime now)
{
    auto placement = this->find_cached(this->waiting[index], now);
    if (!placement || !this->is_on_time(*placement, this->waiting[index]) || placement->outlook != CompletionOutlook::Likely) {
        auto other = this->find_placement(this->waiting[index], now);
        bool const is_cached_better = placement && this->is_on_time(*placement, this->waiting[index]) && (!other || placement->outlook >= other->outlook);
        if (!is_cached_better)
            placement = std::move(other);
    }
    bool const is_disaggregated_on_time = placement && this->is_on_time(*placement, this->waiting[index]);
    if (!is_disaggregated_on_time && this->is_overflow_due(this->waiting[index], now)) {
        auto const overflow = this->find_decode_prefill(this->waiting[index], DecodePrefillCause::Overflow, now);
        if (overflow && this->is_on_time(*overflow, this->waiting[index]))
            placement = overflow;
    }
    if (!placement)
        return ScheduleStep::MustWait;
    if (placement->outlook == CompletionOutlook::Missed && may_wait_for_completion(this->waiting[index]))
        return ScheduleStep::MustWaitForFasterEngine;
    auto ask = std::move(this->waiting[index]);
    this->waiting.erase(this->waiting.begin() + static_cast<std::ptrdiff_t>(index));
    // Waiting cannot improve on the best placement available now.
    if (!this->is_on_time(*placement, ask) && this->options.policy.early_refusal == SchedulerPolicy::EarlyRefusal::On) {
        this->refuse(ask, RefusalReason::CannotMeetFirstToken, this->expected_wait(ask.model, now), now);
        return ScheduleStep::Refused;
    }
    this->grant(std::move(ask), *placement, now);
    return ScheduleStep::Placed;
}

Duration CellScheduler::expected_lateness() const
{
    return std::min(MAXIMUM_EXPECTED_LATENESS, from_seconds(this->lateness.estimate() / 1000));
}

bool CellScheduler::refuse_if_infeasible(PlacementAsk const& ask, MonotonicTime now)
{
    if (this->options.policy.early_refusal == SchedulerPolicy::EarlyRefusal::Off)
        return false;
    auto const best = this->best_first_token(ask, now);
    if (best && this->is_too_long(ask, *best)) {
        this->refuse(ask, RefusalReason::CannotFinishInTime, this->expected_wait(ask.model, now), now);
        return true;
    }
    // If no engine has reported yet, as after a change of keeper, requests wait for reports until their deadline.
    if (!best || *best + this->queueing_delay(ask, now) <= ask.first_token_deadline)
        return false;
    this->refuse(ask, RefusalReason::CannotMeetFirstToken, this->expected_wait(ask.model, now), now);
    return true;
}

// Time that the model's engines need to prefill the requests ahead of this one. Among equals, requests that are already
// waiting come first.
Duration CellScheduler::queueing_delay(PlacementAsk const& ask, MonotonicTime now) const
{
    double tokens = 0;
    bool is_before = true;
    for (auto const& other : this->waiting) {
        if (other.request == ask.request) {
            is_before = false;
            continue;
        }
        bool const is_ahead = this->precedes(other, ask, now) || (is_before && !this->precedes(ask, other, now));
        if (other.model == ask.model && is_ahead)
            tokens += static_cast<double>(other.prompt_tokens + other.relayed_tokens);
    }
    if (tokens == 0)
        return {};
    double rate = 0;
    for (auto const& [name, engine] : this->engines) {
        bool const runs_prefills = engine.description.role == EngineRole::Prefill || this->options.policy.decode_prefill == SchedulerPolicy::DecodePrefill::Overflow;
        if (runs_prefills && this->is_eligible(engine, engine.description.role, ask, now))
            rate += 1 / std::max(1e-9, to_seconds(this->compute_time(engine, RATE_REFERENCE_TOKENS)));
    }
    return rate > 0 ? from_seconds(tokens / (rate * static_cast<double>(RATE_REFERENCE_TOKENS))) : Duration::zero();
}

void CellScheduler::refuse_infeasible(MonotonicTime now)
{
    // One at a time, because each refusal shortens the queue for the remaining requests.
    for (std::size_t i = 0; i < this->waiting.size();) {
        if (this->refuse_if_infeasible(this->waiting[i], now))
            this->waiting.erase(this->waiting.begin() + static_cast<std::ptrdiff_t>(i));
        else
            ++i;
    }
}

// Refuses requests past their decision time or deadline, regardless of available engines.
void CellScheduler::refuse_overdue(std::string const& model, MonotonicTime now)
{
    std::erase_if(this->waiting, [&](auto const& ask) {
        bool const is_overdue = (ask.decide_by && now >= *ask.decide_by) || now > ask.first_token_deadline;
        if (ask.model != model || !is_overdue)
            return false;
        auto const best = this->best_first_token(ask, now);
        this->refuse(ask, best ? RefusalReason::CannotMeetFirstToken : RefusalReason::NoUpstream, this->expected_wait(model, now), now);
        return true;
    });
}

std::optional<std::size_t> CellScheduler::next_waiting(std::string_view model, std::set<std::string> const& skipped, MonotonicTime now) const
{
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < this->waiting.size(); ++i) {
        if (this->waiting[i].model != model || skipped.contains(this->waiting[i].request))
            continue;
        if (!best || this->precedes(this->waiting[i], this->waiting[*best], now))
            best = i;
    }
    return best;
}

bool CellScheduler::is_usable(Engine const& engine, MonotonicTime now) const
{
    bool const is_silent = !engine.last_report || now - *engine.last_report > this->options.report_validity;
    if (is_silent && this->options.report_need == Options::ReportNeed::Required)
        return false;
    bool const is_serving = engine.reported_life == EngineReport::Life::Serving && engine.hinted_life == EngineReport::Life::Serving;
    if (engine.is_last_resort)
        return is_serving;
    if (now < engine.backoff_until)
        return false;
    // After a failure only one probe request is placed until it succeeds.
    if (engine.consecutive_failures > 0 && this->granted.contains(engine.probe_request))
        return false;
    if (is_cold(engine, now) && engine.cold_start_bucket && engine.cold_start_bucket->time_until(1, now) > Duration::zero())
        return false;
    return is_serving;
}

// A cold engine that receives requests faster than it can accept them crashes and loses all requests it holds.
void CellScheduler::take_cold_start_token(Engine& engine, MonotonicTime now)
{
    if (!is_cold(engine, now))
        return;
    auto const rate = engine.description.cold_rate;
    if (!engine.cold_start_bucket)
        engine.cold_start_bucket.emplace(rate, std::max(1.0, rate * COLD_START_BURST_SECONDS), now);
    engine.cold_start_bucket->try_take(1, now);
}

// Engines whose step time exceeds the target between tokens get no additional requests.
std::int64_t CellScheduler::usable_slots(Engine const& engine) const
{
    if (engine.step_time > this->options.token_target)
        return std::min<std::int64_t>(engine.description.decode_slots, static_cast<std::int64_t>(engine.slots.size()));
    return engine.description.decode_slots;
}

Duration CellScheduler::prefill_time(Engine const& engine, PlacementAsk const& ask) const
{
    return this->compute_time(engine, ask.prompt_tokens + ask.relayed_tokens) + this->prefill_rate_of(engine).latency();
}

Duration CellScheduler::transfer_time(Engine const& engine, PlacementAsk const& ask) const
{
    double const bytes = engine.description.cache_bytes_per_token * static_cast<double>(ask.prompt_tokens + ask.relayed_tokens);
    return from_seconds(bytes / engine.description.link_rate);
}

std::vector<PlacementCandidate> CellScheduler::prefill_candidates(PlacementAsk const& ask, MonotonicTime now) const
{
    std::vector<PlacementCandidate> candidates;
    for (auto const* engine : this->paired_prefill_engines(ask, now)) {
        auto const start = this->busy_until(*engine, now);
        if (start - now > this->options.prefill_ahead)
            continue;
        bool const is_local = !ask.data_centre.empty() && engine->description.data_centre == ask.data_centre;
        candidates.push_back({ engine->description.name, 0, start + this->prefill_time(*engine, ask), is_local ? Duration::zero() : this->options.local_prefill_preference });
    }
    return candidates;
}

std::optional<MonotonicTime> CellScheduler::best_disaggregated(PlacementAsk const& ask, MonotonicTime now) const
{
    std::optional<MonotonicTime> best;
    for (auto const* engine : this->paired_prefill_engines(ask, now)) {
        auto const first = this->busy_until(*engine, now) + this->prefill_time(*engine, ask) + this->transfer_time(*engine, ask) + engine->step_time + this->expected_lateness();
        best = best ? std::min(*best, first) : first;
    }
    return best;
}

std::optional<MonotonicTime> CellScheduler::best_decode_prefill(PlacementAsk const& ask, MonotonicTime now) const
{
    std::optional<MonotonicTime> best;
    for (auto const& [name, engine] : this->engines) {
        if (!this->is_eligible(engine, EngineRole::Decode, ask, now))
            continue;
        auto const first = this->busy_until(engine, now) + this->prefill_time(engine, ask);
        best = best ? std::min(*best, first) : first;
    }
    return best;
}

std::optional<MonotonicTime> CellScheduler::best_first_token(PlacementAsk const& ask, MonotonicTime now) const
{
    auto best = this->best_disaggregated(ask, now);
    auto const& mode = this->options.policy.decode_prefill;
    bool const is_decode_prefill_allowed = mode == SchedulerPolicy::DecodePrefill::Overflow || (mode == SchedulerPolicy::DecodePrefill::WithoutPrefillEngines && !best);
    if (is_decode_prefill_allowed && (!best || *best > ask.first_token_deadline)) {
        auto const first = this->best_decode_prefill(ask, now);
        if (first)
            best = best ? std::min(*best, *first) : *first;
    }
    auto const room = this->earliest_capacity(ask, now);
    if (best && room)
        best = std::max(*best, *room);
    return best;
}

// Earliest predicted time at which a decode engine has capacity for the request; empty if there is no prediction.
std::optional<MonotonicTime> CellScheduler::earliest_capacity(PlacementAsk const& ask, MonotonicTime now) const
{
    std::optional<MonotonicTime> earliest;
    for (auto const& [name, engine] : this->engines) {
        if (!this->is_eligible(engine, EngineRole::Decode, ask, now))
            continue;
        if (this->has_capacity(engine, ask, now, now))
            return now;
        if (engine.description.memory_tokens == 0)
            continue;
        auto const delay = this->forecast_of(engine, now).shortest_delay(this->forecast_of(ask), this->usable_memory(engine));
        earliest = earliest ? std::min(*earliest, now + delay) : now + delay;
    }
    return earliest;
}

// Whether the engine is eligible for a part of the request, regardless of its capacity and queue.
bool CellScheduler::is_eligible(Engine const& engine, EngineRole role, PlacementAsk const& ask, MonotonicTime now) const
{
    auto const& description = engine.description;
    bool const is_excluded = std::find(ask.excluded_engines.begin(), ask.excluded_engines.end(), description.name) != ask.excluded_engines.end();
    bool const is_elsewhere = std::find(ask.excluded_data_centres.begin(), ask.excluded_data_centres.end(), description.data_centre) != ask.excluded_data_centres.end();
    bool const is_other_version = !ask.software_version.empty() && description.software_version != ask.software_version;
    return description.role == role && description.model == ask.model && this->is_usable(engine, now) && !is_excluded && !is_elsewhere && !is_other_version;
}

double CellScheduler::usable_memory(Engine const& engine) const
{
    return static_cast<double>(engine.description.memory_tokens) * (1 - this->options.memory_headroom);
}

AnswerForecast CellScheduler::answer_forecast(PlacementAsk const& ask, double generated_tokens) const
{
    auto const estimate = this->output_estimates.find(ask.model);
    auto const estimated_tokens = estimate == this->output_estimates.end() ? INITIAL_OUTPUT_ESTIMATE_TOKENS : estimate->second.estimate();
    AnswerForecast answer;
    answer.prompt_tokens = static_cast<double>(ask.prompt_tokens + ask.relayed_tokens);
    answer.generated_tokens = generated_tokens;
    // The output that a moving request has produced takes memory at the target and counts towards its length.
    if (!ask.migrates_from.empty()) {
        answer.prompt_tokens = static_cast<double>(ask.prompt_tokens);
        answer.generated_tokens = std::max(generated_tokens, static_cast<double>(ask.relayed_tokens));
    }
    answer.expected_tokens = ask.expected_output_tokens > 0 ? static_cast<double>(ask.expected_output_tokens) : estimated_tokens;
    answer.maximum_tokens = ask.maximum_output_tokens > 0 ? static_cast<double>(ask.maximum_output_tokens) : 4 * estimated_tokens;
    return answer;
}

Duration CellScheduler::mean_step_time(std::string_view model) const
{
    Duration sum {};
    std::int64_t count = 0;
    for (auto const& [name, engine] : this->engines) {
        if (engine.description.model != model || engine.description.role != EngineRole::Decode)
            continue;
        sum += engine.step_time;
        ++count;
    }
    return count > 0 ? sum / count : this->options.initial_step_time;
}

// Computed once per request for an average engine, since every scheduling pass compares each waiting request with all
// engines.
MemoryForecast const& CellScheduler::forecast_of(PlacementAsk const& ask) const
{
    auto const found = this->ask_forecasts.find(ask.request);
    if (found != this->ask_forecasts.end())
        return found->second;
    MemoryForecast forecast(this->options.forecast);
    forecast.add(this->answer_forecast(ask, 0), this->mean_step_time(ask.model));
    return this->ask_forecasts.emplace(ask.request, forecast).first->second;
}

MemoryForecast const& CellScheduler::forecast_of(Engine const& engine, MonotonicTime now) const
{
    // The forecast is reused within a fraction of a step.
    constexpr Duration VALIDITY = MemoryForecast::STEP / 8;
    if (engine.forecast && now - engine.forecast_made < VALIDITY)
        return *engine.forecast;
    MemoryForecast forecast(this->options.forecast);
    for (auto const& request : engine.slots) {
        auto const found = this->granted.find(request);
        if (found == this->granted.end())
            continue;
        auto const& running = found->second;
        bool const is_decoding = running.phase == GrantProgress::Decoding;
        double const generated = is_decoding ? running.tokens_before + to_seconds(now - running.decode_from) / std::max(1e-6, to_seconds(engine.step_time)) : 0;
        auto answer = this->answer_forecast(running.ask, generated);
        // An answer that has exceeded its limit by this estimate is about to end.
        answer.generated_tokens = std::min(answer.generated_tokens, answer.maximum_tokens - 1);
        forecast.add(answer, engine.step_time);
    }
    engine.forecast = forecast;
    engine.forecast_made = now;
    return *engine.forecast;
}

std::int64_t CellScheduler::free_slots(Engine const& engine, MonotonicTime now, MonotonicTime when) const
{
    auto const free = this->usable_slots(engine) - static_cast<std::int64_t>(engine.slots.size());
    return free > 0 ? free : free + this->releases_before(engine, now, when);
}

bool CellScheduler::has_capacity(Engine const& engine, PlacementAsk const& ask, MonotonicTime now, MonotonicTime when) const
{
    if (this->free_slots(engine, now, when) <= 0)
        return false;
    if (engine.description.memory_tokens == 0)
        return true;
    return this->forecast_of(engine, now).has_capacity_for(this->forecast_of(ask), std::chrono::duration_cast<Duration>(when - now), this->usable_memory(engine));
}

std::optional<CellScheduler::Placement> CellScheduler::find_placement(PlacementAsk const& ask, MonotonicTime now)
{
    auto const candidates = this->prefill_candidates(ask, now);
    if (candidates.empty() && this->options.policy.decode_prefill != SchedulerPolicy::DecodePrefill::Off && this->paired_prefill_engines(ask, now).empty())
        return this->find_decode_prefill(ask, DecodePrefillCause::NoPrefillEngine, now);
    std::map<std::string_view, std::vector<PlacementCandidate>> by_version;
    for (auto const& candidate : candidates)
        by_version[this->engines.find(candidate.engine)->second.description.software_version].push_back(candidate);
    std::optional<Placement> best;
    for (auto const& [version, of_version] : by_version) {
        auto const& chosen = of_version[this->options.policy.choose_prefill(of_version)];
        Placement placement;
        placement.prefill = chosen.engine;
        placement.tokens = ask.prompt_tokens + ask.relayed_tokens;
        placement.prefill_end = chosen.ready;
        placement.candidates = candidates.size();
        best = this->better_of(std::move(best), this->find_decode(ask, std::move(placement), version, now), ask);
    }
    return best;
}

// Memory of decode engines is the scarcer resource, as long as the first token comes in time.
std::optional<CellScheduler::Placement> CellScheduler::better_of(std::optional<Placement> a, std::optional<Placement> b, PlacementAsk const& ask) const
{
    if (!a || !b)
        return a ? a : b;
    bool const is_a_on_time = this->is_on_time(*a, ask);
    if (is_a_on_time != this->is_on_time(*b, ask))
        return is_a_on_time ? a : b;
    if (a->outlook != b->outlook)
        return a->outlook > b->outlook ? a : b;
    if (is_a_on_time)
        return a->score >= b->score ? a : b;
    return a->first_token <= b->first_token ? a : b;
}

// Engines with known memory are ranked by free memory, with a preference for the data centre of the requesting VM.
std::int64_t CellScheduler::capacity_score(Engine const& engine, PlacementAsk const& ask, MonotonicTime now, MonotonicTime when) const
{
    auto const memory = static_cast<double>(engine.description.memory_tokens);
    if (memory == 0)
        return this->free_slots(engine, now, when);
    bool const is_local = !ask.data_centre.empty() && engine.description.data_centre == ask.data_centre;
    return static_cast<std::int64_t>(this->usable_memory(engine) - this->forecast_of(engine, now).peak() + (is_local ? this->options.local_memory_preference * memory : 0));
}

std::optional<CellScheduler::Placement> CellScheduler::find_decode(PlacementAsk const& ask, Placement placement, std::string_view software_version, MonotonicTime now) const
{
    std::vector<PlacementCandidate> candidates;
    for (auto const& [name, engine] : this->engines) {
        if (engine.description.software_version != software_version || !this->is_eligible(engine, EngineRole::Decode, ask, now))
            continue;
        auto const ready = placement.prefill_end + this->transfer_time(engine, ask);
        auto const promised = ready - this->options.safety_margin;
        auto const free = this->capacity_score(engine, ask, now, promised);
        if (this->has_capacity(engine, ask, now, promised) || this->options.policy.slot_promise == SchedulerPolicy::SlotPromise::Ignored)
            candidates.push_back({ name, free, ready });
    }
    if (candidates.empty())
        return {};
    placement.candidates += candidates.size();
    auto const [chosen, outlook] = this->choose_decode(std::move(candidates), ask);
    placement.outlook = outlook;
    placement.decode = chosen.engine;
    placement.score = chosen.free_slots;
    placement.first_token = chosen.ready + this->engines.find(chosen.engine)->second.step_time;
    return placement;
}

std::int64_t CellScheduler::releases_before(Engine const& engine, MonotonicTime now, MonotonicTime when) const
{
    std::int64_t count = 0;
    for (auto const& request : engine.slots) {
        auto const found = this->granted.find(request);
        if (found == this->granted.end() || found->second.phase != GrantProgress::Decoding)
            continue;
        // The end of a request that exceeded its predicted length cannot be predicted.
        auto const release = this->predicted_release(found->second);
        if (release > now && release <= when)
            ++count;
    }
    return count;
}

MonotonicTime CellScheduler::predicted_release(Granted const& granted) const
{
    auto const estimate = this->output_estimates.find(granted.ask.model);
    double tokens = estimate == this->output_estimates.end() ? INITIAL_OUTPUT_ESTIMATE_TOKENS : estimate->second.estimate();
    if (granted.ask.expected_output_tokens > 0)
        tokens = static_cast<double>(granted.ask.expected_output_tokens);
    if (granted.ask.maximum_output_tokens > 0)
        tokens = std::min(tokens, static_cast<double>(granted.ask.maximum_output_tokens));
    tokens = std::max(0.0, tokens - granted.tokens_before);
    auto const engine = this->engines.find(granted.decode_engine);
    auto const step = engine == this->engines.end() ? milliseconds(25) : engine->second.step_time;
    return granted.decode_from + from_seconds(tokens * to_seconds(step));
}

void CellScheduler::grant(PlacementAsk ask, Placement const& placement, MonotonicTime now)
{
    auto const prefill = this->engines.find(placement.prefill);
    Granted granted;
    granted.prefill_engine = placement.prefill;
    granted.decode_engine = placement.decode;
    granted.granted_at = now;
    granted.last_seen = now;
    granted.predicted_first_token = placement.first_token;
    auto& decode = this->engines.find(placement.decode)->second;
    auto& prefilling_engine = prefill != this->engines.end() ? prefill->second : decode;
    // The prefill of a cached prompt is no measure of the prefill rate.
    bool const is_cached = placement.tokens < ask.prompt_tokens + ask.relayed_tokens;
    prefilling_engine.prefills.push_back({ ask.request, placement.tokens, now, is_cached || !prefilling_engine.prefills.empty() });
    this->hold_slot(decode, ask.request);
    for (auto* engine : { prefill != this->engines.end() ? &prefill->second : nullptr, &decode }) {
        if (engine)
            take_cold_start_token(*engine, now);
        if (engine && engine->consecutive_failures > 0)
            engine->probe_request = ask.request;
    }
    auto const usage = this->usage_of(ask, now);
    this->decisions.emplace_back(PlacementGrant { ask.request, placement.prefill, placement.decode, placement.first_token, placement.candidates, ask.caller_attempt, usage });
    auto const request = ask.request;
    granted.ask = std::move(ask);
    this->hold_memory(granted, now);
    this->free_decode_memory.erase(granted.ask.model);
    this->granted.emplace(request, std::move(granted));
}

// Estimated time until the backlog of the model's prefill engines is processed.
Duration CellScheduler::expected_wait(std::string const& model, MonotonicTime now) const
{
    double rate = 0;
    double backlog_seconds = 0;
    for (auto const& [name, engine] : this->engines) {
        if (engine.description.role != EngineRole::Prefill || engine.description.model != model || !this->is_usable(engine, now))
            continue;
        rate += this->prefill_rate_of(engine).rate() / engine.slowness;
        backlog_seconds = std::max(backlog_seconds, to_seconds(this->busy_until(engine, now) - now));
    }
    if (rate <= 0)
        return seconds(2);
    double tokens = 0;
    for (auto const& ask : this->waiting) {
        if (ask.model == model)
            tokens += static_cast<double>(ask.prompt_tokens);
    }
    return from_seconds(backlog_seconds + tokens / rate);
}

QuantileEstimator& CellScheduler::output_estimate(std::string const& model)
{
    return this->output_estimates.try_emplace(model, OUTPUT_QUANTILE, INITIAL_OUTPUT_ESTIMATE_TOKENS).first->second;
}

}
