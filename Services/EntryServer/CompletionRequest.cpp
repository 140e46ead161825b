// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <Services/EntryServer/CompletionRequest.h>

namespace Spurtide {

namespace {

constexpr std::int64_t BYTES_PER_TOKEN = 4;
constexpr std::int64_t MOST_OUTPUT_TOKENS = 1'000'000;
constexpr std::string_view SOURCE = "request";

/// Chat messages become one prompt, a role and its text a line.
std::string read_messages(SettingsReader& reader)
{
    std::string prompt;
    auto messages = reader.objects("messages", Presence::Required);
    if (messages.empty())
        reader.fault(SettingsFaultKind::OutOfRange, "messages", "at least one message");
    for (auto& message : messages) {
        auto const role = message.choice("role", Presence::Required, { "system", "developer", "user", "assistant", "tool" });
        auto const content = message.text("content", Presence::Required);
        prompt.append(role).append(": ").append(content).append("\n");
    }
    return prompt;
}

}

std::int64_t estimate_tokens(std::string_view text)
{
    return (static_cast<std::int64_t>(text.size()) + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN;
}

Result<CompletionRequest, SettingsError> read_completion_request(std::string_view body, AnswerFormat format)
{
    auto const document = TRY(parse_settings(body, SOURCE));
    std::vector<SettingsFault> faults;
    SettingsReader reader(document, std::string(SOURCE), "", faults);
    CompletionRequest request;
    request.format = format;
    request.model = reader.text("model", Presence::Required);
    request.prompt = format == AnswerFormat::Chat ? read_messages(reader) : reader.text("prompt", Presence::Required);
    request.maximum_output_tokens = reader.integer("max_tokens", Presence::Optional, 1, MOST_OUTPUT_TOKENS, 0);
    if (reader.integer("n", Presence::Optional, 1, 1, 1) == 1 && reader.boolean("stream", false))
        request.delivery = CompletionRequest::Delivery::Stream;
    if (document.is_object() && document.contains("stream_options")) {
        auto options = reader.object("stream_options", Presence::Optional);
        if (options.boolean("include_usage", false))
            request.usage_in_stream = CompletionRequest::UsageInStream::Included;
    }
    if (!faults.empty())
        return Failure { SettingsError { std::move(faults) } };
    return request;
}

}
