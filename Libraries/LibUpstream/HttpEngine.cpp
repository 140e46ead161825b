// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibHttp/EventStream.h>
#include <LibHttp/HttpClient.h>
#include <LibUpstream/HttpEngine.h>
#include <array>
#include <nlohmann/json.hpp>
#include <optional>

namespace Spurtide {

namespace {

using Json = nlohmann::json;

Duration retry_after_of(httplib::Response const& response)
{
    auto const text = response.get_header_value("Retry-After-Milliseconds");
    // NOTE: strtoll gives 0 for what is no number, which stands for "not said".
    return milliseconds(std::clamp<std::int64_t>(std::strtoll(text.c_str(), nullptr, 10), 0, 60'000));
}

EngineError error_of_status(httplib::Response const& response)
{
    switch (response.status) {
    case 404:
        return { EngineErrorKind::UnknownWork };
    case 409:
        return { EngineErrorKind::Fenced };
    case 410:
        return { EngineErrorKind::ExportGone };
    case 412:
        return { EngineErrorKind::StaleEpoch };
    case 429:
    case 503:
        return { EngineErrorKind::Refused, retry_after_of(response) };
    default:
        return { EngineErrorKind::Malformed };
    }
}

EngineError error_of(httplib::Error error)
{
    return { error == httplib::Error::Connection ? EngineErrorKind::Unreachable : EngineErrorKind::Lost };
}

Json parse_object(std::string const& text)
{
    auto document = Json::parse(text, nullptr, false);
    return document.is_object() ? document : Json::object();
}

std::int64_t integer_of(Json const& object, char const* key)
{
    auto const found = object.find(key);
    return found != object.end() && found->is_number_integer() ? found->get<std::int64_t>() : -1;
}

std::string text_of(Json const& object, char const* key)
{
    auto const found = object.find(key);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

Json name_fields(WorkName const& name)
{
    return { { "request", name.request }, { "origin", name.origin }, { "account", name.account } };
}

/// What one streamed call came to.
struct StreamCall {
    std::string method;
    std::string path;
    std::string body;
    /// Sees each event; false ends the call.
    std::function<bool(StreamEvent const&)> on_event;
    /// Asked whenever bytes came, comments among them.
    std::function<bool()> on_bytes;
};

std::optional<EngineError> run_stream(Address const& address, HttpEngine::Options const& options, StreamCall const& call)
{
    auto client = make_http_client(address, options.silence_timeout);
    client.set_connection_timeout(options.connect_timeout);
    bool stopped = false;
    int status = 0;
    Duration retry_after {};
    EventStreamParser parser([&](StreamEvent const& event) { return call.on_event(event); });
    httplib::Request request;
    request.method = call.method;
    request.path = call.path;
    request.body = call.body;
    request.set_header("Content-Type", "application/json");
    request.response_handler = [&](httplib::Response const& response) {
        status = response.status;
        retry_after = retry_after_of(response);
        return true;
    };
    request.content_receiver = [&](char const* data, std::size_t size, std::uint64_t, std::uint64_t) {
        if (status != 200)
            return true;
        stopped = !parser.feed({ data, size }) || !call.on_bytes();
        return !stopped;
    };
    auto const result = client.send(request);
    if (stopped)
        return EngineError { EngineErrorKind::Stopped };
    if (!result)
        return error_of(result.error());
    if (result->status != 200)
        return error_of_status(*result);
    return {};
}

/// Reads the events of a decode stream, in order and each token once.
class TokenStream {
public:
    TokenStream(TokenSink const& sink, std::int64_t first_offset)
        : sink(sink)
        , next_offset(first_offset)
    {
    }

    bool take(StreamEvent const& event)
    {
        auto const data = parse_object(event.data);
        if (event.name == "token")
            return this->take_token(data);
        if (event.name == "finished") {
            this->end = DecodeEnd { text_of(data, "reason") == "length" ? FinishReason::Length : FinishReason::Stop, integer_of(data, "output_tokens") };
            return true;
        }
        if (event.name == "fenced")
            return this->fail(EngineErrorKind::Fenced);
        if (event.name == "export_gone")
            return this->fail(EngineErrorKind::ExportGone);
        if (event.name == "cancelled")
            return this->fail(EngineErrorKind::UnknownWork);
        return true;
    }

    bool idle() { return this->sink(nullptr) == ReadMore::Yes; }

    Result<DecodeEnd, EngineError> conclude(std::optional<EngineError> const& error) const
    {
        if (this->failure)
            return Failure { *this->failure };
        if (this->end && this->end->output_tokens == this->next_offset)
            return *this->end;
        if (error)
            return Failure { *error };
        // A stream that closed without its end, or with tokens missing, is not whole.
        return Failure { EngineError { EngineErrorKind::Lost } };
    }

private:
    bool fail(EngineErrorKind kind)
    {
        this->failure = EngineError { kind };
        return false;
    }

    bool take_token(Json const& data)
    {
        EngineToken const token { integer_of(data, "offset"), text_of(data, "text") };
        // Repeated tokens are passed over; a gap would make the answer not whole.
        if (token.offset < this->next_offset)
            return true;
        if (token.offset > this->next_offset)
            return this->fail(EngineErrorKind::Malformed);
        ++this->next_offset;
        return this->sink(&token) == ReadMore::Yes;
    }

    TokenSink const& sink;
    std::int64_t next_offset;
    std::optional<DecodeEnd> end;
    std::optional<EngineError> failure;
};

EngineReport read_report(Json const& document)
{
    EngineReport report;
    if (text_of(document, "life") == "leaving")
        report.life = EngineReport::Life::Leaving;
    report.step_time = Duration(std::max<std::int64_t>(0, integer_of(document, "step_microseconds")));
    auto const held = document.find("held");
    if (held == document.end() || !held->is_array())
        return report;
    for (auto const& entry : *held) {
        if (!entry.is_object())
            continue;
        HeldWork work;
        work.request = text_of(entry, "request");
        work.origin = text_of(entry, "origin");
        work.account = text_of(entry, "account");
        work.reader = text_of(entry, "reader") == "attached" ? HeldWork::Reader::Attached : HeldWork::Reader::None;
        if (!work.request.empty())
            report.held.push_back(std::move(work));
    }
    return report;
}

}

std::string_view to_string(EngineErrorKind kind)
{
    constexpr std::array<std::string_view, 9> NAMES = { "unreachable", "lost", "refused", "unknown_work", "export_gone", "fenced", "stale_epoch", "stopped", "malformed" };
    return NAMES.at(static_cast<std::size_t>(kind));
}

Result<PrefillResult, EngineError> HttpEngine::prefill(PrefillOrder const& order, StillWanted const& still_wanted)
{
    auto body = name_fields(order.name);
    body["model"] = order.model;
    body["prompt"] = order.prompt;
    body["continuation"] = order.continuation;
    body["continuation_tokens"] = order.continuation_tokens;
    std::optional<PrefillResult> finished;
    auto const on_event = [&](StreamEvent const& event) {
        if (event.name != "prefilled")
            return true;
        auto const data = parse_object(event.data);
        finished = PrefillResult { integer_of(data, "prompt_tokens"), integer_of(data, "cached_tokens"), integer_of(data, "cache_bytes") };
        return true;
    };
    auto const on_bytes = [&] { return finished || still_wanted() == ReadMore::Yes; };
    // A prompt may hold bytes that are no UTF-8; they are replaced instead of failing the call.
    auto const text = body.dump(-1, ' ', false, Json::error_handler_t::replace);
    auto const error = run_stream(this->address, this->options, { "POST", "/v1/prefill", text, on_event, on_bytes });
    if (finished)
        return *finished;
    return Failure { error.value_or(EngineError { EngineErrorKind::Lost }) };
}

Result<DecodeEnd, EngineError> HttpEngine::decode(DecodeOrder const& order, TokenSink const& sink)
{
    auto body = name_fields(order.name);
    body["model"] = order.model;
    body["export_address"] = order.export_address;
    body["maximum_output_tokens"] = order.maximum_output_tokens;
    body["reader"] = order.reader;
    // The first token's offset comes from the imported cache: what was relayed before is part of it.
    std::optional<TokenStream> stream;
    auto const on_event = [&](StreamEvent const& event) {
        if (event.name == "imported") {
            stream.emplace(sink, std::max<std::int64_t>(0, integer_of(parse_object(event.data), "offset")));
            return true;
        }
        if (!stream)
            stream.emplace(sink, 0);
        return stream->take(event);
    };
    auto const on_bytes = [&] { return sink(nullptr) == ReadMore::Yes; };
    auto const error = run_stream(this->address, this->options, { "POST", "/v1/decode", body.dump(), on_event, on_bytes });
    if (!stream)
        return Failure { error.value_or(EngineError { EngineErrorKind::Lost }) };
    return stream->conclude(error);
}

Result<DecodeEnd, EngineError> HttpEngine::attach(AttachOrder const& order, TokenSink const& sink)
{
    auto body = name_fields(order.name);
    body["offset"] = order.offset;
    body["reader"] = order.reader;
    TokenStream stream(sink, order.offset);
    auto const on_event = [&](StreamEvent const& event) { return stream.take(event); };
    auto const on_bytes = [&] { return stream.idle(); };
    auto const error = run_stream(this->address, this->options, { "POST", "/v1/attach", body.dump(), on_event, on_bytes });
    return stream.conclude(error);
}

Result<Done, EngineError> HttpEngine::cancel(std::string_view request, std::int64_t reader)
{
    auto client = make_http_client(this->address, this->options.connect_timeout);
    Json const body = { { "request", std::string(request) }, { "reader", reader } };
    auto const result = client.Post("/v1/cancel", body.dump(), "application/json");
    if (!result)
        return Failure { error_of(result.error()) };
    if (result->status != 200 && result->status != 404)
        return Failure { error_of_status(*result) };
    return Done {};
}

Result<EngineReport, EngineError> HttpEngine::report()
{
    auto client = make_http_client(this->address, this->options.connect_timeout);
    auto const result = client.Get("/v1/report");
    if (!result)
        return Failure { error_of(result.error()) };
    if (result->status != 200)
        return Failure { error_of_status(*result) };
    auto const document = Json::parse(result->body, nullptr, false);
    if (!document.is_object())
        return Failure { EngineError { EngineErrorKind::Malformed } };
    return read_report(document);
}

Result<Done, EngineError> HttpEngine::order_model(std::string_view model, std::int64_t epoch)
{
    auto client = make_http_client(this->address, this->options.connect_timeout);
    Json const body = { { "model", std::string(model) }, { "epoch", epoch } };
    auto const result = client.Post("/v1/orders", body.dump(), "application/json");
    if (!result)
        return Failure { error_of(result.error()) };
    if (result->status != 200)
        return Failure { error_of_status(*result) };
    return Done {};
}

}
