// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <Tests/Platform/UpstreamStandIn.h>
#include <algorithm>

namespace Spurtide::Tests {

namespace {

/// Begins the handles that name the memory of runs.
constexpr std::string_view RUN_HANDLE = "run-";

}

UpstreamStandIn::UpstreamStandIn(asio::io_context& loop, std::string identity, std::string phase)
    : identity(std::move(identity))
    , phase(std::move(phase))
    , loop(loop)
    , kept_port(loop)
    , server(HttpServer::create(loop, { "127.0.0.1", 0 }, [this](auto& exchange) { return this->take(exchange); }).release_value())
{
}

void UpstreamStandIn::crash()
{
    this->server->stop_listening();
    this->server->close_idle(Duration::zero());
    for (auto* exchange : this->open)
        exchange->abort();
    this->streaming.clear();
    asio::ip::tcp::endpoint const endpoint(asio::ip::make_address(this->address().host), static_cast<std::uint16_t>(this->address().port));
    this->kept_port.open(endpoint.protocol());
    this->kept_port.set_option(asio::socket_base::reuse_address(true));
    this->kept_port.bind(endpoint);
}

asio::awaitable<void> UpstreamStandIn::take(HttpExchange& exchange)
{
    this->open.insert(&exchange);
    co_await this->answer(exchange);
    this->open.erase(&exchange);
}

nlohmann::json UpstreamStandIn::entry(std::string const& service, std::string const& state) const
{
    nlohmann::json json { { "service", service }, { "address", this->listed_address.value_or(this->address()).to_string() }, { "zone", this->data_centre }, { "version", this->software_version }, { "slots", this->slots }, { "state", state }, { "cold_left_ms", 0 }, { "call_seq", 0 } };
    if (!this->phase.empty())
        json["phase"] = this->phase;
    if (this->started > 0)
        json["born"] = this->started;
    return json;
}

HttpResponseHead UpstreamStandIn::answer_head(HttpExchange const& exchange, int status) const
{
    HttpResponseHead head;
    head.status = status;
    head.headers.add("X-Spurtide-Attempt-Id", exchange.request().head.headers.find("X-Spurtide-Attempt-Id").value_or(""));
    head.headers.add("X-Spurtide-Server-Stamp", "stamp." + this->identity);
    if (!this->named_limit.empty())
        head.headers.add("Server-Limit", this->named_limit);
    if (this->is_leaving)
        head.headers.add("Server-Leaving", "1");
    return head;
}

HttpResponseHead UpstreamStandIn::refusal_head(HttpExchange const& exchange)
{
    HttpResponseHead head;
    head.status = 503;
    head.headers.add("X-Spurtide-Attempt-Id", exchange.request().head.headers.find("X-Spurtide-Attempt-Id").value_or(""));
    head.headers.add("X-Spurtide-Not-Executed", "1");
    return head;
}

asio::awaitable<void> UpstreamStandIn::answer(HttpExchange& exchange)
{
    auto const arrived_at = monotonic_now();
    this->arrivals.push_back(arrived_at);
    bool const is_pause_over = this->pause_end && arrived_at >= *this->pause_end;
    if (!this->requested_pause.empty() && !is_pause_over) {
        co_await this->turn_away(exchange);
        co_return;
    }
    if (exchange.request().head.target == "/v1/kv-list") {
        co_await this->list_cached(exchange);
        co_return;
    }
    this->requests.push_back(exchange.request());
    auto const& head = exchange.request().head;
    std::string const request(head.headers.find("X-Spurtide-Attempt-Id").value_or(""));
    if (this->script) {
        bool const is_done = co_await this->script(exchange);
        if (is_done)
            co_return;
    }
    if (head.method == "DELETE") {
        this->freed.push_back(head.target.substr(head.target.rfind('/') + 1));
        this->free_memory(this->freed.back());
        HttpResponseHead done;
        done.status = 200;
        static_cast<void>(co_await exchange.respond(std::move(done), {}));
        co_return;
    }
    if (head.method == "GET" && head.target == "/v1/report") {
        co_await this->report(exchange);
        co_return;
    }
    if (head.method == "POST" && head.target == "/v1/kv-move") {
        co_await this->copy_run(exchange);
        co_return;
    }
    if (head.headers.find("X-Spurtide-Expect-Instance") != this->identity) {
        HttpResponseHead other;
        other.status = 421;
        if (!request.empty())
            other.headers.add("X-Spurtide-Attempt-Id", request);
        static_cast<void>(co_await exchange.respond(std::move(other), {}));
        co_return;
    }
    if (head.method == "POST" && head.target == "/v1/order") {
        co_await this->take_order(exchange);
        co_return;
    }
    if (head.headers.find("X-Spurtide-Serving-Phase") == "prefill") {
        co_await this->prefill(exchange, request);
        co_return;
    }
    std::string const source(head.headers.find("X-Spurtide-Kv-Source").value_or(""));
    auto const handle = source.substr(source.rfind('/') + 1);
    if (handle.starts_with(RUN_HANDLE) && !this->take_memory(handle)) {
        auto refusal = this->answer_head(exchange, 503);
        refusal.headers.add("X-Spurtide-Not-Executed", "1");
        static_cast<void>(co_await exchange.respond(std::move(refusal), {}));
        co_return;
    }
    this->run.push_back(request);
    if (this->phase == "decode") {
        co_await this->stream(exchange, request);
        co_return;
    }
    std::string const body = "answer of " + this->identity + " to " + request;
    static_cast<void>(co_await exchange.respond(this->answer_head(exchange, 200), body));
}

asio::awaitable<void> UpstreamStandIn::turn_away(HttpExchange& exchange)
{
    auto head = this->answer_head(exchange, 503);
    head.headers.add("X-Spurtide-Not-Executed", "1");
    head.headers.add("Retry-After", this->requested_pause);
    static_cast<void>(co_await exchange.respond(std::move(head), {}));
}

asio::awaitable<void> UpstreamStandIn::list_cached(HttpExchange& exchange)
{
    ++this->cached_asked;
    HttpResponseHead head;
    head.status = 200;
    nlohmann::json held = nlohmann::json::array();
    for (auto const& part : this->cached)
        held.push_back({ "", part, 800, "m" });
    nlohmann::json const body { { "epoch", "e" }, { "next_token", 0 }, { "held", held } };
    std::string const text = body.dump();
    static_cast<void>(co_await exchange.respond(std::move(head), text));
}

asio::awaitable<void> UpstreamStandIn::report(HttpExchange& exchange)
{
    ++this->statuses_asked;
    HttpResponseHead head;
    head.status = 200;
    nlohmann::json const body { { "phase", this->phase }, { "busy_slots", false }, { "call_seq", this->orders.size() } };
    std::string const text = body.dump();
    static_cast<void>(co_await exchange.respond(std::move(head), text));
}

// 202 where the order is of the agreed form and names the count of those before it.
asio::awaitable<void> UpstreamStandIn::take_order(HttpExchange& exchange)
{
    auto const order = nlohmann::json::parse(exchange.request().body, nullptr, false);
    HttpResponseHead head;
    head.status = 202;
    bool const is_whole = order.is_object() && order.value("order_kind", "") == "phase" && !order.value("holder", "").empty() && order.value("fencing_token", 0) > 0;
    if (!is_whole)
        head.status = 400;
    else if (order.value("expected_count", -1) != static_cast<int>(this->orders.size()))
        head.status = 409;
    else
        this->orders.push_back(order);
    static_cast<void>(co_await exchange.respond(std::move(head), {}));
}

asio::awaitable<void> UpstreamStandIn::prefill(HttpExchange& exchange, std::string const& request)
{
    auto const handle = "handle-" + request;
    this->handles.insert(handle);
    nlohmann::json const body { { "kv_handle", handle }, { "tokens", 100 }, { "version", 1 } };
    auto head = this->answer_head(exchange, 200);
    auto const text = body.dump();
    static_cast<void>(co_await exchange.respond(std::move(head), text));
}

asio::awaitable<void> UpstreamStandIn::stream(HttpExchange& exchange, std::string const& request)
{
    auto head = this->answer_head(exchange, 200);
    head.headers.add("Content-Type", "text/event-stream");
    auto const begun = co_await exchange.begin(std::move(head), this->framing);
    bool is_gone = begun.is_error();
    if (std::any_of(this->peers.begin(), this->peers.end(), [&](auto const* peer) { return peer->streaming.contains(request); }))
        this->run_twice.push_back(request);
    auto const after = parse_whole_number(exchange.request().head.headers.find("Last-Event-Id").value_or("0")).value_or(0);
    this->streaming.insert_or_assign(request, after);
    for (auto i = after + 1; i <= this->events && !is_gone; ++i) {
        co_await this->pause(this->event_pause);
        while (this->stalls_after && i > *this->stalls_after && !this->stopping.contains(request) && !exchange.is_caller_gone())
            co_await this->pause(milliseconds(2));
        if (this->stopping.erase(request) > 0) {
            if (this->stops_within_event)
                static_cast<void>(co_await exchange.write("id: " + std::to_string(i) + "\nda"));
            this->streaming.erase(request);
            exchange.abort();
            co_return;
        }
        std::string const event = "id: " + std::to_string(i) + "\ndata: " + this->event_text + " " + std::to_string(i) + "\n\n";
        auto const sent = co_await exchange.write(event);
        is_gone = sent.is_error() || exchange.is_caller_gone();
        this->streaming[request] = i;
    }
    this->streaming.erase(request);
    this->stopping.erase(request);
    if (is_gone) {
        this->abandoned.insert(request);
        exchange.abort();
        co_return;
    }
    static_cast<void>(co_await exchange.finish());
}

asio::awaitable<void> UpstreamStandIn::pause(Duration duration)
{
    asio::steady_timer timer(this->loop, duration);
    asio::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> UpstreamStandIn::stop_run(std::string request)
{
    this->stopping.insert(request);
    while (this->streaming.contains(request))
        co_await this->pause(milliseconds(2));
    this->stopped.insert(std::string(RUN_HANDLE) + request);
}

asio::awaitable<void> UpstreamStandIn::copy_run(HttpExchange& exchange)
{
    auto const call = nlohmann::json::parse(exchange.request().body);
    this->copy_calls.push_back(call);
    std::string const request = call.at("id");
    auto const target = std::find_if(this->peers.begin(), this->peers.end(), [&](auto const* peer) { return peer->address().to_string() == call.at("target_version"); });
    auto const handle = std::string(RUN_HANDLE) + request;
    nlohmann::json body = nlohmann::json::object();
    int status = 404;
    if (this->streaming.contains(request)) {
        bool const has_capacity = target != this->peers.end() && !(*target)->refuses_copies;
        bool const is_last = call.at("last");
        status = has_capacity ? 200 : 503;
        if (has_capacity)
            (*target)->copies.insert(handle);
        if (has_capacity || is_last)
            body = { { "kv_handle", handle }, { "created", this->streaming.at(request) } };
        if (is_last)
            co_await this->stop_run(request);
    }
    HttpResponseHead head;
    head.status = status;
    auto const text = body.dump();
    static_cast<void>(co_await exchange.respond(std::move(head), text));
}

bool UpstreamStandIn::take_memory(std::string const& handle)
{
    if (this->refuses_continuations || (!this->copies.contains(handle) && !this->stopped.contains(handle)))
        return false;
    this->free_memory(handle);
    return true;
}

void UpstreamStandIn::free_memory(std::string const& handle)
{
    this->copies.erase(handle);
    this->stopped.erase(handle);
    for (auto* peer : this->peers) {
        peer->copies.erase(handle);
        peer->stopped.erase(handle);
    }
}

}
