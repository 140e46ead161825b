// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Result.h>
#include <LibCore/Time.h>
#include <LibDecision/CellScheduler.h>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace Spurtide {

enum class EngineErrorKind {
    /// Nothing was sent: the connection was refused.
    Unreachable,
    /// The connection broke, or nothing came in time; the work may be held.
    Lost,
    /// The engine took nothing on and says when to come back.
    Refused,
    /// The engine holds no such work.
    UnknownWork,
    /// The exported cache was not picked up in time.
    ExportGone,
    /// A newer reader took the stream over.
    Fenced,
    /// The order's fence epoch is old.
    StaleEpoch,
    /// This side stopped reading.
    Stopped,
    Malformed,
};

std::string_view to_string(EngineErrorKind kind);

struct EngineError {
    EngineErrorKind kind;
    /// Least time before another try, where the engine gave one.
    Duration retry_after {};
};

/// Who a piece of work belongs to. The engine gives this back in its list of held work.
struct WorkName {
    std::string request;
    std::string origin;
    std::string account;
};

struct PrefillOrder {
    WorkName name;
    std::string model;
    std::string prompt;
    /// Text that was relayed already and is prefilled behind the prompt, and its number of tokens.
    std::string continuation;
    std::int64_t continuation_tokens = 0;
};

struct PrefillResult {
    std::int64_t prompt_tokens = 0;
    std::int64_t cached_tokens = 0;
    std::int64_t cache_bytes = 0;
};

struct DecodeOrder {
    WorkName name;
    std::string model;
    /// HOST:PORT of the engine that exports the cache.
    std::string export_address;
    std::int64_t maximum_output_tokens = 0;
    /// Raised at each attach; an engine takes no reader older than the present one.
    std::int64_t reader = 0;
};

struct AttachOrder {
    WorkName name;
    /// The first token wanted.
    std::int64_t offset = 0;
    std::int64_t reader = 0;
};

struct EngineToken {
    /// Position in the answer, from 0.
    std::int64_t offset = 0;
    std::string text;
};

enum class FinishReason {
    Stop,
    Length,
};

struct DecodeEnd {
    FinishReason reason = FinishReason::Stop;
    /// Tokens of the whole answer.
    std::int64_t output_tokens = 0;
};

/// Whether the reader wants more.
enum class ReadMore {
    Yes,
    No,
};

/// Takes one token; also called without one now and then so that the reader can say stop.
using TokenSink = std::function<ReadMore(EngineToken const* token)>;
using StillWanted = std::function<ReadMore()>;

/// One model engine. Calls block; streams end when the sink says no.
class EnginePort {
public:
    virtual ~EnginePort() = default;

    virtual Result<PrefillResult, EngineError> prefill(PrefillOrder const& order, StillWanted const& still_wanted) = 0;
    /// Imports the exported cache, decodes, and gives the tokens in order.
    virtual Result<DecodeEnd, EngineError> decode(DecodeOrder const& order, TokenSink const& sink) = 0;
    /// Reads a running stream from an offset, and fences its older reader.
    virtual Result<DecodeEnd, EngineError> attach(AttachOrder const& order, TokenSink const& sink) = 0;
    /// Ends work and frees what it holds; for work that is unknown that is a success. With a reader
    /// other than 0 the work is left alone (Fenced) when a newer reader has it.
    virtual Result<Done, EngineError> cancel(std::string_view request, std::int64_t reader) = 0;
    virtual Result<EngineReport, EngineError> report() = 0;
    /// Gives an order under a fence epoch; StaleEpoch where the engine checks and the epoch is old.
    virtual Result<Done, EngineError> order_model(std::string_view model, std::int64_t epoch) = 0;
};

}
