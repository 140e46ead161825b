// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibAccounts/KeyDigest.h>
#include <LibCore/Time.h>
#include <LibDecision/CellScheduler.h>
#include <LibDecision/PromptPart.h>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Spurtide {

/// The size of a model request, as stated by its caller.
struct PromptInfo {
    std::string model;
    std::int64_t prompt_tokens = 0;
    std::int64_t maximum_output_tokens = 0;
    /// The caller's estimate of the output length, or 0 if it gave none. Accurate in the median, but often far off.
    std::int64_t expected_output_tokens = 0;
    /// Name of the prompt part that is unique to this session; empty if the caller names none.
    std::string own_part {};
    /// The parts before it, which other requests may share. Of a prompt of very many parts only the first ones.
    PromptParts shared_parts {};
};

/// The fields of a caller's request that routing depends on.
struct CallerRequest {
    /// Unique per attempt of a caller.
    std::string identifier;
    /// How long the caller waits for a response, counted from when it sent the request.
    Duration caller_timeout = seconds(30);
    /// Digest of the caller's account key; empty if the request has no key, or more than one.
    std::optional<KeyDigest> key;
    /// Set for model requests only.
    std::optional<PromptInfo> prompt;
    /// Id of the last event of this stream that the caller received; empty if there is none.
    std::string last_event;
    /// The request in whose response the caller received the first event of this stream; empty if the caller names none.
    std::string resumed_request {};

    /// Whether the request continues a stream of which the caller has received events.
    bool is_resumption() const { return !this->last_event.empty() || !this->resumed_request.empty(); }
};

/// Why a request cannot be parsed.
enum class CallerRequestError {
    MissingIdentifier,
    BadPatience,
    BadPrompt,
};

std::string_view to_string(CallerRequestError error);

/// Why a response to one of the router's own requests cannot be parsed.
enum class UpstreamResponseError {
    MalformedBody,
    UnknownStatus,
};

/// The part of a request that an upstream executes.
enum class DispatchStage {
    /// The entire request.
    Whole,
    /// Process the prompt and hold the resulting cache for another engine.
    Prefill,
    /// Fetch the cache from the engine that holds it and generate the output.
    Decode,
};

/// One send of a request to an upstream.
struct Dispatch {
    DispatchStage stage = DispatchStage::Whole;
    /// Time left until the request's deadline.
    Duration remaining_time {};
    /// The upstream incarnation to run the request; any other refuses it.
    std::string expected_identity;
    /// The caller's account; empty if it has none.
    std::string account;
    /// Address of the engine that holds the cache, for Decode.
    std::string cache_address;
    std::string cache_handle;
    /// Resume the stream after this event; if empty, the caller's own last event id is passed on.
    std::string after_event;
};

/// The request rate, in total from all VMs, that an upstream announces in a response.
struct RateLimitHeader {
    enum class State {
        Absent,
        Present,
        /// Present, but not a non-negative number.
        Malformed,
    } state
        = State::Absent;
    /// Requests per second, if present.
    double rate = 0;
};

/// How long an upstream that refuses a request asks this VM to send it no others.
struct RetryAfterHeader {
    enum class State {
        Absent,
        Present,
        /// Present, but not a non-negative number of seconds.
        Malformed,
    } state
        = State::Absent;
    Duration delay {};
};

/// The metadata of an upstream's response, apart from its status.
struct ResponseInfo {
    /// The request that it responds to; empty if the response names none.
    std::string identifier;
    /// Whether it is the response to this request. Responses to the router's own calls, whose identifier is empty, name none.
    bool is_response_to(std::string_view request) const { return this->identifier == request; }
    /// The upstream states that it did not execute the request.
    bool is_not_executed = false;
    /// The response carries the upstream's signature, which callers verify.
    bool is_signed = false;
    /// The body has a content encoding, so that it was changed in transit.
    bool is_encoded = false;
    RateLimitHeader limit {};
    RetryAfterHeader retry_after {};
    /// The upstream states that it is about to stop and takes no new work.
    bool is_leaving = false;
};

/// The status that an engine reports when queried.
struct EngineStatus {
    std::optional<EngineRole> role;
    /// Number of orders accepted by its current incarnation.
    std::int64_t orders_taken = 0;
    /// Whether it is executing an order.
    bool is_under_order = false;
};

/// Tells an engine to change its role.
struct RoleOrder {
    EngineRole role = EngineRole::Prefill;
    std::string holder;
    /// The holder's fencing token. Engines that check it reject tokens lower than the highest seen.
    std::int64_t fence = 0;
    /// The engine rejects the order if it has accepted others in the meantime.
    std::int64_t expected_orders_taken = 0;
    /// The engine incarnation that the order is for.
    std::string expected_identity;
};

/// Asks an engine to copy the memory of a request that it runs to another engine. A further call copies only what is new.
struct RunTransfer {
    std::string request;
    /// HOST:PORT of the other engine.
    std::string target_address;
    enum class Source {
        KeepsRunning,
        /// The run stops first. Its stream is closed without an end marker, and the engine keeps the memory.
        Stops,
    } source
        = Source::KeepsRunning;
};

/// An engine's answer to a RunTransfer.
struct RunTransferResult {
    enum class Outcome {
        Copied,
        NotRunning,
        /// Another call for the same request has not ended.
        AlreadyInProgress,
        /// The target has no capacity or is unreachable.
        TargetUnavailable,
    } outcome
        = Outcome::Copied;
    /// Names the copy, and the memory that a stopped run left at its engine. Empty if there is neither.
    std::string handle;
    /// Events that the run had generated.
    std::int64_t events = 0;
};

std::string_view to_string(RunTransferResult::Outcome outcome);

/// The result of a prefill, which its engine holds for a short time.
struct PrefillCache {
    std::string handle;
    std::int64_t tokens = 0;
};

}
