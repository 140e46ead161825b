// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <LibDecision/MemoryForecast.h>
#include <LibDecision/PrefillRateEstimator.h>
#include <LibDecision/QuantileEstimator.h>
#include <LibDecision/RefusalHistory.h>
#include <LibDecision/TokenBucket.h>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Spurtide {

enum class EngineRole {
    Prefill,
    Decode,
};

/// An engine as the configuration names it.
struct EngineDescription {
    std::string name;
    std::string model;
    EngineRole role = EngineRole::Prefill;
    std::int64_t decode_slots = 0;
    /// Before anything was learned, in tokens a second.
    double prefill_rate = 8000;
    /// Bytes of KV cache of one prompt token, and the link's bytes a second.
    double cache_bytes_per_token = 0;
    double link_rate = 1;
    /// Tokens that the engine's memory holds; 0 where only slots count.
    std::int64_t memory_tokens = 0;
    std::string data_centre {};
    /// Tokens of an answer that come together.
    std::int64_t tokens_per_event = 1;
    /// Tells two starts of an engine apart; 0 where its starts have names of their own.
    std::int64_t started = 0;
    /// Requests a second that it bears until then; 0 where nothing bounds them.
    double cold_rate = 0;
    MonotonicTime cold_until {};
};

/// Work that an engine says it holds.
struct HeldWork {
    std::string request;
    std::string origin;
    std::string account;
    /// Whether a reader takes its stream now.
    enum class Reader {
        None,
        Attached,
    } reader
        = Reader::None;
};

/// What an engine last said of itself.
struct EngineReport {
    enum class Life {
        Serving,
        Leaving,
    } life
        = Life::Serving;
    Duration step_time {};
    std::vector<HeldWork> held;
};

/// An account's share and limit.
struct AccountDescription {
    std::string name;
    double weight = 1;
    double requests_per_second = 100;
    double burst = 100;
};

/// Whether a caller was refused before with the same request.
enum class CallerAttempt {
    First,
    Retry,
};

/// One request that wants a prefill and a decode slot.
struct PlacementAsk {
    std::string request;
    std::string account;
    std::string model;
    std::string origin;
    std::int64_t prompt_tokens = 0;
    std::int64_t maximum_output_tokens = 0;
    /// Tokens that were already relayed; their decode is not repeated.
    std::int64_t relayed_tokens = 0;
    MonotonicTime first_token_deadline;
    /// Higher goes first.
    std::int64_t priority = 0;
    /// What the answer will probably have; 0 where only what was learned is known.
    std::int64_t expected_output_tokens = 0;
    /// A request that has no place by then is refused, so that its caller hears in time to come back.
    std::optional<MonotonicTime> decide_by {};
    /// Engines that failed this request before.
    std::vector<std::string> excluded_engines {};
    /// Those whose engines it may not go to, or that its VM does not reach.
    std::vector<std::string> excluded_data_centres {};
    /// Where its answer will go.
    std::string data_centre {};
    /// Longest pause between two events that is on time; zero where none is set.
    Duration longest_pause {};
    /// The part of the prompt that no other session has; empty where it is not known.
    std::string own_part {};
    /// Until when a late first token is still of use to the caller, where a request that was refused and came back is
    /// served late rather than not at all.
    std::optional<MonotonicTime> late_deadline {};
    /// Found out by the scheduler.
    CallerAttempt caller_attempt = CallerAttempt::First;
    /// Cannot be on time any more: goes behind all of its priority that can.
    enum class Timeliness {
        OnTime,
        Late,
    } timeliness
        = Timeliness::OnTime;
};

struct PlacementGrant {
    std::string request;
    std::string prefill_engine;
    std::string decode_engine;
    MonotonicTime predicted_first_token;
    std::size_t candidates = 0;
    CallerAttempt caller_attempt = CallerAttempt::First;
};

enum class RefusalReason {
    UnknownModel,
    UnknownAccount,
    RateLimited,
    NoUpstream,
    CannotMeetFirstToken,
    QueueFull,
    Duplicate,
};

std::string_view to_string(RefusalReason reason);

struct PlacementRefusal {
    std::string request;
    RefusalReason reason;
    /// When the caller should come back.
    Duration retry_after {};
    CallerAttempt caller_attempt = CallerAttempt::First;
};

using PlacementDecision = std::variant<PlacementGrant, PlacementRefusal>;

/// How far a granted request has come, as its origin says.
enum class GrantProgress {
    Prefilling,
    CacheHeld,
    Decoding,
};

/// A decode or prefill engine that could take a request.
struct PlacementCandidate {
    std::string_view engine;
    std::int64_t free_slots = 0;
    MonotonicTime ready;
    /// By how much it counts as later in the choice.
    Duration preference_penalty {};
};

/// The choices of the scheduler that an experiment may replace.
struct SchedulerPolicy {
    /// Whether a prefill waits for a decode slot that will be there.
    enum class SlotPromise {
        Required,
        Ignored,
    } slot_promise
        = SlotPromise::Required;
    /// Whether a request that cannot meet its first token any more is refused at once.
    enum class EarlyRefusal {
        On,
        Off,
    } early_refusal
        = EarlyRefusal::On;
    /// Whether a request that has room now goes before one that has to wait for more.
    enum class Backfill {
        On,
        Off,
    } backfill
        = Backfill::Off;
    /// Whether the engines of a role that failed least are used when all of the role are left out.
    enum class LastResort {
        On,
        Off,
    } last_resort
        = LastResort::Off;
    /// Whether a decode engine reads a prompt itself: where no prefill engine is to be had, or also where none would
    /// have it read in time.
    enum class DecodePrefill {
        Off,
        WithoutPrefillEngines,
        Overflow,
    } decode_prefill
        = DecodePrefill::Off;
    /// Picks one of the candidates; empty stands for the built-in choice.
    std::function<std::size_t(std::span<PlacementCandidate const>)> choose_prefill;
    std::function<std::size_t(std::span<PlacementCandidate const>)> choose_decode;
};

/// Schedules one cell exactly: who gets which prefill engine and which decode slot, and when.
/// Pure: time is passed in and nothing is sent.
class CellScheduler {
public:
    struct Options {
        /// Engines that were silent for longer get nothing new.
        Duration report_validity = milliseconds(3000);
        /// A grant that its origin does not take up is withdrawn after this time.
        Duration grant_lease = milliseconds(1500);
        /// A grant that neither its origin nor an engine's report named for so long is over: its release was lost.
        Duration stale_grant_timeout = milliseconds(3000);
        /// Time that an engine is left out after a first failure, and the longest after many.
        Duration initial_backoff = milliseconds(500);
        Duration maximum_backoff = milliseconds(10'000);
        /// How far ahead a prefill engine is filled. Short, so that late decisions stay cheap.
        Duration prefill_ahead = milliseconds(300);
        /// How long a finished prefill is kept by its engine.
        Duration cache_hold = milliseconds(900);
        /// Part of the hold time left free for mistakes.
        Duration safety_margin = milliseconds(100);
        std::size_t queue_limit = 2000;
        /// Refused callers are told to come back at times that are spread over this, so that they do not all
        /// meet the same crowd again.
        Duration return_spread {};
        /// Whether an engine is used only while it reports.
        enum class ReportNeed {
            Required,
            None,
        } report_need
            = ReportNeed::Required;
        /// Part of an engine's memory that is never promised, so that answers that turn out longer than was
        /// expected are not put back in the middle.
        double memory_headroom = 0.05;
        MemoryForecast::Options forecast {};
        /// Part of an engine's memory by which another may be fuller and is preferred, since it is in the data
        /// centre of the VM that asks: a cut between data centres then harms nothing that runs.
        double local_memory_preference = 0.15;
        /// By how much later a prefill engine of the asking VM's data centre may be done and is preferred. Decode engines
        /// are chosen there too, so memory then stays in one data centre: half the time on the links and half the price. A
        /// third of the reading of a usual prompt, and little of what callers wait for a first token.
        Duration local_prefill_preference = milliseconds(30);
        /// An engine's time for one token before any was measured.
        Duration initial_step_time = milliseconds(25);
        /// Longest time between tokens that a decode engine is filled up to.
        Duration token_target = milliseconds(37);
        SchedulerPolicy policy {};
    };

    explicit CellScheduler(Options options);

    /// Replaces the engines; what is held at engines that stay is kept.
    void set_engines(std::span<EngineDescription const> engines);
    void set_accounts(std::span<AccountDescription const> accounts, MonotonicTime now);

    void report(std::string_view engine, EngineReport const& report, MonotonicTime now);
    /// An entry's attempt at the engine failed. It gets nothing new until it reports again and a time has
    /// passed that doubles with each failure in a row; then one request tries it, and its success ends that.
    void note_failure(std::string_view engine, MonotonicTime now);
    /// A hint from elsewhere (VM list, operator's drain) that an engine is leaving. Stays until cleared.
    void set_leaving(std::string_view engine, EngineReport::Life life);

    void ask(PlacementAsk ask, MonotonicTime now);
    void progress(std::string_view request, GrantProgress progress, MonotonicTime now);
    /// What an entry says it was granted by an earlier keeper. Takes the place of what a report alone said.
    /// For a request that is known it only says that its grant is in use. The age is that of its progress.
    void restore(PlacementAsk ask, std::string_view prefill_engine, std::string_view decode_engine, GrantProgress progress, Duration age, MonotonicTime now);
    /// The engine has the prompts with these parts in its memory, and may keep them for some time.
    void note_cached(std::string_view engine, std::span<std::string const> own_parts, MonotonicTime now);
    /// The request ended, or its caller is gone; frees all it holds here.
    void release(std::string_view request, std::int64_t output_tokens, MonotonicTime now);

    /// The origin's process is gone: what it was granted is free, but for what engines still report.
    void forget_origin(std::string_view origin, MonotonicTime now);
    /// Origins that hold a grant.
    std::set<std::string> origins() const;

    /// Lets time pass: expired grants, refusals that came due, queued work that fits now.
    void advance(MonotonicTime now);

    /// Decisions since the last call, in order.
    std::vector<PlacementDecision> take_decisions();

    /// Where a request's stream lives, and whose it is.
    struct Location {
        std::string decode_engine;
        std::string account;
    };
    std::optional<Location> locate(std::string_view request) const;
    bool knows(std::string_view request) const;

    /// An engine as far as roles and capacity matter.
    struct EngineState {
        std::string name;
        EngineRole role = EngineRole::Prefill;
        std::string data_centre;
        /// Prompts in its queue and answers that it makes or was promised.
        std::int64_t work = 0;
        /// Of the model's engines, as far as it was measured.
        double prefill_rate = 0;
        Duration step_time {};
        bool is_rate_measured = false;
        /// Memory that answers may fill.
        double memory_tokens = 0;
        std::int64_t decode_slots = 0;
        /// Whether the last that was sent to it failed; it may be out of this VM's reach alone.
        bool is_failing = false;
        bool is_leaving = false;
    };
    /// The engines by model.
    std::map<std::string, std::vector<EngineState>> engine_states() const;

    /// Models for which a request waits, or of whose engines more than this part is taken: of those that make answers the
    /// places, of those that read prompts what they are given ahead.
    std::set<std::string> saturated_models(double share) const;

    struct Summary {
        std::size_t waiting = 0;
        std::size_t granted = 0;
        std::int64_t free_slots = 0;
        std::size_t engines_heard = 0;
        std::size_t engines = 0;
    };
    Summary summary(MonotonicTime now) const;

private:
    /// Bounds of the time after which a refused caller is told to come back.
    static constexpr Duration MINIMUM_RETRY_AFTER = milliseconds(100);
    static constexpr Duration MAXIMUM_RETRY_AFTER = seconds(30);

    struct QueuedPrefill {
        std::string request;
        std::int64_t tokens = 0;
        MonotonicTime started;
        /// Whether another prompt was before it.
        bool has_queued = false;
    };

    struct Engine {
        EngineDescription description;
        std::optional<MonotonicTime> last_report;
        EngineReport::Life reported_life = EngineReport::Life::Serving;
        EngineReport::Life hinted_life = EngineReport::Life::Serving;
        int consecutive_failures = 0;
        MonotonicTime backoff_until;
        /// The one request that tries out an engine which failed before.
        std::string probe_request;
        Duration step_time = milliseconds(25);
        /// What prefills take here against what engines of the model usually take.
        double slowness = 1;
        /// Prefills granted and not known to be finished, in the order of their grants. At a decode engine those that
        /// it reads itself.
        std::vector<QueuedPrefill> prefills;
        /// What it may be given while it is cold.
        mutable std::optional<TokenBucket> cold_start_bucket;
        /// Left out like all others of its role, and used all the same since it failed least.
        bool is_last_resort = false;
        /// Requests that hold or were promised a slot here.
        std::set<std::string, std::less<>> slots;
        /// What they will hold; empty when it has to be worked out anew.
        mutable std::optional<MemoryForecast> forecast;
        mutable MonotonicTime forecast_made;
    };

    struct Granted {
        PlacementAsk ask;
        std::string prefill_engine;
        std::string decode_engine;
        GrantProgress phase = GrantProgress::Prefilling;
        /// Known from an engine's report alone, from before this keeper's term.
        bool adopted = false;
        /// Whether the origin said that it uses the grant.
        bool is_confirmed = false;
        MonotonicTime granted_at;
        /// When its origin or an engine's report last named it.
        MonotonicTime last_seen;
        MonotonicTime predicted_first_token;
        MonotonicTime decode_from;

        /// The engine that reads the prompt: where no prefill engine does, the one that answers.
        std::string const& reader() const { return this->prefill_engine.empty() ? this->decode_engine : this->prefill_engine; }
    };

    struct Account {
        AccountDescription description;
        TokenBucket bucket;
        double served = 0;
    };

    struct Placement {
        std::string prefill;
        std::string decode;
        MonotonicTime first_token;
        MonotonicTime prefill_end;
        /// What is to be read of the prompt and of what was relayed.
        std::int64_t tokens = 0;
        std::size_t candidates = 0;
    };

    enum class ScheduleStep {
        Placed,
        Refused,
        MustWait,
    };

    void schedule(MonotonicTime now);
    void mark_last_resorts(MonotonicTime now);
    bool has_usable_prefill(PlacementAsk const& ask, MonotonicTime now) const;
    /// Why a decode engine would read a prompt itself.
    enum class DecodePrefillReason {
        NoPrefillEngine,
        Overflow,
    };
    std::optional<Placement> find_cached(PlacementAsk const& ask, MonotonicTime now) const;
    std::optional<Placement> find_decode_prefill(PlacementAsk const& ask, DecodePrefillReason need, MonotonicTime now) const;
    bool can_run_prefill(Engine const& engine, PlacementAsk const& ask, MonotonicTime now) const;
    bool is_overflow_due(PlacementAsk const& ask, MonotonicTime now) const;
    std::optional<MonotonicTime> best_disaggregated(PlacementAsk const& ask, MonotonicTime now) const;
    std::optional<MonotonicTime> best_decode_prefill(PlacementAsk const& ask, MonotonicTime now) const;
    bool is_on_time(Placement const& placement, PlacementAsk const& ask) const;
    void schedule_model(std::string const& model, MonotonicTime now);
    ScheduleStep schedule_one(std::size_t index, MonotonicTime now);
    Duration expected_lateness() const;
    bool precedes(PlacementAsk const& a, PlacementAsk const& b) const;
    Duration queueing_delay(PlacementAsk const& ask, MonotonicTime now) const;
    bool refuse_if_infeasible(PlacementAsk const& ask, MonotonicTime now);
    void refuse_infeasible(MonotonicTime now);
    void refuse_overdue(std::string const& model, MonotonicTime now);
    std::optional<std::size_t> next_waiting(std::string_view model, std::set<std::string> const& skipped) const;
    std::optional<Placement> find_placement(PlacementAsk const& ask, MonotonicTime now);
    std::optional<Placement> find_decode(PlacementAsk const& ask, Placement placement, MonotonicTime now) const;
    std::int64_t capacity_score(Engine const& engine, PlacementAsk const& ask, MonotonicTime now, MonotonicTime when) const;
    std::vector<PlacementCandidate> prefill_candidates(PlacementAsk const& ask, MonotonicTime now) const;
    std::optional<MonotonicTime> best_first_token(PlacementAsk const& ask, MonotonicTime now) const;
    void grant(PlacementAsk ask, Placement const& placement, MonotonicTime now);
    void refuse(PlacementAsk const& ask, RefusalReason reason, Duration retry_after, MonotonicTime now);
    void detect_caller_retry(PlacementAsk& ask, MonotonicTime now);
    void remove_granted(std::string request, MonotonicTime now);
    void adopt(Engine& engine, HeldWork const& held, MonotonicTime now);
    void remove_unreported(Engine const& engine, EngineReport const& report, MonotonicTime now);
    /// Whether one request tries the engine, after it failed.
    bool is_probed(std::string_view engine) const;
    void note_success(std::string_view engine);
    void end_prefill(std::string_view engine, std::string_view request, MonotonicTime now);
    /// When the engine begins with a prompt that is sent to it now.
    MonotonicTime busy_until(Engine const& engine, MonotonicTime now) const;
    PrefillRateEstimator const& prefill_rate_of(Engine const& engine) const;
    void end_decode_prefill(Granted const& granted, MonotonicTime now);
    void update_prefill_rate(Engine& engine, QueuedPrefill const& prefill, MonotonicTime now);
    Duration compute_time(Engine const& engine, std::int64_t tokens) const;
    bool is_usable(Engine const& engine, MonotonicTime now) const;
    static bool is_cold(Engine const& engine, MonotonicTime now) { return engine.description.cold_rate > 0 && now < engine.description.cold_until; }
    static void take_cold_start_token(Engine& engine, MonotonicTime now);
    std::int64_t usable_slots(Engine const& engine) const;
    std::int64_t releases_before(Engine const& engine, MonotonicTime now, MonotonicTime when) const;
    void hold_slot(Engine& engine, std::string const& request);
    void free_slot(std::string_view engine, std::string_view request);
    MemoryForecast const& forecast_of(Engine const& engine, MonotonicTime now) const;
    MemoryForecast const& forecast_of(PlacementAsk const& ask) const;
    Duration mean_step_time(std::string_view model) const;
    AnswerForecast answer_forecast(PlacementAsk const& ask, double generated_tokens) const;
    double usable_memory(Engine const& engine) const;
    bool may_take(Engine const& engine, EngineRole role, PlacementAsk const& ask, MonotonicTime now) const;
    bool has_capacity(Engine const& engine, PlacementAsk const& ask, MonotonicTime now, MonotonicTime when) const;
    std::int64_t free_slots(Engine const& engine, MonotonicTime now, MonotonicTime when) const;
    std::optional<MonotonicTime> earliest_capacity(PlacementAsk const& ask, MonotonicTime now) const;
    void learn_step_time(Granted const& granted, std::int64_t output_tokens, MonotonicTime now);
    MonotonicTime predicted_release(Granted const& granted) const;
    Duration prefill_time(Engine const& engine, PlacementAsk const& ask) const;
    Duration transfer_time(Engine const& engine, PlacementAsk const& ask) const;
    Duration expected_wait(std::string const& model, MonotonicTime now) const;
    QuantileEstimator& output_estimate(std::string const& model);
    double cost_of(PlacementAsk const& ask) const;

    Options options;
    std::map<std::string, Engine, std::less<>> engines;
    std::map<std::string, Account, std::less<>> accounts;
    std::map<std::string, QuantileEstimator, std::less<>> output_estimates;
    /// By model.
    std::map<std::string, PrefillRateEstimator, std::less<>> prefill_rates;
    /// What a decode engine's reading takes against the pace that engines have for it; the steps of the answers that
    /// it makes meanwhile come on top. By model.
    std::map<std::string, double, std::less<>> decode_prefill_stretch;
    /// Time for one token by model, as measured lately; new engines begin with it.
    std::map<std::string, Duration, std::less<>> model_step_times;
    /// By how much first tokens came later than predicted, as a high quantile in milliseconds.
    QuantileEstimator lateness;
    std::vector<PlacementAsk> waiting;
    RefusalHistory refusal_history;
    /// What waiting requests would hold, by request; filled as needed and emptied now and then.
    mutable std::map<std::string, MemoryForecast, std::less<>> ask_forecasts;
    MonotonicTime last_feasibility_check;
    std::map<std::string, Granted, std::less<>> granted;
    /// Requests released lately: reports lag and still name them.
    std::map<std::string, MonotonicTime, std::less<>> released;
    /// Where a prompt was read last, by its own part.
    struct CachedPrompt {
        std::string engine;
        MonotonicTime since;
    };
    std::map<std::string, CachedPrompt, std::less<>> cached;
    std::vector<PlacementDecision> decisions;
};

}
