// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/CellMap.h>
#include <LibDecision/CellScheduler.h>
#include <algorithm>
#include <benchmark/benchmark.h>
#include <chrono>
#include <deque>
#include <vector>

using namespace Spurtide;

namespace {

/// A cell of one model in which two thirds of the engines decode, kept at a steady load.
class SteadyCell {
public:
    SteadyCell(int engines, int accounts)
        : scheduler({})
    {
        std::vector<EngineDescription> descriptions;
        descriptions.reserve(static_cast<std::size_t>(engines));
        for (int i = 0; i < engines; ++i) {
            auto const role = i % 3 == 0 ? EngineRole::Prefill : EngineRole::Decode;
            descriptions.push_back({ "engine-" + std::to_string(i), "llm", role, 20, 1e6, 1000, 1e10 });
        }
        this->scheduler.set_engines(descriptions);
        std::vector<AccountDescription> all;
        all.reserve(static_cast<std::size_t>(accounts));
        for (int i = 0; i < accounts; ++i)
            all.push_back({ "account-" + std::to_string(i), 1, 1e6, 1e6 });
        this->scheduler.set_accounts(all, this->now);
        this->accounts = accounts;
        this->descriptions = descriptions;
        this->report();
        for (int i = 0; i < engines * 8; ++i)
            this->start_one();
    }

    void report()
    {
        for (auto const& engine : this->descriptions)
            this->scheduler.report(engine.name, {}, this->now);
    }

    /// One request in, its progress, and the oldest one out.
    void turn()
    {
        this->start_one();
        this->scheduler.release("r" + std::to_string(this->oldest++), 40, this->now);
        if (this->next % 256 == 0)
            this->report();
    }

private:
    void start_one()
    {
        this->now += Duration(500);
        PlacementAsk ask;
        ask.request = "r" + std::to_string(this->next);
        ask.account = "account-" + std::to_string(this->next % static_cast<std::uint64_t>(this->accounts));
        ask.model = "llm";
        ask.origin = "entry";
        ask.prompt_tokens = 500;
        ask.first_token_deadline = this->now + milliseconds(950);
        ++this->next;
        auto const request = ask.request;
        this->scheduler.ask(std::move(ask), this->now);
        auto const decisions = this->scheduler.take_decisions();
        benchmark::DoNotOptimize(decisions.data());
        this->scheduler.progress(request, GrantProgress::Prefilling, this->now);
        this->scheduler.progress(request, GrantProgress::CacheHeld, this->now);
        this->scheduler.progress(request, GrantProgress::Decoding, this->now);
    }

    CellScheduler scheduler;
    std::vector<EngineDescription> descriptions;
    MonotonicTime now = MonotonicTime(seconds(1));
    int accounts = 0;
    std::uint64_t next = 0;
    std::uint64_t oldest = 0;
};

/// A whole turn of one request: ask, grant, three words of progress and a release. Gives the time of
/// a turn at the 99th percentile beside the mean.
void turn_of_a_request(benchmark::State& state)
{
    SteadyCell cell(static_cast<int>(state.range(0)), static_cast<int>(state.range(1)));
    std::vector<double> times;
    times.reserve(1 << 20);
    for (auto _ : state) {
        auto const start = std::chrono::steady_clock::now();
        cell.turn();
        if (times.size() < times.capacity())
            times.push_back(std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start).count());
    }
    std::sort(times.begin(), times.end());
    if (!times.empty())
        state.counters["p99_us"] = times[times.size() * 99 / 100];
}

/// A cell whose engines' memory binds, with more requests than fit: each turn some wait, some are refused.
void turn_with_full_memory(benchmark::State& state)
{
    CellScheduler::Options options;
    options.report_need = CellScheduler::Options::ReportNeed::None;
    options.initial_step_time = milliseconds(1);
    options.memory_headroom = 0.2;
    options.policy.backfill = SchedulerPolicy::Backfill::On;
    options.policy.last_resort = SchedulerPolicy::LastResort::On;
    options.stale_grant_timeout = seconds(60);
    CellScheduler scheduler(options);
    std::vector<EngineDescription> engines;
    auto const count = static_cast<int>(state.range(0));
    for (int i = 0; i < count; ++i) {
        EngineDescription engine { "engine-" + std::to_string(i), "llm", i % 5 == 0 ? EngineRole::Prefill : EngineRole::Decode, 32, 50'000, 18'432, 1e11, 63'346 };
        engines.push_back(engine);
    }
    scheduler.set_engines(engines);
    MonotonicTime now(seconds(1));
    AccountDescription const account { "all", 1, 1e9, 1e9 };
    scheduler.set_accounts({ &account, 1 }, now);
    std::uint64_t next = 0;
    std::deque<std::pair<MonotonicTime, std::string>> running;
    std::int64_t refused = 0;
    // Two thirds more than the engines can take.
    auto const pause = Duration(1'000'000 / (count * 5 / 2));
    for (auto _ : state) {
        now += pause;
        PlacementAsk ask;
        ask.request = "r" + std::to_string(next++);
        ask.account = "all";
        ask.model = "llm";
        ask.origin = "entry";
        ask.prompt_tokens = 2000 + static_cast<std::int64_t>(next * 7919 % 6000);
        ask.expected_output_tokens = 1500 + static_cast<std::int64_t>(next * 104'729 % 6000);
        ask.maximum_output_tokens = 10'880;
        ask.first_token_deadline = now + milliseconds(900);
        ask.decide_by = now + milliseconds(200);
        auto const length = milliseconds(ask.expected_output_tokens);
        scheduler.ask(std::move(ask), now);
        for (auto const& decision : scheduler.take_decisions()) {
            auto const* grant = std::get_if<PlacementGrant>(&decision);
            refused += grant ? 0 : 1;
            if (!grant)
                continue;
            scheduler.progress(grant->request, GrantProgress::CacheHeld, now);
            scheduler.progress(grant->request, GrantProgress::Decoding, now);
            running.emplace_back(now + length, grant->request);
        }
        std::sort(running.begin(), running.end());
        while (!running.empty() && running.front().first <= now) {
            scheduler.release(running.front().second, 4000, now);
            running.pop_front();
        }
        if (next % 4 == 0)
            scheduler.advance(now);
    }
    auto const summary = scheduler.summary(now);
    state.counters["refused_share"] = static_cast<double>(refused) / static_cast<double>(next);
    state.counters["waiting"] = static_cast<double>(summary.waiting);
    state.counters["granted"] = static_cast<double>(summary.granted);
}

void cell_map(benchmark::State& state)
{
    std::vector<CellMember> members;
    members.reserve(static_cast<std::size_t>(state.range(0)));
    for (int i = 0; i < state.range(0); ++i)
        members.push_back({ "engine-" + std::to_string(i), "kind-" + std::to_string(i % 10) });
    std::vector<std::string> machines;
    machines.reserve(14);
    for (int i = 0; i < 14; ++i)
        machines.push_back("vm-" + std::to_string(i));
    for (auto _ : state)
        benchmark::DoNotOptimize(CellMap::create(members, machines).cell_count());
}

}

BENCHMARK(turn_of_a_request)->Args({ 9, 10 })->Args({ 35, 10 })->Args({ 35, 2100 })->Args({ 70, 10 })->Args({ 140, 10 });
BENCHMARK(turn_with_full_memory)->Arg(9)->Arg(36)->Arg(72);
BENCHMARK(cell_map)->Arg(35)->Arg(460);
BENCHMARK_MAIN();
