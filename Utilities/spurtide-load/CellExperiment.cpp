// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <Utilities/spurtide-load/CellExperiment.h>
#include <Utilities/spurtide-load/LoadReport.h>
#include <algorithm>
#include <cmath>

namespace Spurtide {

namespace {

constexpr MonotonicTime START = MonotonicTime(seconds(1000));
constexpr Duration TICK = milliseconds(20);
constexpr Duration DRAIN = seconds(15);
constexpr Duration FIRST_TOKEN_TARGET = milliseconds(950);
constexpr double TOKEN_TARGET_SECONDS = 0.037;
constexpr double GAP_SHARE = 0.95;
constexpr double LONGEST_OUTPUT_FACTOR = 4;
constexpr double SHORTEST_OUTPUT = 8;
constexpr int MOST_ATTEMPTS = 3;
constexpr std::uint64_t SAMPLE_SEED = 4711;
constexpr int SAMPLES = 20'000;
constexpr double SHARED_PART = 0.5;

std::int64_t draw_prompt(CellWorkload const& workload, std::mt19937_64& random)
{
    std::lognormal_distribution<double> length(std::log(workload.median_prompt_tokens), workload.prompt_sigma);
    return static_cast<std::int64_t>(std::clamp(length(random), 30.0, workload.maximum_prompt_tokens));
}

std::int64_t draw_output(CellWorkload const& workload, std::mt19937_64& random)
{
    std::exponential_distribution<double> length(1 / (workload.mean_output_tokens - SHORTEST_OUTPUT));
    return static_cast<std::int64_t>(std::min(SHORTEST_OUTPUT + length(random), LONGEST_OUTPUT_FACTOR * workload.mean_output_tokens));
}

}

double cell_capacity(CellWorkload const& workload, CellHardware const& hardware)
{
    std::mt19937_64 random(SAMPLE_SEED);
    double prompt = 0;
    double output = 0;
    for (int i = 0; i < SAMPLES; ++i) {
        prompt += static_cast<double>(draw_prompt(workload, random)) / SAMPLES;
        output += static_cast<double>(draw_output(workload, random)) / SAMPLES;
    }
    auto const& engine = hardware.engine;
    double const computed = prompt * (1 - workload.shared_prefix_share * SHARED_PART);
    double const prefill_seconds = to_seconds(engine.prefill_base) + computed / engine.prefill_tokens_per_second;
    double const step = to_seconds(engine.step_base) + to_seconds(engine.step_per_sequence) * static_cast<double>(engine.decode_slots);
    double const transfer = prompt * engine.cache_bytes_per_token / engine.link_bytes_per_second;
    double const slot_seconds = transfer + output * std::min(step, TOKEN_TARGET_SECONDS);
    return std::min(hardware.prefill_engines / prefill_seconds, static_cast<double>(hardware.decode_engines * engine.decode_slots) / slot_seconds);
}

CellExperiment::CellExperiment(CellWorkload workload, CellHardware hardware, CellPolicy policy, std::uint64_t seed)
    : workload(workload)
    , hardware(hardware)
    , policy(std::move(policy))
    , random(seed)
    , choice_random(seed + 1)
{
    std::vector<EngineDescription> descriptions;
    auto const add = [&](std::string const& name, EngineRole role) {
        EngineDescription description { name, "llm", role, this->hardware.engine.decode_slots, this->hardware.engine.prefill_tokens_per_second, this->hardware.engine.cache_bytes_per_token, this->hardware.engine.link_bytes_per_second };
        descriptions.push_back(description);
        auto options = this->hardware.engine;
        options.seed = seed + descriptions.size();
        this->engines.emplace(name, Engine { EngineModel(options), description });
    };
    for (int i = 0; i < this->hardware.prefill_engines; ++i)
        add("prefill-" + std::to_string(i), EngineRole::Prefill);
    for (int i = 0; i < this->hardware.decode_engines; ++i)
        add("decode-" + std::to_string(i), EngineRole::Decode);
    this->make_hooks();
    this->scheduler = std::make_unique<CellScheduler>(this->policy.scheduler);
    this->scheduler->set_engines(descriptions);
    std::vector<AccountDescription> accounts;
    accounts.reserve(static_cast<std::size_t>(this->workload.accounts));
    for (int i = 0; i < this->workload.accounts; ++i)
        accounts.push_back({ "account-" + std::to_string(i), 1, 1e6, 1e6 });
    this->scheduler->set_accounts(accounts, START);
    this->result.bound = cell_capacity(this->workload, this->hardware);
    this->rate = this->workload.load * this->result.bound;
}

void CellExperiment::make_hooks()
{
    using Choice = CellPolicy::Choice;
    std::function<std::size_t(std::span<PlacementCandidate const>)> choose;
    if (this->policy.choice == Choice::Random)
        choose = [this](auto candidates) { return this->choice_random() % candidates.size(); };
    if (this->policy.choice == Choice::RoundRobin)
        choose = [this](auto candidates) { return this->round_robin++ % candidates.size(); };
    if (this->policy.choice == Choice::LeastLoadedFromReports) {
        choose = [this](auto candidates) {
            std::size_t best = 0;
            for (std::size_t i = 1; i < candidates.size(); ++i) {
                if (this->engines.find(candidates[i].engine)->second.reported_load < this->engines.find(candidates[best].engine)->second.reported_load)
                    best = i;
            }
            return best;
        };
    }
    this->policy.scheduler.policy.choose_prefill = choose;
    this->policy.scheduler.policy.choose_decode = choose;
}

Duration CellExperiment::next_gap()
{
    return from_seconds(std::exponential_distribution<double>(this->rate)(this->random)) + Duration(1);
}

CellResult CellExperiment::run()
{
    auto now = START;
    auto const end = START + this->workload.warm_up + this->workload.length;
    this->next_arrival = now + this->next_gap();
    this->next_report = now;
    this->next_tick = now;
    while (now < end + DRAIN && (now < end || !this->open.empty())) {
        now = this->next_time(now);
        for (auto& [name, engine] : this->engines) {
            if (!engine.has_failed)
                engine.model.advance(now);
        }
        this->fail_engines(now);
        if (now >= this->next_report)
            this->report(now);
        while (this->next_arrival <= now) {
            if (now < end)
                this->arrive(now);
            this->next_arrival += this->next_gap();
        }
        // Those that wait change by decisions alone, but for callers that go away.
        bool const is_tick = now >= this->next_tick;
        auto const followed = is_tick ? this->open : this->placed;
        for (auto const& name : followed)
            this->follow(this->requests.at(name), now);
        if (is_tick) {
            this->scheduler->advance(now);
            this->next_tick = now + TICK;
        }
        this->take_decisions(now);
    }
    return this->conclude();
}

MonotonicTime CellExperiment::next_time(MonotonicTime now) const
{
    auto next = std::min({ this->next_arrival, this->next_report, this->next_tick });
    for (auto const& [name, engine] : this->engines) {
        if (engine.has_failed)
            continue;
        if (auto const event = engine.model.next_event())
            next = std::min(next, *event);
    }
    return std::max(next, now + Duration(1));
}

void CellExperiment::arrive(MonotonicTime now)
{
    std::uniform_real_distribution<double> share(0, 1);
    Request request;
    request.name = "r" + std::to_string(this->arrived++);
    request.arrived = now;
    request.prompt_tokens = draw_prompt(this->workload, this->random);
    request.output_tokens = draw_output(this->workload, this->random);
    bool const is_flood = share(this->random) < this->workload.flood_share;
    auto const account = is_flood ? 0 : this->random() % static_cast<std::uint64_t>(this->workload.accounts);
    request.account = "account-" + std::to_string(account);
    if (share(this->random) < this->workload.shared_prefix_share) {
        auto const family = 1 + this->random() % static_cast<std::uint64_t>(this->workload.prompt_families);
        request.prefixes.push_back({ family, static_cast<std::int64_t>(SHARED_PART * static_cast<double>(request.prompt_tokens)) });
    }
    bool const leaves_early = share(this->random) < this->workload.cancel_share;
    request.leaves = leaves_early ? now + from_seconds(share(this->random) * 2) : MonotonicTime::max();
    request.is_counted = now >= START + this->workload.warm_up;
    if (request.is_counted)
        ++this->result.offered;
    auto& kept = this->requests.emplace(request.name, std::move(request)).first->second;
    this->open.insert(kept.name);
    this->ask(kept, now);
}

void CellExperiment::ask(Request& request, MonotonicTime now)
{
    ++request.attempt;
    request.phase = Phase::Waiting;
    this->placed.erase(request.name);
    request.work = request.name + "." + std::to_string(request.attempt);
    this->request_of_work[request.work] = request.name;
    PlacementAsk ask;
    ask.request = request.work;
    ask.account = request.account;
    ask.model = "llm";
    ask.origin = "entry";
    ask.prompt_tokens = request.prompt_tokens;
    ask.relayed_tokens = request.seen_tokens;
    ask.maximum_output_tokens = static_cast<std::int64_t>(LONGEST_OUTPUT_FACTOR * this->workload.mean_output_tokens);
    // A stream that is placed again goes on at its offset; its caller waits for the next token.
    ask.first_token_deadline = (request.seen_tokens > 0 ? now : request.arrived) + FIRST_TOKEN_TARGET;
    if (this->policy.order == CellPolicy::Order::Arrival) {
        // One account and the order of arrival as the deadline stand for a plain queue.
        ask.account = "account-0";
    }
    this->scheduler->ask(std::move(ask), now);
    this->take_decisions(now);
}

void CellExperiment::take_decisions(MonotonicTime now)
{
    for (auto const& decision : this->scheduler->take_decisions()) {
        if (auto const* grant = std::get_if<PlacementGrant>(&decision)) {
            this->start_prefill(this->requests.at(this->request_of_work.at(grant->request)), *grant, now);
            continue;
        }
        auto const& refusal = std::get<PlacementRefusal>(decision);
        auto& request = this->requests.at(this->request_of_work.at(refusal.request));
        if (request.phase == Phase::Over)
            continue;
        this->close(request);
        if (request.is_counted) {
            ++(request.attempt > 1 ? this->result.failed : this->result.refused);
            ++this->result.refusals[std::string(to_string(refusal.reason))];
        }
    }
}

void CellExperiment::start_prefill(Request& request, PlacementGrant const& grant, MonotonicTime now)
{
    if (request.phase != Phase::Waiting) {
        this->scheduler->release(grant.request, 0, now);
        return;
    }
    request.prefill = grant.prefill_engine;
    request.decode = grant.decode_engine;
    request.phase = Phase::Prefilling;
    this->placed.insert(request.name);
    this->scheduler->progress(request.work, GrantProgress::Prefilling, now);
    auto& engine = this->engines.find(request.prefill)->second;
    EngineModel::Prefill prefill { { request.work, "entry", request.account }, request.prompt_tokens + request.seen_tokens, request.prefixes, 1, request.seen_tokens };
    // An order to an engine that does not answer is only noticed by its silence.
    if (!engine.has_failed)
        static_cast<void>(engine.model.start_prefill(std::move(prefill), now));
}

void CellExperiment::follow(Request& request, MonotonicTime now)
{
    if (now >= request.leaves && request.phase != Phase::Over) {
        this->drop_work(request, now);
        this->close(request);
        this->result.cancelled += request.is_counted ? 1 : 0;
        return;
    }
    switch (request.phase) {
    case Phase::Prefilling:
        return this->follow_prefill(request, now);
    case Phase::Transferring:
        return this->follow_transfer(request, now);
    case Phase::Decoding:
        return this->follow_decode(request, now);
    default:
        return;
    }
}

void CellExperiment::follow_prefill(Request& request, MonotonicTime now)
{
    auto& engine = this->engines.find(request.prefill)->second;
    if (engine.has_failed)
        return this->place_again(request, now);
    auto const phase = engine.model.prefill_phase(request.work);
    if (phase == EngineModel::PrefillPhase::Queued)
        return;
    if (phase != EngineModel::PrefillPhase::Held)
        return this->place_again(request, now);
    auto const exported = engine.model.find_export(request.work);
    request.prefilled_here = exported->tokens - exported->cached_tokens;
    this->scheduler->progress(request.work, GrantProgress::CacheHeld, now);
    auto& decode = this->engines.find(request.decode)->second;
    if (decode.has_failed)
        return this->place_again(request, now);
    EngineModel::Decode order { { request.work, "entry", request.account }, exported->bytes, 1, request.seen_tokens, request.output_tokens };
    static_cast<void>(decode.model.start_decode(std::move(order), now));
    request.phase = Phase::Transferring;
}

void CellExperiment::follow_transfer(Request& request, MonotonicTime now)
{
    auto& decode = this->engines.find(request.decode)->second;
    auto& prefill = this->engines.find(request.prefill)->second;
    if (decode.has_failed)
        return this->place_again(request, now);
    bool const is_held = !prefill.has_failed && prefill.model.find_export(request.work).has_value();
    if (!is_held)
        return this->place_again(request, now);
    auto const stream = decode.model.find_stream(request.work);
    if (!stream || stream->phase == EngineModel::DecodePhase::WaitingForSlot || stream->phase == EngineModel::DecodePhase::Importing)
        return;
    prefill.model.drop_export(request.work);
    request.phase = Phase::Decoding;
    this->scheduler->progress(request.work, GrantProgress::Decoding, now);
    this->follow_decode(request, now);
}

void CellExperiment::follow_decode(Request& request, MonotonicTime now)
{
    auto& decode = this->engines.find(request.decode)->second;
    if (decode.has_failed) {
        // A prefill that gave tokens which the caller has was used.
        if (request.seen_tokens == 0)
            this->wasted_by_failure += static_cast<double>(request.prefilled_here);
        return this->place_again(request, now);
    }
    auto const stream = decode.model.find_stream(request.work);
    if (!stream)
        return;
    if (stream->tokens_ready > request.seen_tokens) {
        if (request.seen_tokens == 0)
            request.first_token = now;
        else
            request.gaps.push_back(to_seconds(now - request.last_token));
        request.last_token = now;
        request.seen_tokens = stream->tokens_ready;
    }
    if (stream->phase == EngineModel::DecodePhase::Finished)
        this->finish(request, now);
}

void CellExperiment::drop_work(Request& request, MonotonicTime now)
{
    for (auto const& name : { request.prefill, request.decode }) {
        auto const engine = this->engines.find(name);
        if (engine != this->engines.end() && !engine->second.has_failed)
            engine->second.model.cancel(request.work, now);
    }
    this->scheduler->release(request.work, 0, now);
}

void CellExperiment::close(Request& request)
{
    request.phase = Phase::Over;
    this->open.erase(request.name);
    this->placed.erase(request.name);
}

void CellExperiment::place_again(Request& request, MonotonicTime now)
{
    // The entry tells the keeper which engine did not answer; the baselines know reports alone.
    for (auto const& name : { request.prefill, request.decode }) {
        if (this->engines.find(name)->second.has_failed && this->policy.hears_failures == CellPolicy::HearsFailures::Yes)
            this->scheduler->note_failure(name, now);
    }
    this->drop_work(request, now);
    if (request.attempt < MOST_ATTEMPTS)
        return this->ask(request, now);
    this->close(request);
    this->result.failed += request.is_counted ? 1 : 0;
}

void CellExperiment::finish(Request& request, MonotonicTime now)
{
    this->scheduler->release(request.work, request.output_tokens, now);
    this->close(request);
    if (!request.is_counted)
        return;
    ++this->result.finished;
    double const first = to_seconds(request.first_token - request.arrived);
    double const gap = quantile_of(request.gaps, GAP_SHARE);
    this->result.first_token_seconds.push_back(first);
    this->result.token_gap_seconds.push_back(gap);
    if (request.account != "account-0")
        this->result.others_first_token_seconds.push_back(first);
    if (first <= to_seconds(FIRST_TOKEN_TARGET) && gap <= TOKEN_TARGET_SECONDS)
        ++this->result.good;
}

// Reports are told as old as the lag.
void CellExperiment::report(MonotonicTime now)
{
    this->next_report = now + this->hardware.report_interval;
    for (auto& [name, engine] : this->engines) {
        if (engine.has_failed)
            continue;
        EngineReport report;
        report.step_time = engine.model.step_time();
        for (auto const& held : engine.model.held())
            report.held.push_back({ held.owner.request, held.owner.origin, held.owner.account, HeldWork::Reader::Attached });
        engine.reports.emplace_back(now, std::move(report));
        while (engine.reports.size() > 1 && now - engine.reports[1].first >= this->hardware.report_lag)
            engine.reports.pop_front();
        engine.reported_load = static_cast<std::int64_t>(engine.reports.front().second.held.size());
        this->scheduler->report(name, engine.reports.front().second, now);
    }
}

void CellExperiment::fail_engines(MonotonicTime now)
{
    if (this->hardware.failing_engines == 0 || now < START + this->workload.warm_up + this->workload.length / 2)
        return;
    // The first to fail is a decode engine, then engines of both roles in turn.
    for (int i = 0; i < this->hardware.failing_engines; ++i) {
        auto const name = (i % 2 == 0 ? "decode-" : "prefill-") + std::to_string(i / 2);
        this->engines.find(name)->second.has_failed = true;
    }
    this->hardware.failing_engines = 0;
}

CellResult CellExperiment::conclude() const
{
    auto conclusion = this->result;
    conclusion.seconds = to_seconds(this->workload.length);
    for (auto const& [name, engine] : this->engines) {
        // What a failed engine held went with it.
        if (engine.has_failed) {
            for (auto const& held : engine.model.held()) {
                if (auto const exported = engine.model.find_export(held.owner.request))
                    conclusion.wasted_tokens += static_cast<double>(exported->tokens - exported->cached_tokens);
            }
        }
        conclusion.prefilled_tokens += static_cast<double>(engine.model.totals().prefilled_tokens);
        conclusion.wasted_tokens += static_cast<double>(engine.model.totals().wasted_tokens);
    }
    conclusion.wasted_tokens += this->wasted_by_failure;
    return conclusion;
}

}
