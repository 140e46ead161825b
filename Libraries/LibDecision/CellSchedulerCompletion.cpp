// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

// Placement by expected completion: which engines complete an answer by the time it has to be complete.

#include <LibDecision/CellScheduler.h>
#include <algorithm>
#include <cmath>

namespace Spurtide {

// The paces of engines that have not been measured are assumed to be typical of their model.
std::optional<Duration> CellScheduler::pace_of(Engine const& engine) const
{
    auto const measured = this->paces.of_engine(engine.description.name);
    return measured ? measured : this->paces.of_model(engine.description.model);
}

// The pace of decoding is the better measure, as one answer takes much longer than a prefill. An engine that has only run
// prefills is compared with other prefill engines.
std::optional<double> CellScheduler::relative_time_of(Engine const& engine) const
{
    constexpr int MINIMUM_PREFILLS = 10;
    auto const pace = this->paces.of_engine(engine.description.name);
    auto const typical = this->paces.of_model(engine.description.model);
    if (pace && typical)
        return to_seconds(*pace) / to_seconds(*typical);
    if (engine.description.role == EngineRole::Prefill && engine.slowness_samples >= MINIMUM_PREFILLS)
        return engine.slowness;
    return {};
}

void CellScheduler::forget_missing_paces(MonotonicTime now)
{
    constexpr Duration INTERVAL = seconds(30);
    if (now - this->paces_checked < INTERVAL)
        return;
    this->paces_checked = now;
    std::set<std::string_view> listed;
    for (auto const& [name, engine] : this->engines)
        listed.insert(name);
    this->paces.forget_missing(listed, now);
}

RemainingLength CellScheduler::remaining_length_of(PlacementAsk const& ask) const
{
    auto answer = this->answer_forecast(ask, static_cast<double>(ask.relayed_tokens));
    auto const spread = this->options.forecast.spread;
    // The estimate learned for the model is a high quantile of the lengths rather than their median.
    if (ask.expected_output_tokens == 0)
        answer.expected_tokens *= std::exp(-DEVIATIONS_OF_OUTPUT_QUANTILE * spread);
    return remaining_length(answer, spread);
}

// Refusing a request that has begun or was refused before would fail it, so a late answer is preferable.
bool CellScheduler::may_wait_for_completion(PlacementAsk const& ask)
{
    return ask.relayed_tokens == 0 && ask.software_version.empty() && ask.caller_attempt == CallerAttempt::First;
}

// Keeps the candidates with the best outlook, and weighs their capacity against their pace.
CellScheduler::DecodeChoice CellScheduler::choose_decode(std::vector<PlacementCandidate> candidates, PlacementAsk const& ask) const
{
    auto const typical = this->paces.of_model(ask.model);
    if (!ask.finish_by || !typical || this->options.policy.completion == SchedulerPolicy::Completion::Ignored)
        return { candidates[this->options.policy.choose_decode(candidates)], CompletionOutlook::Likely };
    auto const length = this->remaining_length_of(ask);
    auto best = CompletionOutlook::Missed;
    std::vector<CompletionOutlook> outlooks;
    std::size_t earliest = 0;
    std::optional<MonotonicTime> earliest_end;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        auto& candidate = candidates[i];
        auto const& engine = this->engines.find(candidate.engine)->second;
        auto const pace = this->pace_of(engine).value_or(*typical);
        outlooks.push_back(completion_outlook(length, pace, candidate.ready, ask.finish_by));
        best = std::max(best, outlooks.back());
        auto const end = candidate.ready + from_seconds(length.expected_tokens * to_seconds(pace));
        if (!earliest_end || end < *earliest_end) {
            earliest_end = end;
            earliest = i;
        }
        auto const left = std::max(1e-3, to_seconds(*ask.finish_by - candidate.ready));
        auto const urgency = length.likely_greatest_tokens * to_seconds(*typical) / left;
        auto const capacity = engine.description.memory_tokens > 0 ? engine.description.memory_tokens : engine.description.decode_slots;
        candidate.free_slots += static_cast<std::int64_t>(this->options.pace_weight * pace_preference(to_seconds(pace) / to_seconds(*typical), urgency) * static_cast<double>(capacity));
    }
    if (best == CompletionOutlook::Missed)
        return { candidates[earliest], best };
    std::vector<PlacementCandidate> kept;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (outlooks[i] == best)
            kept.push_back(candidates[i]);
    }
    return { kept[this->options.policy.choose_decode(kept)], best };
}

// Whether no engine that is listed, busy or not, would complete the answer at its expected length in time.
bool CellScheduler::is_too_long(PlacementAsk const& ask, MonotonicTime first_token) const
{
    if (!ask.finish_by || !may_wait_for_completion(ask) || this->options.policy.completion == SchedulerPolicy::Completion::Ignored)
        return false;
    auto const length = this->remaining_length_of(ask);
    bool has_engines = false;
    for (auto const& [name, engine] : this->engines) {
        auto const& description = engine.description;
        auto const pace = this->pace_of(engine);
        bool const may_serve = description.model == ask.model && description.role == EngineRole::Decode && std::find(ask.excluded_engines.begin(), ask.excluded_engines.end(), name) == ask.excluded_engines.end();
        if (!may_serve)
            continue;
        if (!pace || completion_outlook(length, *pace, first_token, ask.finish_by) != CompletionOutlook::Missed)
            return false;
        has_engines = true;
    }
    return has_engines;
}

}
