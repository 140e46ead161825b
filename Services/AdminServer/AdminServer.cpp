// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibConfiguration/Configuration.h>
#include <LibCore/Clock.h>
#include <LibCore/LogLine.h>
#include <LibService/ServerCore.h>
#include <LibWire/WireMetrics.h>
#include <Services/AdminServer/AdminServer.h>
#include <algorithm>
#include <charconv>

namespace Spurtide {

namespace {

using Json = nlohmann::ordered_json;

constexpr std::string_view BEARER = "Bearer ";
constexpr Duration CONFIG_TIMEOUT = milliseconds(10'000);
constexpr Duration STATUS_TIMEOUT = milliseconds(1000);

void answer(httplib::Response& response, int status, Json const& body)
{
    response.status = status;
    response.set_content(body.dump(-1, ' ', false, Json::error_handler_t::replace), "application/json");
}

void answer_error(httplib::Response& response, int status, std::string_view code, std::string_view message)
{
    answer(response, status, { { "error", { { "code", code }, { "message", message } } } });
}

std::optional<std::int64_t> integer_parameter(httplib::Request const& request, std::string const& name)
{
    auto const text = request.get_param_value(name);
    std::int64_t value = 0;
    auto const [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || error != std::errc {} || end != text.data() + text.size())
        return {};
    return value;
}

wire::Envelope config_message()
{
    wire::Envelope envelope;
    envelope.set_service("config");
    return envelope;
}

std::string_view life_name(std::int32_t life)
{
    constexpr auto LAST = static_cast<std::int32_t>(MemberLiveness::Leaving);
    return life < 0 || life > LAST ? "unknown" : to_string(static_cast<MemberLiveness>(life));
}

}

Result<AdminServer::Options, SettingsError> AdminServer::read_options(nlohmann::json const& settings, std::string_view source)
{
    std::vector<SettingsFault> faults;
    SettingsReader reader(settings, std::string(source), "", faults);
    Options options;
    options.server = read_server_settings(reader, 8);
    options.directory_endpoint = read_endpoint(reader, "directory_address", Presence::Required);
    options.calls_per_second = reader.number("calls_per_second", Presence::Optional, 0.1, 10000, 20);
    for (auto& key_reader : reader.objects("keys", Presence::Required)) {
        Key key;
        key.name = key_reader.text("name", Presence::Required);
        key.role = key_reader.choice("role", Presence::Required, { "reader", "operator" }) == "operator" ? AdminRole::Operator : AdminRole::Reader;
        key.key_hash = key_reader.text("key_sha256", Presence::Required);
        if (!key.key_hash.empty() && key.key_hash.size() != 64)
            key_reader.fault(SettingsFaultKind::OutOfRange, "key_sha256", "64 hexadecimal digits");
        key_reader.finish();
        options.keys.push_back(std::move(key));
    }
    reader.finish();
    if (!faults.empty())
        return Failure { SettingsError { std::move(faults) } };
    return options;
}

AdminServer::AdminServer(Options options)
    : options(std::move(options))
    , bucket(this->options.calls_per_second, this->options.calls_per_second * 2, monotonic_now())
{
}

Result<std::unique_ptr<AdminServer>, ServerStartError> AdminServer::create(Options options)
{
    std::unique_ptr<AdminServer> server(new AdminServer(std::move(options)));
    auto core = TRY(open_server_core(server->options.server, server->options.directory_endpoint));
    server->listener = std::move(core.listener);
    server->kernel = std::move(core.kernel);
    server->kernel->host("admin", [](auto const&, auto respond) { respond(error_reply(wire::ERROR_CODE_UNKNOWN_MESSAGE)); });
    server->add_routes();
    server->listener->serve_operations(server->metrics, [raw = server.get()] { return !raw->kernel->directory().resolve("config").empty(); });
    keep_wire_metrics_published(*server->kernel, server->metrics);
    server->kernel->start();
    server->listener->start();
    return server;
}

AdminServer::~AdminServer() { this->stop(); }

void AdminServer::stop()
{
    if (this->listener)
        this->listener->stop();
    if (this->kernel)
        this->kernel->stop();
}

void AdminServer::add_routes()
{
    auto& server = this->listener->server();
    server.Get("/v1/configuration", this->guard(AdminRole::Reader, [this](auto const&, auto const&, auto& response) { this->handle_get_configuration(response); }));
    server.Put("/v1/configuration", this->guard(AdminRole::Operator, [this](auto const& key, auto const& request, auto& response) { this->handle_apply(key, request, response); }));
    server.Get("/v1/history", this->guard(AdminRole::Reader, [this](auto const&, auto const&, auto& response) { this->handle_history(response); }));
    server.Get("/v1/status", this->guard(AdminRole::Reader, [this](auto const&, auto const&, auto& response) { this->handle_status(response); }));
    server.Put(R"(/v1/drains/([^/]+))", this->guard(AdminRole::Operator, [this](auto const&, auto const& request, auto& response) { this->handle_drain(request, response, EngineReport::Life::Leaving); }));
    server.Delete(R"(/v1/drains/([^/]+))", this->guard(AdminRole::Operator, [this](auto const&, auto const& request, auto& response) { this->handle_drain(request, response, EngineReport::Life::Serving); }));
    server.set_error_handler([](httplib::Request const&, httplib::Response& response) {
        if (response.body.empty())
            answer_error(response, response.status, response.status == 404 ? "unknown_path" : "bad_request", "The call is not part of this API.");
    });
}

AdminServer::Key const* AdminServer::find_key(httplib::Request const& request) const
{
    auto const authorization = request.get_header_value("Authorization");
    if (!authorization.starts_with(BEARER))
        return nullptr;
    auto const hash = sha256_hex(std::string_view(authorization).substr(BEARER.size()));
    auto const found = std::find_if(this->options.keys.begin(), this->options.keys.end(), [&](auto const& key) { return key.key_hash == hash; });
    return found == this->options.keys.end() ? nullptr : &*found;
}

bool AdminServer::try_take_call()
{
    std::scoped_lock const lock(this->bucket_mutex);
    return this->bucket.try_take(1, monotonic_now());
}

httplib::Server::Handler AdminServer::guard(AdminRole needed, Handler handler)
{
    return [this, needed, handler = std::move(handler)](httplib::Request const& request, httplib::Response& response) {
        auto const* key = this->find_key(request);
        bool const is_allowed = key && (needed == AdminRole::Reader || key->role == AdminRole::Operator);
        if (!this->try_take_call()) {
            response.set_header("Retry-After", "1");
            answer_error(response, 429, "rate_limited", "Too many administration calls; come back in a second.");
        } else if (!key) {
            answer_error(response, 401, "unknown_key", "A bearer key that is known is needed.");
        } else if (!is_allowed) {
            answer_error(response, 403, "not_allowed", "The key's role does not allow this call.");
        } else {
            handler(*key, request, response);
        }
        LogLine("admin_call").with("key", key ? key->name : "").with("method", request.method).with("path", request.path).with("status", response.status).with("from", request.remote_addr);
    };
}

std::optional<wire::Envelope> AdminServer::ask_config(wire::Envelope envelope, httplib::Response& response)
{
    for (auto const& endpoint : this->kernel->directory().resolve("config")) {
        auto reply = this->kernel->call(endpoint, envelope, CONFIG_TIMEOUT);
        if (!reply.is_error())
            return reply.release_value();
        // Only a message without effect may go to another ConfigServer as well; an apply has its id for that.
        if (reply.error().kind == WireErrorKind::Remote) {
            answer_error(response, 503, "platform_unavailable", "The platform cannot be reached now.");
            return {};
        }
    }
    answer_error(response, 503, "no_config_server", "No ConfigServer answers.");
    return {};
}

void AdminServer::handle_get_configuration(httplib::Response& response)
{
    auto envelope = config_message();
    envelope.mutable_get_configuration();
    auto const reply = this->ask_config(std::move(envelope), response);
    if (!reply)
        return;
    auto const& body = reply->configuration_content();
    answer(response, 200, { { "generation", body.generation() }, { "content", body.content() } });
}

void AdminServer::handle_apply(Key const& key, httplib::Request const& request, httplib::Response& response)
{
    auto const base = integer_parameter(request, "base_generation");
    auto const apply_id = request.get_param_value("apply_id");
    if (!base || apply_id.empty())
        return answer_error(response, 400, "bad_request", "base_generation and apply_id are needed.");
    auto envelope = config_message();
    auto* message = envelope.mutable_apply_configuration();
    message->set_apply_id(apply_id);
    message->set_base_generation(*base);
    message->set_content(request.body);
    message->set_author(key.name);
    auto const reply = this->ask_config(std::move(envelope), response);
    if (!reply)
        return;
    auto const& body = reply->apply_reply();
    switch (body.status()) {
    case wire::APPLY_STATUS_ACCEPTED:
        return answer(response, 200, { { "generation", body.generation() } });
    case wire::APPLY_STATUS_CONFLICT:
        return answer(response, 409, { { "error", { { "code", "conflict" }, { "message", "Another change came first." }, { "base_generation", *base }, { "present_generation", body.generation() }, { "present_author", body.current_author() } } } });
    case wire::APPLY_STATUS_INVALID:
        return answer(response, 422, { { "error", { { "code", "invalid" }, { "message", body.detail() } } } });
    case wire::APPLY_STATUS_IN_DOUBT:
        return answer_error(response, 503, "in_doubt", "The platform's answer was lost. Apply again with the same apply_id to learn the result.");
    default:
        return answer_error(response, 503, "not_accepted", "The platform did not accept the change; nothing was written.");
    }
}

void AdminServer::handle_history(httplib::Response& response)
{
    auto envelope = config_message();
    envelope.mutable_history();
    auto const reply = this->ask_config(std::move(envelope), response);
    if (!reply)
        return;
    Json entries = Json::array();
    for (auto const& entry : reply->history_reply().entries())
        entries.push_back({ { "generation", entry.generation() }, { "author", entry.author() }, { "content_hash", entry.content_hash() }, { "unix_milliseconds", entry.unix_milliseconds() } });
    answer(response, 200, { { "entries", entries } });
}

void AdminServer::handle_status(httplib::Response& response)
{
    auto envelope = config_message();
    envelope.mutable_status_request();
    auto const reply = this->ask_config(std::move(envelope), response);
    if (!reply)
        return;
    auto const& body = reply->status_reply();
    Json machines = Json::array();
    for (auto const& member : body.members())
        machines.push_back({ { "vm", member.vm() }, { "life", life_name(member.life()) }, { "generation", member.generation() }, { "services", member.services_size() } });
    answer(response, 200, { { "data_centre", this->options.server.data_centre }, { "generation", body.generation() }, { "platform_reachable", body.platform_reachable() }, { "machines", machines }, { "cells", this->cell_statuses() } });
}

nlohmann::json AdminServer::cell_statuses()
{
    auto cells = nlohmann::json::array();
    for (auto const& member : this->kernel->directory().members()) {
        auto const endpoint = this->kernel->directory().resolve_on(member.virtual_machine, "placement");
        if (!endpoint || member.liveness == MemberLiveness::Dead)
            continue;
        wire::Envelope envelope;
        envelope.set_service("placement");
        envelope.mutable_status_request();
        auto const reply = this->kernel->call(*endpoint, std::move(envelope), STATUS_TIMEOUT);
        if (reply.is_error() || !reply.value().has_status_reply())
            continue;
        auto const& cell = reply.value().status_reply().cell();
        cells.push_back({ { "keeper", member.virtual_machine }, { "waiting", cell.waiting() }, { "granted", cell.granted() }, { "free_slots", cell.free_slots() },
            { "engines_heard", cell.engines_heard() }, { "engines", cell.engines() }, { "drained", std::vector<std::string>(cell.leaving().begin(), cell.leaving().end()) } });
    }
    return cells;
}

void AdminServer::handle_drain(httplib::Request const& request, httplib::Response& response, EngineReport::Life life)
{
    std::int64_t told = 0;
    for (auto const& endpoint : this->kernel->directory().resolve("placement")) {
        wire::Envelope envelope;
        envelope.set_service("placement");
        envelope.mutable_drain()->set_engine(request.matches[1]);
        envelope.mutable_drain()->set_leaving(life == EngineReport::Life::Leaving);
        auto const reply = this->kernel->call(endpoint, std::move(envelope), STATUS_TIMEOUT);
        told += reply.is_error() ? 0 : 1;
    }
    if (told == 0)
        return answer_error(response, 503, "no_placement_server", "No PlacementServer answers.");
    answer(response, 200, { { "engine", std::string(request.matches[1]) }, { "keepers_told", told } });
}

}
