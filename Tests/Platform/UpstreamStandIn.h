// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibAsync/HttpServer.h>
#include <LibCore/Time.h>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Spurtide::Tests {

/// One of the platform's servers: a plain one, or an engine of a phase. What it got is kept for the tests.
class UpstreamStandIn {
public:
    /// Takes the place of the usual behaviour for one request; false leaves it to that.
    using Script = std::function<asio::awaitable<bool>(HttpExchange& exchange)>;

    UpstreamStandIn(asio::io_context& loop, std::string identity, std::string phase = "");

    Address const& address() const { return this->server->address(); }
    /// Refuses new connections; those that are open stay.
    void stop_listening() { this->server->stop_listening(); }
    /// Its process ends: all connections break off, and nothing listens at its address any more.
    void crash();
    /// Open connections of all VMs.
    std::size_t connection_count() const { return this->server->connection_count(); }
    nlohmann::json entry(std::string const& service, std::string const& state = "ready") const;

    std::string identity;
    std::string phase;
    std::string data_centre = "dc";
    int slots = 6;
    /// The address in its entry; its own if empty.
    std::optional<Address> listed_address;
    Script script;
    /// Named in its answers; empty for none.
    std::string named_limit;
    /// Says in its answers that it leaves.
    bool is_leaving = false;
    /// Seconds for which it turns requests away and asks their sender for a pause; empty for none.
    std::string requested_pause;
    /// When it takes requests again although a pause is set; empty for not before the pause is cleared.
    std::optional<MonotonicTime> pause_end;
    /// When it started, in milliseconds since the epoch; 0 where its entry does not say.
    std::int64_t started = 0;
    /// Version of its software.
    std::string software_version = "v1";
    /// Names the engine in the events of its streams.
    std::string event_text = "piece";
    int events = 5;
    Duration event_pause = milliseconds(2);
    /// Requests in the order of their coming.
    std::vector<HttpRequest> requests;
    /// When requests of any kind came, those that it turned away among them.
    std::vector<MonotonicTime> arrivals;
    /// Requests that were run, and those whose caller left before the end.
    std::vector<std::string> run;
    std::set<std::string> abandoned;
    std::set<std::string> handles;
    std::vector<std::string> freed;
    /// Orders taken, as they came.
    std::vector<nlohmann::json> orders;
    int statuses_asked = 0;
    /// Parts of prompts that it says it has in memory, and how often it was asked for them.
    std::vector<std::string> cached;
    int cached_asked = 0;

    /// The engines to which it can copy the memory of what it runs; each knows all others.
    std::vector<UpstreamStandIn*> peers;
    /// Calls to copy the memory of a run, as they came.
    std::vector<nlohmann::json> copy_calls;
    /// Has no capacity for copies, or for requests that continue a run.
    bool refuses_copies = false;
    bool refuses_continuations = false;
    /// Handles of copies that it holds of other engines' runs, and of the runs that it stopped.
    std::set<std::string> copies;
    std::set<std::string> stopped;
    /// Sends no events beyond this one.
    std::optional<int> stalls_after;
    /// Requests that it streams now, with the last event that was sent, and those that another engine streamed as well.
    std::map<std::string, std::int64_t> streaming;
    std::vector<std::string> run_twice;
    /// How it tells the end of its streams, and whether it stops a run in the middle of an event.
    BodyFraming framing = BodyFraming::Chunked;
    bool stops_within_event = true;
    /// Ends the stream of a run without its end marker and keeps its memory.
    asio::awaitable<void> stop_run(std::string request);

    /// The head of an answer to the exchange's request.
    HttpResponseHead answer_head(HttpExchange const& exchange, int status) const;
    /// The head of a refusal of the exchange's request, which has not run.
    static HttpResponseHead refusal_head(HttpExchange const& exchange);

private:
    asio::awaitable<void> take(HttpExchange& exchange);
    asio::awaitable<void> answer(HttpExchange& exchange);
    asio::awaitable<void> turn_away(HttpExchange& exchange);
    asio::awaitable<void> take_order(HttpExchange& exchange);
    asio::awaitable<void> report(HttpExchange& exchange);
    asio::awaitable<void> list_cached(HttpExchange& exchange);
    asio::awaitable<void> prefill(HttpExchange& exchange, std::string const& request);
    asio::awaitable<void> stream(HttpExchange& exchange, std::string const& request);
    asio::awaitable<void> copy_run(HttpExchange& exchange);
    /// Whether it has the memory of a run; each handle can be used once.
    bool take_memory(std::string const& handle);
    void free_memory(std::string const& handle);
    asio::awaitable<void> pause(Duration duration);

    asio::io_context& loop;
    std::set<HttpExchange*> open;
    /// Requests whose run ends without its end marker.
    std::set<std::string> stopping;
    /// Keeps the port of a process that ended: no other test's process may get it while the node still connects there.
    asio::ip::tcp::socket kept_port;
    std::unique_ptr<HttpServer> server;
};

}
