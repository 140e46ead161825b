// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibConfiguration/Configuration.h>
#include <LibHttp/EventStream.h>
#include <LibPlatform/HttpPlatform.h>
#include <LibUpstream/HttpEngine.h>
#include <Services/ConfigServer/ConfigurationStore.h>
#include <Tests/Support/Deployment.h>
#include <Tests/Support/Waiting.h>
#include <catch2/catch.hpp>

namespace Spurtide::Tests {

namespace {

Address const s_any_port { "127.0.0.1", 0 };
constexpr char const* DATA_CENTRE = "hala-brasov";

ServerSettings server_settings(int number)
{
    return { "vm-" + std::to_string(number), DATA_CENTRE, "tcp://127.0.0.1:0", s_any_port, 48 };
}

std::vector<StreamEvent> events_of(std::string const& body)
{
    std::vector<StreamEvent> events;
    EventStreamParser parser([&](StreamEvent const& event) {
        events.push_back(event);
        return true;
    });
    parser.feed(body);
    return events;
}

std::string completion(std::string const& prompt, std::int64_t maximum_tokens, char const* stream)
{
    nlohmann::json body = { { "model", "llm" }, { "prompt", prompt }, { "max_tokens", maximum_tokens } };
    body["stream"] = std::string_view(stream) == "true";
    return body.dump();
}

}

std::string stream_completion(std::string const& prompt, std::int64_t maximum_tokens) { return completion(prompt, maximum_tokens, "true"); }
std::string whole_completion(std::string const& prompt, std::int64_t maximum_tokens) { return completion(prompt, maximum_tokens, "false"); }

Deployment::Deployment(Options options)
    : options(std::move(options))
{
    this->platform = PlatformStandIn::create({ s_any_port, 32, Duration::zero() }).release_value();
    this->start_engines();
    for (int i = 0; i < this->options.machines; ++i)
        this->start_machine(i);
    this->put_in_force();
}

Deployment::~Deployment()
{
    // Engines first: their streams end, so that entries have nothing in flight to wait for.
    for (auto& engine : this->decode)
        engine->stop();
    for (auto& engine : this->prefill)
        engine->stop();
    for (auto& machine : this->machines) {
        machine.entry.reset();
        machine.placement.reset();
        machine.config.reset();
    }
}

void Deployment::start_engines()
{
    auto const start = [&](std::string name, std::uint64_t seed) {
        EngineStandIn::Options engine;
        engine.name = std::move(name);
        engine.address = s_any_port;
        engine.model = this->options.engine;
        engine.model.seed = seed;
        engine.added_delay = this->options.engine_delay;
        engine.report_lag = Duration::zero();
        return EngineStandIn::create(engine).release_value();
    };
    for (int i = 0; i < this->options.prefill_engines; ++i)
        this->prefill.push_back(start("prefill-" + std::to_string(i), 1));
    for (int i = 0; i < this->options.decode_engines; ++i)
        this->decode.push_back(start("decode-" + std::to_string(i), 2));
    for (int i = 0; i < this->options.services; ++i)
        this->services.push_back(ServiceStandIn::create({ "app-" + std::to_string(i), s_any_port, 16, {} }).release_value());
}

std::unique_ptr<PlacementServer> Deployment::start_placement(int number, std::string const& directory)
{
    PlacementServer::Options placement;
    placement.server = server_settings(number);
    placement.directory_endpoint = directory;
    placement.keeper.virtual_machine = placement.server.virtual_machine;
    placement.keeper.data_centre = DATA_CENTRE;
    placement.keeper.report_interval = this->options.report_interval;
    placement.keeper.reaper = this->options.reaper;
    placement.keeper.origin_grace = this->options.reaper.dead_origin_grace;
    return PlacementServer::create(placement).release_value();
}

void Deployment::restart_placement(std::size_t machine)
{
    auto& server = this->machines.at(machine);
    server.placement = this->start_placement(static_cast<int>(machine), server.config->wire_endpoint());
    auto const is_ready = [&] { return make_http_client(server.placement->http_address(), seconds(2)).Get("/readyz")->status == 200; };
    REQUIRE(eventually(is_ready));
}

void Deployment::start_machine(int number)
{
    EntryMachine machine;
    ConfigServer::Options config;
    config.server = server_settings(number);
    config.platform_address = this->platform->address();
    config.platform_timeout = milliseconds(1000);
    config.heartbeat_interval = this->options.heartbeat_interval;
    config.watch_interval = milliseconds(100);
    config.membership = this->options.membership;
    if (!this->machines.empty())
        config.peers.push_back(this->machines.front().config->wire_endpoint());
    machine.config = ConfigServer::create(config).release_value();
    machine.placement = this->start_placement(number, machine.config->wire_endpoint());
    EntryServer::Options entry;
    entry.server = server_settings(number);
    entry.directory_endpoint = machine.config->wire_endpoint();
    entry.limits = this->options.limits;
    entry.drain_limit = seconds(5);
    machine.entry = EntryServer::create(entry).release_value();
    this->machines.push_back(std::move(machine));
}

std::string Deployment::configuration() const
{
    auto const pool = [&](char const* role, auto const& engines) {
        nlohmann::json result = { { "role", role }, { "model", "llm" }, { "decode_slots", this->options.engine.decode_slots }, { "prefill_tokens_per_second", this->options.engine.prefill_tokens_per_second },
            { "cache_bytes_per_token", this->options.engine.cache_bytes_per_token }, { "link_bytes_per_second", this->options.engine.link_bytes_per_second } };
        for (auto const& engine : engines)
            result["engines"].push_back({ { "name", engine->name() }, { "data_centre", DATA_CENTRE }, { "address", engine->address().to_string() } });
        return result;
    };
    nlohmann::json document = { { "models", { { { "name", "llm" }, { "maximum_prompt_tokens", std::stoi(this->options.maximum_prompt_tokens) }, { "maximum_output_tokens", 400 } } } } };
    document["pools"] = { pool("prefill", this->prefill), pool("decode", this->decode) };
    document["accounts"] = { { { "name", "temelia" }, { "key_sha256", sha256_hex(KEY) } }, { { "name", "masa-comuna" }, { "key_sha256", sha256_hex(OTHER_KEY) } } };
    nlohmann::json service = { { "name", "app" } };
    for (auto const& server : this->services)
        service["servers"].push_back({ { "data_centre", DATA_CENTRE }, { "address", server->address().to_string() } });
    document["services"] = nlohmann::json::array({ service });
    return document.dump();
}

void Deployment::put_in_force()
{
    HttpPlatform port(this->platform->address(), seconds(2));
    ConfigurationStore store(port, port);
    REQUIRE_FALSE(store.apply({ "test", 0, this->configuration(), "test" }, 0).is_error());
    auto const engines = static_cast<double>(this->prefill.size() + this->decode.size());
    auto const is_ready = [&] {
        double heard = 0;
        for (auto& machine : this->machines) {
            if (this->client(static_cast<std::size_t>(&machine - this->machines.data())).Get("/readyz")->status != 200)
                return false;
            auto metrics = make_http_client(machine.placement->http_address(), seconds(2)).Get("/metrics");
            auto const position = metrics ? metrics->body.find("\nspurtide_cell_engines_heard ") : std::string::npos;
            if (position != std::string::npos)
                heard += std::strtod(metrics->body.c_str() + position + 29, nullptr);
        }
        return heard >= engines;
    };
    REQUIRE(eventually(is_ready));
}

httplib::Client Deployment::client(std::size_t machine)
{
    return make_http_client(this->machines.at(machine).entry->http_address(), seconds(20));
}

Deployment::Answer Deployment::post(std::string const& path, std::string const& body, httplib::Headers headers, std::size_t machine)
{
    if (headers.find("Authorization") == headers.end())
        headers.emplace("Authorization", std::string("Bearer ") + KEY);
    auto const result = this->client(machine).Post(path, headers, body, "application/json");
    if (!result)
        return {};
    return { result->status, result->body, result->headers };
}

Deployment::Answer Deployment::post_and_leave(std::string const& path, std::string const& body, std::size_t events, std::size_t machine)
{
    auto port = this->client(machine);
    Answer answer;
    httplib::Request request;
    request.method = "POST";
    request.path = path;
    request.body = body;
    request.set_header("Authorization", std::string("Bearer ") + KEY);
    request.set_header("Content-Type", "application/json");
    request.response_handler = [&](httplib::Response const& response) {
        answer.status = response.status;
        return true;
    };
    request.content_receiver = [&](char const* data, std::size_t size, std::uint64_t, std::uint64_t) {
        answer.body.append(data, size);
        return events_of(answer.body).size() < events;
    };
    static_cast<void>(port.send(request));
    return answer;
}

std::size_t Deployment::held()
{
    std::size_t count = 0;
    for (auto const* engines : { &this->prefill, &this->decode }) {
        for (auto const& engine : *engines)
            count += engine->held().size();
    }
    return count;
}

bool Deployment::nothing_held()
{
    return eventually([this] { return this->held() == 0; });
}

std::string Deployment::Answer::header(std::string const& name) const
{
    auto const found = this->headers.find(name);
    return found == this->headers.end() ? std::string() : found->second;
}

std::string Deployment::Answer::text() const
{
    if (!this->body.starts_with("id:") && !this->body.starts_with("data:") && !this->body.starts_with("event:"))
        return this->json().is_object() ? this->json().value("/choices/0/text"_json_pointer, "") : "";
    std::string text;
    for (auto const& event : events_of(this->body)) {
        auto const document = nlohmann::json::parse(event.data, nullptr, false);
        text += document.is_object() ? document.value("/choices/0/text"_json_pointer, "") : "";
    }
    return text;
}

std::string Deployment::Answer::last_event() const
{
    std::string last;
    for (auto const& event : events_of(this->body)) {
        if (!event.identifier.empty())
            last = event.identifier;
    }
    return last;
}

std::size_t Deployment::Answer::tokens() const
{
    std::size_t count = 0;
    for (auto const& event : events_of(this->body))
        count += event.identifier.empty() ? 0 : 1;
    return count;
}

}
