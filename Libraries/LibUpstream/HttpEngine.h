// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibHttp/Address.h>
#include <LibUpstream/EnginePort.h>

namespace Spurtide {

/// An engine over HTTP with JSON and server-sent events.
class HttpEngine final : public EnginePort {
public:
    struct Options {
        Duration connect_timeout = milliseconds(500);
        /// Longest silence inside a stream; the engine sends a comment when it has nothing else.
        Duration silence_timeout = milliseconds(1500);
    };

    HttpEngine(Address address, Options options)
        : address(std::move(address))
        , options(options)
    {
    }

    Result<PrefillResult, EngineError> prefill(PrefillOrder const& order, StillWanted const& still_wanted) override;
    Result<DecodeEnd, EngineError> decode(DecodeOrder const& order, TokenSink const& sink) override;
    Result<DecodeEnd, EngineError> attach(AttachOrder const& order, TokenSink const& sink) override;
    Result<Done, EngineError> cancel(std::string_view request, std::int64_t reader) override;
    Result<EngineReport, EngineError> report() override;
    Result<Done, EngineError> order_model(std::string_view model, std::int64_t epoch) override;

private:
    Address address;
    Options options;
};

}
