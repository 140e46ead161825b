// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <LibCore/LogLine.h>
#include <LibHttp/EventStream.h>
#include <LibHttp/HttpClient.h>
#include <StandIns/EngineStandIn/EngineStandIn.h>
#include <xxhash.h>

namespace Spurtide {

namespace {

using Json = nlohmann::json;

constexpr Duration KEEP_ALIVE_COMMENT = milliseconds(100);
constexpr Duration LONGEST_TICK = milliseconds(50);
constexpr Duration EXPORT_CALL_TIMEOUT = milliseconds(400);
constexpr std::string_view COMMENT = ": waiting\n\n";

bool read_body(httplib::Request const& request, httplib::Response& response, Json& body)
{
    body = Json::parse(request.body, nullptr, false);
    if (body.is_object())
        return true;
    response.status = 400;
    return false;
}

std::string text_of(Json const& body, char const* key)
{
    auto const found = body.find(key);
    return found != body.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::int64_t integer_of(Json const& body, char const* key)
{
    auto const found = body.find(key);
    return found != body.end() && found->is_number_integer() ? found->get<std::int64_t>() : 0;
}

EngineModel::Owner owner_of(Json const& body)
{
    return { text_of(body, "request"), text_of(body, "origin"), text_of(body, "account") };
}

std::uint64_t content_of(std::string const& prompt)
{
    return XXH3_64bits(prompt.data(), prompt.size());
}

std::string event_text(std::string name, Json const& data)
{
    return format_event({ {}, std::move(name), data.dump() });
}

bool write_text(httplib::DataSink& sink, std::string_view text)
{
    return sink.write(text.data(), text.size());
}

void refuse(httplib::Response& response, int status, Duration retry_after)
{
    response.status = status;
    response.set_header("Retry-After-Milliseconds", std::to_string(to_milliseconds(retry_after)));
}

std::string_view kind_name(EngineModel::HeldKind kind)
{
    switch (kind) {
    case EngineModel::HeldKind::PrefillQueue:
        return "prefill_queue";
    case EngineModel::HeldKind::Export:
        return "export";
    case EngineModel::HeldKind::Slot:
        return "slot";
    }
    VERIFY_NOT_REACHED();
}

/// Asks the exporting engine for the description of a held cache.
Result<Json, int> fetch_export(Address const& exporter, std::string const& request)
{
    auto client = make_http_client(exporter, EXPORT_CALL_TIMEOUT);
    auto const result = client.Get("/v1/exports/" + request);
    if (!result || result->status != 200)
        return Failure { result ? result->status : 502 };
    auto document = Json::parse(result->body, nullptr, false);
    if (!document.is_object())
        return Failure { 502 };
    return document;
}

bool release_export(Address const& exporter, std::string const& request)
{
    auto client = make_http_client(exporter, EXPORT_CALL_TIMEOUT);
    auto const result = client.Delete("/v1/exports/" + request);
    return result && result->status == 200;
}

}

EngineStandIn::EngineStandIn(Options options)
    : options(std::move(options))
    , model(this->options.model)
{
}

Result<std::unique_ptr<EngineStandIn>, HttpListenError> EngineStandIn::create(Options options)
{
    std::unique_ptr<EngineStandIn> engine(new EngineStandIn(std::move(options)));
    engine->listener = TRY(HttpListener::create({ engine->options.address, engine->options.threads }));
    engine->add_routes();
    engine->listener->serve_operations(engine->metrics, [] { return true; });
    engine->ticker = std::thread([raw = engine.get()] { raw->tick(); });
    engine->listener->start();
    return engine;
}

EngineStandIn::~EngineStandIn() { this->stop(); }

void EngineStandIn::stop()
{
    {
        std::scoped_lock const lock(this->mutex);
        this->stopping = true;
    }
    this->changed.notify_all();
    this->listener->stop();
    if (this->ticker.joinable())
        this->ticker.join();
}

void EngineStandIn::set_faults(EngineFaults new_faults)
{
    std::scoped_lock const lock(this->mutex);
    this->faults = new_faults;
    this->model.set_leaving(new_faults.leaving);
    this->changed.notify_all();
}

std::vector<EngineModel::Held> EngineStandIn::held()
{
    std::scoped_lock const lock(this->mutex);
    this->model.advance(monotonic_now());
    return this->model.held();
}

void EngineStandIn::let_exports_lapse()
{
    std::scoped_lock const lock(this->mutex);
    this->model.let_exports_lapse(monotonic_now());
    this->changed.notify_all();
}

EngineModel::Totals EngineStandIn::totals()
{
    std::scoped_lock const lock(this->mutex);
    return this->model.totals();
}

void EngineStandIn::add_routes()
{
    auto& server = this->listener->server();
    auto const route = [this](auto handler) {
        return [this, handler](httplib::Request const& request, httplib::Response& response) {
            if (this->pause_for_faults())
                handler(request, response);
            else
                response.status = 503;
        };
    };
    server.Post("/v1/prefill", route([this](auto const& request, auto& response) { this->handle_prefill(request, response); }));
    server.Post("/v1/decode", route([this](auto const& request, auto& response) { this->handle_decode(request, response); }));
    server.Post("/v1/attach", route([this](auto const& request, auto& response) { this->handle_attach(request, response); }));
    server.Post("/v1/cancel", route([this](auto const& request, auto& response) { this->handle_cancel(request, response); }));
    server.Get("/v1/report", route([this](auto const&, auto& response) { this->handle_report(response); }));
    server.Get(R"(/v1/exports/([^/]+))", route([this](auto const& request, auto& response) { this->handle_export(request, response); }));
    server.Delete(R"(/v1/exports/([^/]+))", route([this](auto const& request, auto& response) { this->handle_export(request, response); }));
    server.Post("/v1/orders", route([this](auto const& request, auto& response) { this->handle_order(request, response); }));
    server.Get("/v1/cache-events", route([this](auto const& request, auto& response) { this->handle_cache_events(request, response); }));
    server.Post("/faults", [this](auto const& request, auto& response) { this->handle_faults(request, response); });
}

// Adds the round trip. A mute engine keeps the connection until the fault is lifted or it stops.
bool EngineStandIn::pause_for_faults()
{
    std::unique_lock lock(this->mutex);
    auto const until = std::chrono::steady_clock::now() + this->options.added_delay;
    this->changed.wait_until(lock, until, [this] { return this->stopping; });
    this->changed.wait(lock, [this] { return this->stopping || !this->faults.mute; });
    return !this->stopping;
}

void EngineStandIn::tick()
{
    std::unique_lock lock(this->mutex);
    while (!this->stopping) {
        auto const now = monotonic_now();
        this->model.advance(now);
        this->changed.notify_all();
        auto const next = this->model.next_event();
        auto const wait = next ? std::clamp(*next - now, Duration(100), LONGEST_TICK) : LONGEST_TICK;
        this->changed.wait_for(lock, wait);
    }
}

void EngineStandIn::handle_prefill(httplib::Request const& request, httplib::Response& response)
{
    Json body;
    if (!read_body(request, response, body))
        return;
    auto const prompt = text_of(body, "prompt");
    EngineModel::Prefill prefill;
    prefill.owner = owner_of(body);
    prefill.content = content_of(prompt);
    prefill.continuation_tokens = integer_of(body, "continuation_tokens");
    prefill.tokens = count_tokens(prompt) + prefill.continuation_tokens;
    prefill.prefixes = prompt_prefixes(prompt);
    auto const name = prefill.owner.request;
    {
        std::scoped_lock const lock(this->mutex);
        auto const started = this->model.start_prefill(std::move(prefill), monotonic_now());
        if (started.is_error())
            return refuse(response, started.error() == EngineModel::AdmitError::Leaving ? 503 : 409, seconds(1));
    }
    this->changed.notify_all();
    response.set_chunked_content_provider("text/event-stream", [this, name](std::size_t, httplib::DataSink& sink) {
        return this->write_prefill(name, sink);
    });
}

bool EngineStandIn::write_prefill(std::string const& name, httplib::DataSink& sink)
{
    std::string text;
    bool ended = true;
    {
        std::unique_lock lock(this->mutex);
        this->changed.wait_for(lock, KEEP_ALIVE_COMMENT / 2, [&] { return this->stopping || this->model.prefill_phase(name) != EngineModel::PrefillPhase::Queued; });
        auto const result = this->model.find_export(name);
        if (result)
            text = event_text("prefilled", { { "prompt_tokens", result->tokens }, { "cached_tokens", result->cached_tokens }, { "cache_bytes", result->bytes } });
        else if (!this->stopping && this->model.prefill_phase(name) == EngineModel::PrefillPhase::Queued)
            ended = false;
        else
            text = event_text("dropped", Json::object());
    }
    if (!write_text(sink, ended ? std::string_view(text) : COMMENT))
        return false;
    if (ended)
        sink.done();
    return true;
}

void EngineStandIn::handle_decode(httplib::Request const& request, httplib::Response& response)
{
    Json body;
    if (!read_body(request, response, body))
        return;
    auto const exporter = parse_address(text_of(body, "export_address"));
    if (!exporter) {
        response.status = 400;
        return;
    }
    EngineModel::Decode decode;
    decode.owner = owner_of(body);
    auto const name = decode.owner.request;
    auto const exported = fetch_export(*exporter, name);
    if (exported.is_error()) {
        response.status = exported.error() == 404 ? 410 : 503;
        return;
    }
    decode.bytes = integer_of(exported.value(), "bytes");
    decode.content = exported.value().value("content", std::uint64_t { 0 });
    decode.first_offset = integer_of(exported.value(), "continuation_tokens");
    decode.output_tokens = answer_length(decode.content, integer_of(body, "maximum_output_tokens"));
    ReadState state { name, integer_of(body, "reader"), decode.first_offset, {} };
    state.preamble = event_text("imported", { { "offset", decode.first_offset } });
    {
        std::scoped_lock const lock(this->mutex);
        auto const started = this->model.start_decode(std::move(decode), monotonic_now());
        if (started.is_error())
            return refuse(response, started.error() == EngineModel::AdmitError::Leaving ? 503 : 409, seconds(1));
        if (this->faults.stall_transfers)
            this->model.stall_transfer(name, monotonic_now());
        this->readers[name].number = state.reader;
    }
    this->changed.notify_all();
    if (!this->wait_for_import(name, *exporter)) {
        response.status = 410;
        return;
    }
    this->serve_stream(response, std::move(state));
}

// The transfer has to end while the other engine still holds the cache.
bool EngineStandIn::wait_for_import(std::string const& name, Address const& exporter)
{
    bool imported = false;
    {
        std::unique_lock lock(this->mutex);
        auto const is_waiting = [&] {
            auto const stream = this->model.find_stream(name);
            return stream && (stream->phase == EngineModel::DecodePhase::WaitingForSlot || stream->phase == EngineModel::DecodePhase::Importing);
        };
        this->changed.wait_for(lock, this->options.model.cache_hold, [&] { return this->stopping || !is_waiting(); });
        imported = !is_waiting() && this->model.find_stream(name).has_value();
    }
    // A cancelled import must not leave the export behind either.
    bool const was_held = release_export(exporter, name);
    if (imported && was_held)
        return true;
    std::scoped_lock const lock(this->mutex);
    this->model.cancel(name, monotonic_now());
    return false;
}

void EngineStandIn::handle_attach(httplib::Request const& request, httplib::Response& response)
{
    Json body;
    if (!read_body(request, response, body))
        return;
    auto const owner = owner_of(body);
    ReadState state { owner.request, integer_of(body, "reader"), integer_of(body, "offset"), {} };
    {
        std::scoped_lock const lock(this->mutex);
        auto const stream = this->model.find_stream(owner.request);
        if (!stream || stream->owner.account != owner.account || state.next_offset < stream->first_offset) {
            response.status = 404;
            return;
        }
        auto& reader = this->readers[owner.request];
        if (state.reader <= reader.number) {
            response.status = 409;
            return;
        }
        reader.number = state.reader;
        this->model.set_origin(owner.request, owner.origin);
    }
    this->changed.notify_all();
    this->serve_stream(response, std::move(state));
}

void EngineStandIn::serve_stream(httplib::Response& response, ReadState state)
{
    auto const name = state.request;
    {
        std::scoped_lock const lock(this->mutex);
        ++this->readers[name].attached;
    }
    auto shared = std::make_shared<ReadState>(std::move(state));
    response.set_chunked_content_provider(
        "text/event-stream",
        [this, shared](std::size_t, httplib::DataSink& sink) { return this->write_tokens(*shared, sink); },
        [this, name](bool) {
            std::scoped_lock const lock(this->mutex);
            auto const found = this->readers.find(name);
            if (found != this->readers.end())
                --found->second.attached;
        });
}

bool EngineStandIn::write_tokens(ReadState& state, httplib::DataSink& sink)
{
    std::string text = std::exchange(state.preamble, {});
    bool ended = false;
    {
        std::unique_lock lock(this->mutex);
        auto const is_fenced = [&] { return this->readers[state.request].number != state.reader; };
        auto const has_news = [&] {
            auto const stream = this->model.find_stream(state.request);
            return this->stopping || is_fenced() || !stream || stream->tokens_ready > state.next_offset || stream->phase == EngineModel::DecodePhase::Finished;
        };
        this->changed.wait_for(lock, KEEP_ALIVE_COMMENT, has_news);
        auto const stream = this->model.find_stream(state.request);
        if (is_fenced()) {
            text += event_text("fenced", Json::object());
            ended = true;
        } else if (!stream || this->stopping) {
            text += event_text("cancelled", Json::object());
            ended = true;
        } else {
            for (; state.next_offset < stream->tokens_ready; ++state.next_offset)
                text += event_text("token", { { "offset", state.next_offset }, { "text", answer_token(stream->content, state.next_offset) } });
            if (stream->phase == EngineModel::DecodePhase::Finished) {
                text += event_text("finished", { { "reason", "stop" }, { "output_tokens", stream->output_tokens } });
                ended = true;
            }
        }
    }
    if (!write_text(sink, text.empty() ? COMMENT : std::string_view(text)))
        return false;
    if (ended)
        sink.done();
    return true;
}

void EngineStandIn::handle_cancel(httplib::Request const& request, httplib::Response& response)
{
    Json body;
    if (!read_body(request, response, body))
        return;
    auto const name = text_of(body, "request");
    auto const reader = integer_of(body, "reader");
    std::scoped_lock const lock(this->mutex);
    auto const found = this->readers.find(name);
    if (reader != 0 && found != this->readers.end() && found->second.number > reader) {
        response.status = 409;
        return;
    }
    response.status = this->model.cancel(name, monotonic_now()) ? 200 : 404;
    this->changed.notify_all();
}

Json EngineStandIn::take_report(MonotonicTime now)
{
    this->model.advance(now);
    Json report = { { "life", this->model.is_leaving() ? "leaving" : "serving" }, { "step_microseconds", this->model.step_time().count() }, { "model", this->loaded_model } };
    report["held"] = Json::array();
    for (auto const& held : this->model.held()) {
        auto const reader = this->readers.find(held.owner.request);
        bool const attached = reader != this->readers.end() && reader->second.attached > 0;
        report["held"].push_back({ { "request", held.owner.request }, { "origin", held.owner.origin }, { "account", held.owner.account },
            { "kind", kind_name(held.kind) }, { "reader", attached ? "attached" : "none" } });
    }
    // Readers of streams that are gone are of no use any more.
    std::erase_if(this->readers, [&](auto const& entry) { return entry.second.attached == 0 && !this->model.find_stream(entry.first); });
    return report;
}

void EngineStandIn::handle_report(httplib::Response& response)
{
    std::scoped_lock const lock(this->mutex);
    auto const now = monotonic_now();
    this->snapshots.push_back({ now, this->take_report(now) });
    // The newest snapshot that is old enough, or the oldest there is.
    while (this->snapshots.size() > 1 && now - this->snapshots[1].taken >= this->options.report_lag)
        this->snapshots.pop_front();
    response.set_content(this->snapshots.front().report.dump(), "application/json");
}

void EngineStandIn::handle_export(httplib::Request const& request, httplib::Response& response)
{
    std::string const name = request.matches[1];
    std::scoped_lock const lock(this->mutex);
    this->model.advance(monotonic_now());
    auto const held = this->model.find_export(name);
    if (!held) {
        response.status = 404;
        return;
    }
    if (request.method == "DELETE")
        this->model.drop_export(name);
    Json const body = { { "bytes", held->bytes }, { "content", held->content }, { "continuation_tokens", held->continuation_tokens } };
    response.set_content(body.dump(), "application/json");
}

void EngineStandIn::handle_order(httplib::Request const& request, httplib::Response& response)
{
    Json body;
    if (!read_body(request, response, body))
        return;
    auto const epoch = integer_of(body, "epoch");
    std::scoped_lock const lock(this->mutex);
    if (this->options.fence_check == Options::FenceCheck::On && epoch < this->highest_epoch) {
        response.status = 412;
        return;
    }
    this->highest_epoch = std::max(this->highest_epoch, epoch);
    this->loaded_model = text_of(body, "model");
    LogLine("engine_order").with("engine", this->options.name).with("model", this->loaded_model).with("epoch", epoch);
}

void EngineStandIn::handle_cache_events(httplib::Request const& request, httplib::Response& response)
{
    auto const after = std::strtoll(request.get_param_value("after").c_str(), nullptr, 10);
    std::scoped_lock const lock(this->mutex);
    Json events = Json::array();
    for (auto const& event : this->model.cache_events(after, monotonic_now())) {
        auto const* change = event.change == EngineModel::CacheEvent::Change::Stored ? "stored" : "evicted";
        events.push_back({ { "number", event.number }, { "change", change }, { "prefix", event.prefix.hash }, { "tokens", event.prefix.tokens } });
    }
    response.set_content(events.dump(), "application/json");
}

void EngineStandIn::handle_faults(httplib::Request const& request, httplib::Response& response)
{
    Json body;
    if (!read_body(request, response, body))
        return;
    this->set_faults({ body.value("mute", false), body.value("stall_transfers", false), body.value("leaving", false) });
}

}
