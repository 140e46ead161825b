// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <LibDecision/CompletionForecast.h>
#include <LibDecision/DecodeMemoryShares.h>
#include <LibDecision/EnginePaceTable.h>
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

/// An engine as described by the configuration.
struct EngineDescription {
    std::string name;
    std::string model;
    EngineRole role = EngineRole::Prefill;
    std::int64_t decode_slots = 0;
    /// Initial estimate in prompt tokens per second, used until prefills have been measured.
    double prefill_rate = 8000;
    /// KV cache bytes per prompt token, and link bandwidth in bytes per second.
    double cache_bytes_per_token = 0;
    double link_rate = 1;
    /// Capacity of the KV cache in tokens; 0 if only the number of slots is limited.
    std::int64_t memory_tokens = 0;
    std::string data_centre {};
    /// Output tokens delivered in one event.
    std::int64_t tokens_per_event = 1;
    /// Distinguishes restarts under the same name; 0 if each incarnation has a name of its own.
    std::int64_t started = 0;
    /// Requests per second that the engine accepts until cold_until; 0 if unlimited.
    double cold_rate = 0;
    MonotonicTime cold_until {};
    /// Version of the engine's software; empty if unknown. A cache that one version has written is not read by another.
    std::string software_version {};
};

/// A request that an engine reports as held.
struct HeldWork {
    std::string request;
    std::string origin;
    std::string account;
    /// Whether a reader is currently attached to the stream.
    enum class Reader {
        None,
        Attached,
    } reader
        = Reader::None;
};

/// The last report of an engine.
struct EngineReport {
    enum class Life {
        Serving,
        Leaving,
    } life
        = Life::Serving;
    Duration step_time {};
    std::vector<HeldWork> held;
};

/// The scheduling weight and rate limit of an account.
struct AccountDescription {
    std::string name;
    double weight = 1;
    double requests_per_second = 100;
    double burst = 100;
};

/// Whether the same request was refused to this caller before.
enum class CallerAttempt {
    First,
    Retry,
};

/// Identifies an ask, and the grant that it leads to. Callers choose the names of requests, and a request is placed again after
/// a failure, so that several asks may have the same one.
struct AskIdentity {
    std::string origin {};
    /// Among the asks of the origin; 0 for those of an earlier version, whose messages name the request only.
    std::uint64_t number = 0;

    bool matches(AskIdentity const& other) const
    {
        return this->number == 0 || other.number == 0 || (this->number == other.number && this->origin == other.origin);
    }
};

/// A request for a prefill engine and a decode slot.
struct PlacementAsk {
    std::string request;
    std::string account;
    std::string model;
    std::string origin;
    std::int64_t prompt_tokens = 0;
    std::int64_t maximum_output_tokens = 0;
    /// Output tokens that were already relayed and are not decoded again.
    std::int64_t relayed_tokens = 0;
    MonotonicTime first_token_deadline;
    /// Higher values are scheduled first.
    std::int64_t priority = 0;
    /// Expected length of the output; 0 to use the estimate learned for the model.
    std::int64_t expected_output_tokens = 0;
    /// A request that is not placed by this time is refused, so that the caller is notified early enough to retry.
    std::optional<MonotonicTime> decide_by {};
    /// Engines on which this request failed before.
    std::vector<std::string> excluded_engines {};
    /// Data centres that the request must not use or that its VM cannot reach.
    std::vector<std::string> excluded_data_centres {};
    /// Data centre of the VM that relays the answer.
    std::string data_centre {};
    /// Longest acceptable pause between two events; zero if there is no limit.
    Duration longest_pause {};
    /// Identifies the part of the prompt that is unique to the session; empty if unknown.
    std::string own_part {};
    /// Latest time at which a late first token is still useful to the caller. A retry of a refused request is served
    /// late rather than refused again.
    std::optional<MonotonicTime> late_deadline {};
    /// The caller has received events of the stream, which only continues at engines with this software version. Placed before
    /// new streams of the same priority, which have more engines to choose from. Empty for a new stream.
    std::string software_version {};
    /// Time by which the answer has to be complete: the earlier of the caller's deadline and the route's timeout.
    std::optional<MonotonicTime> finish_by {};
    /// The engine that runs the request now, for a request that asks for another decode engine to move to. Empty for a
    /// request that is not running. If excluded_engines names this engine too, the answer is not expected to end there
    /// (the engine is leaving or does not send), and any other engine is accepted; otherwise only one that ends earlier.
    std::string migrates_from {};
    /// See AskIdentity.
    std::uint64_t number = 0;
    /// Numbers of the origin's earlier asks of the request that hold nothing any more. Their releases may be lost or delayed.
    std::vector<std::uint64_t> released_numbers {};
    /// Set by the scheduler.
    CallerAttempt caller_attempt = CallerAttempt::First;
    /// Late requests can no longer meet their deadline and are scheduled after all on-time requests of the same
    /// priority.
    enum class Timeliness {
        OnTime,
        Late,
    } timeliness
        = Timeliness::OnTime;

    AskIdentity identity() const { return { this->origin, this->number }; }
};

struct PlacementGrant {
    std::string request;
    std::string prefill_engine;
    std::string decode_engine;
    MonotonicTime predicted_first_token;
    std::size_t candidates = 0;
    CallerAttempt caller_attempt = CallerAttempt::First;
    /// Weighted usage of the account before the grant, in tokens of memory.
    double account_usage = 0;
};

enum class RefusalReason {
    UnknownModel,
    UnknownAccount,
    RateLimited,
    NoUpstream,
    CannotMeetFirstToken,
    QueueFull,
    Duplicate,
    CannotFinishInTime,
};

std::string_view to_string(RefusalReason reason);

struct PlacementRefusal {
    std::string request;
    RefusalReason reason;
    /// Delay after which the caller should retry.
    Duration retry_after {};
    CallerAttempt caller_attempt = CallerAttempt::First;
};

using PlacementDecision = std::variant<PlacementGrant, PlacementRefusal>;

/// Progress of a granted request, as reported by its origin.
enum class GrantProgress {
    Prefilling,
    CacheHeld,
    Decoding,
};

/// How the move of a running request to another engine ended, as reported by its origin.
enum class MoveEnd {
    Moved,
    Abandoned,
};

/// A prefill or decode engine that is eligible for a request.
struct PlacementCandidate {
    std::string_view engine;
    std::int64_t free_slots = 0;
    MonotonicTime ready;
    /// Added to the ready time when candidates are compared.
    Duration preference_penalty {};
};

/// Scheduling choices that experiments can replace.
struct SchedulerPolicy {
    /// Whether a prefill may start only if a decode slot is expected to be free when it ends.
    enum class SlotPromise {
        Required,
        Ignored,
    } slot_promise
        = SlotPromise::Required;
    /// Whether a request is refused as soon as its first token deadline cannot be met.
    enum class EarlyRefusal {
        On,
        Off,
    } early_refusal
        = EarlyRefusal::On;
    /// Whether a request that fits now may be placed ahead of one that has to wait for more capacity.
    enum class Backfill {
        On,
        Off,
    } backfill
        = Backfill::Off;
    /// Whether the engines with the fewest failures are used while all engines of the role are in backoff.
    enum class LastResort {
        On,
        Off,
    } last_resort
        = LastResort::Off;
    /// Whether decode engines run prefills: only while no prefill engine is available, or also when prefill engines
    /// would miss the deadline.
    enum class DecodePrefill {
        Off,
        WithoutPrefillEngines,
        Overflow,
    } decode_prefill
        = DecodePrefill::Off;
    /// Whether the time by which an answer has to be complete determines the choice of its decode engine.
    enum class Completion {
        Considered,
        Ignored,
    } completion
        = Completion::Considered;
    /// Whether an account above its share of scarce decode memory leaves the rest to the accounts below theirs.
    enum class AccountBound {
        On,
        Off,
    } account_bound
        = AccountBound::On;
    /// Selects one of the candidates; the default policy applies if unset.
    std::function<std::size_t(std::span<PlacementCandidate const>)> choose_prefill;
    std::function<std::size_t(std::span<PlacementCandidate const>)> choose_decode;
};

/// Schedules all requests of one cell: assigns prefill engines and decode slots and decides when each request starts.
/// Performs no I/O; the current time is an argument of each call.
class CellScheduler {
public:
    struct Options {
        /// Engines whose last report is older get no new requests.
        Duration report_validity = milliseconds(3000);
        /// A grant that its origin has not confirmed within this time is withdrawn.
        Duration grant_lease = milliseconds(1500);
        /// A grant that neither its origin nor an engine report has mentioned for this long is removed, since its
        /// release was lost.
        Duration stale_grant_timeout = milliseconds(3000);
        /// Backoff after the first failure of an engine, and its upper bound.
        Duration initial_backoff = milliseconds(500);
        Duration maximum_backoff = milliseconds(10'000);
        /// Maximum queueing delay at a prefill engine. Short, so that requests are assigned as late as possible.
        Duration prefill_ahead = milliseconds(300);
        /// How long an engine holds the KV cache of a finished prefill.
        Duration cache_hold = milliseconds(900);
        /// Part of the hold time that is reserved for prediction errors.
        Duration safety_margin = milliseconds(100);
        std::size_t queue_limit = 2000;
        /// Width of the hash-based jitter added to retry delays, so that refused callers do not retry all at once.
        Duration return_spread {};
        /// Whether an engine must have sent a recent report to be used.
        enum class ReportNeed {
            Required,
            None,
        } report_need
            = ReportNeed::Required;
        /// Fraction of an engine's memory that is never promised, so that answers that grow longer than expected are
        /// not preempted.
        double memory_headroom = 0.05;
        MemoryForecast::Options forecast {};
        /// Fraction of memory by which a decode engine in the data centre of the requesting VM may be fuller and is
        /// still preferred. Streams that stay in one data centre are not affected by a partition between data centres.
        double local_memory_preference = 0.15;
        /// Delay by which a prefill engine in the data centre of the requesting VM may finish later and is still
        /// preferred. Decode engines are chosen there too, so the KV cache stays in one data centre, which halves link
        /// time and cost. 30 ms is a third of a typical prefill and small compared with the first token target.
        Duration local_prefill_preference = milliseconds(30);
        /// Weight of an engine's pace against its free memory, as a fraction of its memory, among the engines that complete an
        /// answer in time. Simulations gave no clear difference between 0.1 and 0.4, so free memory keeps most of its weight.
        double pace_weight = 0.1;
        /// Decode step time assumed until it has been measured.
        Duration initial_step_time = milliseconds(25);
        /// Decode engines whose time between tokens exceeds this get no further requests.
        Duration token_target = milliseconds(37);
        SchedulerPolicy policy {};
    };

    explicit CellScheduler(Options options);

    /// Replaces the set of engines. The state of engines that remain is kept.
    void set_engines(std::span<EngineDescription const> engines);
    void set_accounts(std::span<AccountDescription const> accounts, MonotonicTime now);

    void report(std::string_view engine, EngineReport const& report, MonotonicTime now);
    /// Records a failed attempt at the engine. It gets no new requests until it reports again and its backoff has
    /// expired; the backoff doubles with each consecutive failure. A single probe request then has to succeed before
    /// the engine gets more.
    void note_failure(std::string_view engine, MonotonicTime now);
    /// Marks the engine as leaving because of the VM list or an operator's drain. Stays in effect until it is cleared.
    void set_leaving(std::string_view engine, EngineReport::Life life);

    void ask(PlacementAsk ask, MonotonicTime now);
    /// Ends the move of a running request. The grant stays in force at the engine that it names afterwards: the given
    /// target if it moved, the source if the move was abandoned.
    void end_move(std::string_view request, MoveEnd end, std::string_view target, MonotonicTime now, AskIdentity const& identity = {});
    void progress(std::string_view request, GrantProgress progress, MonotonicTime now, AskIdentity const& identity = {});
    /// Restores a grant of an earlier keeper as reported by its origin, replacing a grant adopted from an engine
    /// report, or an earlier grant of the same origin whose release was lost. For a known grant this confirms that it is still
    /// in use, and brings it up to the reported progress. The age is the time since the last progress. Names the engine that
    /// the request is moving to, if any.
    void restore(PlacementAsk ask, std::string_view prefill_engine, std::string_view decode_engine, GrantProgress progress, Duration age, MonotonicTime now, std::string_view moves_to = {});
    /// Records that the engine has cached the prompts with these session parts.
    void note_cached(std::string_view engine, std::span<std::string const> own_parts, MonotonicTime now);
    /// Releases what the ask holds, for a request that ended or whose caller disconnected. A message that is delayed leaves a
    /// later grant of the same request in force.
    void release(std::string_view request, std::int64_t output_tokens, MonotonicTime now, AskIdentity const& identity = {});

    /// Releases the grants of an origin whose process is dead. Slots that engines still report as held stay occupied.
    void remove_origin(std::string_view origin, MonotonicTime now);
    /// Origins that hold a grant or wait for one.
    std::set<std::string> origins() const;

    /// Removes expired grants, refuses overdue requests and places waiting requests that now fit.
    void advance(MonotonicTime now);

    /// Returns the decisions made since the last call, in order.
    std::vector<PlacementDecision> take_decisions();

    /// The engine that serves a request's stream, and the account it belongs to.
    struct Location {
        std::string decode_engine;
        std::string account;
    };
    std::optional<Location> locate(std::string_view request) const;
    bool knows(std::string_view request) const;

    /// State of an engine that is relevant to role balancing and capacity.
    struct EngineState {
        std::string name;
        EngineRole role = EngineRole::Prefill;
        std::string data_centre;
        /// Queued prefills, running answers and promised slots.
        std::int64_t work = 0;
        /// Rate learned for the engine's model.
        double prefill_rate = 0;
        Duration step_time {};
        bool is_rate_measured = false;
        /// Memory available to answers, in tokens.
        double memory_tokens = 0;
        std::int64_t decode_slots = 0;
        /// Whether the last request sent to the engine failed. The engine may only be unreachable from this VM.
        bool is_failing = false;
        bool is_leaving = false;
        /// Time for the same work relative to a typical engine of the model; 1 until it has been measured.
        double relative_time = 1;
        bool is_speed_measured = false;
    };
    /// Engine states by model.
    std::map<std::string, std::vector<EngineState>> engine_states() const;

    /// Models with waiting requests, or whose engines of a role use more than the given share of their capacity: decode
    /// slots for decode engines, queue positions for prefill engines.
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
    /// Bounds of the retry delay of refused callers.
    static constexpr Duration MINIMUM_RETRY_AFTER = milliseconds(100);
    static constexpr Duration MAXIMUM_RETRY_AFTER = seconds(30);
    /// Quantile of lengths that the learned output estimate follows, and its distance from the median in standard deviations.
    static constexpr double OUTPUT_QUANTILE = 0.8;
    static constexpr double DEVIATIONS_OF_OUTPUT_QUANTILE = 0.8416;

    struct QueuedPrefill {
        std::string request;
        std::int64_t tokens = 0;
        MonotonicTime started;
        /// Whether another prompt was queued ahead of this one.
        bool was_queued = false;
    };

    struct Engine {
        EngineDescription description;
        std::optional<MonotonicTime> last_report;
        EngineReport::Life reported_life = EngineReport::Life::Serving;
        EngineReport::Life hinted_life = EngineReport::Life::Serving;
        int consecutive_failures = 0;
        MonotonicTime backoff_until;
        /// The only request that is placed on an engine after a failure until it succeeds.
        std::string probe_request;
        Duration step_time = milliseconds(25);
        /// Ratio of prefill times on this engine to the average of the model.
        double slowness = 1;
        /// Number of prefills that the slowness was measured with.
        int slowness_samples = 0;
        /// Unfinished prefills in the order of their grants. On a decode engine, those that it runs itself.
        std::vector<QueuedPrefill> prefills;
        /// Limits the request rate while the engine is cold.
        mutable std::optional<TokenBucket> cold_start_bucket;
        /// In backoff, but used because all engines of the role are and this one failed least.
        bool is_last_resort = false;
        /// Requests that hold or were promised a slot on this engine.
        std::set<std::string, std::less<>> slots;
        /// Cached memory forecast; unset when it has to be recomputed.
        mutable std::optional<MemoryForecast> forecast;
        mutable MonotonicTime forecast_made;
    };

    struct Granted {
        PlacementAsk ask;
        std::string prefill_engine;
        std::string decode_engine;
        GrantProgress phase = GrantProgress::Prefilling;
        /// Known only from an engine report, from before this keeper's term.
        bool adopted = false;
        /// Whether the origin has confirmed that it uses the grant.
        bool is_confirmed = false;
        MonotonicTime granted_at;
        /// When the origin or an engine report last mentioned the grant.
        MonotonicTime last_seen;
        MonotonicTime predicted_first_token;
        MonotonicTime decode_from;
        /// Output tokens generated before decode_from, at another engine.
        double tokens_before = 0;
        /// Memory that counts towards the account's share, in tokens.
        double memory_claim = 0;
        /// The engine that the request is moving to, which holds a slot and memory for it; empty if none.
        std::string moves_to;
        MonotonicTime move_granted_at;

        /// The engine that runs the prefill: the decode engine if there is no prefill engine.
        std::string const& prefilling_engine() const { return this->prefill_engine.empty() ? this->decode_engine : this->prefill_engine; }
    };

    struct Account {
        AccountDescription description;
        TokenBucket bucket;
    };

    struct Placement {
        std::string prefill;
        std::string decode;
        /// Capacity score of the decode engine.
        std::int64_t score = 0;
        CompletionOutlook outlook = CompletionOutlook::Likely;
        MonotonicTime first_token;
        MonotonicTime prefill_end;
        /// Prompt and relayed tokens that have to be prefilled.
        std::int64_t tokens = 0;
        std::size_t candidates = 0;
    };

    struct DecodeChoice {
        PlacementCandidate candidate;
        CompletionOutlook outlook = CompletionOutlook::Likely;
    };

    enum class ScheduleStep {
        Placed,
        Refused,
        MustWait,
        /// The engines that have capacity would not complete the answer in time.
        MustWaitForFasterEngine,
    };

    void schedule(MonotonicTime now);
    void mark_last_resorts(MonotonicTime now);
    /// Software versions of the decode engines that are eligible for the request.
    std::vector<std::string_view> decode_versions(PlacementAsk const& ask, MonotonicTime now) const;
    /// Prefill engines that are eligible for the request together with a decode engine of their software version.
    std::vector<Engine const*> paired_prefill_engines(PlacementAsk const& ask, MonotonicTime now) const;
    /// Why a decode engine runs a prefill.
    enum class DecodePrefillCause {
        NoPrefillEngine,
        Overflow,
    };
    std::optional<Placement> find_cached(PlacementAsk const& ask, MonotonicTime now) const;
    std::optional<Placement> find_decode_prefill(PlacementAsk const& ask, DecodePrefillCause cause, MonotonicTime now) const;
    bool can_run_prefill(Engine const& engine, PlacementAsk const& ask, MonotonicTime now) const;
    bool is_overflow_due(PlacementAsk const& ask, MonotonicTime now) const;
    std::optional<MonotonicTime> best_disaggregated(PlacementAsk const& ask, MonotonicTime now) const;
    std::optional<MonotonicTime> best_decode_prefill(PlacementAsk const& ask, MonotonicTime now) const;
    bool is_on_time(Placement const& placement, PlacementAsk const& ask) const;
    void schedule_model(std::string const& model, MonotonicTime now);
    ScheduleStep schedule_one(std::size_t index, MonotonicTime now);
    void skip_resumed(std::string_view model, std::set<std::string>& skipped) const;
    Duration expected_lateness() const;
    bool precedes(PlacementAsk const& a, PlacementAsk const& b, MonotonicTime now) const;
    DecodeMemoryShares& memory_shares_of(std::string const& model);
    double usage_of(PlacementAsk const& ask, MonotonicTime now) const;
    double memory_claim(PlacementAsk const& ask) const;
    void note_memory_ask(PlacementAsk const& ask, MonotonicTime now);
    void hold_memory(Granted& granted, MonotonicTime now);
    void release_memory(Granted const& granted, MonotonicTime now);
    /// Whether the request's account is over its share of decode memory, and whether others need the memory that is free.
    enum class ShareStatus {
        Within,
        Over,
        Bounded,
    };
    ShareStatus share_status(PlacementAsk const& ask, MonotonicTime now) const;
    void skip_account(PlacementAsk const& held_up, std::set<std::string>& skipped) const;
    Duration queueing_delay(PlacementAsk const& ask, MonotonicTime now) const;
    bool refuse_if_infeasible(PlacementAsk const& ask, MonotonicTime now);
    void refuse_infeasible(MonotonicTime now);
    void refuse_overdue(std::string const& model, MonotonicTime now);
    std::optional<std::size_t> next_waiting(std::string_view model, std::set<std::string> const& skipped, MonotonicTime now) const;
    std::optional<Placement> find_placement(PlacementAsk const& ask, MonotonicTime now);
    std::optional<Placement> find_decode(PlacementAsk const& ask, Placement placement, std::string_view software_version, MonotonicTime now) const;
    std::optional<Placement> better_of(std::optional<Placement> a, std::optional<Placement> b, PlacementAsk const& ask) const;
    /// Time per output token; empty if no engine of the model has been measured.
    std::optional<Duration> pace_of(Engine const& engine) const;
    void forget_missing_paces(MonotonicTime now);
    /// Time for the same work relative to a typical engine of the model; empty until it has been measured.
    std::optional<double> relative_time_of(Engine const& engine) const;
    RemainingLength remaining_length_of(PlacementAsk const& ask) const;
    static bool may_wait_for_completion(PlacementAsk const& ask);
    DecodeChoice choose_decode(std::vector<PlacementCandidate> candidates, PlacementAsk const& ask) const;
    bool is_too_long(PlacementAsk const& ask, MonotonicTime first_token) const;
    std::int64_t capacity_score(Engine const& engine, PlacementAsk const& ask, MonotonicTime now, MonotonicTime when) const;
    std::vector<PlacementCandidate> prefill_candidates(PlacementAsk const& ask, MonotonicTime now) const;
    std::optional<MonotonicTime> best_first_token(PlacementAsk const& ask, MonotonicTime now) const;
    void grant(PlacementAsk ask, Placement const& placement, MonotonicTime now);
    void refuse(PlacementAsk const& ask, RefusalReason reason, Duration retry_after, MonotonicTime now);
    void ask_for_move(PlacementAsk ask, MonotonicTime now);
    std::optional<PlacementCandidate> find_move_target(PlacementAsk const& ask, MonotonicTime now) const;
    /// Time from now until the rest of the answer is complete at the engine, from the expected length.
    Duration remaining_time(Engine const& engine, PlacementAsk const& ask) const;
    void start_move(Granted& granted, std::string_view target, MonotonicTime now);
    void reconcile_move(Granted& granted, std::string_view decode_engine, std::string_view moves_to, MonotonicTime now);
    void detect_caller_retry(PlacementAsk& ask, MonotonicTime now);
    void remove_granted(std::string request, MonotonicTime now);
    /// Removes the grant of an earlier ask if the origin says that it holds nothing any more.
    void remove_superseded(PlacementAsk const& ask, MonotonicTime now);
    /// Brings a known grant up to the progress that its origin reports with a renewal.
    void reconcile_progress(Granted& granted, GrantProgress progress, Duration age, MonotonicTime now);
    void adopt(Engine& engine, HeldWork const& held, MonotonicTime now);
    void remove_unreported(Engine const& engine, EngineReport const& report, MonotonicTime now);
    /// Whether the engine failed and has not served a request successfully since.
    bool is_probed(std::string_view engine) const;
    void note_success(std::string_view engine);
    void end_prefill(std::string_view engine, std::string_view request, MonotonicTime now);
    /// When the engine would start a prompt that is sent to it now.
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
    bool is_eligible(Engine const& engine, EngineRole role, PlacementAsk const& ask, MonotonicTime now) const;
    bool has_capacity(Engine const& engine, PlacementAsk const& ask, MonotonicTime now, MonotonicTime when) const;
    std::int64_t free_slots(Engine const& engine, MonotonicTime now, MonotonicTime when) const;
    std::optional<MonotonicTime> earliest_capacity(PlacementAsk const& ask, MonotonicTime now) const;
    void update_step_time(Granted const& granted, std::int64_t output_tokens, MonotonicTime now);
    MonotonicTime predicted_release(Granted const& granted) const;
    Duration prefill_time(Engine const& engine, PlacementAsk const& ask) const;
    Duration transfer_time(Engine const& engine, PlacementAsk const& ask) const;
    Duration expected_wait(std::string const& model, MonotonicTime now) const;
    QuantileEstimator& output_estimate(std::string const& model);

    Options options;
    std::map<std::string, Engine, std::less<>> engines;
    std::map<std::string, Account, std::less<>> accounts;
    std::map<std::string, QuantileEstimator, std::less<>> output_estimates;
    /// By model.
    std::map<std::string, PrefillRateEstimator, std::less<>> prefill_rates;
    /// Ratio of prefill time on a decode engine to its nominal time, which grows with the decode steps interleaved with
    /// the prefill. By model.
    std::map<std::string, double, std::less<>> decode_prefill_stretch;
    /// Recently measured time per output token by model; the initial value for new engines.
    std::map<std::string, Duration, std::less<>> model_step_times;
    EnginePaceTable paces;
    /// By model.
    std::map<std::string, DecodeMemoryShares, std::less<>> memory_shares;
    /// Memory that is not committed at each usable decode engine with a free slot, by model. Cleared by each scheduling pass and grant.
    mutable std::map<std::string, std::vector<double>, std::less<>> free_decode_memory;
    MonotonicTime paces_checked;
    /// How much later than predicted first tokens arrived, as a high quantile in milliseconds.
    QuantileEstimator lateness;
    std::vector<PlacementAsk> waiting;
    RefusalHistory refusal_history;
    /// Memory forecasts of waiting requests by request; computed on demand and purged occasionally.
    mutable std::map<std::string, MemoryForecast, std::less<>> ask_forecasts;
    MonotonicTime last_feasibility_check;
    std::map<std::string, Granted, std::less<>> granted;
    /// Recently released requests, which delayed reports may still mention.
    std::map<std::string, MonotonicTime, std::less<>> released;
    /// The engine that last ran the prefill of a prompt, by the prompt's session part.
    struct CachedPrompt {
        std::string engine;
        MonotonicTime since;
    };
    std::map<std::string, CachedPrompt, std::less<>> cached;
    std::vector<PlacementDecision> decisions;
};

}
