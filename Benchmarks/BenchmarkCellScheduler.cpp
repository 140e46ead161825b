// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/CellMap.h>
#include <LibDecision/CellScheduler.h>
#include <algorithm>
#include <benchmark/benchmark.h>
#include <chrono>
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
BENCHMARK(cell_map)->Arg(35)->Arg(460);
BENCHMARK_MAIN();
