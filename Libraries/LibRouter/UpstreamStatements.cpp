// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/LogLine.h>
#include <LibRouter/UpstreamLimiter.h>
#include <LibRouter/UpstreamStatements.h>

namespace Spurtide {

namespace {

void count_statement(RouterState& state, UpstreamRecord const& upstream, std::string statement)
{
    state.metrics.increment("spurtide_upstream_statements_total", "Responses in which an upstream stated that it is leaving, or requested a pause", { { "service", upstream.service }, { "statement", std::move(statement) } });
}

void record_departure(RouterState& state, UpstreamRecord const& upstream, std::string_view request)
{
    LogLine("upstream_states_leaving").with("request", request).with("upstream", upstream.identity).with("started", upstream.started).with("service", upstream.service);
    count_statement(state, upstream, "leaving");
    state.note_departure({ upstream.identity, upstream.started });
}

void record_pause(RouterState& state, UpstreamRecord const& upstream, RetryAfterHeader const& retry_after, std::string_view request)
{
    if (retry_after.state == RetryAfterHeader::State::Malformed) {
        LogLine("upstream_pause_unreadable").with("request", request).with("upstream", upstream.identity);
        return;
    }
    LogLine("upstream_asks_for_pause").with("request", request).with("upstream", upstream.identity).with("started", upstream.started).with("service", upstream.service).with("pause_ms", to_milliseconds(retry_after.delay));
    count_statement(state, upstream, "pause");
    if (retry_after.delay > Duration::zero())
        state.limiter->note_pause(upstream, retry_after.delay);
}

}

void record_upstream_statements(RouterState& state, UpstreamRecord const& upstream, ResponseInfo const& info, int status, std::string_view request)
{
    constexpr int HTTP_MISDIRECTED_REQUEST = 421;
    constexpr int HTTP_SERVICE_UNAVAILABLE = 503;
    // Another incarnation answered.
    if (status == HTTP_MISDIRECTED_REQUEST)
        return;
    if (info.is_leaving)
        record_departure(state, upstream, request);
    if (status == HTTP_SERVICE_UNAVAILABLE && info.retry_after.state != RetryAfterHeader::State::Absent)
        record_pause(state, upstream, info.retry_after, request);
}

}
