// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

// Moves of running requests between decode engines: the choice of the target, and the slot and memory that a moving
// request holds at both engines.

#include <LibDecision/CellScheduler.h>
#include <algorithm>
#include <utility>

namespace Spurtide {

void CellScheduler::ask_for_move(PlacementAsk ask, MonotonicTime now)
{
    // A keeper that is new, or that was asked because the first did not reply, may not know the grant yet.
    auto const known = this->granted.find(ask.request);
    bool const is_known = known != this->granted.end() && known->second.ask.identity().matches(ask.identity());
    if (!is_known && !this->released.contains(ask.request)) {
        auto running_ask = ask;
        running_ask.migrates_from.clear();
        this->restore(std::move(running_ask), {}, ask.migrates_from, GrantProgress::Decoding, Duration::zero(), now);
    }
    auto const running = this->granted.find(ask.request);
    if (running == this->granted.end()) {
        this->refuse(ask, RefusalReason::NoUpstream, MINIMUM_RETRY_AFTER, now);
        return;
    }
    auto& granted = running->second;
    granted.last_seen = now;
    this->free_slot(std::exchange(granted.moves_to, {}), ask.request);
    this->ask_forecasts.erase(ask.request);
    auto const target = this->find_move_target(ask, now);
    this->ask_forecasts.erase(ask.request);
    if (!target) {
        bool const has_room = this->earliest_capacity(ask, now) == now;
        this->refuse(ask, has_room ? RefusalReason::CannotFinishInTime : RefusalReason::NoUpstream, MINIMUM_RETRY_AFTER, now);
        this->ask_forecasts.erase(ask.request);
        return;
    }
    // The number of relayed tokens is exact, whereas the pace of an engine says nothing about one that has stopped sending.
    granted.tokens_before = static_cast<double>(std::max<std::int64_t>(0, ask.relayed_tokens - granted.ask.relayed_tokens));
    granted.decode_from = now;
    this->start_move(granted, target->engine, now);
    this->decisions.emplace_back(PlacementGrant { ask.request, {}, std::string(target->engine), target->ready, 1, CallerAttempt::First, this->usage_of(ask, now) });
}

// The engine with the most capacity of those that complete the answer in time. If the answer does not end at its present
// engine, otherwise the one that completes it earliest.
std::optional<PlacementCandidate> CellScheduler::find_move_target(PlacementAsk const& ask, MonotonicTime now) const
{
    bool const ends_at_source = std::find(ask.excluded_engines.begin(), ask.excluded_engines.end(), ask.migrates_from) == ask.excluded_engines.end();
    auto const source = this->engines.find(ask.migrates_from);
    std::optional<MonotonicTime> limit;
    if (ends_at_source && source != this->engines.end() && source->second.reported_life == EngineReport::Life::Serving && source->second.hinted_life == EngineReport::Life::Serving)
        limit = now + this->remaining_time(source->second, ask);
    std::optional<PlacementCandidate> best;
    std::optional<MonotonicTime> best_end;
    for (auto const& [name, engine] : this->engines) {
        if (name == ask.migrates_from || !this->is_eligible(engine, EngineRole::Decode, ask, now) || !this->has_capacity(engine, ask, now, now))
            continue;
        auto const ready = now + this->transfer_time(engine, ask);
        auto const end = ready + this->remaining_time(engine, ask);
        bool const is_in_time = !ask.finish_by || end <= *ask.finish_by;
        // A move to an engine that ends late as well costs a copy and a repeated send, and brings nothing.
        if (limit && (end >= *limit || !is_in_time))
            continue;
        PlacementCandidate const candidate { name, this->capacity_score(engine, ask, now, now), ready };
        bool const is_best_in_time = best && (!ask.finish_by || *best_end <= *ask.finish_by);
        bool const is_better = !best || (is_in_time != is_best_in_time ? is_in_time : is_in_time ? candidate.free_slots > best->free_slots
                                                                                                 : end < *best_end);
        if (is_better) {
            best = candidate;
            best_end = end;
        }
    }
    return best;
}

Duration CellScheduler::remaining_time(Engine const& engine, PlacementAsk const& ask) const
{
    auto const answer = this->answer_forecast(ask, static_cast<double>(ask.relayed_tokens));
    auto const length = std::min(answer.expected_tokens, answer.maximum_tokens);
    // An answer that exceeded its expected length is taken to last a little longer, since its end is not known.
    constexpr double MINIMUM_REST = 0.2;
    auto const rest = std::max(length - answer.generated_tokens, MINIMUM_REST * length);
    return from_seconds(rest * to_seconds(engine.step_time));
}

void CellScheduler::start_move(Granted& granted, std::string_view target, MonotonicTime now)
{
    auto const engine = this->engines.find(target);
    if (engine == this->engines.end() || target == granted.decode_engine)
        return;
    granted.moves_to = target;
    granted.move_granted_at = now;
    this->hold_slot(engine->second, granted.ask.request);
}

void CellScheduler::end_move(std::string_view request, MoveEnd end, std::string_view target, MonotonicTime now, AskIdentity const& identity)
{
    auto const found = this->granted.find(request);
    if (found == this->granted.end() || !found->second.ask.identity().matches(identity))
        return;
    auto& granted = found->second;
    granted.last_seen = now;
    auto const held = std::exchange(granted.moves_to, {});
    if (end == MoveEnd::Abandoned) {
        this->free_slot(held, request);
        this->schedule(now);
        return;
    }
    auto const& destination = target.empty() ? std::string_view(held) : target;
    if (held != destination)
        this->free_slot(held, request);
    auto const engine = this->engines.find(destination);
    if (destination == granted.decode_engine)
        return;
    auto const source = this->engines.find(granted.decode_engine);
    auto const step = source == this->engines.end() ? this->options.initial_step_time : source->second.step_time;
    granted.tokens_before += to_seconds(now - granted.decode_from) / std::max(1e-6, to_seconds(step));
    granted.decode_from = now;
    this->free_slot(granted.decode_engine, request);
    granted.prefill_engine.clear();
    granted.decode_engine = destination;
    if (engine != this->engines.end())
        this->hold_slot(engine->second, granted.ask.request);
    this->schedule(now);
}

// A renewed grant says where the request is, in case the report of the end of its move was lost. A move that was granted
// only just now may not have reached the origin when it renewed its grants.
void CellScheduler::reconcile_move(Granted& granted, std::string_view decode_engine, std::string_view moves_to, MonotonicTime now)
{
    // NOTE: The name is copied, since ending the move schedules other requests.
    auto const request = granted.ask.request;
    if (granted.decode_engine != decode_engine && granted.phase == GrantProgress::Decoding) {
        this->end_move(request, MoveEnd::Moved, decode_engine, now);
        return;
    }
    bool const is_outdated = granted.moves_to.empty() || now - granted.move_granted_at > this->options.grant_lease;
    if (granted.moves_to == moves_to || !is_outdated)
        return;
    this->free_slot(std::exchange(granted.moves_to, {}), request);
    this->start_move(granted, moves_to, now);
    this->schedule(now);
}

}
