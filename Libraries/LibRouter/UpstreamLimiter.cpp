// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <LibCore/LogLine.h>
#include <LibRouter/ServiceCall.h>
#include <LibRouter/UpstreamLimiter.h>
#include <LibWire/WireUpstreamLimits.h>
#include <algorithm>
#include <xxhash.h>

namespace Spurtide {

namespace {

/// The counting VM and one fallback.
constexpr std::size_t MAXIMUM_VMS_ASKED = 2;

}

UpstreamLimiter::UpstreamLimiter(Options options, Kernel& kernel, VirtualMachineRanking& ranking, UpstreamLimitTable& book, UpstreamLimitCounter& own_counter)
    : options(std::move(options))
    , kernel(kernel)
    , ranking(ranking)
    , book(book)
    , own_counter(own_counter)
    , origin(XXH3_64bits(kernel.incarnation().data(), kernel.incarnation().size()))
{
}

UpstreamLimitTable::Change UpstreamLimiter::note(std::string_view upstream, UpstreamLimitStatement const& statement)
{
    auto own = statement;
    own.origin = this->origin;
    own.sequence = statement.as_of.time_since_epoch().count();
    auto const change = this->book.merge(upstream, own);
    if (change == UpstreamLimitTable::Change::None)
        return change;
    auto const endpoint = this->ranking.first_endpoint(upstream);
    if (endpoint == this->kernel.endpoint())
        return change;
    auto envelope = message_to(UPSTREAM_LIMIT_SERVICE);
    write_statement(upstream, this->book, monotonic_now(), *envelope.mutable_upstream_limit_statement());
    this->kernel.notify(endpoint, std::move(envelope));
    return change;
}

asio::awaitable<UpstreamLimiter::Turn> UpstreamLimiter::request_turn(TurnRequest turn_request)
{
    if (!this->book.rate_of(turn_request.upstream))
        co_return Turn { Turn::Outcome::Granted, {} };
    Turn turn { Turn::Outcome::Denied, this->options.discovery_delay };
    if (this->own_counter.is_settled())
        turn = co_await this->ask_ranked(turn_request);
    if (turn.outcome == Turn::Outcome::Denied)
        this->paused_until.insert_or_assign(turn_request.upstream, monotonic_now() + std::min(turn.wait, this->options.maximum_pause));
    co_return turn;
}

asio::awaitable<UpstreamLimiter::Turn> UpstreamLimiter::ask_ranked(TurnRequest turn_request)
{
    auto names = this->ranking.ranked_names(turn_request.upstream);
    names.resize(std::min(names.size(), MAXIMUM_VMS_ASKED));
    for (auto const& name : names) {
        std::optional<Turn> turn;
        if (name == this->kernel.virtual_machine())
            turn = this->own_counter.grant_turn(turn_request, UpstreamLimitCounter::Mode::Ranked);
        else
            turn = co_await this->ask_other(name, turn_request);
        if (turn)
            co_return *turn;
    }
    LogLine("upstream_limit_counted_locally").with("upstream", turn_request.upstream);
    auto const fallback = this->own_counter.grant_turn(turn_request, UpstreamLimitCounter::Mode::Alone);
    co_return fallback.value_or(Turn { Turn::Outcome::Denied, this->options.discovery_delay });
}

asio::awaitable<std::optional<UpstreamLimiter::Turn>> UpstreamLimiter::ask_other(std::string virtual_machine, TurnRequest turn_request)
{
    auto envelope = message_to(UPSTREAM_LIMIT_SERVICE);
    auto* message = envelope.mutable_upstream_turn_ask();
    write_statement(turn_request.upstream, this->book, monotonic_now(), *message->mutable_statement());
    message->set_longest_wait_microseconds(turn_request.longest_wait.count());
    message->set_patience_microseconds(turn_request.patience.count());
    Kernel::Patience const answer_patience { this->options.answer_timeout, this->options.probe_delay };
    auto const answered = co_await call_service(this->kernel, this->ranking.endpoint_of(virtual_machine), std::move(envelope), answer_patience);
    if (answered.is_error()) {
        auto const& error = answered.error();
        // A VM that answers with an error is alive, so it stays in the ranking for other keys.
        if (error.kind != WireErrorKind::Remote)
            this->ranking.note_unresponsive(virtual_machine);
        LogLine("upstream_limit_counter_unresponsive").with("vm", virtual_machine).with("upstream", turn_request.upstream).with("error", to_string(error.kind));
        co_return std::nullopt;
    }
    auto const& reply = answered.value();
    if (!reply.has_upstream_turn_answer())
        co_return std::nullopt;
    auto const& answer = reply.upstream_turn_answer();
    this->own_counter.note(answer.statement());
    co_return Turn { answer.is_granted() ? Turn::Outcome::Granted : Turn::Outcome::Denied, Duration(answer.wait_microseconds()) };
}

void UpstreamLimiter::return_turn(std::string const& upstream)
{
    if (!this->book.rate_of(upstream))
        return;
    auto const endpoint = this->ranking.first_endpoint(upstream);
    if (endpoint == this->kernel.endpoint()) {
        this->own_counter.return_turn(upstream);
        return;
    }
    auto envelope = message_to(UPSTREAM_LIMIT_SERVICE);
    envelope.mutable_upstream_turn_return()->set_upstream(upstream);
    this->kernel.notify(endpoint, std::move(envelope));
}

Duration UpstreamLimiter::pause_left(std::string_view upstream, MonotonicTime now) const
{
    auto const found = this->paused_until.find(upstream);
    if (found == this->paused_until.end() || now >= found->second || !this->book.rate_of(upstream))
        return {};
    return std::chrono::duration_cast<Duration>(found->second - now);
}

void UpstreamLimiter::note_pause(UpstreamRecord const& upstream, Duration pause)
{
    this->book.note_pause({ upstream.identity, upstream.started }, pause, monotonic_now());
}

Duration UpstreamLimiter::requested_pause_left(UpstreamRecord const& upstream, MonotonicTime now) const
{
    auto const* pause = this->book.pause_of(upstream.identity, upstream.started, now);
    return pause ? pause->time_left(now) : Duration::zero();
}

void UpstreamLimiter::note_sent(UpstreamRecord const& upstream)
{
    auto const now = monotonic_now();
    if (auto* pause = this->book.pause_of(upstream.identity, upstream.started, now))
        pause->note_sent(now);
}

Duration UpstreamLimiter::assign_retry(UpstreamRecord const& upstream)
{
    auto const now = monotonic_now();
    auto* pause = this->book.pause_of(upstream.identity, upstream.started, now);
    return pause ? pause->assign_retry(now) : Duration::zero();
}

void UpstreamLimiter::handle_digest(std::string const& endpoint, std::uint64_t other)
{
    if (other == this->digest() || endpoint.empty() || std::exchange(this->is_fetching, true))
        return;
    auto envelope = message_to(UPSTREAM_LIMIT_SERVICE);
    envelope.mutable_get_upstream_limits();
    this->kernel.request(endpoint, std::move(envelope), this->options.fetch_timeout, [this](WireReply const& reply) {
        this->is_fetching = false;
        if (!reply.is_error() && reply.value().has_upstream_limit_statements())
            this->own_counter.note(reply.value().upstream_limit_statements());
    });
}

void UpstreamLimiter::forget_unlimited()
{
    std::erase_if(this->paused_until, [this](auto const& entry) { return !this->book.rate_of(entry.first); });
    this->own_counter.forget_unlimited();
}

}
