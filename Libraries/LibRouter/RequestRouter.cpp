// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <LibCore/LogLine.h>
#include <LibDecision/StopPolicy.h>
#include <LibRouter/RequestRouter.h>
#include <LibRouter/StopDecision.h>
#include <LibRouter/StreamOriginDirectory.h>
#include <LibRouter/StreamingRequestHandler.h>
#include <LibRouter/UnaryRequestHandler.h>
#include <algorithm>
#include <xxhash.h>

namespace Spurtide {

namespace {

/// A VM that has just started receives its configuration well within this time.
constexpr std::string_view RETRY_AFTER_SECONDS = "0.2";
/// Other bodies have been sent, or have been given up, within about this time.
constexpr std::string_view RETRY_UNREAD_AFTER_SECONDS = "1";

bool has_engines(RouteTable const& routes, std::string_view service)
{
    auto const* traits = routes.service(service);
    return traits && traits->engine;
}

}

asio::awaitable<void> RequestRouter::handle(HttpExchange& exchange)
{
    auto const& head = exchange.request().head;
    auto const routes = this->state.routes;
    auto parsed = this->state.dialect.read_request(head);
    auto const identifier = parsed.is_error() ? std::string() : parsed.value().identifier;
    if (!routes) {
        co_await this->reject(exchange, 503, "no_configuration", identifier);
        co_return;
    }
    auto const host = head.headers.find("host");
    if (!host) {
        co_await this->reject(exchange, 400, "no_host", identifier);
        co_return;
    }
    auto const* route = routes->find(*host, head.target);
    if (!route) {
        co_await this->reject(exchange, 404, "no_route", identifier);
        co_return;
    }
    if (parsed.is_error()) {
        co_await this->reject(exchange, 400, to_string(parsed.error()), identifier);
        co_return;
    }
    auto request = parsed.release_value();
    auto const caller = identify_caller(routes->configuration().accounts.get(), route->access, request.key);
    if (caller.standing == CallerIdentity::Standing::Refused) {
        co_await this->reject(exchange, 401, request.key ? "unknown_key" : "no_key", identifier);
        co_return;
    }
    std::optional<StreamOrigin> origin;
    if (route->kind == RouteKind::Stream && request.is_resumption()) {
        LogLine("stream_taken_up").with("request", request.identifier).with("resumes", request.resumed_request).with("last_event", request.last_event);
        // The process might exit during the lookup.
        if (this->exits_before_deadline(exchange, *route, request)) {
            count_stop_decision(this->state, StopDecision::Refused, request);
            co_await this->reject(exchange, 503, "stopping", identifier);
            co_return;
        }
        if (!request.resumed_request.empty())
            origin = co_await this->state.stream_origins->find(request.resumed_request);
        // One of two streams by the same name began at another version.
        if (!origin && !this->state.stream_origins->is_conflicting(request.resumed_request))
            origin = co_await this->derive_origin(*route, request);
        auto const obstacle = this->find_resumption_obstacle(*routes, *route, request, origin);
        this->state.metrics.increment("spurtide_resumptions_total", "Requests that take up a stream whose caller has received events of it", { { "outcome", std::string(obstacle.value_or("accepted")) } });
        if (obstacle) {
            co_await this->reject(exchange, 503, *obstacle, identifier);
            co_return;
        }
    }
    auto service = origin ? origin->service : route->target_for(XXH3_64bits(identifier.data(), identifier.size()));
    bool const is_for_engines = request.prompt && has_engines(*routes, service);
    if (is_for_engines) {
        auto const handler = std::make_shared<StreamingRequestHandler>(this->state, exchange, routes, *route, std::move(service), caller.account, std::move(request));
        if (origin)
            handler->resume_from(*origin);
        co_await handler->run();
    } else {
        auto const handler = std::make_shared<UnaryRequestHandler>(this->state, exchange, routes, *route, std::move(service), caller.account, std::move(request));
        co_await handler->run();
    }
}

bool RequestRouter::exits_before_deadline(HttpExchange const& exchange, Route const& route, CallerRequest const& request) const
{
    auto const until_exit = this->state.time_until_exit();
    auto const age = std::chrono::duration_cast<Duration>(monotonic_now() - exchange.received_at());
    return until_exit && !may_begin_before_exit(std::min(route.timeout, request.caller_timeout) - age, *until_exit);
}

// If all upstreams have been of one version for as long as callers may come back for a stream, it began at that version.
asio::awaitable<std::optional<StreamOrigin>> RequestRouter::derive_origin(Route const& route, CallerRequest const& request)
{
    auto const lookback = this->state.longest_absence;
    // Such a caller may have been away for longer.
    if (request.caller_timeout > lookback)
        co_return std::nullopt;
    auto const service = route.targets.front().service;
    bool const has_one_target = route.targets.size() == 1 && monotonic_now() - this->state.targets_since >= lookback;
    if (!has_one_target || !this->state.upstreams.only_software_version(service, lookback, monotonic_now()))
        co_return std::nullopt;
    // Another VM may have used an upstream that this one has not heard of.
    bool const is_current = co_await this->state.confirm_upstreams();
    auto const version = this->state.upstreams.only_software_version(service, lookback, monotonic_now());
    LogLine("stream_origin_derived").with("service", service).with("software", version.value_or("")).with("list", is_current ? "current" : "unconfirmed");
    if (!is_current || !version)
        co_return std::nullopt;
    StreamOrigin origin;
    origin.service = service;
    origin.software_version = *version;
    co_return origin;
}

// A stream that continued elsewhere than where it began would not fit together.
std::optional<std::string_view> RequestRouter::find_resumption_obstacle(RouteTable const& routes, Route const& route, CallerRequest const& request, std::optional<StreamOrigin> const& origin)
{
    if (!origin)
        return "unknown_stream";
    auto const is_origin = [&](RouteTarget const& target) { return target.service == origin->service; };
    if (!route.is_resumable || std::none_of(route.targets.begin(), route.targets.end(), is_origin))
        return "stream_service_not_routed";
    if (!request.prompt || !has_engines(routes, origin->service))
        return "not_resumable";
    // The engine was restarted under its identity, and it is not known before or after the stream began.
    auto const* listed = this->state.upstreams.find(origin->upstream.identity);
    if (listed && listed->started != origin->upstream.started && listed->software_version != origin->software_version)
        return "stream_version_uncertain";
    return {};
}

void RequestRouter::recheck_waiting_requests()
{
    // A request that is stopped may leave the set.
    auto const requests = *this->state.running_requests;
    for (auto* request : requests)
        request->recheck_exit();
}

HttpResponseHead RequestRouter::refuse_incomplete(HttpRequestHead const& head)
{
    this->state.metrics.increment("spurtide_incomplete_requests_refused_total", "Requests refused before they had arrived whole, since the process exits", {});
    return this->begin_unread_rejection(head, "stopping_before_whole", RETRY_AFTER_SECONDS);
}

void RequestRouter::interrupt_requests()
{
    auto const requests = *this->state.running_requests;
    for (auto* request : requests)
        request->interrupt();
}

asio::awaitable<void> RequestRouter::reject(HttpExchange& exchange, int status, std::string_view reason, std::string identifier)
{
    auto head = this->begin_rejection(exchange.request().head, status, reason, identifier, RETRY_AFTER_SECONDS);
    static_cast<void>(co_await exchange.respond(std::move(head), {}));
}

HttpResponseHead RequestRouter::reject_unread(HttpRequestHead const& head)
{
    return this->begin_unread_rejection(head, "out_of_memory", RETRY_UNREAD_AFTER_SECONDS);
}

HttpResponseHead RequestRouter::begin_unread_rejection(HttpRequestHead const& head, std::string_view reason, std::string_view retry_after)
{
    auto const parsed = this->state.dialect.read_request(head);
    auto const identifier = parsed.is_error() ? std::string() : parsed.value().identifier;
    return this->begin_rejection(head, 503, reason, identifier, retry_after);
}

HttpResponseHead RequestRouter::begin_rejection(HttpRequestHead const& head, int status, std::string_view reason, std::string const& identifier, std::string_view retry_after)
{
    LogLine("request_rejected").with("request", identifier).with("status", status).with("reason", reason).with("target", head.target);
    auto response = this->state.dialect.router_response_head(status, identifier);
    if (status == 503)
        response.headers.add("Retry-After", retry_after);
    return response;
}

}
