// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibUpstream/EnginePort.h>
#include <Services/EntryServer/CompletionRequest.h>
#include <cstdint>
#include <string>
#include <string_view>

namespace Spurtide {

struct AnswerUsage {
    std::int64_t prompt_tokens = 0;
    std::int64_t cached_tokens = 0;
    std::int64_t completion_tokens = 0;
};

/// Writes answers in the form that users of language-model servers know.
class AnswerWriter {
public:
    AnswerWriter(AnswerFormat format, std::string request, std::string model, std::int64_t created_unix_seconds)
        : format(format)
        , request(std::move(request))
        , model(std::move(model))
        , created(created_unix_seconds)
    {
    }

    /// The data of one token's event.
    std::string chunk(std::string_view text) const;
    /// The data of the event that ends the choice.
    std::string last_chunk(FinishReason reason) const;
    /// The data of the event with the usage counts.
    std::string usage_chunk(AnswerUsage const& usage) const;
    /// The whole answer's body.
    std::string whole(std::string_view text, FinishReason reason, AnswerUsage const& usage) const;

private:
    AnswerFormat format;
    std::string request;
    std::string model;
    std::int64_t created;
};

}
