// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <LibDecision/CellScheduler.h>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>

namespace Spurtide {

/// An engine whose role may be changed.
struct RoleCandidate {
    std::string name;
    EngineRole role = EngineRole::Prefill;
    /// Queued prefills or running answers.
    std::int64_t work = 0;
    std::string data_centre;
    /// Counts towards its role but gets no orders, since its actual state is unknown.
    bool is_failing = false;
    /// Time that the engine takes for the same work, relative to a typical engine of its model; 1 until it has been measured.
    double relative_time = 1;
    bool is_speed_measured = false;
};

/// The capacity of each engine of a model.
struct EngineCapacity {
    /// Prompt tokens per second.
    double prefill_rate = 1;
    /// Memory available to answers, in tokens.
    double memory_tokens = 0;
    std::int64_t decode_slots = 1;
    /// Time per output token.
    Duration step_time = milliseconds(1);
    /// Whether the rate and the step time were measured on engines of the model or are default values.
    enum class Source {
        Assumed,
        Measured,
    } source
        = Source::Measured;
};

/// An order to change the role of an engine.
struct RoleChange {
    std::string engine;
    EngineRole role = EngineRole::Prefill;
};

/// Divides the engines of a model between the prefill and decode roles according to the recent workload. Performs no
/// I/O; the current time is an argument.
///
/// A request takes compute time on a prefill engine for its prompt, and a share of a decode engine (of its memory or
/// slots, whichever is larger) for the duration of its answer. Prompts that exceed the prefill capacity are processed
/// by decode engines at half the rate while their answers wait. The balancer moves towards the division with the
/// highest throughput, one engine at a time, if the gain is large enough.
///
/// Until enough requests have been observed and the engines' rates are measured, the division stays as it is. Before
/// the first requests it is set to a safe default with few prefill engines, since decode engines can do both.
class RoleBalancer {
public:
    struct Options {
        /// Fraction of prefill engines while the workload is unknown. Since decode engines run prefills at half the
        /// rate, throughput() over all ratios of prefill to decode cost gives at least 0.68 of the best division for a
        /// pool of 9 engines, and at least 0.60 for a pool of 90.
        double initial_prefill_share = 0.2;
        /// Weight of recent requests needed to estimate the workload.
        double minimum_requests = 30;
        /// Time constant of the exponential decay of past requests.
        Duration decay_time = seconds(30);
        /// Target utilization of prefill engines, which limits queueing delay.
        double maximum_prefill_utilization = 0.8;
        /// Target utilization of decode memory, since the end of answers cannot be predicted exactly.
        double maximum_decode_utilization = 0.8;
        /// Cost of a prefill on a decode engine relative to a prefill engine; its answers wait in the meantime.
        double decode_prefill_cost = 2;
        /// Minimum relative increase in throughput that justifies a change.
        double minimum_gain = 0.08;
        /// Minimum number of engines of each role in pools that are several times larger, so that one may fail.
        std::size_t minimum_engines = 2;
        /// Under load, a shortage has to last this long before a change (a crashed engine may be back soon), and
        /// changes are separated by at least the given interval, or the longer reversal interval if they undo the last
        /// one.
        Duration minimum_shortage_duration = seconds(5);
        Duration change_interval = seconds(2);
        Duration reversal_interval = seconds(20);
        /// Changes that have not taken effect by then are abandoned. Orders that are executed late still arrive sooner.
        Duration change_timeout = seconds(25);
        /// Starting engines are listed one by one, within a heartbeat of each other. Until the pool has been stable for
        /// this long, it may be incomplete.
        Duration pool_settling_time = milliseconds(1400);
        /// If there were no requests for this long, any number of engines may change at once.
        Duration idle_after = seconds(2);
        /// Whether the slowest decode engine and the fastest prefill engine exchange their roles where that has no effect on the
        /// division. Each exchange takes both engines out for some 6 s, one after the other.
        enum class Exchange {
            Off,
            On,
        } exchange
            = Exchange::Off;
        /// Least ratio of the engines' times, and least interval between two exchanges.
        double minimum_exchange_ratio = 1.5;
        Duration exchange_interval = seconds(120);
        /// Share of the decode slots in use above which nothing is exchanged.
        double maximum_exchange_load = 0.33;
    };

    explicit RoleBalancer(Options options);

    void note_request(std::int64_t prompt_tokens, std::int64_t output_tokens, MonotonicTime now);
    /// Returns the next change to order, if any. Engines with a pending change count towards their new role.
    std::optional<RoleChange> next_change(std::span<RoleCandidate const> engines, EngineCapacity const& capacity, MonotonicTime now);
    /// Records that the order for this change was sent.
    void note_ordered(RoleChange const& change, MonotonicTime now);
    /// Records that the order was refused. The engine gets no further order for some time.
    void note_refused(std::string const& engine, MonotonicTime now);
    bool is_changing(std::string_view engine) const { return this->transitions.contains(engine); }

    /// The number of prefill engines that a pool of the given size should have.
    std::size_t wanted_prefill(std::size_t engines, EngineCapacity const& capacity) const;

private:
    struct RoleTransition {
        EngineRole role;
        MonotonicTime since;
    };

    /// Number of engines by role. Engines with a pending change count towards their new role.
    struct Division {
        std::size_t prefill = 0;
        std::size_t decode = 0;

        bool lacks_a_role() const { return this->prefill == 0 || this->decode == 0; }
    };

    bool is_pool_settled(std::span<RoleCandidate const> engines, MonotonicTime now);
    EngineRole role_of(RoleCandidate const& engine) const;
    Division division_of(std::span<RoleCandidate const> engines) const;
    std::optional<EngineRole> role_lacking_engines(Division division, EngineCapacity const& capacity, MonotonicTime now) const;
    bool is_idle(MonotonicTime now) const;
    bool can_change_now(EngineRole to, Division division, MonotonicTime now) const;
    std::optional<RoleChange> next_exchange(std::span<RoleCandidate const> engines, EngineCapacity const& capacity, MonotonicTime now);
    std::optional<RoleChange> finish_exchange(std::span<RoleCandidate const> engines, MonotonicTime now);
    RoleCandidate const* select_engine(std::span<RoleCandidate const> engines, EngineRole from) const;
    void expire_transitions(std::span<RoleCandidate const> engines, MonotonicTime now);
    /// Requests per second served with the given number of prefill engines.
    double throughput(std::size_t prefill, std::size_t engines, EngineCapacity const& capacity) const;
    bool has_enough_data(EngineCapacity const& capacity) const;
    std::size_t minimum_per_role(std::size_t engines) const;
    /// Seconds of a prefill engine and of a decode engine that a request takes.
    double prefill_load(EngineCapacity const& capacity) const;
    double decode_load(EngineCapacity const& capacity) const;

    Options options;
    double weight = 0;
    double prompt_sum = 0;
    double output_sum = 0;
    /// Sums of prompt length times output length and of squared output length, needed because an answer's memory grows
    /// while it is generated.
    double prompt_output_sum = 0;
    double output_squared_sum = 0;
    MonotonicTime decayed_at;
    std::optional<MonotonicTime> last_request;
    /// Whether there has ever been enough data. If so, the division is never reset to the default.
    bool had_enough_data = false;
    std::map<std::string, RoleTransition, std::less<>> transitions;
    std::map<std::string, MonotonicTime, std::less<>> backoff_until;
    std::optional<RoleTransition> last_change;
    std::set<std::string, std::less<>> pool;
    MonotonicTime pool_since;
    /// The role that needs engines, and since when.
    std::optional<RoleTransition> shortage;
    /// An exchange whose slow engine has been chosen to become a prefill engine. The fast one follows once that is done.
    struct RoleExchange {
        std::string slow;
        std::string fast;
        MonotonicTime since;
    };
    std::optional<RoleExchange> exchange;
    std::optional<MonotonicTime> last_exchange;
};

}
