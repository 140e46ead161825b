// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <LibCore/LogLine.h>
#include <Services/EntryServer/ModelCall.h>
#include <Services/EntryServer/RequestIdentifier.h>
#include <algorithm>

namespace Spurtide {

namespace {

constexpr Duration COME_BACK_AFTER_FAILURE = milliseconds(500);
constexpr int MOST_REATTACHES = 2;

}

ModelCall::ModelCall(EntryContext& context, ModelOrder order, StillWanted caller_present)
    : context(context)
    , order(std::move(order))
    , caller_present(std::move(caller_present))
{
}

void ModelCall::move(RequestEvent event)
{
    auto const before = this->state.phase();
    auto const moved = this->state.apply(event);
    if (moved.is_error()) {
        // The table is the authority; an event it does not know here is a fault of this program.
        LogLine("request_state_fault").with("request", this->order.request).with("phase", to_string(before)).with("request_event", to_string(event));
        return;
    }
    LogLine("request_state").with("request", this->order.request).with("from", to_string(before)).with("to", to_string(moved.value())).with("by", to_string(event)).with("attempt", this->attempt);
}

bool ModelCall::is_past_deadline() const { return monotonic_now() >= this->order.deadline; }

WorkName ModelCall::name() const
{
    return { this->work, this->context.kernel.incarnation(), this->order.account };
}

std::optional<Problem> ModelCall::begin()
{
    this->context.note_request();
    this->move(RequestEvent::Admit);
    return this->place_and_prefill();
}

std::optional<Problem> ModelCall::place_and_prefill()
{
    while (true) {
        if (auto problem = this->place())
            return problem;
        if (this->caller_present() == ReadMore::No)
            return this->caller_left();
        auto problem = this->prefill();
        if (problem || this->state.phase() == RequestPhase::CacheHeld)
            return problem;
    }
}

std::optional<Problem> ModelCall::place()
{
    auto const now = monotonic_now();
    ++this->attempt;
    this->work = work_name(this->order.request, this->attempt);
    // A request that has sent tokens before has met its first token; its caller waits for the next one.
    auto const first_token_by = this->relayed_tokens > 0 ? now + this->context.limits.first_token_target : this->order.received + this->context.limits.first_token_target;
    auto const within = std::min(first_token_by, this->order.deadline) - now;
    if (within <= Duration::zero())
        return this->refuse({ ProblemKind::Overloaded, "", RequestOutcome::RefusedNotRun, COME_BACK_AFTER_FAILURE });
    PlacementAsk ask;
    ask.request = this->work;
    ask.account = this->order.account;
    ask.model = this->order.model;
    ask.origin = this->context.kernel.incarnation();
    ask.prompt_tokens = this->order.prompt_tokens;
    ask.maximum_output_tokens = this->order.maximum_output_tokens - this->relayed_tokens;
    ask.relayed_tokens = this->relayed_tokens;
    ask.priority = this->order.priority;
    auto granted = this->context.placement.ask(ask, within);
    if (granted.is_error())
        return this->refuse(granted.error());
    this->placement = granted.release_value();
    this->prefill_engine = this->context.make_engine(this->placement.prefill_address);
    this->decode_engine = this->context.make_engine(this->placement.decode_address);
    this->is_prefill_dispatched = false;
    this->is_decode_dispatched = false;
    this->move(RequestEvent::PromiseSlot);
    return {};
}

std::optional<Problem> ModelCall::prefill()
{
    this->context.owned.add(this->work);
    this->is_prefill_dispatched = true;
    this->move(RequestEvent::DispatchPrefill);
    this->context.placement.progress(this->work, this->placement.decode_engine, GrantProgress::Prefilling);
    PrefillOrder const prefill_order { this->name(), this->order.model, this->order.prompt, this->relayed_text, this->relayed_tokens };
    auto const result = this->prefill_engine->prefill(prefill_order, this->caller_present);
    if (result.is_error()) {
        if (result.error().kind == EngineErrorKind::Stopped)
            return this->caller_left();
        return this->try_again(result.error());
    }
    if (this->relayed_tokens == 0)
        this->prefilled = result.value();
    this->move(RequestEvent::HoldCache);
    this->context.placement.progress(this->work, this->placement.decode_engine, GrantProgress::CacheHeld);
    return {};
}

// Empty where the request may be placed once more; it is in phase Admitted then.
std::optional<Problem> ModelCall::try_again(EngineError const& error)
{
    LogLine("attempt_failed").with("request", this->order.request).with("attempt", this->attempt).with("phase", to_string(this->state.phase())).with("reason", to_string(error.kind)).with("prefill", this->placement.prefill_engine).with("decode", this->placement.decode_engine);
    this->context.metrics.increment("spurtide_attempts_failed_total", "Attempts at upstreams that failed.", { { "reason", std::string(to_string(error.kind)) } });
    // An export that was gone means a transfer that did not end in time, which the decode engine is asked about.
    bool const is_engine_failure = error.kind == EngineErrorKind::Unreachable || error.kind == EngineErrorKind::Lost || error.kind == EngineErrorKind::ExportGone;
    if (is_engine_failure)
        this->context.placement.tell_failure(this->work, this->is_decode_dispatched ? this->placement.decode_engine : this->placement.prefill_engine);
    this->drop_work();
    if (this->caller_present() == ReadMore::No) {
        this->move(RequestEvent::CallerLeft);
        return Problem { ProblemKind::CallerGone, "", this->state.outcome(), {} };
    }
    auto const wait = std::max(error.retry_after, Duration::zero());
    bool const has_attempts = this->attempt < this->context.limits.most_attempts;
    bool const has_time = monotonic_now() + wait < this->order.deadline;
    if (!has_attempts || !has_time || !this->context.try_spend_retry())
        return this->give_up(this->is_past_deadline() ? ProblemKind::DeadlinePassed : ProblemKind::UpstreamFailed, std::max(wait, COME_BACK_AFTER_FAILURE));
    this->move(RequestEvent::LoseUpstream);
    return {};
}

Result<DecodeEnd, Problem> ModelCall::relay(Sink const& sink)
{
    while (true) {
        auto const result = this->decode_attempt(sink);
        if (!result.is_error()) {
            this->finish(result.value());
            return result.value();
        }
        if (auto problem = this->after_decode_error(result.error()))
            return Failure { *problem };
        if (auto problem = this->place_and_prefill())
            return Failure { *problem };
    }
}

ReadMore ModelCall::take_token(EngineToken const* token, Sink const& sink)
{
    if (this->is_past_deadline())
        return ReadMore::No;
    if (!token)
        return sink(nullptr, this->work, this->placement.decode_engine);
    auto const now = monotonic_now();
    if (this->state.phase() == RequestPhase::Transferring) {
        this->move(RequestEvent::StartDecode);
        this->context.placement.progress(this->work, this->placement.decode_engine, GrantProgress::Decoding);
    }
    if (this->relayed_tokens == 0)
        this->context.metrics.observe_seconds("spurtide_first_token_seconds", "Time to the first token.", to_seconds(now - this->order.received));
    else
        this->context.metrics.observe_seconds("spurtide_between_tokens_seconds", "Time between two tokens.", to_seconds(now - this->last_token));
    this->last_token = now;
    auto const more = sink(token, this->work, this->placement.decode_engine);
    if (more == ReadMore::Yes) {
        this->relayed_text += token->text;
        ++this->relayed_tokens;
    }
    return more;
}

Result<DecodeEnd, EngineError> ModelCall::decode_attempt(Sink const& sink)
{
    auto const take = [&](EngineToken const* token) { return this->take_token(token, sink); };
    this->reader = unix_milliseconds();
    this->is_decode_dispatched = true;
    this->move(RequestEvent::StartTransfer);
    DecodeOrder const decode { this->name(), this->order.model, this->placement.prefill_address, this->order.maximum_output_tokens, this->reader };
    auto result = this->decode_engine->decode(decode, take);
    // A link that broke in mid-stream leaves the stream on the engine: it is read on from where it stopped.
    for (int tries = 0; tries < MOST_REATTACHES; ++tries) {
        if (!result.is_error() || result.error().kind != EngineErrorKind::Lost || this->state.phase() != RequestPhase::Decoding)
            break;
        this->reader = std::max(unix_milliseconds(), this->reader + 1);
        LogLine("reattach").with("request", this->order.request).with("engine", this->placement.decode_engine).with("offset", this->relayed_tokens);
        result = this->decode_engine->attach({ this->name(), this->relayed_tokens, this->reader }, take);
    }
    return result;
}

std::optional<Problem> ModelCall::after_decode_error(EngineError const& error)
{
    if (error.kind == EngineErrorKind::Fenced) {
        // The stream goes on with its newer reader, who answers for the work from here.
        this->context.owned.remove(this->work);
        this->move(RequestEvent::CallerLeft);
        return Problem { ProblemKind::TakenOver, "", this->state.outcome(), {} };
    }
    if (error.kind == EngineErrorKind::Stopped) {
        if (!this->is_past_deadline())
            return this->caller_left();
        this->drop_work();
        return this->give_up(ProblemKind::DeadlinePassed, Duration::zero());
    }
    return this->try_again(error);
}

void ModelCall::finish(DecodeEnd const& end)
{
    // An answer of no token is finished without ever having decoded.
    if (this->state.phase() == RequestPhase::Transferring)
        this->move(RequestEvent::StartDecode);
    this->move(RequestEvent::Finish);
    this->context.owned.remove(this->work);
    this->context.placement.release(this->work, this->placement.decode_engine, end.output_tokens);
}

// Cancels this attempt wherever it may be held, and frees its slot.
void ModelCall::drop_work()
{
    auto const work_now = this->work;
    auto const decode_name = this->placement.decode_engine;
    auto* context_now = &this->context;
    auto const release = [context_now, work_now, decode_name] { context_now->placement.release(work_now, decode_name, 0); };
    if (this->is_prefill_dispatched)
        this->context.owned.abandon({ this->work, this->prefill_engine, 0, this->is_decode_dispatched ? std::function<void()> {} : release }, Duration::zero());
    if (this->is_decode_dispatched)
        this->context.owned.abandon({ this->work, this->decode_engine, 0, release }, Duration::zero());
    if (!this->is_prefill_dispatched)
        release();
}

Problem ModelCall::caller_left()
{
    bool const may_come_back = this->order.resume == ModelOrder::Resume::Possible && this->state.phase() == RequestPhase::Decoding;
    if (may_come_back) {
        auto const work_now = this->work;
        auto const decode_name = this->placement.decode_engine;
        auto* context_now = &this->context;
        auto const release = [context_now, work_now, decode_name] { context_now->placement.release(work_now, decode_name, 0); };
        this->context.owned.abandon({ this->work, this->decode_engine, this->reader, release }, this->context.limits.resume_grace);
    } else {
        this->drop_work();
    }
    this->move(RequestEvent::CallerLeft);
    return { ProblemKind::CallerGone, "", this->state.outcome(), {} };
}

Problem ModelCall::refuse(Problem problem)
{
    if (this->state.was_dispatched())
        return this->give_up(this->is_past_deadline() ? ProblemKind::DeadlinePassed : ProblemKind::UpstreamFailed, problem.retry_after);
    this->move(RequestEvent::Refuse);
    problem.outcome = this->state.outcome();
    return problem;
}

Problem ModelCall::give_up(ProblemKind kind, Duration retry_after)
{
    this->move(RequestEvent::GiveUp);
    return { kind, "", this->state.outcome(), retry_after };
}

}
