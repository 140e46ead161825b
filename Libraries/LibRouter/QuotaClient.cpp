// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <LibCore/LogLine.h>
#include <LibCore/MonotonicTimer.h>
#include <LibRouter/QuotaClient.h>
#include <LibRouter/ServiceCall.h>
#include <algorithm>

namespace Spurtide {

namespace {

/// The counting VM and one fallback.
constexpr std::size_t MAXIMUM_VMS_ASKED = 2;

}

QuotaClient::QuotaClient(Options options, Kernel& kernel, VirtualMachineRanking& ranking, QuotaCounter& own_counter)
    : options(options)
    , kernel(kernel)
    , ranking(ranking)
    , own_counter(own_counter)
    , credit(options.credit)
{
}

void QuotaClient::start()
{
    this->kernel.every(this->options.return_interval, [this] { this->return_unused(); });
}

QuotaLedger::Ask QuotaClient::create_ask(std::string const& account, double cost, Duration patience)
{
    auto const now = monotonic_now();
    QuotaLedger::Ask ask;
    ask.returned = this->credit.take_unused(account, now);
    // Ask for the whole cost regardless of local credit, which concurrent requests may spend.
    ask.needed = cost;
    ask.wanted = cost + this->credit.foreseen(account, now);
    ask.patience = patience;
    return ask;
}

asio::awaitable<QuotaClient::Decision> QuotaClient::acquire(std::string account, double cost, Duration patience)
{
    if (cost <= 0 || this->credit.spend(account, cost, monotonic_now()) == QuotaCredit::Outcome::Spent)
        co_return Decision {};
    auto const executor = co_await asio::this_coro::executor;
    MonotonicTimer timer(executor);
    for (int polls = 0; polls < this->options.maximum_polls; ++polls) {
        if (this->own_counter.is_settled()) {
            auto const decision = co_await this->ask_ranked(account, cost, patience);
            if (decision)
                co_return *decision;
        }
        timer.expires_after(this->options.poll_interval);
        asio::error_code error;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }
    auto const fallback = this->ask_own(account, cost, patience, QuotaCounter::Mode::Alone);
    LogLine("quota_counted_locally").with("account", account);
    // Without an answer the newest configuration has no limit for the account.
    co_return fallback ? this->apply_answer(account, cost, *fallback) : Decision {};
}

asio::awaitable<std::optional<QuotaClient::Decision>> QuotaClient::ask_ranked(std::string account, double cost, Duration patience)
{
    auto names = this->ranking.ranked_names(account);
    names.resize(std::min(names.size(), MAXIMUM_VMS_ASKED));
    for (auto const& name : names) {
        std::optional<QuotaLedger::Answer> answer;
        if (name == this->kernel.virtual_machine())
            answer = this->ask_own(account, cost, patience, QuotaCounter::Mode::Ranked);
        else
            answer = co_await this->ask(name, account, cost, patience);
        if (answer)
            co_return this->apply_answer(account, cost, *answer);
    }
    co_return std::nullopt;
}

// Credit that another counter granted to this VM is unknown to the local counter, so the local counter gets the usage too.
std::optional<QuotaLedger::Answer> QuotaClient::ask_own(std::string const& account, double cost, Duration patience, QuotaCounter::Mode mode)
{
    auto ask = this->create_ask(account, cost, patience);
    if (this->counting_processes[account] != this->kernel.incarnation()) {
        ask.used_before = this->credit.use_by_eighths(account, monotonic_now());
        ask.known_use = this->credit.known_use(account, monotonic_now());
    }
    auto answer = this->own_counter.grant(account, ask, mode);
    if (answer)
        this->counting_processes[account] = this->kernel.incarnation();
    return answer;
}

asio::awaitable<std::optional<QuotaLedger::Answer>> QuotaClient::ask(std::string virtual_machine, std::string account, double cost, Duration patience)
{
    auto const ask = this->create_ask(account, cost, patience);
    auto envelope = message_to(QUOTA_SERVICE);
    auto* message = envelope.mutable_quota_ask();
    message->set_account(account);
    message->set_needed(ask.needed);
    message->set_wanted(ask.wanted);
    message->set_returned(ask.returned);
    message->set_patience_microseconds(ask.patience.count());
    message->set_known_counter(this->counting_processes[account]);
    for (auto const used : this->credit.use_by_eighths(account, monotonic_now()))
        message->add_used_lately(static_cast<float>(used));
    for (auto const used : this->credit.known_use(account, monotonic_now()))
        message->add_known_use(static_cast<float>(used));
    Kernel::Patience const answer_patience { this->options.answer_timeout, this->options.probe_delay };
    auto const answered = co_await call_service(this->kernel, this->ranking.endpoint_of(virtual_machine), std::move(envelope), answer_patience);
    if (answered.is_error()) {
        auto const& error = answered.error();
        // A VM that answers with an error is alive, so it stays in the ranking for other keys.
        if (error.kind != WireErrorKind::Remote)
            this->ranking.note_unresponsive(virtual_machine);
        LogLine("quota_counter_unresponsive").with("vm", virtual_machine).with("account", account).with("error", to_string(error.kind));
        co_return std::nullopt;
    }
    auto const& reply = answered.value();
    if (!reply.has_quota_answer())
        co_return std::nullopt;
    this->counting_processes[account] = reply.quota_answer().counter();
    QuotaLedger::Answer answer;
    answer.granted = reply.quota_answer().granted();
    answer.retry_after = Duration(reply.quota_answer().retry_after_microseconds());
    answer.known_use.assign(reply.quota_answer().used().begin(), reply.quota_answer().used().end());
    co_return answer;
}

QuotaClient::Decision QuotaClient::apply_answer(std::string const& account, double cost, QuotaLedger::Answer const& answer)
{
    auto const now = monotonic_now();
    this->credit.note_known_use(account, answer.known_use, now);
    if (answer.granted <= 0)
        return { Outcome::OverLimit, answer.retry_after };
    this->credit.add(account, answer.granted, now);
    bool const is_spent = this->credit.spend(account, cost, now) == QuotaCredit::Outcome::Spent;
    return { is_spent ? Outcome::Admitted : Outcome::OverLimit, {} };
}

void QuotaClient::refund(std::string const& account, double cost)
{
    if (cost > 0)
        this->credit.give_back(account, cost, monotonic_now());
}

void QuotaClient::return_unused()
{
    for (auto const& unused : this->credit.take_all_unused(monotonic_now())) {
        auto const endpoint = this->ranking.first_endpoint(unused.account);
        if (endpoint == this->kernel.endpoint()) {
            this->own_counter.return_credit(unused.account, unused.amount);
            continue;
        }
        auto envelope = message_to(QUOTA_SERVICE);
        envelope.mutable_quota_return()->set_account(unused.account);
        envelope.mutable_quota_return()->set_amount(unused.amount);
        this->kernel.notify(endpoint, std::move(envelope));
    }
}

}
