// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <LibCore/LogLine.h>
#include <LibRouter/PlainFlow.h>
#include <LibRouter/UpstreamLimiter.h>
#include <LibRouter/UpstreamUse.h>

namespace Spurtide {

namespace {

/// Less time than this is not worth another send.
constexpr Duration LEAST_TIME_FOR_SEND = milliseconds(50);
/// Connections that do not come up cost nobody anything but time.
constexpr int CONNECT_TRIES = 3;
constexpr std::size_t LARGEST_ANSWER = 8UL * 1024 * 1024;
constexpr Duration FULL_RETRY_AFTER = milliseconds(300);
constexpr Duration NO_UPSTREAM_RETRY_AFTER = milliseconds(500);
/// Of the latency target, what a request may wait for its turn at an upstream; the rest is left for the answer.
constexpr double TURN_WAIT_PART = 0.5;
/// An answer to another request may come in the place of the one that is due.
constexpr int SURPLUS_ANSWERS = 3;

Duration time_of_day() { return milliseconds(unix_milliseconds()); }

UpstreamOutcome outcome_of(SendEnd end)
{
    switch (end) {
    case SendEnd::Success:
    case SendEnd::OwnFailure:
        return UpstreamOutcome::Good;
    case SendEnd::NotExecuted:
        return UpstreamOutcome::Full;
    default:
        return UpstreamOutcome::Bad;
    }
}

}

std::optional<UpstreamRecord> PlainFlow::choose()
{
    std::vector<UpstreamRecord const*> records;
    this->state.upstreams.for_each([&](UpstreamRecord const& record) {
        if (record.service == this->service && record.life == UpstreamRecord::Life::Serving && this->may_go_to(record.data_centre) && !this->tried.contains(record.identity))
            records.push_back(&record);
    });
    auto const now = monotonic_now();
    auto const is_reachable = [&](UpstreamRecord const* record) { return this->state.reachability->is_reachable(record->identity, record->data_centre, now); };
    // Where none can be reached, one of them may be again.
    if (std::any_of(records.begin(), records.end(), is_reachable))
        std::erase_if(records, [&](auto const* record) { return !is_reachable(record); });
    this->leave_to_others(records, now);
    this->leave_out_limited(records, now);
    this->was_only_choice = records.size() == 1;
    std::vector<SelectableUpstream> selectable;
    for (auto const* record : records) {
        auto const place = record->data_centre == this->state.data_centre ? SelectableUpstream::Place::SameDataCentre : SelectableUpstream::Place::Elsewhere;
        selectable.push_back({ record->identity, record->slots, place });
    }
    auto const index = this->state.selector.choose(selectable, now);
    if (!index)
        return {};
    auto const& chosen = *records[*index];
    if (this->is_cold(chosen, now))
        this->state.cold_turns.note_sent(chosen.identity, this->cold_rate(), this->state.sending_machines(), time_of_day());
    return chosen;
}

double PlainFlow::cold_rate() const
{
    auto const* traits = this->routes->service(this->service);
    return traits ? traits->cold_rate : 0;
}

bool PlainFlow::is_cold(UpstreamRecord const& upstream, MonotonicTime now) const { return now<upstream.cold_until&& this->cold_rate()> 0; }

// A cold upstream bears a bounded rate from all VMs together, so this one sends to it in its turn alone.
void PlainFlow::leave_to_others(std::vector<UpstreamRecord const*>& records, MonotonicTime now)
{
    this->next_cold_turn.reset();
    auto const is_cold_one = [&](auto const* record) { return this->is_cold(*record, now); };
    if (std::none_of(records.begin(), records.end(), is_cold_one))
        return;
    auto const machines = this->state.sending_machines();
    std::erase_if(records, [&](auto const* record) {
        if (!this->is_cold(*record, now))
            return false;
        auto const wait = this->state.cold_turns.time_until_turn(record->identity, this->cold_rate(), machines, time_of_day());
        if (wait > Duration::zero())
            this->next_cold_turn = std::min(wait, this->next_cold_turn.value_or(wait));
        return wait > Duration::zero();
    });
}

void PlainFlow::leave_out_limited(std::vector<UpstreamRecord const*>& records, MonotonicTime now) const
{
    std::erase_if(records, [&](auto const* record) { return this->without_turn.contains(record->identity); });
    auto const pause = [&](auto const* record) { return this->state.limiter->pause_left(record->identity, now); };
    auto const first_free = std::min_element(records.begin(), records.end(), [&](auto const* a, auto const* b) { return pause(a) < pause(b); });
    if (first_free == records.end())
        return;
    auto const* kept = *first_free;
    std::erase_if(records, [&](auto const* record) { return record != kept && pause(record) > Duration::zero(); });
}

Duration PlainFlow::longest_wait_for_turn() const
{
    auto const age = std::chrono::duration_cast<Duration>(monotonic_now() - this->exchange.received_at());
    return std::max(Duration::zero(), from_seconds(to_seconds(this->route.latency_target) * TURN_WAIT_PART) - age);
}

asio::awaitable<std::optional<UpstreamRecord>> PlainFlow::choose_with_turn()
{
    this->without_turn.clear();
    while (!this->is_stopped()) {
        auto const upstream = this->choose();
        if (!upstream)
            co_return std::nullopt;
        // While there are others it goes to one of them instead of waiting.
        auto const wait = this->was_only_choice ? this->longest_wait_for_turn() : Duration::zero();
        auto const turn_patience = this->was_only_choice ? this->patience_left() : Duration::zero();
        bool const has_turn = co_await this->take_turn(upstream->identity, wait, turn_patience);
        if (has_turn)
            co_return upstream;
        // Its caller has a time to come back now; asking on would keep another one for it elsewhere.
        if (turn_patience > Duration::zero())
            co_return std::nullopt;
        this->without_turn.insert(upstream->identity);
    }
    co_return std::nullopt;
}

asio::awaitable<void> PlainFlow::answer_without_upstream(Attempt const& last)
{
    // What an upstream answered is of more use than that no other could be asked.
    if (last.end == SendEnd::OwnFailure) {
        this->note_completed();
        co_await this->relay(last);
        co_return;
    }
    if (this->earlier == SendHistory::Earlier::MayHaveRun) {
        co_await this->fail(502, "no_upstream");
        co_return;
    }
    std::string reason = this->residency.is_bound() ? "no_upstream_in_home_regions" : "no_upstream";
    auto retry_after = NO_UPSTREAM_RETRY_AFTER;
    if (this->next_cold_turn) {
        reason = "upstreams_cold";
        retry_after = *this->next_cold_turn;
    }
    if (this->next_turn) {
        reason = "upstreams_limited";
        retry_after = this->next_cold_turn ? std::min(*this->next_turn, *this->next_cold_turn) : *this->next_turn;
    }
    if (!last.reason.empty())
        reason = last.reason;
    co_await this->refuse(reason, retry_after);
}

asio::awaitable<void> PlainFlow::carry()
{
    Attempt last;
    int connect_tries = 0;
    while (true) {
        if (this->is_stopped()) {
            co_await this->answer_stopped();
            co_return;
        }
        auto upstream = co_await this->choose_with_turn();
        if (!upstream && this->route.kind == RouteKind::Repeatable && !this->tried.empty() && connect_tries < CONNECT_TRIES) {
            // Where there is no other, the same one may do better the next time.
            this->tried.clear();
            upstream = co_await this->choose_with_turn();
        }
        if (this->is_stopped()) {
            co_await this->answer_stopped();
            co_return;
        }
        if (!upstream) {
            co_await this->answer_without_upstream(last);
            co_return;
        }
        this->tried.insert(upstream->identity);
        last = co_await this->send_to(*upstream);
        if (last.end == SendEnd::NotExecuted)
            this->note_not_executed();
        if (this->is_stopped() && last.end != SendEnd::Success) {
            co_await this->answer_stopped();
            co_return;
        }
        SendHistory history { this->route.kind, this->earlier, SendHistory::AnotherSend::Spent };
        if (last.end == SendEnd::NotSent)
            history.another_send = ++connect_tries < CONNECT_TRIES ? SendHistory::AnotherSend::Allowed : SendHistory::AnotherSend::Spent;
        else if (last.end != SendEnd::Success)
            history.another_send = this->take_another_send(this->sends, LEAST_TIME_FOR_SEND);
        auto const step = next_step(last.end, history);
        LogLine("send_end").with("request", this->request.identifier).with("upstream", upstream->identity).with("end", to_string(last.end)).with("reason", last.reason).with("status", last.head.status).with("next", to_string(step));
        switch (step) {
        case NextStep::SendElsewhere:
            continue;
        case NextStep::Relay:
            this->note_completed();
            co_await this->relay(last);
            co_return;
        case NextStep::RefuseNotRun:
            co_await this->refuse(last.reason, FULL_RETRY_AFTER);
            co_return;
        case NextStep::FailMayHaveRun:
            co_await this->fail(502, last.reason);
            co_return;
        }
    }
}

asio::awaitable<PlainFlow::Attempt> PlainFlow::send_to(UpstreamRecord upstream)
{
    Attempt attempt;
    auto const address = parse_address(upstream.address);
    if (!address) {
        attempt.reason = "bad_address";
        co_return attempt;
    }
    // A connection that the other side is just closing would leave a request in doubt that must not be repeated.
    auto const freshness = this->route.kind == RouteKind::Repeatable ? ConnectionPool::Freshness::Any : ConnectionPool::Freshness::Recent;
    auto const sent_at = monotonic_now();
    this->state.selector.note_sent(upstream.identity);
    auto acquired = co_await this->state.pool.acquire(*address, freshness);
    if (acquired.is_error()) {
        attempt.reason = to_string(acquired.error());
        this->state.prober.note_unreachable(upstream, acquired.error());
        this->state.selector.note_end(upstream.identity, UpstreamOutcome::Bad, Duration::zero(), monotonic_now());
        this->state.limiter->return_turn(upstream.identity);
        co_return attempt;
    }
    auto const connection = acquired.release_value();
    this->check_may_send();
    // While the connection came up the upstream may have begun to leave, or the caller may have left.
    if (this->is_stopped() || !this->state.upstreams.takes_work(upstream.identity)) {
        this->state.pool.release(*address, connection);
        this->state.selector.note_end(upstream.identity, UpstreamOutcome::Full, Duration::zero(), monotonic_now());
        this->state.limiter->return_turn(upstream.identity);
        attempt.reason = "upstream_left";
        co_return attempt;
    }
    Dispatch dispatch;
    dispatch.patience = std::min(this->patience_left(), this->time_left());
    dispatch.expected_identity = upstream.identity;
    dispatch.account = this->account;
    this->set_active(connection);
    this->note_sent();
    auto const out_of_reach = this->route.kind == RouteKind::Repeatable ? UpstreamUse::OutOfReach::BreakOff : UpstreamUse::OutOfReach::Wait;
    std::optional<UpstreamUse> use(std::in_place, this->state.prober, upstream, connection, out_of_reach);
    auto const expected_body = this->exchange.request().head.method == "HEAD" ? MessageParser::ExpectedBody::None : MessageParser::ExpectedBody::AsFramed;
    connection->send(format_request_head(this->state.dialect.upstream_head(this->exchange.request(), dispatch)), this->body, expected_body);
    attempt = co_await this->read_answer(connection);
    // Any answer, even another request's, shows that it is there.
    if (attempt.head.status != 0) {
        use->note_heard();
        this->note_limit(upstream.identity, this->state.dialect.read_answer(attempt.head), attempt.head.status, use->began_at());
    }
    use.reset();
    this->set_active(nullptr);
    auto const now = monotonic_now();
    auto const took = std::chrono::duration_cast<Duration>(now - sent_at);
    // What the caller or the clock cut off says nothing about the upstream.
    auto const outcome = this->is_stopped() && attempt.end == SendEnd::Lost ? UpstreamOutcome::Full : outcome_of(attempt.end);
    this->state.selector.note_end(upstream.identity, outcome, took, now);
    if (attempt.end == SendEnd::Lost)
        connection->abort();
    if (attempt.broke_off)
        static_cast<void>(co_await this->report_crash(upstream, *attempt.broke_off, sent_at));
    this->state.pool.release(*address, connection);
    co_return attempt;
}

asio::awaitable<PlainFlow::Attempt> PlainFlow::read_answer(std::shared_ptr<HttpConnection> connection)
{
    Attempt attempt;
    attempt.end = SendEnd::Lost;
    for (int surplus = 0; surplus <= SURPLUS_ANSWERS; ++surplus) {
        auto head = co_await connection->read_head();
        if (head.is_error()) {
            attempt.reason = to_string(head.error());
            attempt.broke_off = head.error();
            co_return attempt;
        }
        attempt.head = head.release_value();
        auto answer = co_await connection->read_body(LARGEST_ANSWER);
        if (answer.is_error()) {
            attempt.reason = to_string(answer.error());
            attempt.broke_off = answer.error();
            co_return attempt;
        }
        attempt.body = answer.release_value();
        auto const facts = this->state.dialect.read_answer(attempt.head);
        if (!facts.identifier.empty() && facts.identifier != this->request.identifier) {
            attempt.reason = "answer_of_another_request";
            connection->expect_another_answer();
            continue;
        }
        bool const is_success = attempt.head.status / 100 == 2;
        attempt.reason = "answered";
        if (facts.is_not_executed || attempt.head.status == 421) {
            attempt.end = SendEnd::NotExecuted;
            attempt.reason = attempt.head.status == 421 ? "other_identity" : "upstream_full";
        } else if (is_success && facts.is_signed && !facts.is_encoded && !facts.identifier.empty())
            attempt.end = SendEnd::Success;
        else if (!is_success && facts.is_signed && !facts.is_encoded && attempt.head.status >= 300 && attempt.head.status != 429 && attempt.head.status != 503 && attempt.head.status != 408)
            attempt.end = SendEnd::OwnFailure;
        else
            attempt.reason = "not_its_answer";
        co_return attempt;
    }
    co_return attempt;
}

asio::awaitable<void> PlainFlow::relay(Attempt const& attempt)
{
    auto const result = co_await this->exchange.respond(this->state.dialect.caller_head(attempt.head), attempt.body);
    this->log_end(result.is_error() ? "caller_left" : "answered", to_string(attempt.end), attempt.head.status);
}

}
