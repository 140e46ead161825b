// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibDecision/CellScheduler.h>
#include <LibDecision/OrphanReaper.h>
#include <LibDecision/RequestState.h>
#include <StandIns/EngineStandIn/EngineModel.h>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Spurtide::Tests {

/// What a world does to its messages and processes.
struct WorldFaults {
    double drop = 0;
    double duplicate = 0;
    Duration longest_delay = milliseconds(5);
    int entry_crashes = 0;
    int entry_pauses = 0;
    int keeper_changes = 0;
    /// Two keepers at once for some time at each change.
    Duration keeper_overlap {};
    int engine_crashes = 0;
    double callers_leave = 0.1;
    int stalled_transfers = 0;
    /// Mechanisms that can be switched off, to see the promise break.
    bool without_reaper = false;
    bool without_vanishing = false;
    bool without_state_table = false;
};

/// What went wrong; empty where every promise held.
struct WorldVerdict {
    std::vector<std::string> broken;
    int finished = 0;
    int refused = 0;
    int failed = 0;
    int cancelled = 0;
    /// Longest time that an engine held work whose caller or origin was gone.
    Duration longest_orphan {};
};

/// Entries, keepers and engines as actors in virtual time, with the decision library that the servers run.
/// Messages between them are lost, doubled, delayed and so reordered; processes crash and pause. The seed
/// decides everything.
class World {
public:
    World(WorldFaults faults, std::uint64_t seed);

    WorldVerdict run();

private:
    struct Caller {
        MonotonicTime leaves;
        bool is_gone = false;
        MonotonicTime gone_at;
        int final_answers = 0;
    };

    struct Work {
        std::string request;
        int attempt = 0;
        std::string name;
        std::string prefill;
        std::string decode;
        RequestState state;
        std::int64_t seen = 0;
        bool is_over = false;
        MonotonicTime asked;
    };

    struct Entry {
        std::string incarnation;
        bool is_alive = true;
        MonotonicTime died_at;
        MonotonicTime paused_until;
        std::map<std::string, Work> works;
    };

    struct Keeper {
        std::unique_ptr<CellScheduler> scheduler;
        std::unique_ptr<OrphanReaper> reaper;
        bool is_alive = true;
        MonotonicTime since;
    };

    struct Engine {
        EngineModel model;
        EngineRole role;
        bool is_alive = true;
    };

    struct Event {
        MonotonicTime at;
        std::uint64_t order;
        std::function<void()> run;
        bool operator<(Event const& other) const { return std::tie(this->at, this->order) > std::tie(other.at, other.order); }
    };

    void at(MonotonicTime when, std::function<void()> run);
    /// A message over a network that may lose, double and delay it.
    void send(std::function<void()> deliver);
    /// A message over one connection, which delays but neither loses nor doubles.
    void call(std::function<void()> deliver);
    MonotonicTime some_time(Duration from, Duration to);
    bool chance(double share);

    void plan();
    void new_keeper();
    void arrive(int number);
    void ask(std::size_t entry, std::string const& request);
    void take_decisions(std::size_t keeper);
    void take_grant(std::size_t entry, PlacementGrant const& grant);
    void take_refusal(std::size_t entry, std::string const& work);
    void look_at_entry(std::size_t entry);
    void step(Entry& entry, Work& work);
    void step_prefilling(Entry& entry, Work& work);
    std::int64_t draw_output();
    void step_transferring(Work& work);
    void step_decoding(Work& work);
    void tell_progress(Work const& work, GrantProgress progress);
    void release(Work const& work);
    void cancel_everywhere(Work const& work);
    void lose_upstream(Entry& entry, Work& work);
    void answer(Work& work);
    void poll(std::size_t keeper);
    void reap(std::size_t keeper, std::string const& engine, EngineReport const& report);
    void check_held();
    bool is_owned(std::string const& incarnation, std::string const& work) const;
    void break_promise(std::string text);
    bool apply(Work& work, RequestEvent event);
    bool is_away(Entry const& entry) const { return !entry.is_alive || entry.paused_until > this->now; }

    WorldFaults faults;
    std::mt19937_64 random;
    MonotonicTime now = MonotonicTime(seconds(1000));
    std::uint64_t event_count = 0;
    std::priority_queue<Event> events;
    std::vector<Entry> entries;
    std::vector<Keeper> keepers;
    std::map<std::string, Engine> engines;
    std::map<std::string, Caller> callers;
    std::map<std::string, std::size_t> home;
    std::set<std::string> dispatched;
    std::map<std::string, MonotonicTime> orphan_since;
    WorldVerdict verdict;
};

}
