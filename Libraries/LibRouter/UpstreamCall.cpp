// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <LibCore/LogLine.h>
#include <LibRouter/UpstreamCall.h>
#include <LibRouter/UpstreamLimiter.h>
#include <LibRouter/UpstreamStatements.h>
#include <array>

namespace Spurtide {

namespace {

bool may_call(RouterState const& state, UpstreamRecord const& upstream, CallPurpose purpose)
{
    auto const obstacle = find_send_obstacle(state, upstream);
    return obstacle == SendObstacle::None || (obstacle == SendObstacle::Left && purpose == CallPurpose::Release);
}

void record_mismatch(RouterState& state, UpstreamRecord const& upstream, ResponseInfo const& info, int status, std::string_view request)
{
    std::string const names = info.identifier.empty() ? "none" : "other";
    LogLine("response_mismatched")
        .with("request", request)
        .with("upstream", upstream.identity)
        .with("names", info.identifier)
        .with("status", status)
        .with("not_executed", info.is_not_executed ? "yes" : "no");
    state.metrics.increment("spurtide_mismatched_responses_total", "Responses of upstreams that were passed over, as they named another request than the one that was due, or none", { { "service", upstream.service }, { "names", names } });
}

}

std::string_view to_string(SendObstacle obstacle)
{
    constexpr std::array<std::string_view, 3> NAMES = { "none", "upstream_left", "upstream_paused" };
    return NAMES.at(static_cast<std::size_t>(obstacle));
}

SendObstacle find_send_obstacle(RouterState const& state, UpstreamRecord const& upstream)
{
    // A pause also holds for calls to an upstream that is leaving.
    if (state.limiter->requested_pause_left(upstream, monotonic_now()) > Duration::zero())
        return SendObstacle::Paused;
    return state.upstreams.takes_work(upstream.identity) ? SendObstacle::None : SendObstacle::Left;
}

HttpConnection::ResponseFilter responses_to(RouterState& state, UpstreamRecord const& upstream, std::string request)
{
    return [&state, &upstream, request = std::move(request)](auto const& head) {
        auto const info = state.dialect.read_response(head);
        if (info.is_response_to(request))
            return true;
        record_mismatch(state, upstream, info, head.status, request);
        return false;
    };
}

asio::awaitable<Result<ConnectionPool::Answer, HttpError>> call_upstream(RouterState& state, UpstreamRecord upstream, HttpRequest request, CallPurpose purpose, ConnectionPool::Call options)
{
    auto const address = parse_address(upstream.address);
    if (!address)
        co_return Failure { HttpError::CannotConnect };
    if (!may_call(state, upstream, purpose))
        co_return Failure { HttpError::Aborted };
    options.may_send = [&state, &upstream, purpose, may_send = std::move(options.may_send)] {
        if (!may_send() || !may_call(state, upstream, purpose))
            return false;
        state.limiter->note_sent(upstream);
        return true;
    };
    options.accepts_response = responses_to(state, upstream, {});
    auto answer = co_await state.pool.call(*address, std::move(request), std::move(options));
    if (!answer.is_error())
        record_upstream_statements(state, upstream, state.dialect.read_response(answer.value().head), answer.value().head.status, {});
    co_return answer;
}

}
