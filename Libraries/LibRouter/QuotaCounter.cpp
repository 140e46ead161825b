// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <LibCore/LogLine.h>
#include <LibRouter/QuotaCounter.h>
#include <algorithm>

namespace Spurtide {

namespace {

/// The share of the limit that a VM grants while it is not first in the ranking. Including one burst that is counted twice,
/// accounts exceed their limit by at most a tenth until the VMs agree on the ranking, which takes about two seconds.
constexpr double FALLBACK_SHARE = 0.25;

}

QuotaCounter::QuotaCounter(QuotaLedger::Options options, Kernel& kernel, VirtualMachineRanking& ranking, Hooks hooks)
    : ledger(options)
    , kernel(kernel)
    , ranking(ranking)
    , hooks(std::move(hooks))
{
}

void QuotaCounter::host()
{
    this->kernel.host(std::string(QUOTA_SERVICE), [this](wire::Envelope const& request, Kernel::Responder const& respond) { this->handle_request(request, respond); });
}

QuotaLedger::Share QuotaCounter::share_of(std::string const& account, Mode mode) const
{
    auto const machines = this->hooks.virtual_machines();
    auto const live = static_cast<double>(std::max<std::size_t>(1, machines.live));
    auto const all = live + static_cast<double>(machines.lost);
    QuotaLedger::Share share;
    share.forgotten = std::min(1.0, static_cast<double>(machines.recently_started) / live);
    if (mode == Mode::Alone) {
        share.most = 1 / all;
        return share;
    }
    share.part = live / all;
    if (!this->ranking.is_own(account))
        share.most = FALLBACK_SHARE;
    return share;
}

std::optional<QuotaLedger::Answer> QuotaCounter::grant(std::string const& account, QuotaLedger::Ask const& ask, Mode mode)
{
    auto const routes = this->hooks.routes();
    auto const* book = routes ? routes->configuration().accounts.get() : nullptr;
    auto const* found = book ? book->find_by_name(account) : nullptr;
    bool const is_too_early = mode == Mode::Ranked && !this->hooks.is_settled();
    if (!found || !found->limit || is_too_early)
        return {};
    auto const share = this->share_of(account, mode);
    auto const now = monotonic_now();
    auto const answer = this->ledger.take(account, *found->limit, share, ask, now);
    if (answer.granted <= 0)
        LogLine("quota_exhausted").with("account", account).with("needed", ask.needed).with("free_part", this->ledger.free_part(account, now).value_or(0)).with("rate", found->limit->rate).with("burst", found->limit->burst).with("part", share.part).with("most", share.most).with("version", routes->version()).with("retry_after_ms", to_milliseconds(answer.retry_after));
    return answer;
}

void QuotaCounter::return_credit(std::string const& account, double amount)
{
    this->ledger.give_back(account, amount, monotonic_now());
}

void QuotaCounter::handle_request(wire::Envelope const& request, Kernel::Responder const& respond)
{
    if (request.has_quota_return()) {
        this->return_credit(request.quota_return().account(), std::max(0.0, request.quota_return().amount()));
        return;
    }
    if (!request.has_quota_ask()) {
        respond(error_reply(wire::ERROR_CODE_UNKNOWN_MESSAGE));
        return;
    }
    auto const& message = request.quota_ask();
    QuotaLedger::Ask ask;
    ask.needed = std::max(0.0, message.needed());
    ask.wanted = std::max(0.0, message.wanted());
    ask.returned = std::max(0.0, message.returned());
    ask.patience = Duration(message.patience_microseconds());
    if (message.known_counter() != this->kernel.incarnation()) {
        ask.used_before.assign(message.used_lately().begin(), message.used_lately().end());
        ask.known_use.assign(message.known_use().begin(), message.known_use().end());
    }
    auto const allotment = this->grant(message.account(), ask, Mode::Ranked);
    if (!allotment) {
        respond(error_reply(wire::ERROR_CODE_NOT_READY));
        return;
    }
    wire::Envelope reply;
    reply.mutable_quota_answer()->set_granted(allotment->granted);
    reply.mutable_quota_answer()->set_retry_after_microseconds(allotment->retry_after.count());
    reply.mutable_quota_answer()->set_counter(this->kernel.incarnation());
    for (auto const used : allotment->known_use)
        reply.mutable_quota_answer()->add_used(static_cast<float>(used));
    respond(std::move(reply));
}

}
