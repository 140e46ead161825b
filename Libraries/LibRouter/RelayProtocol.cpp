// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibRouter/RelayProtocol.h>
#include <algorithm>
#include <array>

namespace Spurtide {

namespace {

constexpr std::string_view PATH = "/v1/relay";
constexpr std::string_view REQUEST = "Spurtide-Relay-Request";
constexpr std::string_view UPSTREAM = "Spurtide-Relay-Upstream";
constexpr std::string_view TIME_LEFT = "Spurtide-Relay-Time-Left-Ms";
constexpr std::string_view FRESHNESS = "Spurtide-Relay-Connection";
constexpr std::string_view EXPECTED_BODY = "Spurtide-Relay-Response-Body";
constexpr std::string_view WHEN_UNREACHABLE = "Spurtide-Relay-When-Unreachable";
constexpr std::string_view ABANDON_AFTER = "Spurtide-Relay-Abandon-After-Ms";
constexpr std::string_view OPERATION = "Spurtide-Relay-Operation";
constexpr std::string_view OUTCOME = "Spurtide-Relay-Outcome";
constexpr std::string_view UPSTREAM_LENGTH = "Spurtide-Relay-Content-Length";
constexpr std::string_view CONTENT_LENGTH = "Content-Length";

constexpr std::array<std::string_view, 11> OUTCOMES = { "forwarded", "connected", "partitioned", "stopping", "unknown_upstream", "not_available", "nobody_listens", "cannot_connect", "expired", "malformed", "out_of_memory" };

constexpr Duration LONGEST_TIME_LEFT = seconds(86'400);
/// VMs of earlier versions do not say it.
constexpr Duration DEFAULT_ABANDON_AFTER = seconds(1);

constexpr int HTTP_OK = 200;
constexpr int HTTP_BAD_REQUEST = 400;
constexpr int HTTP_SERVICE_UNAVAILABLE = 503;

/// Reads a field that has one of two values.
Result<bool, RelayRequestError> read_choice(HttpRequestHead const& head, std::string_view field, std::string_view first, std::string_view second)
{
    auto const value = head.headers.find(field);
    if (!value)
        return Failure { RelayRequestError::MissingField };
    if (*value != first && *value != second)
        return Failure { RelayRequestError::BadField };
    return *value == first;
}

Result<Duration, RelayRequestError> read_abandon_after(HttpRequestHead const& head)
{
    auto const value = head.headers.find(ABANDON_AFTER);
    if (!value)
        return DEFAULT_ABANDON_AFTER;
    auto const time = parse_whole_number(*value);
    if (!time || *time > to_milliseconds(LONGEST_TIME_LEFT))
        return Failure { RelayRequestError::BadField };
    return Duration(milliseconds(*time));
}

}

std::string_view to_string(RelayOutcome outcome) { return OUTCOMES.at(static_cast<std::size_t>(outcome)); }

HttpRequestHead relay_request_head(std::string_view relay_address, RelayedSend const& send, std::size_t body_size)
{
    HttpRequestHead head { "POST", std::string(PATH), {} };
    head.headers.add("Host", relay_address);
    head.headers.add(REQUEST, send.request);
    head.headers.add(UPSTREAM, send.upstream);
    head.headers.add(TIME_LEFT, std::to_string(std::max<std::int64_t>(0, to_milliseconds(send.time_left))));
    head.headers.add(FRESHNESS, send.freshness == ConnectionPool::Freshness::Any ? "any" : "recent");
    head.headers.add(EXPECTED_BODY, send.expected_body == MessageParser::ExpectedBody::None ? "none" : "as-framed");
    head.headers.add(WHEN_UNREACHABLE, send.abandon_after ? "abort" : "wait");
    if (send.abandon_after)
        head.headers.add(ABANDON_AFTER, std::to_string(std::max<std::int64_t>(0, to_milliseconds(*send.abandon_after))));
    head.headers.add(OPERATION, send.operation == RelayedSend::Operation::Probe ? "probe" : "send");
    head.headers.add("Content-Length", std::to_string(body_size));
    return head;
}

Result<RelayedSend, RelayRequestError> read_relay_request(HttpRequestHead const& head)
{
    RelayedSend send;
    auto const upstream = head.headers.find(UPSTREAM);
    auto const time_left = head.headers.find(TIME_LEFT);
    if (head.method != "POST" || head.target != PATH || !upstream || !time_left)
        return Failure { RelayRequestError::MissingField };
    auto const time = parse_whole_number(*time_left);
    if (!time || *time > to_milliseconds(LONGEST_TIME_LEFT))
        return Failure { RelayRequestError::BadField };
    send.request = head.headers.find(REQUEST).value_or("");
    send.upstream = *upstream;
    send.time_left = milliseconds(*time);
    if (TRY(read_choice(head, FRESHNESS, "recent", "any")))
        send.freshness = ConnectionPool::Freshness::Recent;
    if (TRY(read_choice(head, EXPECTED_BODY, "none", "as-framed")))
        send.expected_body = MessageParser::ExpectedBody::None;
    if (TRY(read_choice(head, WHEN_UNREACHABLE, "abort", "wait")))
        send.abandon_after = TRY(read_abandon_after(head));
    if (TRY(read_choice(head, OPERATION, "probe", "send")))
        send.operation = RelayedSend::Operation::Probe;
    return send;
}

HttpResponseHead relayed_response_head(HttpResponseHead const& head)
{
    HttpResponseHead relayed { head.status, head.reason, {} };
    for (auto const& field : head.headers.all()) {
        if (!is_connection_field(field.name) && !equal_names(field.name, OUTCOME) && !equal_names(field.name, UPSTREAM_LENGTH))
            relayed.headers.add(field.name, field.value);
    }
    relayed.headers.add(OUTCOME, to_string(RelayOutcome::Forwarded));
    if (auto const length = head.headers.find(CONTENT_LENGTH))
        relayed.headers.add(UPSTREAM_LENGTH, *length);
    return relayed;
}

HttpResponseHead relay_outcome_head(RelayOutcome outcome)
{
    HttpResponseHead head;
    head.status = HTTP_SERVICE_UNAVAILABLE;
    if (outcome == RelayOutcome::Connected)
        head.status = HTTP_OK;
    if (outcome == RelayOutcome::Malformed)
        head.status = HTTP_BAD_REQUEST;
    head.headers.add(OUTCOME, to_string(outcome));
    return head;
}

std::optional<RelayOutcome> read_relay_outcome(HttpResponseHead const& head)
{
    auto const text = head.headers.find(OUTCOME);
    if (!text)
        return {};
    auto const found = std::find(OUTCOMES.begin(), OUTCOMES.end(), *text);
    if (found == OUTCOMES.end())
        return {};
    return static_cast<RelayOutcome>(found - OUTCOMES.begin());
}

void restore_upstream_head(HttpResponseHead& head)
{
    auto& fields = head.headers.all();
    // The relayed response's own Content-Length says nothing about the upstream's.
    std::erase_if(fields, [](auto const& field) { return equal_names(field.name, OUTCOME) || equal_names(field.name, CONTENT_LENGTH); });
    auto const length = std::find_if(fields.begin(), fields.end(), [](auto const& field) { return equal_names(field.name, UPSTREAM_LENGTH); });
    if (length != fields.end())
        length->name = CONTENT_LENGTH;
}

}
