// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Result.h>
#include <LibCore/SettingsReader.h>
#include <cstdint>
#include <string>
#include <string_view>

namespace Spurtide {

/// The two forms in which callers ask a model.
enum class AnswerFormat {
    Completion,
    Chat,
};

/// A caller's request to a model, checked.
struct CompletionRequest {
    AnswerFormat format = AnswerFormat::Completion;
    enum class Delivery {
        Whole,
        Stream,
    } delivery
        = Delivery::Whole;
    enum class UsageInStream {
        Omitted,
        Included,
    } usage_in_stream
        = UsageInStream::Omitted;
    std::string model;
    std::string prompt;
    /// 0 where the caller set no limit.
    std::int64_t maximum_output_tokens = 0;
};

/// Reads a body in the form of the completions or chat interface. Sampling parameters that this
/// router does not act on are passed over; what it acts on is checked, and every fault is named.
Result<CompletionRequest, SettingsError> read_completion_request(std::string_view body, AnswerFormat format);

/// Tokens of a prompt. NOTE: There is no tokenizer here; four bytes a token is what engines are asked with too.
std::int64_t estimate_tokens(std::string_view text);

}
