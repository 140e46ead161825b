// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibAsync/Spawn.h>
#include <LibCore/Clock.h>
#include <LibCore/LogLine.h>
#include <LibRouter/CacheRelease.h>
#include <LibRouter/StreamMigrator.h>
#include <LibRouter/UpstreamCall.h>
#include <LibRouter/UpstreamLimiter.h>
#include <algorithm>
#include <utility>

namespace Spurtide {

namespace {

/// How often a stream without events is checked; short compared with the pauses that routes allow.
constexpr Duration CHECK_INTERVAL = milliseconds(100);
/// Part of a move's time in which the keeper may wait for capacity; the rest is for the copies.
constexpr double PLACEMENT_TIME_SHARE = 0.4;
constexpr Duration MINIMUM_PLACEMENT_TIME = milliseconds(100);
/// The run may be stopped from the send of the call on, so its answer is awaited for longer than the move should take.
constexpr Duration STOP_TIMEOUT = seconds(2);
/// What the source sent before it stopped arrives within this time. Events that arrive later are sent again by the target.
constexpr Duration DRAIN_TIME = milliseconds(300);
constexpr std::size_t MAXIMUM_RESPONSE_BYTES = 64UL * 1024;

/// Counts a move for as long as it is in progress.
class RunningMove {
public:
    explicit RunningMove(std::shared_ptr<StreamMoves> moves)
        : moves(std::move(moves))
    {
        ++this->moves->running;
    }
    ~RunningMove() { --this->moves->running; }
    RunningMove(RunningMove const&) = delete;
    RunningMove& operator=(RunningMove const&) = delete;

private:
    std::shared_ptr<StreamMoves> moves;
};

// An engine that was released may have left the list already. The engines of an evacuated data centre are shown as leaving, but
// complete what they run.
bool is_leaving(UpstreamList const& upstreams, UpstreamRecord const& engine)
{
    auto const* listed = upstreams.find(engine.identity);
    if (!listed || upstreams.has_departed(engine))
        return true;
    return listed->life == UpstreamRecord::Life::Leaving && !upstreams.evacuations().is_evacuated(engine.data_centre);
}

}

std::string TransferCallError::reason() const
{
    if (this->connection_error)
        return std::string(to_string(*this->connection_error));
    return this->status == 0 ? std::string("answer_broken_off") : "status_" + std::to_string(this->status);
}

StreamMigrator::StreamMigrator(RouterState& state, std::string request, Hooks hooks, int earlier_moves)
    : state(state)
    , request(std::move(request))
    , hooks(std::move(hooks))
    , shared(state.stream_moves)
    , moves(earlier_moves)
    , wake(state.loop.get_executor())
    , changed(state.loop.get_executor())
{
}

void StreamMigrator::follow(UpstreamRecord engine, std::shared_ptr<HttpConnection> connection)
{
    this->engine = std::move(engine);
    this->connection = std::move(connection);
    this->leaving_since.reset();
    this->stop_request = StopRequest::None;
}

void StreamMigrator::start()
{
    spawn(this->state.loop.get_executor(), "migrate_stream", watch(this->shared_from_this()));
}

void StreamMigrator::note_event()
{
    this->consider();
    if (this->decision)
        this->wake.notify();
}

void StreamMigrator::consider()
{
    // A source that may still stop the run is not asked again.
    if (this->is_over || this->move || this->decision || this->stop_request == StopRequest::Unknown)
        return;
    auto const now = monotonic_now();
    if (!is_leaving(this->state.upstreams, this->engine))
        this->leaving_since.reset();
    else if (!this->leaving_since)
        this->leaving_since = now;
    auto stream = this->hooks.stream();
    if (!stream)
        return;
    stream->leaving_since = this->leaving_since;
    stream->moves = this->moves;
    stream->last_attempt = this->last_attempt;
    stream->failed_attempts = this->failed_attempts;
    this->decision = this->shared->policy.decide(*stream, this->shared->running, now);
}

asio::awaitable<void> StreamMigrator::watch(std::shared_ptr<StreamMigrator> self)
{
    while (!self->is_over) {
        self->consider();
        if (self->decision)
            co_await self->carry_out();
        else
            co_await self->wake.wait_until(monotonic_now() + CHECK_INTERVAL);
    }
}

asio::awaitable<void> StreamMigrator::carry_out()
{
    RunningMove const running(this->shared);
    auto const now = monotonic_now();
    this->last_attempt = now;
    auto const chosen = *std::exchange(this->decision, {});
    this->move = Move { chosen, now, now + chosen.time_limit, this->engine };
    auto reason = co_await this->find_target();
    if (reason.empty())
        reason = co_await this->copy();
    if (reason.empty())
        reason = co_await this->stop_source();
    if (!reason.empty())
        this->give_up(reason);
    // The handler completes the move.
    while (this->move)
        co_await this->wake.wait();
}

asio::awaitable<std::string> StreamMigrator::find_target()
{
    auto ask = this->hooks.ask();
    auto const& source = this->move->source.identity;
    ask.migrates_from = source;
    std::erase(ask.excluded_engines, source);
    // Tells the keeper that any other engine is better.
    if (this->move->decision.cause != MigrationCause::MissesDeadline)
        ask.excluded_engines.push_back(source);
    ask.excluded_engines.insert(ask.excluded_engines.end(), this->refused_targets.begin(), this->refused_targets.end());
    PlacementClient::AskTimes times;
    times.first_token_within = this->move->decision.time_limit;
    times.decide_within = std::max(MINIMUM_PLACEMENT_TIME, from_seconds(to_seconds(this->move->decision.time_limit) * PLACEMENT_TIME_SHARE));
    this->pending_ask = std::make_shared<PlacementClient::PendingAsk>(this->state.loop.get_executor());
    auto const placement = co_await this->state.placement->ask(std::move(ask), this->pending_ask, times);
    this->pending_ask.reset();
    this->changed.notify();
    auto const* grant = placement ? std::get_if<PlacementGrant>(&*placement) : nullptr;
    this->holds_grant = grant != nullptr;
    if (this->is_over)
        co_return "stream_ended";
    if (!grant)
        co_return placement ? std::string(to_string(std::get<PlacementRefusal>(*placement).reason)) : "no_answer";
    auto const* target = this->state.upstreams.find(grant->decode_engine);
    if (!target || target->identity == source || !grant->prefill_engine.empty())
        co_return "unusable_grant";
    this->move->target = *target;
    if (auto const obstacle = this->hooks.find_obstacle(*target))
        co_return std::string(*obstacle);
    bool const has_turn = co_await this->hooks.take_turn(this->move->target.identity);
    if (!has_turn)
        co_return "upstreams_limited";
    this->move->has_turn = true;
    if (this->is_over)
        co_return "stream_ended";
    co_return std::string(this->hooks.pay() ? "" : "retry_budget_spent");
}

// The target may refuse connections or have begun to leave, which is better found out while the run goes on.
asio::awaitable<std::string> StreamMigrator::check_target()
{
    if (auto const obstacle = this->hooks.find_obstacle(this->move->target))
        co_return std::string(*obstacle);
    auto link = co_await UpstreamLink::open(this->state, this->move->target, this->hooks.link_options());
    if (link.is_error())
        co_return "target_unreachable";
    link.value()->release_unused();
    co_return std::string(this->is_over ? "stream_ended" : "");
}

asio::awaitable<std::string> StreamMigrator::copy()
{
    auto reason = co_await this->check_target();
    if (!reason.empty())
        co_return reason;
    ++this->moves;
    this->move->has_begun = true;
    this->log_move("stream_move_started", {});
    auto const time_left = std::chrono::duration_cast<Duration>(this->move->deadline - monotonic_now());
    auto const answer = co_await this->call_source(RunTransfer::Source::KeepsRunning, std::max(time_left, milliseconds(1)));
    if (answer.is_error())
        co_return answer.error().reason();
    if (answer.value().outcome == RunTransferResult::Outcome::TargetUnavailable)
        this->refused_targets.push_back(this->move->target.identity);
    if (answer.value().outcome != RunTransferResult::Outcome::Copied)
        co_return std::string(to_string(answer.value().outcome));
    this->move->decision.events = answer.value().events;
    co_return std::string(this->is_over ? "stream_ended" : "");
}

asio::awaitable<std::string> StreamMigrator::stop_source()
{
    using Outcome = RunTransferResult::Outcome;
    auto reason = co_await this->check_target();
    if (!reason.empty())
        co_return reason;
    if (monotonic_now() >= this->move->deadline)
        co_return "out_of_time";
    auto const stream = this->hooks.stream();
    if (stream && this->shared->policy.is_about_to_end(*stream))
        co_return "ends_anyway";
    this->stop_request = StopRequest::Sent;
    auto const answer = co_await this->call_source(RunTransfer::Source::Stops, STOP_TIMEOUT);
    bool const has_stopped = !answer.is_error() && !answer.value().handle.empty();
    if (has_stopped) {
        this->stop_request = StopRequest::Stopped;
        auto const copy = answer.value().outcome == Outcome::Copied ? StoppedRun::Copy::AtTarget : StoppedRun::Copy::AtSourceOnly;
        this->move->stopped = StoppedRun { this->move->source, this->move->target, answer.value().handle, copy };
        // At the end of the stream, the connection returns to the pool for other requests.
        if (!this->is_over)
            this->connection->set_deadline(monotonic_now() + DRAIN_TIME);
    } else {
        // Without a handle, only these two answers say that the call did not stop the run.
        bool const is_declined = !answer.is_error() && (answer.value().outcome == Outcome::NotRunning || answer.value().outcome == Outcome::AlreadyInProgress);
        this->stop_request = is_declined ? StopRequest::Declined : StopRequest::Unknown;
        reason = answer.is_error() ? answer.error().reason() : std::string(to_string(answer.value().outcome));
    }
    this->changed.notify();
    if (this->is_over)
        co_return "stream_ended";
    co_return reason;
}

asio::awaitable<Result<RunTransferResult, TransferCallError>> StreamMigrator::call_source(RunTransfer::Source source, Duration timeout)
{
    RunTransfer const transfer { this->request, this->move->target.address, source };
    ConnectionPool::Call options;
    // A connection that the engine closes at the same moment would leave open whether it has stopped the run.
    options.freshness = ConnectionPool::Freshness::Recent;
    options.timeout = timeout;
    options.largest_body = MAXIMUM_RESPONSE_BYTES;
    auto call = this->state.dialect.run_transfer_request(this->move->source.address, transfer);
    // Leaving engines take these calls too.
    auto const answer = co_await call_upstream(this->state, this->move->source, std::move(call), CallPurpose::Release, std::move(options));
    if (answer.is_error())
        co_return Failure { TransferCallError { answer.error() } };
    if (!answer.value().body)
        co_return Failure { TransferCallError {} };
    auto const result = this->state.dialect.read_run_transfer(answer.value().head.status, *answer.value().body);
    if (result.is_error())
        co_return Failure { TransferCallError { .connection_error = {}, .status = answer.value().head.status } };
    if (!result.value().handle.empty())
        this->move->handles.insert(result.value().handle);
    co_return result.value();
}

asio::awaitable<StreamMigrator::SourceEnd> StreamMigrator::await_source_end()
{
    while (this->stop_request == StopRequest::Sent)
        co_await this->changed.wait();
    SourceEnd end;
    if (this->stop_request == StopRequest::Unknown)
        end.reason = SourceEnd::Reason::Unknown;
    if (this->stop_request == StopRequest::Stopped && this->move && this->move->stopped) {
        end.reason = SourceEnd::Reason::Stopped;
        end.run = this->move->stopped;
    }
    co_return end;
}

void StreamMigrator::complete(MoveOutcome outcome, std::string_view reason)
{
    if (!this->move)
        return;
    if (outcome == MoveOutcome::Lost)
        this->free_handles();
    if (outcome != MoveOutcome::Moved)
        this->refused_targets.push_back(this->move->target.identity);
    this->end_grant(outcome == MoveOutcome::Moved ? MoveEnd::Moved : MoveEnd::Abandoned);
    if (outcome == MoveOutcome::Moved) {
        this->failed_attempts = 0;
        this->log_move("stream_moved", reason);
        this->count_move("moved");
    } else {
        ++this->failed_attempts;
        this->log_move("stream_move_failed", reason);
        this->count_move(outcome == MoveOutcome::Returned ? "returned" : "lost");
    }
    this->move.reset();
    this->last_attempt = monotonic_now();
    this->wake.notify();
}

void StreamMigrator::give_up(std::string_view reason)
{
    if (!this->move)
        return;
    this->free_handles();
    if (this->move->has_turn)
        this->state.limiter->return_turn(this->move->target.identity);
    this->end_grant(MoveEnd::Abandoned);
    this->log_move("stream_move_failed", reason);
    std::string_view const stayed = this->move->has_begun ? "stayed" : "not_begun";
    this->count_move(this->is_over ? "stream_ended" : stayed);
    ++this->failed_attempts;
    this->move.reset();
    this->last_attempt = monotonic_now();
}

asio::awaitable<void> StreamMigrator::end()
{
    this->is_over = true;
    // The keeper frees both engines with the request's grant; this is earlier than an answer that is still awaited.
    this->end_grant(MoveEnd::Abandoned);
    if (this->pending_ask)
        this->pending_ask->give_up();
    // Otherwise a step of the move is in progress, which ends it.
    if (this->move && this->move->stopped)
        this->give_up("stream_ended");
    this->wake.notify();
    // A later placement of the request must not overtake the end of this one.
    while (this->pending_ask)
        co_await this->changed.wait();
}

void StreamMigrator::free_handles()
{
    for (auto const& handle : std::exchange(this->move->handles, {}))
        free_cache(this->state, this->move->source, handle);
}

void StreamMigrator::end_grant(MoveEnd end)
{
    if (std::exchange(this->holds_grant, false))
        this->state.placement->end_move(this->request, end);
}

void StreamMigrator::log_move(std::string_view event, std::string_view reason) const
{
    LogLine line(event);
    line.with("request", this->request).with("from", this->move->source.identity).with("to", this->move->target.identity).with("cause", to_string(this->move->decision.cause)).with("events", this->move->decision.events);
    if (this->move->decision.remaining)
        line.with("remaining_ms", to_milliseconds(*this->move->decision.remaining));
    line.with("limit_ms", to_milliseconds(this->move->decision.time_limit)).with("took_ms", to_milliseconds(std::chrono::duration_cast<Duration>(monotonic_now() - this->move->begun))).with("moves", this->moves);
    if (!reason.empty())
        line.with("reason", reason);
}

void StreamMigrator::count_move(std::string_view outcome) const
{
    std::string const cause(to_string(this->move->decision.cause));
    this->state.metrics.increment("spurtide_stream_moves_total", "Moves of running streams to other engines, by cause and outcome", { { "cause", cause }, { "outcome", std::string(outcome) } });
    if (outcome == "moved")
        this->state.metrics.observe_seconds("spurtide_stream_move_seconds", "From the decision to move a stream to the target's response", to_seconds(std::chrono::duration_cast<Duration>(monotonic_now() - this->move->begun)), { { "cause", cause } });
}

}
