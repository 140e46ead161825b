// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <LibCore/LogLine.h>
#include <LibRouter/UpstreamLimitCounter.h>
#include <LibWire/WireUpstreamLimits.h>
#include <algorithm>

namespace Spurtide {

namespace {

/// The share of the limit that a VM grants while it is not first in the ranking. Both VMs may grant turns until all VMs know
/// that the first one is gone.
constexpr double FALLBACK_SHARE = 0.25;
/// Requests per second that are sent to an upstream even if its limit is lower: only an answer shows that the limit is lifted.
constexpr double MINIMUM_REQUESTS_PER_SECOND = 0.25;

}

UpstreamLimitCounter::UpstreamLimitCounter(Kernel& kernel, VirtualMachineRanking& ranking, UpstreamLimitTable& book, Hooks hooks)
    : kernel(kernel)
    , ranking(ranking)
    , book(book)
    , hooks(std::move(hooks))
{
}

void UpstreamLimitCounter::host()
{
    this->kernel.host(std::string(UPSTREAM_LIMIT_SERVICE), [this](wire::Envelope const& request, Kernel::Responder const& respond) { this->answer(request, respond); });
}

double UpstreamLimitCounter::share_of_limit(std::string const& upstream, Mode mode) const
{
    auto const machines = this->hooks.virtual_machines();
    if (mode == Mode::Alone)
        return machines.share_of_each();
    auto const part = static_cast<double>(std::max<std::size_t>(1, machines.live)) * machines.share_of_each();
    return this->ranking.is_own(upstream) ? part : part * FALLBACK_SHARE;
}

std::optional<UpstreamPacer::Turn> UpstreamLimitCounter::grant_turn(TurnRequest const& turn_request, Mode mode)
{
    auto const rate = this->book.rate_of(turn_request.upstream);
    if (!rate)
        return UpstreamPacer::Turn { UpstreamPacer::Turn::Outcome::Granted, {} };
    if (mode == Mode::Ranked && !this->hooks.is_settled())
        return {};
    auto const paced = std::max(*rate, MINIMUM_REQUESTS_PER_SECOND) * this->share_of_limit(turn_request.upstream, mode);
    return this->pacer.take(turn_request.upstream, { paced, turn_request.longest_wait, turn_request.patience }, monotonic_now());
}

void UpstreamLimitCounter::return_turn(std::string_view upstream) { this->pacer.return_turn(upstream, monotonic_now()); }

void UpstreamLimitCounter::forget_unlimited()
{
    this->pacer.retain([this](std::string_view upstream) { return this->book.rate_of(upstream).has_value(); });
}

void UpstreamLimitCounter::note(wire::UpstreamLimitStatement const& statement)
{
    if (!this->hooks.is_listed(statement.upstream()))
        return;
    if (take_statement(statement, this->book, monotonic_now()) == UpstreamLimitTable::Change::InForce)
        LogLine("upstream_limit_received").with("upstream", statement.upstream()).with("rate", statement.rate()).with("age_ms", statement.age_microseconds() / 1000);
}

void UpstreamLimitCounter::note(wire::UpstreamLimitStatements const& statements)
{
    for (auto const& statement : statements.statements())
        this->note(statement);
    for (auto const& departure : statements.departures())
        this->hooks.on_departure({ departure.upstream(), departure.started() });
}

void UpstreamLimitCounter::answer(wire::Envelope const& request, Kernel::Responder const& respond)
{
    if (request.has_upstream_limit_statement())
        this->note(request.upstream_limit_statement());
    else if (request.has_upstream_turn_return())
        this->return_turn(request.upstream_turn_return().upstream());
    else if (request.has_upstream_turn_ask())
        this->answer_turn(request.upstream_turn_ask(), respond);
    else if (request.has_get_upstream_limits())
        this->answer_limits(respond);
    else
        respond(error_reply(wire::ERROR_CODE_UNKNOWN_MESSAGE));
}

void UpstreamLimitCounter::answer_turn(wire::UpstreamTurnAsk const& message, Kernel::Responder const& respond)
{
    // The limit in the request would be dropped for an unlisted upstream, and turns would be granted without any limit.
    if (!this->hooks.is_listed(message.statement().upstream())) {
        respond(error_reply(wire::ERROR_CODE_NOT_READY));
        return;
    }
    this->note(message.statement());
    TurnRequest turn_request;
    turn_request.upstream = message.statement().upstream();
    turn_request.longest_wait = Duration(message.longest_wait_microseconds());
    turn_request.patience = Duration(message.patience_microseconds());
    auto const turn = this->grant_turn(turn_request, Mode::Ranked);
    if (!turn) {
        respond(error_reply(wire::ERROR_CODE_NOT_READY));
        return;
    }
    wire::Envelope reply;
    auto* answer = reply.mutable_upstream_turn_answer();
    answer->set_is_granted(turn->outcome == UpstreamPacer::Turn::Outcome::Granted);
    answer->set_wait_microseconds(turn->wait.count());
    write_statement(turn_request.upstream, this->book, monotonic_now(), *answer->mutable_statement());
    respond(std::move(reply));
}

void UpstreamLimitCounter::answer_limits(Kernel::Responder const& respond) const
{
    wire::Envelope reply;
    auto* statements = reply.mutable_upstream_limit_statements();
    auto const now = monotonic_now();
    this->book.for_each([&](std::string_view upstream) { write_statement(upstream, this->book, now, *statements->add_statements()); });
    for (auto const& departing : this->hooks.departures()) {
        auto* departure = statements->add_departures();
        departure->set_upstream(departing.identity);
        departure->set_started(departing.started);
    }
    respond(std::move(reply));
}

}
