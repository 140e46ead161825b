// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <LibCore/LogLine.h>
#include <LibRouter/CallAdmissionClient.h>
#include <LibWire/WireCallPermits.h>
#include <algorithm>

namespace Spurtide {

namespace {

/// The controller and its successor in the ranking.
constexpr std::size_t MAXIMUM_VMS_ASKED = 2;
/// The group of the request, and the next one if that has no free place.
constexpr std::uint32_t MAXIMUM_GROUPS_ASKED = 2;

Duration time_until(MonotonicTime time, MonotonicTime now) { return std::chrono::duration_cast<Duration>(time - now); }

}

CallAdmissionClient::CallAdmissionClient(Options options, Kernel& kernel, VirtualMachineRanking& ranking, Metrics& metrics, std::string data_centre)
    : options(options)
    , kernel(kernel)
    , ranking(ranking)
    , metrics(metrics)
    , data_centre(std::move(data_centre))
{
}

void CallAdmissionClient::set_accounts(std::span<ClientAccount const> accounts)
{
    this->account_weights.clear();
    double largest = 0;
    for (auto const& account : accounts)
        largest = std::max(largest, account.limit ? account.limit->rate : 0);
    // An account without a limit weighs as much as the largest.
    for (auto const& account : accounts)
        this->account_weights[account.name] = account.limit ? account.limit->rate / largest : 1;
}

double CallAdmissionClient::weight_of(std::string const& account) const
{
    auto const found = this->account_weights.find(account);
    return found == this->account_weights.end() ? 1 : found->second;
}

asio::awaitable<CallAdmissionClient::Answer> CallAdmissionClient::ask(Ask ask, std::shared_ptr<PendingAsk> pending)
{
    auto const groups = CallGroup::count_for(ask.upstreams);
    auto const first = CallGroup::index_for(ask.request, groups);
    std::optional<Refusal> refusal;
    std::uint32_t asked = 0;
    for (std::uint32_t i = 0; i < groups && asked < MAXIMUM_GROUPS_ASKED; ++i) {
        CallGroup group { ask.service, (first + i) % groups, groups };
        if (!ask.usable_groups.empty() && !ask.usable_groups.contains(group.index))
            continue;
        ++asked;
        auto answer = co_await this->ask_group(ask, std::move(group), pending);
        auto const* refused = std::get_if<Refusal>(&answer);
        if (!refused)
            co_return answer;
        if (!refusal || refusal->reason == CallRefusalReason::NoUpstream || refused->retry_after < refusal->retry_after)
            refusal = *refused;
    }
    if (!refusal)
        co_return NoAnswer::Unavailable;
    co_return *refusal;
}

asio::awaitable<CallAdmissionClient::Answer> CallAdmissionClient::ask_group(Ask ask, CallGroup group, std::shared_ptr<PendingAsk> pending)
{
    auto names = this->ranking.ranked_names(group.key());
    names.resize(std::min(names.size(), MAXIMUM_VMS_ASKED));
    if (names.empty())
        names.push_back(this->kernel.virtual_machine());
    for (auto const& name : names) {
        auto answer = co_await this->ask_controller(ask, group, name, pending);
        auto const* missing = std::get_if<NoAnswer>(&answer);
        if (!missing || *missing == NoAnswer::Withdrawn)
            co_return answer;
    }
    LogLine("call_admission_unavailable").with("request", ask.request).with("service", ask.service).with("group", static_cast<std::int64_t>(group.index)).with("asked", static_cast<std::int64_t>(names.size()));
    this->metrics.increment("spurtide_call_admission_fallbacks_total", "Calls that were sent by this VM's own choice since no admission controller answered", { { "service", ask.service } });
    co_return NoAnswer::Unavailable;
}

asio::awaitable<CallAdmissionClient::Answer> CallAdmissionClient::ask_controller(Ask ask, CallGroup group, std::string virtual_machine, std::shared_ptr<PendingAsk> pending)
{
    auto const endpoint = this->ranking.endpoint_of(virtual_machine);
    auto const permit = ++this->last_permit;
    pending->permit = permit;
    pending->reply.reset();
    pending->is_lost = false;
    auto message = this->ask_message(ask, group, permit, endpoint);
    auto const timeout = std::max(Duration::zero(), time_until(ask.timeout, monotonic_now())) + this->options.reply_slack;
    this->send_ask(endpoint, std::move(message), timeout, group, pending);
    this->sent_asks.emplace(permit, SentAsk { endpoint, pending });
    while (!pending->reply && !pending->is_given_up && !pending->is_lost)
        co_await pending->signal.wait();
    this->sent_asks.erase(permit);
    pending->permit = 0;
    bool const is_error = pending->reply && pending->reply->is_error();
    bool const is_lost = pending->is_lost && !pending->reply;
    if (pending->is_given_up || is_error || is_lost) {
        // Withdraws an ask that waits, and returns a grant that is still to come or whose reply was lost.
        auto withdrawal = this->return_message(group, permit);
        this->kernel.notify(endpoint, std::move(withdrawal));
    }
    if (pending->is_given_up)
        co_return NoAnswer::Withdrawn;
    if (is_lost) {
        auto answer = co_await this->ask_controller(std::move(ask), std::move(group), std::move(virtual_machine), pending);
        co_return answer;
    }
    if (is_error) {
        this->note_failure(virtual_machine, group, endpoint, ask, pending->reply->error().kind);
        co_return NoAnswer::Unavailable;
    }
    auto const& answer = pending->reply->value().call_permit_answer();
    this->note_answered(group, endpoint, answer.controller());
    if (answer.upstream().empty())
        co_return Refusal { read_reason(answer.reason()), Duration(answer.retry_after_microseconds()) };
    HeldPlace place { ask.service, ask.account, answer.upstream(), ask.timeout, {} };
    place.controllers.push_back(Controller { endpoint, group });
    Grant grant { answer.upstream(), this->hold(permit, std::move(place)) };
    co_return Answer(std::move(grant));
}

void CallAdmissionClient::send_ask(std::string const& endpoint, wire::Envelope envelope, Duration timeout, CallGroup const& group, std::shared_ptr<PendingAsk> const& pending)
{
    auto const permit = pending->permit;
    auto const receive = [client = std::weak_ptr(this->self), pending, permit, endpoint, group](WireReply reply) {
        if (pending->permit == permit && !pending->is_given_up) {
            pending->reply = std::move(reply);
            pending->signal.notify();
            return;
        }
        // A late grant: the withdrawal may have been lost.
        auto const alive = client.lock();
        if (alive && !reply.is_error() && !reply.value().call_permit_answer().upstream().empty())
            (*alive)->kernel.notify(endpoint, (*alive)->return_message(group, permit));
    };
    // The kernel passes messages to this process without sending them.
    this->kernel.request(endpoint, std::move(envelope), Kernel::Patience { timeout, this->options.probe_delay }, receive);
}

void CallAdmissionClient::note_failure(std::string const& virtual_machine, CallGroup const& group, std::string const& endpoint, Ask const& ask, WireErrorKind error)
{
    // A VM that answers with an error is alive, so it stays in the ranking for other keys.
    if (error != WireErrorKind::Remote)
        this->ranking.note_unresponsive(virtual_machine);
    // It may start again at the same endpoint, without any state.
    auto const last = this->last_controllers.find({ group.service, group.index });
    if (last != this->last_controllers.end() && last->second.endpoint == endpoint)
        this->last_controllers.erase(last);
    LogLine("call_admission_unresponsive").with("vm", virtual_machine).with("request", ask.request).with("service", ask.service).with("error", to_string(error));
}

void CallAdmissionClient::note_answered(CallGroup const& group, std::string const& endpoint, std::string const& incarnation)
{
    auto const last = this->last_controllers.find({ group.service, group.index });
    if (last == this->last_controllers.end() || last->second.endpoint != endpoint)
        return;
    if (last->second.incarnation.empty())
        last->second.incarnation = incarnation;
    else if (last->second.incarnation != incarnation) {
        // It was started again since it was told of the calls in flight. The next ask tells it.
        this->last_controllers.erase(last);
        this->repeat_asks(endpoint);
    }
}

void CallAdmissionClient::repeat_asks(std::string const& endpoint)
{
    for (auto const& [permit, sent] : this->sent_asks) {
        auto const pending = sent.pending.lock();
        if (!pending || sent.endpoint != endpoint)
            continue;
        pending->is_lost = true;
        pending->signal.notify();
    }
}

wire::Envelope CallAdmissionClient::ask_message(Ask const& ask, CallGroup const& group, std::uint64_t permit, std::string const& endpoint)
{
    auto const now = monotonic_now();
    auto envelope = message_to(CALL_ADMISSION_SERVICE);
    auto* message = envelope.mutable_call_permit_ask();
    message->set_service(ask.service);
    message->set_group(group.index);
    message->set_request(ask.request);
    message->set_permit(permit);
    message->set_account(ask.account);
    if (auto const weight = this->weight_of(ask.account); weight != 1)
        message->set_account_weight(weight);
    message->set_priority(static_cast<std::int32_t>(ask.priority));
    message->set_origin(this->kernel.incarnation());
    message->set_data_centre(this->data_centre);
    message->set_target_within_microseconds(time_until(ask.target_time, now).count());
    message->set_timeout_within_microseconds(time_until(ask.timeout, now).count());
    message->set_retry_patience_microseconds(std::max(Duration::zero(), ask.retry_patience).count());
    for (auto const& upstream : ask.excluded_upstreams) {
        if (group.contains(upstream))
            message->add_excluded_upstreams(upstream);
    }
    auto& last = this->last_controllers[{ group.service, group.index }];
    if (last.endpoint != endpoint) {
        last = { endpoint, {} };
        this->report_held(group, endpoint, *message);
    }
    return envelope;
}

void CallAdmissionClient::report_held(CallGroup const& group, std::string const& endpoint, wire::CallPermitAsk& message)
{
    auto const now = monotonic_now();
    for (auto& [permit, place] : this->held_places) {
        if (place.service != group.service || !group.contains(place.upstream))
            continue;
        auto* call = message.add_in_flight();
        call->set_permit(permit);
        call->set_account(place.account);
        call->set_upstream(place.upstream);
        call->set_timeout_within_microseconds(time_until(place.timeout, now).count());
        bool const is_known = std::any_of(place.controllers.begin(), place.controllers.end(), [&](auto const& controller) { return controller.endpoint == endpoint && controller.group.index == group.index; });
        if (!is_known)
            place.controllers.push_back({ endpoint, group });
    }
}

CallPermit CallAdmissionClient::hold(std::uint64_t permit, HeldPlace place)
{
    this->held_places.insert_or_assign(permit, std::move(place));
    return CallPermit([client = std::weak_ptr(this->self), permit](CallOutcome outcome, Duration service_time) {
        if (auto const alive = client.lock())
            (*alive)->return_place(permit, outcome, service_time);
    });
}

CallPermit CallAdmissionClient::note_unpermitted(Ask const& ask, std::string upstream)
{
    return this->hold(++this->last_permit, HeldPlace { ask.service, ask.account, std::move(upstream), ask.timeout, {} });
}

void CallAdmissionClient::return_place(std::uint64_t permit, CallOutcome outcome, Duration service_time)
{
    auto const node = this->held_places.extract(permit);
    if (node.empty())
        return;
    auto const& place = node.mapped();
    for (auto const& controller : place.controllers) {
        auto envelope = this->return_message(controller.group, permit);
        auto* message = envelope.mutable_call_permit_return();
        message->set_upstream(place.upstream);
        message->set_outcome(wire_outcome(outcome));
        message->set_service_time_microseconds(service_time.count());
        this->kernel.notify(controller.endpoint, std::move(envelope));
    }
}

wire::Envelope CallAdmissionClient::return_message(CallGroup const& group, std::uint64_t permit) const
{
    auto envelope = message_to(CALL_ADMISSION_SERVICE);
    auto* message = envelope.mutable_call_permit_return();
    message->set_service(group.service);
    message->set_group(group.index);
    message->set_permit(permit);
    message->set_origin(this->kernel.incarnation());
    return envelope;
}

}
