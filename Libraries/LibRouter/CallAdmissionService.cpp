// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/LogLine.h>
#include <LibRouter/CallAdmissionService.h>
#include <LibWire/WireCallPermits.h>
#include <algorithm>
#include <vector>

namespace Spurtide {

namespace {

/// Keeps a timer whose time has come already from firing in a loop.
constexpr Duration SHORTEST_TIMER = milliseconds(1);

/// The queue's name for a call, which is unique among all VMs.
std::string call_name(std::string_view origin, std::uint64_t permit) { return std::string(origin) + "/" + std::to_string(permit); }

CallAsk ask_from_message(wire::CallPermitAsk const& message, MonotonicTime now)
{
    CallAsk ask;
    ask.request = call_name(message.origin(), message.permit());
    ask.account = message.account();
    ask.priority = message.priority();
    ask.origin = message.origin();
    ask.data_centre = message.data_centre();
    ask.target_time = now + Duration(message.target_within_microseconds());
    ask.timeout = now + Duration(message.timeout_within_microseconds());
    ask.retry_patience = Duration(std::max<std::int64_t>(0, message.retry_patience_microseconds()));
    ask.excluded_upstreams.assign(message.excluded_upstreams().begin(), message.excluded_upstreams().end());
    return ask;
}

}

CallAdmissionService::CallAdmissionService(Options options, Kernel& kernel, UpstreamList const& upstreams, Metrics& metrics, asio::io_context& loop)
    : options(options)
    , kernel(kernel)
    , upstreams(upstreams)
    , metrics(metrics)
    , timer(loop)
{
}

void CallAdmissionService::host()
{
    this->kernel.host(std::string(CALL_ADMISSION_SERVICE), [this](wire::Envelope const& request, Kernel::Responder const& respond) { this->handle(request, respond); });
}

void CallAdmissionService::start()
{
    this->kernel.every(this->options.housekeeping_interval, [this] { this->housekeep(); });
}

void CallAdmissionService::note_upstreams_changed()
{
    for (auto& [key, queue] : this->queues)
        queue.has_outdated_upstreams = true;
}

std::size_t CallAdmissionService::waiting_calls(std::string_view service) const
{
    std::size_t count = 0;
    for (auto const& [key, queue] : this->queues)
        count += key.first == service ? queue.calls.waiting_calls() : 0;
    return count;
}

std::size_t CallAdmissionService::calls_in_flight(std::string_view service) const
{
    std::size_t count = 0;
    for (auto const& [key, queue] : this->queues)
        count += key.first == service ? queue.calls.calls_in_flight() : 0;
    return count;
}

void CallAdmissionService::handle(wire::Envelope const& request, Kernel::Responder const& respond)
{
    this->pauses.note_iteration(monotonic_now());
    if (request.has_call_permit_ask())
        this->handle_ask(request.call_permit_ask(), respond);
    else if (request.has_call_permit_return())
        this->handle_return(request.call_permit_return());
    else
        respond(error_reply(wire::ERROR_CODE_UNKNOWN_MESSAGE));
}

void CallAdmissionService::handle_ask(wire::CallPermitAsk const& message, Kernel::Responder const& respond)
{
    auto const now = monotonic_now();
    // Clients that asked while this process was suspended have moved on; a grant would go unused.
    if (this->pauses.is_catching_up(now) && message.origin() != this->kernel.incarnation()) {
        LogLine("stale_call_ask_dropped").with("request", message.request()).with("origin", message.origin());
        respond(error_reply(wire::ERROR_CODE_NOT_READY));
        return;
    }
    QueueKey const key(message.service(), message.group());
    auto& queue = this->queues.try_emplace(key, this->options.queue).first->second;
    queue.used_at = now;
    this->update_upstreams(key, queue);
    if (queue.upstreams == 0) {
        // This process may have just started. Let the client ask another VM, which may know the upstreams.
        respond(error_reply(wire::ERROR_CODE_NOT_READY));
        return;
    }
    queue.origins.insert(message.origin());
    for (auto const& call : message.in_flight())
        queue.calls.restore(call_name(message.origin(), call.permit()), call.account(), message.origin(), call.upstream(), now + Duration(call.timeout_within_microseconds()), now);
    queue.calls.set_account_weight(message.account(), message.account_weight() > 0 ? message.account_weight() : 1);
    auto ask = ask_from_message(message, now);
    queue.pending.insert_or_assign(ask.request, PendingAsk { message.request(), message.account(), respond });
    queue.calls.ask(std::move(ask), now);
    this->advance(key, queue, now);
    this->set_timer(now);
}

void CallAdmissionService::handle_return(wire::CallPermitReturn const& message)
{
    auto const now = monotonic_now();
    QueueKey const key(message.service(), message.group());
    auto const found = this->queues.find(key);
    if (found == this->queues.end())
        return;
    auto& queue = found->second;
    queue.used_at = now;
    auto const name = call_name(message.origin(), message.permit());
    queue.pending.erase(name);
    if (message.upstream().empty())
        queue.calls.withdraw(name, now);
    else
        queue.calls.complete(name, read_outcome(message.outcome()), Duration(std::max<std::int64_t>(0, message.service_time_microseconds())), now);
    this->advance(key, queue, now);
    this->set_timer(now);
}

void CallAdmissionService::update_upstreams(QueueKey const& key, ServiceQueue& queue)
{
    if (!std::exchange(queue.has_outdated_upstreams, false))
        return;
    std::vector<UpstreamRecord const*> records;
    this->upstreams.for_each([&](UpstreamRecord const& record) {
        if (record.service == key.first && record.life == UpstreamRecord::Life::Serving)
            records.push_back(&record);
    });
    CallGroup const group { key.first, key.second, CallGroup::count_for(records.size()) };
    std::vector<QueueUpstream> members;
    for (auto const* record : records) {
        if (group.contains(record->identity))
            members.push_back({ record->identity, record->slots, record->data_centre });
    }
    queue.upstreams = members.size();
    queue.calls.set_upstreams(members);
}

void CallAdmissionService::advance(QueueKey const& key, ServiceQueue& queue, MonotonicTime now)
{
    this->update_upstreams(key, queue);
    queue.calls.advance(now);
    this->send_decisions(key, queue, now);
}

void CallAdmissionService::send_decisions(QueueKey const& key, ServiceQueue& queue, MonotonicTime now)
{
    auto const decisions = queue.calls.take_decisions();
    for (auto const& decision : decisions) {
        auto const& name = std::visit([](auto const& either) -> std::string const& { return either.request; }, decision);
        auto node = queue.pending.extract(name);
        if (node.empty())
            continue;
        auto const& ask = node.mapped();
        if (auto const* grant = std::get_if<CallGrant>(&decision))
            this->send_grant(key, queue, ask, *grant, now);
        else
            this->send_refusal(key, queue, ask, std::get<CallRefusal>(decision), now);
    }
    if (!decisions.empty())
        this->publish_waiting(key, queue);
}

void CallAdmissionService::send_grant(QueueKey const& key, ServiceQueue const& queue, PendingAsk const& ask, CallGrant const& grant, MonotonicTime now)
{
    this->metrics.increment("spurtide_call_permits_total", "Decisions of this VM on calls that asked for a place at an upstream", { { "service", key.first }, { "outcome", "granted" } });
    this->metrics.observe_seconds("spurtide_call_permit_wait_seconds", "From a call's ask for a place until it was granted", to_seconds(grant.waited), { { "service", key.first } });
    LogLine("call_granted")
        .with("request", ask.request)
        .with("service", key.first)
        .with("group", static_cast<std::int64_t>(key.second))
        .with("account", ask.account)
        .with("upstream", grant.upstream)
        .with("waited_ms", to_milliseconds(grant.waited))
        .with("waiting", static_cast<std::int64_t>(queue.calls.waiting_calls()))
        .with("in_flight", static_cast<std::int64_t>(queue.calls.calls_in_flight()))
        .with("at_upstream", queue.calls.calls_in_flight(grant.upstream))
        .with("usage", queue.calls.usage(ask.account, now))
        .with("predicted_ms", to_milliseconds(grant.predicted));
    wire::Envelope reply;
    reply.mutable_call_permit_answer()->set_upstream(grant.upstream);
    reply.mutable_call_permit_answer()->set_controller(this->kernel.incarnation());
    ask.respond(std::move(reply));
}

void CallAdmissionService::send_refusal(QueueKey const& key, ServiceQueue const& queue, PendingAsk const& ask, CallRefusal const& refusal, MonotonicTime now)
{
    auto const reason = std::string(to_string(refusal.reason));
    this->metrics.increment("spurtide_call_permits_total", "Decisions of this VM on calls that asked for a place at an upstream", { { "service", key.first }, { "outcome", reason } });
    LogLine("call_refused")
        .with("request", ask.request)
        .with("service", key.first)
        .with("group", static_cast<std::int64_t>(key.second))
        .with("account", ask.account)
        .with("reason", reason)
        .with("waited_ms", to_milliseconds(refusal.waited))
        .with("waiting", static_cast<std::int64_t>(queue.calls.waiting_calls()))
        .with("in_flight", static_cast<std::int64_t>(queue.calls.calls_in_flight()))
        .with("usage", queue.calls.usage(ask.account, now))
        .with("predicted_ms", to_milliseconds(refusal.predicted))
        .with("retry_after_ms", to_milliseconds(refusal.retry_after));
    wire::Envelope reply;
    auto* answer = reply.mutable_call_permit_answer();
    answer->set_reason(wire_reason(refusal.reason));
    answer->set_retry_after_microseconds(refusal.retry_after.count());
    answer->set_controller(this->kernel.incarnation());
    ask.respond(std::move(reply));
}

void CallAdmissionService::publish_waiting(QueueKey const& key, ServiceQueue const& queue)
{
    MetricLabels const labels { { "service", key.first }, { "group", std::to_string(key.second) } };
    this->metrics.set("spurtide_call_permits_waiting", "Calls that wait for a place at an upstream", static_cast<double>(queue.calls.waiting_calls()), labels);
    this->metrics.set("spurtide_call_permits_held", "Places at upstreams that calls have now", static_cast<double>(queue.calls.calls_in_flight()), labels);
}

void CallAdmissionService::set_timer(MonotonicTime now)
{
    std::optional<MonotonicTime> next;
    for (auto const& [key, queue] : this->queues) {
        if (auto const event = queue.calls.next_event(now))
            next = std::min(*event, next.value_or(*event));
    }
    if (!next || (this->timer_due && *this->timer_due <= *next))
        return;
    this->timer_due = std::max(*next, now + SHORTEST_TIMER);
    this->timer.expires_at(*this->timer_due);
    this->timer.async_wait([this](asio::error_code error) {
        // Cancelled by the destructor, or set to an earlier time.
        if (error)
            return;
        this->timer_due.reset();
        this->tick();
    });
}

void CallAdmissionService::tick()
{
    auto const now = monotonic_now();
    this->pauses.note_iteration(now);
    for (auto& [key, queue] : this->queues)
        this->advance(key, queue, now);
    this->set_timer(now);
}

void CallAdmissionService::housekeep()
{
    auto const now = monotonic_now();
    this->pauses.note_iteration(now);
    this->remove_dead_origins(now);
    for (auto& [key, queue] : this->queues) {
        this->advance(key, queue, now);
        this->publish_waiting(key, queue);
    }
    this->set_timer(now);
    std::erase_if(this->queues, [&](auto const& entry) {
        auto const& queue = entry.second;
        return queue.calls.waiting_calls() == 0 && queue.calls.calls_in_flight() == 0 && now - queue.used_at >= this->options.idle_time;
    });
}

void CallAdmissionService::remove_dead_origins(MonotonicTime now)
{
    std::set<std::string> origins;
    for (auto const& [key, queue] : this->queues)
        origins.insert(queue.origins.begin(), queue.origins.end());
    auto const is_live = [this](std::string const& origin) { return origin == this->kernel.incarnation() || this->kernel.directory().find_incarnation(origin); };
    for (auto const& origin : this->missing_origins.take_dead(origins, is_live, this->options.dead_origin_grace, now)) {
        LogLine("call_origin_gone").with("origin", origin);
        for (auto& [key, queue] : this->queues) {
            if (queue.origins.erase(origin) > 0)
                queue.calls.remove_origin(origin, now);
            // It may be alive and only unknown here. Without an answer, its calls would wait until their timeout.
            std::erase_if(queue.pending, [&](auto const& entry) {
                bool const is_dropped = entry.first.starts_with(origin + "/");
                if (is_dropped)
                    entry.second.respond(error_reply(wire::ERROR_CODE_NOT_READY));
                return is_dropped;
            });
        }
    }
}

}
