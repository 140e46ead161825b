// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibAsync/HttpMessage.h>
#include <LibCore/Result.h>
#include <LibRouter/CallerRequest.h>

namespace Spurtide {

/// The port between the router and the HTTP that callers and upstreams of a deployment speak. An
/// implementation translates and decides nothing.
class CallerDialect {
public:
    virtual ~CallerDialect() = default;

    virtual Result<CallerRequest, CallerRequestError> read_request(HttpRequestHead const& head) const = 0;
    /// The request as an upstream gets it: the caller's fields, but for those that the router sets itself.
    virtual HttpRequestHead upstream_request_head(HttpRequest const& request, Dispatch const& dispatch) const = 0;
    virtual ResponseInfo read_response(HttpResponseHead const& head) const = 0;
    /// The upstream's answer as the caller gets it, but for the fields of its connection.
    virtual HttpResponseHead caller_response_head(HttpResponseHead const& head) const = 0;
    /// An answer of the router's own; the request's identifier may be empty.
    virtual HttpResponseHead router_response_head(int status, std::string const& identifier) const = 0;
    virtual Result<PrefillCache, UpstreamResponseError> read_prefill_cache(std::string_view body) const = 0;
    /// Asks an engine to free a cache that nobody will take.
    virtual HttpRequestHead free_cache_request_head(std::string_view engine_address, std::string_view handle) const = 0;
    /// Asks an engine what it is doing.
    virtual HttpRequestHead engine_status_request_head(std::string_view engine_address) const = 0;
    virtual Result<EngineStatus, UpstreamResponseError> read_engine_status(std::string_view body) const = 0;
    /// Asks an engine for the parts of prompts that it has in memory.
    virtual HttpRequestHead cached_prompts_request_head(std::string_view engine_address) const = 0;
    virtual Result<std::vector<std::string>, UpstreamResponseError> read_cached_prompts(std::string_view body) const = 0;
    virtual HttpRequest role_order_request(std::string_view engine_address, RoleOrder const& order) const = 0;
};

}
