// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <LibCore/LogLine.h>
#include <LibRouter/StreamFlow.h>
#include <LibRouter/UpstreamLimiter.h>

namespace Spurtide {

namespace {

/// Of the time to the first event: a caller that is refused within it can still be served in time elsewhere.
constexpr double DECISION_SHARE = 0.22;
/// Of the time that callers wait for an event before they leave.
constexpr double CONTINUATION_SHARE = 0.7;
/// Less is not worth a placement.
constexpr Duration LEAST_TIME_FOR_PLACEMENT = milliseconds(200);
/// Reading the longest prompts and the queue before them takes less.
constexpr Duration PREFILL_PATIENCE = milliseconds(1200);
constexpr int MOST_PLACEMENTS = 3;
constexpr std::size_t LARGEST_PREFILL_ANSWER = 64UL * 1024;
constexpr Duration FREE_CACHE_TIMEOUT = milliseconds(500);
constexpr Duration LOST_ENGINE_RETRY_AFTER = milliseconds(400);

}

std::string EventBoundary::take(std::string_view bytes)
{
    this->pending += bytes;
    auto const end = this->pending.rfind("\n\n");
    if (end == std::string::npos)
        return {};
    std::string whole = this->pending.substr(0, end + 2);
    this->pending.erase(0, end + 2);
    for (auto position = whole.find("\n\n"); position != std::string::npos; position = whole.find("\n\n", position + 2))
        ++this->events;
    constexpr std::string_view ID = "id:";
    for (auto line = whole.rfind(ID); line != std::string::npos; line = whole.rfind(ID, line - 1)) {
        if (line == 0 || whole[line - 1] == '\n') {
            auto const from = whole.find_first_not_of(' ', line + ID.size());
            this->last_id = whole.substr(from, whole.find('\n', from) - from);
            if (!this->last_id.empty() && this->last_id.back() == '\r')
                this->last_id.pop_back();
            break;
        }
        if (line == 0)
            break;
    }
    return whole;
}

void StreamFlow::on_stop()
{
    if (this->wait)
        this->wait->give_up();
}

void StreamFlow::describe_end(LogLine& line) const
{
    line.with("visit", this->visit == CallerVisit::Return ? "return" : "first").with("placements", this->placements);
    if (this->first_event_after)
        line.with("first_event_ms", to_milliseconds(*this->first_event_after)).with("longest_pause_ms", to_milliseconds(this->longest_pause)).with("pause_target_ms", to_milliseconds(this->route.pause_target));
}

asio::awaitable<std::optional<PlacementDecision>> StreamFlow::place()
{
    auto const& prompt = *this->request.prompt;
    PlacementAsk ask;
    ask.request = this->request.identifier;
    ask.account = this->account;
    ask.model = this->service;
    ask.prompt_tokens = prompt.prompt_tokens;
    ask.maximum_output_tokens = prompt.maximum_output_tokens;
    ask.expected_output_tokens = prompt.expected_output_tokens;
    ask.relayed_tokens = this->relayed_tokens();
    ask.priority = this->placement_priority();
    ask.excluded_engines = this->failed_engines;
    this->add_unreachable(ask);
    ask.data_centre = this->state.data_centre;
    ask.longest_pause = this->route.pause_target;
    ask.own_part = prompt.own_part;
    this->wait = std::make_shared<PlacementClient::Ask>(this->state.loop.get_executor());
    auto decision = co_await this->state.placement->ask(std::move(ask), this->wait, this->time_to_place());
    this->wait.reset();
    if (decision)
        this->note_visit(*decision);
    co_return decision;
}

// An account's own rank goes before its routes'.
std::int64_t StreamFlow::placement_priority() const
{
    constexpr std::int64_t LARGEST = 1000;
    auto const* book = this->routes->configuration().accounts.get();
    auto const* found = book ? book->find_by_name(this->account) : nullptr;
    auto const of_account = found ? std::clamp<std::int64_t>(found->priority, 0, LARGEST) : 0;
    return -of_account * LARGEST - std::clamp<std::int64_t>(this->route.priority, 0, LARGEST - 1);
}

void StreamFlow::note_visit(PlacementDecision const& decision)
{
    // What was found out at the first placement holds on for the next.
    if (this->placements == 0)
        this->visit = std::visit([](auto const& either) { return either.visit; }, decision);
}

PlacementClient::AskTimes StreamFlow::time_to_place() const
{
    auto const age = std::chrono::duration_cast<Duration>(monotonic_now() - this->exchange.received_at());
    auto const patience = from_seconds(to_seconds(this->route.first_event_patience) * CONTINUATION_SHARE);
    PlacementClient::AskTimes within;
    if (this->placements > 0) {
        // It was placed before: refused now it is lost, and an answer that is late, or goes on after a pause, is not.
        auto const spent = this->exchange.has_begun() ? std::chrono::duration_cast<Duration>(monotonic_now() - this->last_event_at) : age;
        within.first_token_within = patience - spent;
        within.decide_within = within.first_token_within;
    } else {
        within.first_token_within = this->route.latency_target - age;
        within.decide_within = from_seconds(to_seconds(this->route.latency_target) * DECISION_SHARE) - age;
        within.late_within = patience - age;
    }
    within.decide_within = std::max(within.decide_within, milliseconds(20));
    return within;
}

// The keeper may reach engines that this VM does not, and does not know where the request has to stay. A data centre that is
// out of reach is named as a whole: it may have thousands of engines.
void StreamFlow::add_unreachable(PlacementAsk& ask) const
{
    auto const now = monotonic_now();
    std::map<std::string_view, bool> is_out;
    this->state.upstreams.for_each([&](UpstreamRecord const& record) {
        if (record.service != this->service)
            return;
        auto const [known, is_new] = is_out.try_emplace(record.data_centre, false);
        if (is_new)
            known->second = !this->may_go_to(record.data_centre) || this->state.reachability->is_cut_off(record.data_centre, now);
        bool const is_paused = this->state.limiter->pause_left(record.identity, now) > Duration::zero();
        if (!known->second && (is_paused || !this->state.reachability->is_reachable(record.identity, record.data_centre, now)))
            ask.excluded_engines.push_back(record.identity);
    });
    for (auto const& [data_centre, out] : is_out) {
        if (out)
            ask.excluded_data_centres.emplace_back(data_centre);
    }
}

asio::awaitable<void> StreamFlow::carry()
{
    while (true) {
        auto const decision = co_await this->place();
        if (this->is_stopped() || !decision) {
            this->release();
            co_await this->answer_stopped();
            co_return;
        }
        if (auto const* refusal = std::get_if<PlacementRefusal>(&*decision)) {
            co_await this->answer_refusal(*refusal);
            co_return;
        }
        auto const& grant = std::get<PlacementGrant>(*decision);
        bool const has_turns = co_await this->take_turns(grant);
        if (!has_turns) {
            this->release();
            if (!this->is_stopped())
                continue;
            co_await this->answer_stopped();
            co_return;
        }
        ++this->placements;
        auto const progress = co_await this->use(grant);
        this->release();
        if (!this->failed_engine.empty())
            this->failed_engines.push_back(std::exchange(this->failed_engine, {}));
        this->refusing_engines.clear();
        if (progress == Progress::Over)
            co_return;
        if (this->is_stopped()) {
            co_await this->answer_stopped();
            co_return;
        }
    }
}

asio::awaitable<bool> StreamFlow::take_turns(PlacementGrant grant)
{
    std::vector<std::string> engines { grant.decode_engine };
    if (!grant.prefill_engine.empty())
        engines.push_back(grant.prefill_engine);
    for (std::size_t i = 0; i < engines.size(); ++i) {
        bool const has_turn = co_await this->take_turn(engines[i], Duration::zero(), Duration::zero());
        if (has_turn)
            continue;
        this->failed_engines.push_back(engines[i]);
        for (std::size_t taken = 0; taken < i; ++taken)
            this->state.limiter->return_turn(engines[taken]);
        co_return false;
    }
    co_return true;
}

asio::awaitable<void> StreamFlow::answer_refusal(PlacementRefusal refusal)
{
    bool const is_nowhere = refusal.reason == RefusalReason::NoUpstream;
    std::string reason(to_string(refusal.reason));
    if (is_nowhere && this->residency.is_bound())
        reason = "no_upstream_in_home_regions";
    if (is_nowhere && this->next_turn)
        reason = "upstreams_limited";
    if (this->earlier == SendHistory::Earlier::MayHaveRun)
        co_await this->fail(502, reason);
    else
        co_await this->refuse(reason, std::min(refusal.retry_after, this->next_turn.value_or(refusal.retry_after)));
}

std::int64_t StreamFlow::relayed_tokens() const
{
    auto const* traits = this->routes->service(this->service);
    return this->events.event_count() * (traits && traits->engine ? traits->engine->tokens_per_event : 1);
}

void StreamFlow::release()
{
    this->state.placement->release(this->request.identifier, this->relayed_tokens(), { this->failed_engine, this->refusing_engines });
}

asio::awaitable<StreamFlow::Progress> StreamFlow::use(PlacementGrant grant)
{
    auto const* prefill_engine = this->state.upstreams.find(grant.prefill_engine);
    auto const* decode_engine = this->state.upstreams.find(grant.decode_engine);
    if (!decode_engine || (!grant.prefill_engine.empty() && !prefill_engine)) {
        // The keeper knows an engine that this VM has not heard of, or not any more.
        this->failed_engines.push_back(decode_engine ? grant.prefill_engine : grant.decode_engine);
        co_return co_await this->give_up(SendEnd::NotSent, "unknown_engine");
    }
    this->last_engine = grant.decode_engine;
    Dispatch dispatch;
    dispatch.expected_identity = grant.decode_engine;
    UpstreamRecord const decoder = *decode_engine;
    auto const decode_address = parse_address(decoder.address);
    if (!decode_address)
        co_return co_await this->give_up(SendEnd::NotSent, "bad_address");
    // A prompt that is read before the decode engine turns out to be away is read for nothing.
    auto reserved = co_await this->state.pool.acquire(*decode_address, this->freshness());
    if (!reserved.is_error())
        this->state.pool.put_back_unused(*decode_address, reserved.value());
    if (this->is_stopped())
        co_return Progress::TryAgain;
    if (reserved.is_error()) {
        this->state.prober.note_unreachable(decoder, reserved.error());
        this->failed_engine = decoder.identity;
        co_return co_await this->give_up(SendEnd::NotSent, to_string(reserved.error()));
    }
    if (prefill_engine) {
        if (!this->try_pay(SendLedger::Send::Prefill))
            co_return co_await this->give_up(SendEnd::NotSent, "retry_budget_spent", SendHistory::AnotherSend::Spent);
        UpstreamRecord const prefiller = *prefill_engine;
        auto cache = co_await this->prefill(prefiller);
        if (this->is_stopped()) {
            if (cache)
                this->free_cache(prefiller.address, cache->handle);
            co_return Progress::TryAgain;
        }
        if (!cache)
            co_return co_await this->give_up(SendEnd::NotSent, "prefill_failed");
        this->state.placement->progress(this->request.identifier, GrantProgress::CacheHeld);
        dispatch.stage = DispatchStage::Decode;
        dispatch.cache_address = prefiller.address;
        dispatch.cache_holder = prefiller.identity;
        dispatch.cache_handle = cache->handle;
    }
    co_return co_await this->decode(decoder, *decode_address, std::move(dispatch));
}

ConnectionPool::Freshness StreamFlow::freshness() const
{
    return this->route.is_resumable ? ConnectionPool::Freshness::Any : ConnectionPool::Freshness::Recent;
}

asio::awaitable<std::optional<HeldCache>> StreamFlow::prefill(UpstreamRecord engine)
{
    auto const begun = monotonic_now();
    auto const address = parse_address(engine.address);
    if (!address) {
        this->failed_engine = engine.identity;
        co_return std::nullopt;
    }
    auto acquired = co_await this->state.pool.acquire(*address, ConnectionPool::Freshness::Any);
    if (acquired.is_error()) {
        this->failed_engine = engine.identity;
        this->state.prober.note_unreachable(engine, acquired.error());
        LogLine("prefill_failed").with("request", this->request.identifier).with("engine", engine.identity).with("reason", to_string(acquired.error()));
        co_return std::nullopt;
    }
    auto const connection = acquired.release_value();
    this->check_may_send();
    if (this->is_stopped() || !this->state.upstreams.takes_work(engine.identity)) {
        this->state.pool.release(*address, connection);
        if (!this->is_stopped())
            this->failed_engine = engine.identity;
        co_return std::nullopt;
    }
    Dispatch dispatch;
    dispatch.stage = DispatchStage::Prefill;
    dispatch.expected_identity = engine.identity;
    dispatch.account = this->account;
    dispatch.patience = std::min(this->patience_left(), this->time_left());
    dispatch.after_event = this->events.last_identifier();
    this->set_active(connection);
    connection->set_deadline(monotonic_now() + PREFILL_PATIENCE);
    this->state.metrics.increment("spurtide_sends_total", "Requests sent to upstreams", { { "service", this->service }, { "stage", "prefill" } });
    std::optional<UpstreamUse> use(std::in_place, this->state.prober, engine, connection, UpstreamUse::OutOfReach::BreakOff);
    connection->send(format_request_head(this->state.dialect.upstream_head(this->exchange.request(), dispatch)), this->body);
    auto head = co_await connection->read_head();
    std::string reason = head.is_error() ? std::string(to_string(head.error())) : "status_" + std::to_string(head.value().status);
    std::optional<HeldCache> cache;
    bool works_as_it_should = false;
    if (!head.is_error()) {
        auto answer = co_await connection->read_body(LARGEST_PREFILL_ANSWER);
        auto const facts = this->state.dialect.read_answer(head.value());
        this->note_limit(engine.identity, facts, head.value().status, use->began_at());
        bool const is_its_answer = facts.identifier.empty() || facts.identifier == this->request.identifier;
        if (answer.is_error() || !is_its_answer) {
            connection->abort();
            reason = answer.is_error() ? std::string(to_string(answer.error())) : "answer_of_another_request";
        } else if (head.value().status == 200) {
            auto held = this->state.dialect.read_held_cache(answer.value());
            if (held.is_error())
                reason = "malformed";
            else
                cache = held.release_value();
        }
        // An engine that is full or has begun to leave works as it should.
        works_as_it_should = facts.is_not_executed;
    }
    if (head.is_error())
        static_cast<void>(co_await this->report_crash(engine, head.error(), begun));
    this->ledger.note_prefill(cache ? SendLedger::PrefillEnd::TakenUp : SendLedger::PrefillEnd::NotTakenUp, monotonic_now());
    if (!head.is_error())
        use->note_heard();
    use.reset();
    this->set_active(nullptr);
    this->state.pool.release(*address, connection);
    // What the caller or the clock cut off says nothing of the engine.
    if (!cache && !this->is_stopped()) {
        if (works_as_it_should) {
            // It is full, leaves or changes its role, and being idle it would be chosen again and again.
            this->failed_engines.push_back(engine.identity);
            this->refusing_engines = { engine.identity };
        } else
            this->failed_engine = engine.identity;
    }
    auto const took = to_milliseconds(std::chrono::duration_cast<Duration>(monotonic_now() - begun));
    if (cache)
        LogLine("prefilled").with("request", this->request.identifier).with("engine", engine.identity).with("ms", took);
    else
        LogLine("prefill_failed").with("request", this->request.identifier).with("engine", engine.identity).with("reason", reason).with("ms", took);
    co_return cache;
}

asio::awaitable<StreamFlow::Progress> StreamFlow::decode(UpstreamRecord engine, Address address, Dispatch dispatch)
{
    auto acquired = co_await this->state.pool.acquire(address, this->freshness());
    this->check_may_send();
    if (acquired.is_error() || this->is_stopped() || !this->state.upstreams.takes_work(engine.identity)) {
        if (!dispatch.cache_handle.empty())
            this->free_cache(dispatch.cache_address, dispatch.cache_handle);
        if (acquired.is_error()) {
            this->state.prober.note_unreachable(engine, acquired.error());
            this->failed_engine = engine.identity;
            co_return co_await this->give_up(SendEnd::NotSent, to_string(acquired.error()));
        }
        this->state.pool.release(address, acquired.value());
        if (this->is_stopped())
            co_return Progress::TryAgain;
        co_return co_await this->give_up(SendEnd::NotSent, "upstream_left");
    }
    auto const connection = acquired.release_value();
    dispatch.account = this->account;
    dispatch.patience = std::min(this->patience_left(), this->time_left());
    dispatch.after_event = this->events.last_identifier();
    this->set_active(connection);
    this->note_sent();
    auto const out_of_reach = this->route.is_resumable ? UpstreamUse::OutOfReach::BreakOff : UpstreamUse::OutOfReach::Wait;
    std::optional<UpstreamUse> use(std::in_place, this->state.prober, engine, connection, out_of_reach);
    connection->send(format_request_head(this->state.dialect.upstream_head(this->exchange.request(), dispatch)), this->body);
    auto head = co_await connection->read_head();
    if (head.is_error()) {
        auto const began = use->began_at();
        use.reset();
        this->set_active(nullptr);
        connection->abort();
        if (this->is_stopped())
            co_return Progress::TryAgain;
        static_cast<void>(co_await this->report_crash(engine, head.error(), began));
        if (this->is_stopped())
            co_return Progress::TryAgain;
        this->failed_engine = engine.identity;
        co_return co_await this->give_up(SendEnd::Lost, to_string(head.error()));
    }
    use->note_heard();
    auto const facts = this->state.dialect.read_answer(head.value());
    auto const status = head.value().status;
    this->note_limit(engine.identity, facts, status, use->began_at());
    if (facts.identifier == this->request.identifier && status / 100 == 2 && facts.is_signed && !facts.is_encoded) {
        this->state.placement->progress(this->request.identifier, GrantProgress::Decoding);
        auto const progress = co_await this->relay(*use, connection, head.release_value());
        use.reset();
        this->set_active(nullptr);
        this->state.pool.release(address, connection);
        co_return progress;
    }
    auto answer = co_await connection->read_body(LARGEST_PREFILL_ANSWER);
    use.reset();
    this->set_active(nullptr);
    if (answer.is_error())
        connection->abort();
    this->state.pool.release(address, connection);
    auto const reason = "decode_status_" + std::to_string(status);
    if (facts.is_not_executed || status == 421) {
        this->note_not_executed();
        if (!dispatch.cache_handle.empty())
            this->free_cache(dispatch.cache_address, dispatch.cache_handle);
        if (this->is_stopped())
            co_return Progress::TryAgain;
        this->failed_engines.push_back(engine.identity);
        this->refusing_engines = { engine.identity };
        if (!dispatch.cache_holder.empty())
            this->refusing_engines.push_back(dispatch.cache_holder);
        co_return co_await this->give_up(SendEnd::NotExecuted, reason);
    }
    if (this->is_stopped())
        co_return Progress::TryAgain;
    bool const is_own_failure = facts.is_signed && facts.identifier == this->request.identifier && status >= 400 && status != 429 && status != 503 && status != 408 && !answer.is_error();
    if (is_own_failure && !this->exchange.has_begun()) {
        this->note_completed();
        auto const sent = co_await this->exchange.respond(this->state.dialect.caller_head(head.value()), answer.value());
        this->log_end(sent.is_error() ? "caller_left" : "answered", reason, status);
        co_return Progress::Over;
    }
    this->failed_engine = engine.identity;
    co_return co_await this->give_up(SendEnd::Lost, reason);
}

void StreamFlow::note_event(MonotonicTime now)
{
    if (this->exchange.has_begun())
        this->longest_pause = std::max(this->longest_pause, std::chrono::duration_cast<Duration>(now - this->last_event_at));
    else {
        this->first_event_at = now;
        this->first_event_after = std::chrono::duration_cast<Duration>(now - this->exchange.received_at());
        this->state.metrics.observe_seconds("spurtide_first_event_seconds", "From a stream's request to its first event", to_seconds(*this->first_event_after));
    }
    this->last_event_at = now;
}

asio::awaitable<StreamFlow::Progress> StreamFlow::relay(UpstreamUse& use, std::shared_ptr<HttpConnection> connection, HttpResponseHead head)
{
    while (true) {
        auto piece = co_await connection->read_piece();
        if (piece.is_error()) {
            connection->abort();
            this->events.drop_broken_event();
            if (this->is_stopped())
                co_return Progress::TryAgain;
            bool const has_crashed = co_await this->report_crash(use.upstream(), piece.error(), use.began_at());
            if (this->is_stopped())
                co_return Progress::TryAgain;
            // One answer that broke off says little of the engine, but this request goes on elsewhere. Of one that is gone
            // the keeper hears at once, which else would give it out until its entry lapses.
            if (has_crashed)
                this->failed_engine = use.identity();
            else
                this->failed_engines.push_back(use.identity());
            co_return co_await this->give_up(SendEnd::Lost, to_string(piece.error()));
        }
        this->note_event(monotonic_now());
        use.note_heard();
        bool const is_end = piece.value().empty();
        auto bytes = this->events.take(piece.value());
        // A stream that cannot go on elsewhere need not wait for the end of an event.
        if (!this->route.is_resumable || is_end)
            bytes += this->events.rest();
        if (!this->exchange.has_begun()) {
            auto const framing = connection->framing() == BodyFraming::UntilClose ? BodyFraming::UntilClose : BodyFraming::Chunked;
            auto const begun = co_await this->exchange.begin(this->state.dialect.caller_head(head), framing);
            if (begun.is_error())
                co_return Progress::TryAgain;
        }
        auto const written = co_await this->exchange.write(bytes);
        if (written.is_error()) {
            connection->abort();
            this->log_end("caller_left", "write_failed", 0);
            co_return Progress::Over;
        }
        if (!is_end)
            continue;
        this->note_completed();
        this->state.answer_pace.note(this->service, this->relayed_tokens(), std::chrono::duration_cast<Duration>(this->last_event_at - this->first_event_at));
        auto const finished = co_await this->exchange.finish();
        this->log_end(finished.is_error() ? "caller_left" : "answered", "stream", head.status);
        this->state.metrics.observe_seconds("spurtide_longest_pause_seconds", "Longest pause between events of a stream that ended whole", to_seconds(this->longest_pause));
        co_return Progress::Over;
    }
}

// What follows a send that brought no answer.
asio::awaitable<StreamFlow::Progress> StreamFlow::give_up(SendEnd end, std::string_view reason, SendHistory::AnotherSend wanted)
{
    // A stream that may go on behind its last event may be sent again, like a call that may be repeated.
    auto const kind = this->route.is_resumable ? RouteKind::Repeatable : RouteKind::NotRepeatable;
    SendHistory history { kind, this->earlier, SendHistory::AnotherSend::Spent };
    bool const may_go_on = wanted == SendHistory::AnotherSend::Allowed && this->placements < MOST_PLACEMENTS;
    // What was not sent is no attempt, but a prefill that was refused has arrived.
    if (may_go_on)
        history.another_send = this->take_another_send(end == SendEnd::NotSent ? 0 : this->sends, LEAST_TIME_FOR_PLACEMENT);
    auto const step = next_step(end, history);
    LogLine("send_end").with("request", this->request.identifier).with("upstream", this->last_engine).with("end", to_string(end)).with("reason", reason).with("next", to_string(step));
    if (step == NextStep::SendElsewhere)
        co_return Progress::TryAgain;
    if (step == NextStep::RefuseNotRun && !this->exchange.has_begun())
        co_await this->refuse(reason, LOST_ENGINE_RETRY_AFTER);
    else
        co_await this->fail(502, reason);
    co_return Progress::Over;
}

void StreamFlow::free_cache(std::string const& engine_address, std::string const& handle)
{
    auto const free = [](RouterState& state, std::string address_text, std::string cache) -> asio::awaitable<void> {
        auto const address = parse_address(address_text);
        if (!address)
            co_return;
        HttpRequest request { state.dialect.free_cache_head(address_text, cache), {} };
        ConnectionPool::Call options;
        options.timeout = FREE_CACHE_TIMEOUT;
        options.largest_body = LARGEST_PREFILL_ANSWER;
        // NOTE: Where this fails the engine frees the cache itself when its hold time is over.
        static_cast<void>(co_await state.pool.call(*address, std::move(request), std::move(options)));
    };
    asio::co_spawn(this->state.loop, free(this->state, engine_address, handle), asio::detached);
}

}
