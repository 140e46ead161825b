// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/LogLine.h>
#include <LibRouter/RequestRouter.h>
#include <LibRouter/StreamingRequestHandler.h>
#include <LibRouter/UnaryRequestHandler.h>

namespace Spurtide {

namespace {

/// A VM that has just started receives its configuration well within this time, and another VM serves the retry if this one
/// is stopping.
constexpr std::string_view RETRY_AFTER_SECONDS = "0.2";

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
    if (route->kind == RouteKind::Stream && request.is_resumption()) {
        LogLine("stream_taken_up").with("request", request.identifier).with("resumes", request.resumed_request).with("last_event", request.last_event);
        this->state.metrics.increment("spurtide_resumptions_total", "Requests that take up a stream whose caller has received events of it", { { "names", request.resumed_request.empty() ? "nothing" : "request" } });
    }
    auto const caller = identify_caller(routes->configuration().accounts.get(), route->access, request.key);
    if (caller.standing == CallerIdentity::Standing::Refused) {
        co_await this->reject(exchange, 401, request.key ? "unknown_key" : "no_key", identifier);
        co_return;
    }
    auto const stop = this->state.stop_time();
    if (stop && !may_begin_before_stop(route->kind, this->expected_time(*route, request), *stop)) {
        co_await this->reject(exchange, 503, "stopping", identifier);
        co_return;
    }
    auto const has_engine = [&](RouteTarget const& target) {
        auto const* service = routes->service(target.service);
        return service && service->engine;
    };
    bool const is_for_engines = request.prompt && std::any_of(route->targets.begin(), route->targets.end(), has_engine);
    std::shared_ptr<RequestHandler> handler;
    if (is_for_engines)
        handler = std::make_shared<StreamingRequestHandler>(this->state, exchange, routes, *route, caller.account, std::move(request));
    else
        handler = std::make_shared<UnaryRequestHandler>(this->state, exchange, routes, *route, caller.account, std::move(request));
    co_await handler->run();
}

ExpectedDuration RequestRouter::expected_time(Route const& route, CallerRequest const& request) const
{
    ExpectedDuration expected;
    expected.maximum = std::min(route.timeout, request.caller_timeout);
    if (!request.prompt || route.targets.empty())
        return expected;
    auto const& prompt = *request.prompt;
    auto const response_time = this->state.answer_pace.percentile_90(route.targets.front().service, prompt.expected_output_tokens, prompt.maximum_output_tokens, this->state.length_spread);
    if (response_time)
        expected.percentile_90 = route.latency_target + *response_time;
    return expected;
}

asio::awaitable<void> RequestRouter::reject(HttpExchange& exchange, int status, std::string_view reason, std::string identifier)
{
    LogLine("request_rejected").with("request", identifier).with("status", status).with("reason", reason).with("target", exchange.request().head.target);
    auto head = this->state.dialect.router_response_head(status, identifier);
    if (status == 503)
        head.headers.add("Retry-After", RETRY_AFTER_SECONDS);
    static_cast<void>(co_await exchange.respond(std::move(head), {}));
}

}
