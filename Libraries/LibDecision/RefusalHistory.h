// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>

namespace Spurtide {

/// Properties that identify a request when its caller retries it under a new identifier.
struct RequestTraits {
    std::string_view account;
    std::string_view model;
    /// Identifies the part of the prompt that is unique to the session.
    std::string_view own_part;
    std::int64_t prompt_tokens = 0;
    std::int64_t maximum_output_tokens = 0;
    std::int64_t expected_output_tokens = 0;
};

/// Remembers refused requests in order to detect callers that retry. The latency of a retry is measured from the first
/// attempt, as callers do.
///
/// The caller's remaining patience cannot be used to detect retries, because it varies more between callers than the
/// delay of a retry takes: a router that classified impatient callers as retries treated three of four first attempts
/// as late.
class RefusalHistory {
public:
    /// Records the refusal of a request with the given first token deadline. The caller may retry it until the given
    /// time.
    void note_refused(RequestTraits const& traits, MonotonicTime first_token_deadline, MonotonicTime retry_until);

    /// Returns the first token deadline of the first attempt if the request is a retry. Each refusal matches one retry.
    std::optional<MonotonicTime> take_matching_refusal(RequestTraits const& traits, MonotonicTime now);

    void remove_expired(MonotonicTime now);
    std::size_t size() const { return this->refused.size(); }

private:
    struct Refused {
        MonotonicTime first_token_deadline;
        MonotonicTime retry_until;
    };

    /// Keyed by a hash of the traits. Requests with identical traits within seconds are treated as the same request.
    std::multimap<std::uint64_t, Refused> refused;
};

}
