// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <LibCore/LogLine.h>
#include <LibHttp/EventStream.h>
#include <LibService/ServerCore.h>
#include <LibUpstream/HttpEngine.h>
#include <LibUpstream/HttpService.h>
#include <LibWire/WireMetrics.h>
#include <Services/EntryServer/AnswerWriter.h>
#include <Services/EntryServer/EntryServer.h>
#include <Services/EntryServer/ServiceRelay.h>
#include <charconv>

namespace Spurtide {

namespace {

constexpr std::string_view BEARER = "Bearer ";
constexpr std::size_t LONGEST_IDEMPOTENCY_KEY = 200;
constexpr Duration SERVICE_CONNECT_TIMEOUT = milliseconds(500);
constexpr Duration SERVICE_ANSWER_TIMEOUT = seconds(30);
constexpr Duration COME_BACK_SOON = milliseconds(1000);
constexpr Duration DRAIN_POLL = milliseconds(20);

std::int64_t header_integer(httplib::Request const& request, std::string const& name, std::int64_t fallback)
{
    auto const text = request.get_header_value(name);
    std::int64_t value = 0;
    auto const [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc {} && end == text.data() + text.size() && !text.empty() ? value : fallback;
}

Problem invalid_body(SettingsError const& error)
{
    return { ProblemKind::InvalidBody, error.describe(), RequestOutcome::RefusedNotRun, {} };
}

bool write_event(httplib::DataSink& sink, StreamEvent const& event)
{
    auto const text = format_event(event);
    return sink.write(text.data(), text.size());
}

/// Writes one stream's events to its caller.
class StreamRelay {
public:
    StreamRelay(httplib::DataSink& sink, AnswerWriter const& writer, std::shared_ptr<PeerConnection const> connection)
        : sink(sink)
        , writer(writer)
        , connection(std::move(connection))
    {
    }

    ReadMore take(EngineToken const* token, std::string_view work, std::string_view engine)
    {
        if (!token)
            return this->connection->is_gone() ? ReadMore::No : ReadMore::Yes;
        StreamPosition const position { std::string(work), std::string(engine), token->offset };
        bool const is_written = write_event(this->sink, { position.to_string(), {}, this->writer.chunk(token->text) });
        return is_written ? ReadMore::Yes : ReadMore::No;
    }

    void finish(DecodeEnd const& end, AnswerUsage const* usage)
    {
        write_event(this->sink, { {}, {}, this->writer.last_chunk(end.reason) });
        if (usage)
            write_event(this->sink, { {}, {}, this->writer.usage_chunk(*usage) });
        write_event(this->sink, { {}, {}, "[DONE]" });
    }

    void fail(Problem const& problem, std::string_view request)
    {
        write_event(this->sink, { {}, "error", problem_body(problem, request) });
    }

private:
    httplib::DataSink& sink;
    AnswerWriter const& writer;
    std::shared_ptr<PeerConnection const> connection;
};

}

Result<EntryServer::Options, SettingsError> EntryServer::read_options(nlohmann::json const& settings, std::string_view source)
{
    std::vector<SettingsFault> faults;
    SettingsReader reader(settings, std::string(source), "", faults);
    Options options;
    options.server = read_server_settings(reader, 256);
    options.directory_endpoint = read_endpoint(reader, "directory_address", Presence::Required);
    options.limits.first_token_target = reader.milliseconds("first_token_target_milliseconds", 10, 600'000, 950);
    options.limits.longest_deadline = reader.milliseconds("longest_deadline_milliseconds", 10, 86'400'000, 600'000);
    options.limits.resume_grace = reader.milliseconds("resume_grace_milliseconds", 0, 60'000, 2000);
    options.limits.most_attempts = static_cast<int>(reader.integer("most_attempts", Presence::Optional, 1, 10, 3));
    options.limits.retries_per_request = reader.number("retries_per_request", Presence::Optional, 0, 1, 0.1);
    options.limits.retry_burst = reader.number("retry_burst", Presence::Optional, 0, 10000, 20);
    options.maximum_body_bytes = static_cast<std::size_t>(reader.integer("maximum_body_bytes", Presence::Optional, 1024, 1 << 30, 4 << 20));
    options.drain_limit = reader.milliseconds("drain_limit_milliseconds", 0, 3'600'000, 60'000);
    reader.finish();
    if (!faults.empty())
        return Failure { SettingsError { std::move(faults) } };
    return options;
}

EntryServer::EntryServer(Options options)
    : options(std::move(options))
{
}

Result<std::unique_ptr<EntryServer>, ServerStartError> EntryServer::create(Options options)
{
    std::unique_ptr<EntryServer> server(new EntryServer(std::move(options)));
    auto core = TRY(open_server_core(server->options.server, server->options.directory_endpoint, server->options.maximum_body_bytes));
    server->listener = std::move(core.listener);
    server->kernel = std::move(core.kernel);
    server->host_services();
    return server;
}

void EntryServer::host_services()
{
    auto* raw = this;
    this->follower = std::make_unique<ConfigurationFollower>(*this->kernel, [](auto const&) {});
    this->placement = std::make_unique<PlacementClient>(*this->kernel, *this->follower, this->options.server.virtual_machine, this->options.server.data_centre);
    auto make_engine = [](std::string_view address) { return std::make_shared<HttpEngine>(parse_address(address).value_or(Address {}), HttpEngine::Options {}); };
    auto make_service = [](std::string_view address) { return std::make_shared<HttpService>(parse_address(address).value_or(Address {}), SERVICE_CONNECT_TIMEOUT, SERVICE_ANSWER_TIMEOUT); };
    // NOTE: The context has members that cannot be moved, so it is built in place.
    this->context.reset(new EntryContext { this->options.limits, this->options.server.data_centre, *this->kernel, *this->follower, this->metrics, *this->placement, this->owned, make_engine, make_service });
    this->kernel->host("entry", [raw](auto const& request, auto respond) {
        if (request.has_ownership_question())
            raw->handle_ownership(request.ownership_question(), respond);
        else
            respond(error_reply(wire::ERROR_CODE_UNKNOWN_MESSAGE));
    });
    this->add_routes();
    this->listener->serve_operations(this->metrics, [raw] { return !raw->draining && raw->follower->current() != nullptr; });
    keep_wire_metrics_published(*this->kernel, this->metrics);
    this->placement->start();
    this->follower->start();
    this->kernel->start();
    this->listener->start();
}

EntryServer::~EntryServer() { this->stop(); }

void EntryServer::stop()
{
    if (this->draining.exchange(true))
        return;
    auto const until = monotonic_now() + this->options.drain_limit;
    while (this->active > 0 && monotonic_now() < until)
        std::this_thread::sleep_for(DRAIN_POLL);
    if (this->active > 0)
        LogLine("drain_limit_reached").with("active", static_cast<std::int64_t>(this->active));
    if (this->listener)
        this->listener->stop();
    this->owned.stop();
    if (this->kernel)
        this->kernel->stop();
}

void EntryServer::add_routes()
{
    auto& server = this->listener->server();
    auto const completion = [this](AnswerFormat format) {
        return this->guard([this, format](Call const& call, httplib::Request const& request, httplib::Response& response) {
            if (request.has_header("Last-Event-ID"))
                this->handle_resume(call, request, response, format);
            else
                this->handle_completion(call, request, response, format);
        });
    };
    server.Post("/v1/completions", completion(AnswerFormat::Completion));
    server.Post("/v1/chat/completions", completion(AnswerFormat::Chat));
    server.Get("/v1/completions", this->guard([this](auto const& call, auto const& request, auto& response) { this->handle_resume(call, request, response, AnswerFormat::Completion); }));
    server.Get("/v1/chat/completions", this->guard([this](auto const& call, auto const& request, auto& response) { this->handle_resume(call, request, response, AnswerFormat::Chat); }));
    server.Get("/v1/models", this->guard([this](auto const& call, auto const&, auto& response) { this->handle_models(call, response); }));
    auto const service = this->guard([this](auto const& call, auto const& request, auto& response) { this->handle_service(call, request, response); });
    server.Get(R"(/v1/services/([^/]+)(/.*)?)", service);
    server.Post(R"(/v1/services/([^/]+)(/.*)?)", service);
    server.set_error_handler([this](httplib::Request const&, httplib::Response& response) {
        if (!response.body.empty())
            return;
        auto const kind = response.status == 413 ? ProblemKind::BodyTooLarge : (response.status == 404 ? ProblemKind::UnknownPath : ProblemKind::InvalidBody);
        this->answer_problem(response, { kind, "", RequestOutcome::RefusedNotRun, {} }, new_request_identifier());
    });
}

httplib::Server::Handler EntryServer::guard(Handler handler)
{
    return [this, handler = std::move(handler)](httplib::Request const& request, httplib::Response& response) {
        ++this->active;
        auto const call = this->open_call(request);
        if (call.is_error())
            this->answer_problem(response, call.error(), new_request_identifier());
        else
            handler(call.value(), request, response);
        --this->active;
    };
}

Result<EntryServer::Call, Problem> EntryServer::open_call(httplib::Request const& request)
{
    if (this->draining)
        return Failure { Problem { ProblemKind::Draining, "", RequestOutcome::RefusedNotRun, COME_BACK_SOON } };
    auto configuration = this->follower->current();
    if (!configuration)
        return Failure { Problem { ProblemKind::NotReady, "", RequestOutcome::RefusedNotRun, COME_BACK_SOON } };
    auto const authorization = request.get_header_value("Authorization");
    if (!authorization.starts_with(BEARER))
        return Failure { Problem { ProblemKind::MissingKey, "", RequestOutcome::RefusedNotRun, {} } };
    auto const* account = configuration->find_account_by_key_hash(sha256_hex(std::string_view(authorization).substr(BEARER.size())));
    if (!account)
        return Failure { Problem { ProblemKind::UnknownKey, "", RequestOutcome::RefusedNotRun, {} } };
    Call call;
    call.request = new_request_identifier();
    call.account = account->description.name;
    call.maximum_priority = account->maximum_priority;
    call.configuration = std::move(configuration);
    call.connection = std::make_shared<PeerConnection>(request);
    call.received = monotonic_now();
    auto const longest = to_milliseconds(this->options.limits.longest_deadline);
    call.deadline = call.received + milliseconds(std::clamp<std::int64_t>(header_integer(request, "Spurtide-Deadline-Milliseconds", longest), 1, longest));
    LogLine("request").with("request", call.request).with("caller_id", request.get_header_value("X-Request-Id")).with("account", call.account).with("path", request.path).with("bytes", static_cast<std::int64_t>(request.body.size()));
    return call;
}

void EntryServer::count_outcome(std::string_view outcome, std::string_view reason)
{
    this->metrics.increment("spurtide_requests_total", "Requests by outcome.", { { "outcome", std::string(outcome) }, { "reason", std::string(reason) } });
}

void EntryServer::answer_problem(httplib::Response& response, Problem const& problem, std::string const& request)
{
    LogLine("answer_problem").with("request", request).with("problem", to_string(problem.kind)).with("outcome", to_string(problem.outcome)).with("retry_after_milliseconds", to_milliseconds(problem.retry_after));
    this->count_outcome(to_string(problem.outcome), to_string(problem.kind));
    response.status = status_of(problem.kind);
    response.set_header("X-Request-Id", request);
    if (problem.retry_after > Duration::zero())
        response.set_header("Retry-After", std::to_string((to_milliseconds(problem.retry_after) + 999) / 1000));
    response.set_content(problem_body(problem, request), "application/json");
}

Result<ModelOrder, Problem> EntryServer::make_order(Call const& call, CompletionRequest const& completion, httplib::Request const& request) const
{
    auto const* model = call.configuration->find_model(completion.model);
    if (!model)
        return Failure { Problem { ProblemKind::UnknownModel, "", RequestOutcome::RefusedNotRun, {} } };
    ModelOrder order;
    order.request = call.request;
    order.account = call.account;
    order.model = completion.model;
    order.prompt = completion.prompt;
    order.prompt_tokens = estimate_tokens(completion.prompt);
    if (order.prompt_tokens > model->maximum_prompt_tokens)
        return Failure { Problem { ProblemKind::PromptTooLong, "The limit is " + std::to_string(model->maximum_prompt_tokens) + " tokens.", RequestOutcome::RefusedNotRun, {} } };
    auto const limit = model->maximum_output_tokens;
    order.maximum_output_tokens = completion.maximum_output_tokens == 0 ? limit : std::min(limit, completion.maximum_output_tokens);
    order.priority = std::clamp<std::int64_t>(header_integer(request, "Spurtide-Priority", 0), 0, call.maximum_priority);
    order.received = call.received;
    order.deadline = call.deadline;
    order.resume = completion.delivery == CompletionRequest::Delivery::Stream ? ModelOrder::Resume::Possible : ModelOrder::Resume::Impossible;
    return order;
}

void EntryServer::handle_completion(Call const& call, httplib::Request const& request, httplib::Response& response, AnswerFormat format)
{
    auto const completion = read_completion_request(request.body, format);
    if (completion.is_error())
        return this->answer_problem(response, invalid_body(completion.error()), call.request);
    auto order = this->make_order(call, completion.value(), request);
    if (order.is_error())
        return this->answer_problem(response, order.error(), call.request);
    auto caller_present = [connection = call.connection] { return connection->is_gone() ? ReadMore::No : ReadMore::Yes; };
    auto model_call = std::make_shared<ModelCall>(*this->context, order.release_value(), caller_present);
    if (auto const problem = model_call->begin())
        return this->answer_problem(response, *problem, call.request);
    response.set_header("X-Request-Id", call.request);
    if (completion.value().delivery == CompletionRequest::Delivery::Stream)
        this->answer_stream(call, completion.value(), std::move(model_call), response);
    else
        this->answer_whole(call, completion.value(), *model_call, response);
}

void EntryServer::answer_whole(Call const& call, CompletionRequest const& completion, ModelCall& model_call, httplib::Response& response)
{
    std::string text;
    auto const take = [&](EngineToken const* token, std::string_view, std::string_view) {
        if (token)
            text += token->text;
        return call.connection->is_gone() ? ReadMore::No : ReadMore::Yes;
    };
    auto const end = model_call.relay(take);
    if (end.is_error())
        return this->answer_problem(response, end.error(), call.request);
    AnswerWriter const writer(completion.format, call.request, completion.model, unix_milliseconds() / 1000);
    AnswerUsage const usage { model_call.prefill_result().prompt_tokens, model_call.prefill_result().cached_tokens, end.value().output_tokens };
    this->count_outcome("answered", "");
    response.set_content(writer.whole(text, end.value().reason, usage), "application/json");
}

void EntryServer::answer_stream(Call const& call, CompletionRequest const& completion, std::shared_ptr<ModelCall> model_call, httplib::Response& response)
{
    // A planned stop waits for this stream until the library lets go of the provider.
    ++this->active;
    auto const provider = [this, call, completion, model_call](std::size_t, httplib::DataSink& sink) {
        AnswerWriter const writer(completion.format, call.request, completion.model, unix_milliseconds() / 1000);
        StreamRelay stream(sink, writer, call.connection);
        auto const end = model_call->relay([&](auto const* token, auto work, auto engine) { return stream.take(token, work, engine); });
        if (end.is_error()) {
            LogLine("stream_problem").with("request", call.request).with("problem", to_string(end.error().kind)).with("outcome", to_string(end.error().outcome));
            this->count_outcome(to_string(end.error().outcome), to_string(end.error().kind));
            stream.fail(end.error(), call.request);
        } else {
            AnswerUsage const usage { model_call->prefill_result().prompt_tokens, model_call->prefill_result().cached_tokens, end.value().output_tokens };
            stream.finish(end.value(), completion.usage_in_stream == CompletionRequest::UsageInStream::Included ? &usage : nullptr);
            this->count_outcome("answered", "");
        }
        sink.done();
        return true;
    };
    response.set_chunked_content_provider("text/event-stream", provider, [this](bool) { --this->active; });
}

// The stream lives on its engine: this entry becomes its newest reader.
void EntryServer::handle_resume(Call const& call, httplib::Request const& request, httplib::Response& response, AnswerFormat format)
{
    auto const position = parse_stream_position(request.get_header_value("Last-Event-ID"));
    if (!position)
        return this->answer_problem(response, { ProblemKind::InvalidBody, "Last-Event-ID is not the id of an event of a stream.", RequestOutcome::RefusedNotRun, {} }, call.request);
    Problem const gone { ProblemKind::StreamGone, "", RequestOutcome::FailedMayHaveRun, {} };
    auto engine_name = position->engine;
    if (this->placement->engine_address(engine_name).empty())
        engine_name = this->placement->locate(position->work, call.account).value_or("");
    auto const address = this->placement->engine_address(engine_name);
    if (address.empty())
        return this->answer_problem(response, gone, call.request);
    auto engine = this->context->make_engine(address);
    response.set_header("X-Request-Id", call.request);
    ++this->active;
    auto const work = position->work;
    auto const first_wanted = position->offset + 1;
    auto const* configured_engine = call.configuration->find_engine(engine_name);
    auto const model = configured_engine ? configured_engine->description.model : std::string();
    auto const provider = [this, call, engine, engine_name, work, first_wanted, gone, format, model](std::size_t, httplib::DataSink& sink) {
        AnswerWriter const writer(format, std::string(request_of(work)), model, unix_milliseconds() / 1000);
        StreamRelay stream(sink, writer, call.connection);
        auto const reader = unix_milliseconds();
        this->owned.add(work);
        AttachOrder const attach { { work, this->kernel->incarnation(), call.account }, first_wanted, reader };
        auto const end = engine->attach(attach, [&](EngineToken const* token) { return stream.take(token, work, engine_name); });
        LogLine("resume").with("request", call.request).with("work", work).with("engine", engine_name).with("offset", first_wanted).with("result", end.is_error() ? to_string(end.error().kind) : "finished");
        auto const release = [this, work, engine_name] { this->placement->release(work, engine_name, 0); };
        if (!end.is_error()) {
            this->owned.remove(work);
            this->placement->release(work, engine_name, end.value().output_tokens);
            stream.finish(end.value(), nullptr);
            this->count_outcome("answered", "resumed");
        } else if (end.error().kind == EngineErrorKind::Stopped || end.error().kind == EngineErrorKind::Lost) {
            this->owned.abandon({ work, engine, reader, release }, this->options.limits.resume_grace);
            stream.fail({ ProblemKind::UpstreamFailed, "", RequestOutcome::FailedMayHaveRun, COME_BACK_SOON }, call.request);
        } else {
            this->owned.remove(work);
            stream.fail(end.error().kind == EngineErrorKind::Fenced ? Problem { ProblemKind::TakenOver, "", RequestOutcome::FailedMayHaveRun, {} } : gone, call.request);
        }
        sink.done();
        return true;
    };
    response.set_chunked_content_provider("text/event-stream", provider, [this](bool) { --this->active; });
}

void EntryServer::handle_service(Call const& call, httplib::Request const& request, httplib::Response& response)
{
    ServiceOrder order;
    order.request = call.request;
    order.account = call.account;
    order.service = request.matches[1];
    order.call.method = request.method;
    order.call.path = request.matches[2].length() > 0 ? std::string(request.matches[2]) : "/";
    order.call.content_type = request.has_header("Content-Type") ? request.get_header_value("Content-Type") : "application/json";
    order.call.body = request.body;
    order.call.request = call.request;
    order.idempotency_key = request.get_header_value("Idempotency-Key");
    order.repeat = request.get_header_value("Spurtide-Not-Repeatable") == "true" ? ServiceOrder::Repeat::Forbidden : ServiceOrder::Repeat::Allowed;
    order.deadline = call.deadline;
    if (order.idempotency_key.size() > LONGEST_IDEMPOTENCY_KEY)
        return this->answer_problem(response, { ProblemKind::InvalidBody, "Idempotency-Key is longer than 200 bytes.", RequestOutcome::RefusedNotRun, {} }, call.request);
    auto const answer = ServiceRelay(*this->context, std::move(order)).run();
    if (answer.is_error())
        return this->answer_problem(response, answer.error(), call.request);
    this->count_outcome("answered", "");
    response.status = answer.value().status;
    response.set_header("X-Request-Id", call.request);
    if (answer.value().retry_after > Duration::zero())
        response.set_header("Retry-After", std::to_string(to_milliseconds(answer.value().retry_after) / 1000));
    response.set_content(answer.value().body, answer.value().content_type.c_str());
}

void EntryServer::handle_models(Call const& call, httplib::Response& response)
{
    nlohmann::ordered_json document = { { "object", "list" }, { "data", nlohmann::ordered_json::array() } };
    for (auto const& model : call.configuration->models)
        document["data"].push_back({ { "id", model.name }, { "object", "model" }, { "owned_by", "spurtide" } });
    response.set_content(document.dump(), "application/json");
}

void EntryServer::handle_ownership(wire::OwnershipQuestion const& question, Kernel::Responder const& respond)
{
    wire::Envelope reply;
    auto* body = reply.mutable_ownership_reply();
    for (auto const& work : question.requests()) {
        if (!this->owned.owns(work))
            body->add_disowned(work);
    }
    respond(std::move(reply));
}

}
