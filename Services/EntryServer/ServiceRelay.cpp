// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <LibCore/LogLine.h>
#include <LibDecision/CellMap.h>
#include <Services/EntryServer/ServiceRelay.h>
#include <algorithm>

namespace Spurtide {

namespace {

constexpr Duration CLAIM_TIMEOUT = milliseconds(5000);
constexpr Duration COME_BACK_SOON = milliseconds(1000);
constexpr int SERVICE_UNAVAILABLE = 503;

}

void ServiceRelay::move(RequestEvent event)
{
    auto const before = this->state.phase();
    auto const moved = this->state.apply(event);
    if (moved.is_error()) {
        LogLine("request_state_fault").with("request", this->order.request).with("phase", to_string(before)).with("request_event", to_string(event));
        return;
    }
    LogLine("request_state").with("request", this->order.request).with("from", to_string(before)).with("to", to_string(moved.value())).with("by", to_string(event));
}

Problem ServiceRelay::refuse(ProblemKind kind, Duration retry_after)
{
    this->move(this->state.was_dispatched() ? RequestEvent::GiveUp : RequestEvent::Refuse);
    return { kind, "", this->state.outcome(), retry_after };
}

// Servers of the own data centre first; each request starts at another one.
std::vector<std::string> ServiceRelay::servers() const
{
    auto const configuration = this->context.follower.current();
    auto const* service = configuration ? configuration->find_service(this->order.service) : nullptr;
    std::vector<std::string> addresses;
    if (!service)
        return addresses;
    auto servers = service->servers;
    std::sort(servers.begin(), servers.end(), [&](auto const& a, auto const& b) {
        bool const a_is_near = a.data_centre == this->context.data_centre;
        bool const b_is_near = b.data_centre == this->context.data_centre;
        if (a_is_near != b_is_near)
            return a_is_near;
        return rendezvous_score(a.address, this->order.request) > rendezvous_score(b.address, this->order.request);
    });
    auto const leaving = this->context.kernel.directory().leaving_machines();
    for (auto const& server : servers) {
        if (std::find(leaving.begin(), leaving.end(), server.name) == leaving.end())
            addresses.push_back(server.address);
    }
    return addresses;
}

std::optional<Problem> ServiceRelay::claim()
{
    Problem const in_doubt { ProblemKind::ClaimInDoubt, "", RequestOutcome::FailedMayHaveRun, COME_BACK_SOON };
    auto const endpoints = this->context.kernel.directory().resolve("config");
    for (auto const& endpoint : endpoints) {
        wire::Envelope envelope;
        envelope.set_service("config");
        auto* message = envelope.mutable_claim();
        message->set_account(this->order.account);
        message->set_id(this->order.idempotency_key);
        message->set_token(this->order.request);
        auto const reply = this->context.kernel.call(endpoint, std::move(envelope), CLAIM_TIMEOUT);
        // The same token may be claimed again through a peer: the row says whose it is.
        if (reply.is_error() || !reply.value().has_claim_reply())
            continue;
        switch (reply.value().claim_reply().status()) {
        case wire::CLAIM_STATUS_GRANTED:
            return {};
        case wire::CLAIM_STATUS_TAKEN:
            return Problem { ProblemKind::AlreadySubmitted, "", RequestOutcome::FailedMayHaveRun, {} };
        default:
            return in_doubt;
        }
    }
    return in_doubt;
}

// A lost call may have run; only one that never left is safe to send elsewhere when it must not be repeated.
bool ServiceRelay::may_try_next(ServiceError const& error) const
{
    return error.kind == ServiceErrorKind::Unreachable || this->order.repeat == ServiceOrder::Repeat::Allowed;
}

bool ServiceRelay::is_retry_answer(ServiceAnswer const& answer) const
{
    return answer.status == SERVICE_UNAVAILABLE && this->order.repeat == ServiceOrder::Repeat::Allowed;
}

Result<ServiceAnswer, Problem> ServiceRelay::run()
{
    this->context.note_request();
    this->move(RequestEvent::Admit);
    auto const addresses = this->servers();
    if (addresses.empty())
        return Failure { this->refuse(ProblemKind::UnknownService, {}) };
    if (this->order.repeat == ServiceOrder::Repeat::Forbidden && !this->order.idempotency_key.empty()) {
        if (auto problem = this->claim()) {
            // Another submission under this id may have run, so this one is given up, not refused.
            this->move(RequestEvent::GiveUp);
            problem->outcome = this->state.outcome();
            LogLine("claim_refused").with("request", this->order.request).with("reason", to_string(problem->kind));
            return Failure { *problem };
        }
    }
    std::optional<ServiceAnswer> last_answer;
    bool may_have_run = false;
    int attempts = 0;
    for (auto const& address : addresses) {
        bool const is_retry = attempts++ > 0;
        if (attempts > this->context.limits.most_attempts || monotonic_now() >= this->order.deadline)
            break;
        if (is_retry && !this->context.try_spend_retry())
            break;
        auto const answer = this->context.make_service(address)->call(this->order.call);
        LogLine("service_call").with("request", this->order.request).with("service", this->order.service).with("server", address).with("attempt", attempts).with("status", answer.is_error() ? (answer.error().kind == ServiceErrorKind::Unreachable ? "unreachable" : "lost") : std::to_string(answer.value().status));
        if (answer.is_error()) {
            may_have_run = may_have_run || answer.error().kind == ServiceErrorKind::Lost;
            if (!this->may_try_next(answer.error()))
                break;
            continue;
        }
        last_answer = answer.value();
        if (!this->is_retry_answer(*last_answer))
            break;
    }
    if (last_answer) {
        this->move(RequestEvent::Dispatch);
        this->move(RequestEvent::Finish);
        return std::move(*last_answer);
    }
    if (!may_have_run)
        return Failure { this->refuse(ProblemKind::NoUpstream, COME_BACK_SOON) };
    this->move(RequestEvent::Dispatch);
    return Failure { this->refuse(ProblemKind::UpstreamFailed, COME_BACK_SOON) };
}

}
