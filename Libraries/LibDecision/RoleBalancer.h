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

/// An engine as far as its role matters.
struct RoleCandidate {
    std::string name;
    EngineRole role = EngineRole::Prefill;
    /// Prompts that it reads or answers that it makes.
    std::int64_t work = 0;
    std::string data_centre;
    /// Counts with its role, and gets no order: whoever cannot reach it does not know what it does.
    bool is_failing = false;
};

/// What the engines of one model can do, each.
struct EngineCapacity {
    /// Prompt tokens read in a second.
    double prefill_rate = 1;
    /// Tokens of memory that answers may fill.
    double memory_tokens = 0;
    std::int64_t decode_slots = 1;
    /// Time of one token of an answer.
    Duration step_time = milliseconds(1);
    /// Whether rate and time were measured at engines of the model, or stand for what nobody knows yet.
    enum class Source {
        Assumed,
        Measured,
    } source
        = Source::Measured;
};

/// One engine is to change its role.
struct RoleChange {
    std::string engine;
    EngineRole role = EngineRole::Prefill;
};

/// Divides the engines of one model between reading prompts and making answers by what the requests of late
/// were like. Pure: time is passed in and nothing is sent.
///
/// A request takes prefill engines' time for its prompt, and of a decode engine a part (of the memory or of the
/// slots, whichever is more) for as long as its answer takes. What prefill engines cannot read decode engines read
/// themselves, at half the pace and while their answers wait. The division that serves most requests a second is
/// aimed at, engine by engine, where it gains enough.
///
/// Until enough requests were seen and engines' paces are measured, the division stays, or, before requests come, is
/// one that is safe: few prefill engines, since decode engines can do both parts.
class RoleBalancer {
public:
    struct Options {
        /// Part of the engines that read prompts while nothing is known. Since decode engines read half as fast, a pool
        /// of nine serves at least 0.68 of what the best division serves, and one of 90 at least 0.60, worked out with
        /// throughput() over all ratios of reading to answering.
        double initial_prefill_share = 0.2;
        /// Requests of late that tell what requests are like.
        double minimum_requests = 30;
        /// Requests fade with this time.
        Duration decay_time = seconds(30);
        /// Prefill engines are not to be used beyond this: prompts that queue make their callers wait.
        double maximum_prefill_utilization = 0.8;
        /// Part of decode engines' memory that is filled at best: answers end at times that nobody knows.
        double maximum_decode_utilization = 0.8;
        /// A decode engine's own reading takes so many times a prefill engine's, and its answers wait meanwhile.
        double decode_prefill_cost = 2;
        /// So much more has to be served by the other division.
        double minimum_gain = 0.08;
        /// Fewest engines of each role, in a pool that has several times as many: one may always fail.
        std::size_t minimum_engines = 2;
        /// While requests come, a change has to be wanted for so long (an engine that crashed may be back soon),
        /// changes are that far apart, and longer before one is turned back.
        Duration minimum_shortage_duration = seconds(5);
        Duration change_interval = seconds(2);
        Duration reversal_interval = seconds(20);
        /// A change that did not show by then is given up; orders that are carried out late come sooner.
        Duration change_timeout = seconds(25);
        /// Engines that come up enter the list one by one, within a heartbeat of theirs. Until the pool was the same
        /// for so long it may be a part of what there will be.
        Duration pool_settling_time = milliseconds(1400);
        /// Without requests for so long, any number of engines may change at once.
        Duration idle_after = seconds(2);
    };

    explicit RoleBalancer(Options options);

    void note_request(std::int64_t prompt_tokens, std::int64_t output_tokens, MonotonicTime now);
    /// The next change to order, if any. Engines whose change was begun count as changed.
    std::optional<RoleChange> next_change(std::span<RoleCandidate const> engines, EngineCapacity const& capacity, MonotonicTime now);
    /// The order for this change went out.
    void note_ordered(RoleChange const& change, MonotonicTime now);
    /// The order was refused; the engine is left alone for some time.
    void note_refused(std::string const& engine, MonotonicTime now);
    bool is_changing(std::string_view engine) const { return this->transitions.contains(engine); }

    /// How many of so many engines should read prompts.
    std::size_t wanted_prefill(std::size_t engines, EngineCapacity const& capacity) const;

private:
    struct RoleTransition {
        EngineRole role;
        MonotonicTime since;
    };

    /// Engines by role; those whose change was begun count as changed.
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
    RoleCandidate const* select_engine(std::span<RoleCandidate const> engines, EngineRole from) const;
    void expire_transitions(std::span<RoleCandidate const> engines, MonotonicTime now);
    /// Requests a second that so many prefill engines of all serve.
    double throughput(std::size_t prefill, std::size_t engines, EngineCapacity const& capacity) const;
    bool has_enough_data(EngineCapacity const& capacity) const;
    std::size_t minimum_per_role(std::size_t engines) const;
    /// Seconds of a prefill engine, and of a decode engine, that a request takes.
    double prefill_load(EngineCapacity const& capacity) const;
    double decode_load(EngineCapacity const& capacity) const;

    Options options;
    double weight = 0;
    double prompt_sum = 0;
    double output_sum = 0;
    /// Of prompt times output, and of the output's square: what an answer holds grows while it is made.
    double prompt_output_sum = 0;
    double output_squared_sum = 0;
    MonotonicTime decayed_at;
    std::optional<MonotonicTime> last_request;
    /// Whether enough was known once: the division that came of it is not given up for the safe one.
    bool had_enough_data = false;
    std::map<std::string, RoleTransition, std::less<>> transitions;
    std::map<std::string, MonotonicTime, std::less<>> backoff_until;
    std::optional<RoleTransition> last_change;
    std::set<std::string, std::less<>> pool;
    MonotonicTime pool_since;
    /// The role that has lacked engines, and since when.
    std::optional<RoleTransition> shortage;
};

}
