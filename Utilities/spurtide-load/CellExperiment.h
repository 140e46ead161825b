// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibDecision/CellScheduler.h>
#include <StandIns/EngineStandIn/EngineModel.h>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Spurtide {

/// What arrives at a cell: open loop, seeded.
struct CellWorkload {
    /// Requests a second, as a share of the cell's capacity.
    double load = 1;
    Duration warm_up = seconds(5);
    Duration length = seconds(40);
    /// Prompt lengths are log-normal, from some tens to some tens of thousands of tokens.
    double median_prompt_tokens = 1200;
    double prompt_sigma = 1.1;
    double maximum_prompt_tokens = 30'000;
    double mean_output_tokens = 60;
    /// Share of the callers that go away after a while.
    double cancel_share = 0.02;
    /// Share of the prompts that begin like one of a few others.
    double shared_prefix_share = 0.3;
    int prompt_families = 20;
    int accounts = 10;
    /// Share of the load that the first account sends; 0 spreads it evenly.
    double flood_share = 0;
};

/// The engines of the cell.
struct CellHardware {
    int prefill_engines = 5;
    int decode_engines = 4;
    EngineModel::Options engine {};
    /// Engines that stop answering at the middle of the run.
    int failing_engines = 0;
    Duration report_interval = milliseconds(250);
    Duration report_lag = milliseconds(200);
};

/// How placements are made.
struct CellPolicy {
    std::string name;
    CellScheduler::Options scheduler {};
    /// How a baseline chooses; Built-in stands for the scheduler's own choice.
    enum class Choice {
        BuiltIn,
        Random,
        RoundRobin,
        LeastLoadedFromReports,
    } choice
        = Choice::BuiltIn;
    /// Whether accounts and deadlines order the queue.
    enum class Order {
        SharesAndDeadlines,
        Arrival,
    } order
        = Order::SharesAndDeadlines;
    /// Whether entries tell the keeper of engines that did not answer them.
    enum class HearsFailures {
        No,
        Yes,
    } hears_failures
        = HearsFailures::Yes;
};

/// What one run came to. Counts are of requests that arrived after the warm-up.
struct CellResult {
    std::int64_t offered = 0;
    std::int64_t good = 0;
    std::int64_t finished = 0;
    std::int64_t refused = 0;
    std::int64_t cancelled = 0;
    std::int64_t failed = 0;
    double seconds = 0;
    double prefilled_tokens = 0;
    double wasted_tokens = 0;
    /// Requests a second that any schedule could finish at the most.
    double bound = 0;
    std::vector<double> first_token_seconds;
    /// 95th percentile of each request's gaps.
    std::vector<double> token_gap_seconds;
    /// First tokens of accounts other than the first.
    std::vector<double> others_first_token_seconds;
    std::map<std::string, std::int64_t> refusals;

    double goodput() const { return static_cast<double>(this->good) / this->seconds; }
    double wasted_share() const { return this->prefilled_tokens > 0 ? this->wasted_tokens / this->prefilled_tokens : 0; }
};

/// The requests a second at which either the prefill engines' time or the decode slots' time is used up:
/// min(P / E[prefill seconds], D * slots / E[slot seconds]), where a slot is held for the transfer and for
/// the tokens at the step time of a full batch, and shared prefixes cost no prefill.
double cell_capacity(CellWorkload const& workload, CellHardware const& hardware);

/// One cell and its callers in virtual time, with the scheduler that the servers run.
class CellExperiment {
public:
    CellExperiment(CellWorkload workload, CellHardware hardware, CellPolicy policy, std::uint64_t seed);

    CellResult run();

private:
    enum class Phase {
        Waiting,
        Prefilling,
        Transferring,
        Decoding,
        Over,
    };

    struct Request {
        std::string name;
        std::string account;
        MonotonicTime arrived;
        MonotonicTime leaves;
        std::int64_t prompt_tokens = 0;
        std::int64_t output_tokens = 0;
        std::vector<EngineModel::Prefix> prefixes;
        bool is_counted = false;
        Phase phase = Phase::Waiting;
        int attempt = 0;
        std::string work;
        std::string prefill;
        std::string decode;
        std::int64_t seen_tokens = 0;
        std::int64_t prefilled_here = 0;
        MonotonicTime first_token;
        MonotonicTime last_token;
        std::vector<double> gaps;
    };

    struct Engine {
        EngineModel model;
        EngineDescription description;
        bool has_failed = false;
        std::deque<std::pair<MonotonicTime, EngineReport>> reports {};
        /// Load as the last told report has it, for the baselines.
        std::int64_t reported_load = 0;
    };

    void make_hooks();
    void arrive(MonotonicTime now);
    void ask(Request& request, MonotonicTime now);
    void take_decisions(MonotonicTime now);
    void start_prefill(Request& request, PlacementGrant const& grant, MonotonicTime now);
    void follow(Request& request, MonotonicTime now);
    void follow_prefill(Request& request, MonotonicTime now);
    void follow_transfer(Request& request, MonotonicTime now);
    void follow_decode(Request& request, MonotonicTime now);
    void place_again(Request& request, MonotonicTime now);
    void close(Request& request);
    void drop_work(Request& request, MonotonicTime now);
    void finish(Request& request, MonotonicTime now);
    void report(MonotonicTime now);
    void fail_engines(MonotonicTime now);
    MonotonicTime next_time(MonotonicTime now) const;
    Duration next_gap();
    CellResult conclude() const;

    CellWorkload workload;
    CellHardware hardware;
    CellPolicy policy;
    std::mt19937_64 random;
    std::mt19937_64 choice_random;
    std::map<std::string, Engine, std::less<>> engines;
    std::unique_ptr<CellScheduler> scheduler;
    std::map<std::string, Request> requests;
    std::set<std::string> open;
    /// Those of the open ones that were granted a place.
    std::set<std::string> placed;
    std::map<std::string, std::string> request_of_work;
    MonotonicTime next_arrival;
    MonotonicTime next_report;
    MonotonicTime next_tick;
    std::uint64_t arrived = 0;
    std::uint64_t round_robin = 0;
    double rate = 0;
    CellResult result;
    double wasted_by_failure = 0;
};

}
