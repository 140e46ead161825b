// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <Services/EntryServer/AnswerWriter.h>
#include <nlohmann/json.hpp>

namespace Spurtide {

namespace {

using Json = nlohmann::ordered_json;

std::string dump(Json const& document)
{
    return document.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string_view reason_name(FinishReason reason)
{
    return reason == FinishReason::Length ? "length" : "stop";
}

Json usage_fields(AnswerUsage const& usage)
{
    return { { "prompt_tokens", usage.prompt_tokens }, { "completion_tokens", usage.completion_tokens }, { "total_tokens", usage.prompt_tokens + usage.completion_tokens },
        { "prompt_tokens_details", { { "cached_tokens", usage.cached_tokens } } } };
}

Json frame(std::string_view object, std::string const& request, std::int64_t created, std::string const& model)
{
    return { { "id", request }, { "object", object }, { "created", created }, { "model", model } };
}

std::string_view chunk_object(AnswerFormat format)
{
    return format == AnswerFormat::Chat ? "chat.completion.chunk" : "text_completion";
}

}

std::string AnswerWriter::chunk(std::string_view text) const
{
    auto document = frame(chunk_object(this->format), this->request, this->created, this->model);
    Json choice = { { "index", 0 } };
    if (this->format == AnswerFormat::Chat)
        choice["delta"] = { { "content", text } };
    else
        choice["text"] = text;
    choice["finish_reason"] = nullptr;
    document["choices"] = Json::array({ choice });
    return dump(document);
}

std::string AnswerWriter::last_chunk(FinishReason reason) const
{
    auto document = frame(chunk_object(this->format), this->request, this->created, this->model);
    Json choice = { { "index", 0 } };
    if (this->format == AnswerFormat::Chat)
        choice["delta"] = Json::object();
    else
        choice["text"] = "";
    choice["finish_reason"] = reason_name(reason);
    document["choices"] = Json::array({ choice });
    return dump(document);
}

std::string AnswerWriter::usage_chunk(AnswerUsage const& usage) const
{
    auto document = frame(chunk_object(this->format), this->request, this->created, this->model);
    document["choices"] = Json::array();
    document["usage"] = usage_fields(usage);
    return dump(document);
}

std::string AnswerWriter::whole(std::string_view text, FinishReason reason, AnswerUsage const& usage) const
{
    auto document = frame(this->format == AnswerFormat::Chat ? "chat.completion" : "text_completion", this->request, this->created, this->model);
    Json choice = { { "index", 0 } };
    if (this->format == AnswerFormat::Chat)
        choice["message"] = { { "role", "assistant" }, { "content", text } };
    else
        choice["text"] = text;
    choice["finish_reason"] = reason_name(reason);
    document["choices"] = Json::array({ choice });
    document["usage"] = usage_fields(usage);
    return dump(document);
}

}
