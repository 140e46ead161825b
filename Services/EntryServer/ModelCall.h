// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Result.h>
#include <LibDecision/RequestState.h>
#include <LibUpstream/EnginePort.h>
#include <Services/EntryServer/EntryContext.h>
#include <Services/EntryServer/Problem.h>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Spurtide {

/// One request to a model, checked and with its account.
struct ModelOrder {
    std::string request;
    std::string account;
    std::string model;
    std::string prompt;
    std::int64_t prompt_tokens = 0;
    std::int64_t maximum_output_tokens = 0;
    std::int64_t priority = 0;
    MonotonicTime received;
    MonotonicTime deadline;
    /// Whether the caller can come back for a stream that broke.
    enum class Resume {
        Possible,
        Impossible,
    } resume
        = Resume::Impossible;
};

/// Carries one request through placement, prefill, transfer and decode. Blocks its thread.
class ModelCall {
public:
    /// Takes one token with the engine that it came from; without a token it asks whether to go on.
    using Sink = std::function<ReadMore(EngineToken const* token, std::string_view work, std::string_view engine)>;

    ModelCall(EntryContext& context, ModelOrder order, StillWanted caller_present);

    /// Up to the held cache, after which the answer can begin. A problem is the final answer.
    std::optional<Problem> begin();
    /// Decodes and hands on the tokens. A problem is the final answer.
    Result<DecodeEnd, Problem> relay(Sink const& sink);

    PrefillResult const& prefill_result() const { return this->prefilled; }
    RequestPhase phase() const { return this->state.phase(); }

private:
    std::optional<Problem> place_and_prefill();
    std::optional<Problem> place();
    std::optional<Problem> prefill();
    std::optional<Problem> try_again(EngineError const& error);
    Result<DecodeEnd, EngineError> decode_attempt(Sink const& sink);
    std::optional<Problem> after_decode_error(EngineError const& error);
    ReadMore take_token(EngineToken const* token, Sink const& sink);
    Problem refuse(Problem problem);
    Problem give_up(ProblemKind kind, Duration retry_after);
    Problem caller_left();
    void finish(DecodeEnd const& end);
    void drop_work();
    void move(RequestEvent event);
    bool is_past_deadline() const;
    WorkName name() const;

    EntryContext& context;
    ModelOrder order;
    StillWanted caller_present;
    RequestState state;
    int attempt = 0;
    std::string work;
    GrantedPlacement placement;
    std::shared_ptr<EnginePort> prefill_engine;
    std::shared_ptr<EnginePort> decode_engine;
    bool is_prefill_dispatched = false;
    bool is_decode_dispatched = false;
    std::int64_t reader = 0;
    PrefillResult prefilled;
    std::string relayed_text;
    std::int64_t relayed_tokens = 0;
    MonotonicTime last_token;
};

}
