// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibAccounts/KeyDigest.h>
#include <LibCore/Time.h>
#include <LibDecision/CellScheduler.h>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Spurtide {

/// What a model request says of its size.
struct PromptInfo {
    std::string model;
    std::int64_t prompt_tokens = 0;
    std::int64_t maximum_output_tokens = 0;
    /// The caller's guess of the answer's length; 0 where it made none. Right in the median, often far off.
    std::int64_t expected_output_tokens = 0;
    /// Names the part of the prompt that no other session has; empty where the caller names none.
    std::string own_part {};
};

/// A caller's request as far as the router decides by it.
struct CallerRequest {
    /// Names one attempt of a caller; no other request has the same.
    std::string identifier;
    /// How long the caller waits from when it sent the request.
    Duration caller_timeout = seconds(30);
    /// Of the key that names the caller's account; empty where none came, or more than one.
    std::optional<KeyDigest> key;
    /// Set for requests to models.
    std::optional<PromptInfo> prompt;
    /// The last event that the caller has of this stream; empty where it has none.
    std::string last_event;
};

/// Why a request cannot be taken.
enum class CallerRequestError {
    MissingIdentifier,
    BadPatience,
    BadPrompt,
};

std::string_view to_string(CallerRequestError error);

/// Why an upstream's answer to the router itself is of no use.
enum class UpstreamResponseError {
    MalformedBody,
};

/// Which part of a request an upstream is to do.
enum class DispatchStage {
    /// The whole of it.
    Whole,
    /// Read the prompt and keep its cache for another engine.
    Prefill,
    /// Take the cache from where it is kept, and answer.
    Decode,
};

/// One send of a request to an upstream.
struct Dispatch {
    DispatchStage stage = DispatchStage::Whole;
    /// What is left of the caller's patience.
    Duration remaining_time {};
    /// The life of the upstream that is meant; any other does not run the request.
    std::string expected_identity;
    /// The caller's account; empty where it has none.
    std::string account;
    /// Where the cache is kept, for Decode.
    std::string cache_address;
    /// The identity of the engine there.
    std::string cache_holder;
    std::string cache_handle;
    /// The stream goes on behind this event; empty sends what the caller sent.
    std::string after_event;
};

/// What an answer says of the requests a second that its upstream takes from all VMs together.
struct RateLimitHeader {
    enum class State {
        Absent,
        Present,
        /// It is there, and no number that is zero or more.
        Malformed,
    } state
        = State::Absent;
    /// Requests a second, where it is named.
    double rate = 0;
};

/// What an upstream's answer says beside its status.
struct ResponseInfo {
    /// The request that it answers; empty where the answer does not tell.
    std::string identifier;
    /// The upstream says that it did not run the request.
    bool is_not_executed = false;
    /// The answer carries the upstream's signature, which callers check.
    bool is_signed = false;
    /// The body was changed on its way.
    bool is_encoded = false;
    RateLimitHeader limit {};
};

/// What an engine says of itself when it is asked.
struct EngineStatus {
    std::optional<EngineRole> role;
    /// Orders that it took in its present life.
    std::int64_t orders_taken = 0;
    /// Whether it is carrying one out.
    bool is_under_order = false;
};

/// An order to an engine to change its role.
struct RoleOrder {
    EngineRole role = EngineRole::Prefill;
    std::string holder;
    /// The holder's term; engines that check it refuse lower ones than they saw.
    std::int64_t fence = 0;
    /// The order is void where the engine took others meanwhile.
    std::int64_t expected_orders_taken = 0;
    /// The life of the engine that is meant.
    std::string expected_identity;
};

/// A prefill's result, kept by its engine for a short time.
struct PrefillCache {
    std::string handle;
    std::int64_t tokens = 0;
};

}
