// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <Utilities/spurtide-load/Experiments.h>
#include <Utilities/spurtide-load/LoadReport.h>
#include <array>
#include <cmath>
#include <cstdio>
#include <future>
#include <nlohmann/json.hpp>

namespace Spurtide {

namespace {

/// One condition of an experiment.
struct Condition {
    std::string name;
    CellWorkload workload;
    CellHardware hardware;
};

CellHardware usual_hardware()
{
    CellHardware hardware;
    hardware.engine.prefill_tokens_per_second = 20'000;
    return hardware;
}

/// Choices from thin air or lagged reports, no promise, no refusal, no bound on the queue before an engine.
CellPolicy baseline(std::string name, CellPolicy::Choice choice)
{
    CellPolicy policy;
    policy.name = std::move(name);
    policy.choice = choice;
    policy.order = CellPolicy::Order::Arrival;
    policy.hears_failures = CellPolicy::HearsFailures::No;
    policy.scheduler.prefill_ahead = seconds(3600);
    policy.scheduler.policy.slot_promise = SchedulerPolicy::SlotPromise::Ignored;
    policy.scheduler.policy.early_refusal = SchedulerPolicy::EarlyRefusal::Off;
    return policy;
}

CellPolicy spurtide_policy()
{
    CellPolicy policy;
    policy.name = "spurtide";
    return policy;
}

std::vector<CellPolicy> baselines()
{
    return { baseline("random", CellPolicy::Choice::Random), baseline("round robin", CellPolicy::Choice::RoundRobin),
        baseline("least loaded, lagged", CellPolicy::Choice::LeastLoadedFromReports), baseline("exact, no promise", CellPolicy::Choice::BuiltIn) };
}

std::vector<CellPolicy> ablations()
{
    std::vector<CellPolicy> policies = { spurtide_policy() };
    auto without = [&](std::string name) -> CellPolicy& {
        policies.push_back(spurtide_policy());
        policies.back().name = "without " + std::move(name);
        return policies.back();
    };
    without("promised slot").scheduler.policy.slot_promise = SchedulerPolicy::SlotPromise::Ignored;
    without("early refusal").scheduler.policy.early_refusal = SchedulerPolicy::EarlyRefusal::Off;
    without("short prefill queue").scheduler.prefill_ahead = seconds(3600);
    without("shares and deadlines").order = CellPolicy::Order::Arrival;
    without("token target").scheduler.token_target = seconds(3600);
    without("exact choice").choice = CellPolicy::Choice::Random;
    return policies;
}

Estimate estimate_of(std::vector<double> const& values)
{
    // Student's t for 95 % and 1 to 30 degrees of freedom would differ; seeds are few, so a fixed 2.26
    // (9 degrees) is used, which is wide enough for the usual 10 seeds.
    constexpr double T_VALUE = 2.26;
    double mean = 0;
    for (double const value : values)
        mean += value / static_cast<double>(values.size());
    double variance = 0;
    for (double const value : values)
        variance += (value - mean) * (value - mean);
    if (values.size() < 2)
        return { mean, 0 };
    variance /= static_cast<double>(values.size() - 1);
    return { mean, T_VALUE * std::sqrt(variance / static_cast<double>(values.size())) };
}

ExperimentRow summarise(Condition const& condition, CellPolicy const& policy, std::vector<CellResult> const& results)
{
    ExperimentRow row;
    row.condition = condition.name;
    row.policy = policy.name;
    std::vector<double> goodput;
    std::vector<double> of_bound;
    std::vector<double> wasted;
    std::vector<double> refused;
    std::vector<double> failed;
    std::vector<double> first;
    std::vector<double> gaps;
    std::vector<double> others;
    for (auto const& result : results) {
        auto const offered = static_cast<double>(result.offered);
        // Callers that went away of themselves cannot be served by any schedule.
        double const wanted = (offered - static_cast<double>(result.cancelled)) / result.seconds;
        goodput.push_back(result.goodput());
        of_bound.push_back(result.goodput() / std::min(wanted, result.bound));
        wasted.push_back(result.wasted_share());
        refused.push_back(static_cast<double>(result.refused) / offered);
        failed.push_back(static_cast<double>(result.failed) / offered);
        first.insert(first.end(), result.first_token_seconds.begin(), result.first_token_seconds.end());
        gaps.insert(gaps.end(), result.token_gap_seconds.begin(), result.token_gap_seconds.end());
        others.insert(others.end(), result.others_first_token_seconds.begin(), result.others_first_token_seconds.end());
    }
    row.goodput = estimate_of(goodput);
    row.goodput_of_bound = estimate_of(of_bound);
    row.wasted_share = estimate_of(wasted);
    row.refused_share = estimate_of(refused);
    row.failed_share = estimate_of(failed);
    row.first_token_p50 = quantile_of(first, 0.5);
    row.first_token_p95 = quantile_of(first, 0.95);
    row.first_token_p99 = quantile_of(first, 0.99);
    row.token_gap_p95 = quantile_of(gaps, 0.95);
    row.others_first_token_p95 = quantile_of(others, 0.95);
    return row;
}

/// Every policy under every condition, the same seeds for all.
ExperimentOutcome run_all(std::string name, std::vector<Condition> const& conditions, std::vector<CellPolicy> const& policies, int seeds, Duration length)
{
    ExperimentOutcome outcome { std::move(name), {}, seeds, to_seconds(length) };
    for (auto const& condition : conditions) {
        auto workload = condition.workload;
        workload.length = length;
        for (auto const& policy : policies) {
            std::vector<std::future<CellResult>> runs;
            for (int seed = 1; seed <= seeds; ++seed) {
                runs.push_back(std::async(std::launch::async, [=, &condition] {
                    return CellExperiment(workload, condition.hardware, policy, static_cast<std::uint64_t>(seed)).run();
                }));
            }
            std::vector<CellResult> results;
            results.reserve(runs.size());
            for (auto& run : runs)
                results.push_back(run.get());
            outcome.rows.push_back(summarise(condition, policy, results));
        }
    }
    return outcome;
}

std::vector<CellPolicy> with_baselines()
{
    auto policies = baselines();
    policies.insert(policies.begin(), spurtide_policy());
    return policies;
}

Condition at_load(double load)
{
    std::array<char, 32> name {};
    std::snprintf(name.data(), name.size(), "load %.1f", load);
    Condition condition { name.data(), {}, usual_hardware() };
    condition.workload.load = load;
    return condition;
}

ExperimentOutcome run_overload(int seeds, Duration length)
{
    std::vector<Condition> conditions;
    for (double const load : { 0.8, 1.0, 1.2, 2.0, 3.0 })
        conditions.push_back(at_load(load));
    return run_all("overload", conditions, with_baselines(), seeds, length);
}

ExperimentOutcome run_ablation(int seeds, Duration length)
{
    return run_all("ablation", { at_load(1.2) }, ablations(), seeds, length);
}

ExperimentOutcome run_faults(int seeds, Duration length)
{
    auto none = at_load(0.9);
    none.name = "no fault";
    auto one_in_ten = at_load(0.9);
    one_in_ten.name = "1 of 9 engines fails";
    one_in_ten.hardware.failing_engines = 1;
    auto two = at_load(0.9);
    two.name = "2 of 9 engines fail";
    two.hardware.failing_engines = 2;
    auto policies = with_baselines();
    auto deaf = spurtide_policy();
    deaf.name = "without told failures";
    deaf.hears_failures = CellPolicy::HearsFailures::No;
    policies.insert(policies.begin() + 1, deaf);
    return run_all("faults", { none, one_in_ten, two }, policies, seeds, length);
}

ExperimentOutcome run_flood(int seeds, Duration length)
{
    // The others send the same in both conditions; the first account adds as much as the cell can do.
    auto calm = at_load(0.6);
    calm.name = "no flood";
    auto flood = at_load(1.8);
    flood.name = "one account floods";
    flood.workload.flood_share = 2.0 / 3;
    auto unshared = spurtide_policy();
    unshared.name = "spurtide, no shares";
    unshared.order = CellPolicy::Order::Arrival;
    return run_all("flood", { calm, flood }, { spurtide_policy(), unshared }, seeds, length);
}

ExperimentOutcome run_cell_size(int seeds, Duration length)
{
    std::vector<Condition> conditions;
    for (int const scale : { 1, 2, 4, 8 }) {
        auto condition = at_load(0.95);
        condition.hardware.prefill_engines = 3 * scale;
        condition.hardware.decode_engines = 2 * scale;
        condition.name = std::to_string(5 * scale) + " engines";
        conditions.push_back(condition);
    }
    return run_all("cell-size", conditions, { spurtide_policy() }, seeds, length);
}

nlohmann::ordered_json estimate_json(Estimate const& estimate)
{
    return { { "mean", estimate.mean }, { "half_width", estimate.half_width } };
}

}

std::span<Experiment const> all_experiments()
{
    static std::array const experiments = {
        Experiment { "overload", "goodput and waste from 0.5 to 3 times capacity, against baselines", run_overload },
        Experiment { "ablation", "each mechanism alone switched off, at 1.2 times capacity", run_ablation },
        Experiment { "faults", "engines that stop answering in the middle of the run", run_faults },
        Experiment { "flood", "what one account's flood does to the others", run_flood },
        Experiment { "cell-size", "goodput over the number of engines that are scheduled together", run_cell_size },
    };
    return experiments;
}

std::string experiment_table(ExperimentOutcome const& outcome)
{
    std::string text = "experiment " + outcome.name + ": " + std::to_string(outcome.seeds) + " seeds of " + std::to_string(static_cast<int>(outcome.virtual_seconds)) + " virtual seconds\n";
    std::array<char, 256> line {};
    std::snprintf(line.data(), line.size(), "%-22s %-26s %-16s %-14s %-16s %-9s %-8s %-22s %-8s\n", "condition", "policy", "goodput/s", "of bound", "wasted prefill %", "refused %", "failed %", "first token p50/95/99", "gap p95");
    text += line.data();
    for (auto const& row : outcome.rows) {
        std::snprintf(line.data(), line.size(), "%-22s %-26s %6.2f +- %-6.2f %5.3f +- %5.3f %6.2f +- %-6.2f %8.1f  %7.2f  %5.0f %5.0f %5.0f ms     %5.1f ms\n", row.condition.c_str(), row.policy.c_str(),
            row.goodput.mean, row.goodput.half_width, row.goodput_of_bound.mean, row.goodput_of_bound.half_width, row.wasted_share.mean * 100, row.wasted_share.half_width * 100,
            row.refused_share.mean * 100, row.failed_share.mean * 100, row.first_token_p50 * 1000, row.first_token_p95 * 1000, row.first_token_p99 * 1000, row.token_gap_p95 * 1000);
        text += line.data();
    }
    return text;
}

std::string experiment_json(ExperimentOutcome const& outcome)
{
    nlohmann::ordered_json document = { { "name", outcome.name }, { "seeds", outcome.seeds }, { "virtual_seconds", outcome.virtual_seconds }, { "rows", nlohmann::ordered_json::array() } };
    for (auto const& row : outcome.rows) {
        document["rows"].push_back({ { "condition", row.condition }, { "policy", row.policy }, { "goodput", estimate_json(row.goodput) }, { "goodput_of_bound", estimate_json(row.goodput_of_bound) },
            { "wasted_share", estimate_json(row.wasted_share) }, { "refused_share", estimate_json(row.refused_share) }, { "failed_share", estimate_json(row.failed_share) },
            { "first_token_p50", row.first_token_p50 }, { "first_token_p95", row.first_token_p95 }, { "first_token_p99", row.first_token_p99 }, { "token_gap_p95", row.token_gap_p95 },
            { "others_first_token_p95", row.others_first_token_p95 } });
    }
    return document.dump(2);
}

}
