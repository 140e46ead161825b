// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>

namespace Spurtide {

/// What stays the same of a request when its caller comes back with it under a new name.
struct RequestTraits {
    std::string_view account;
    std::string_view model;
    /// The part of the prompt that no other session has.
    std::string_view own_part;
    std::int64_t prompt_tokens = 0;
    std::int64_t maximum_output_tokens = 0;
    std::int64_t expected_output_tokens = 0;
};

/// Remembers requests that were refused, so that callers who come back are told from those who come for the first
/// time, and are measured from their first visit as they measure it themselves.
///
/// The time that a caller is willing to wait does not tell: callers differ in patience by more than a short absence
/// takes, and a router that took the less patient for returns treated three of four first visits as late.
class RefusalHistory {
public:
    /// The request was refused; by the deadline of its first token it wanted to be served, and until the last time its
    /// caller may come back with it.
    void note_refused(RequestTraits const& traits, MonotonicTime first_token_deadline, MonotonicTime retry_until);

    /// The first token's deadline of the first visit, where this is a return; each refusal answers for one.
    std::optional<MonotonicTime> take_matching_refusal(RequestTraits const& traits, MonotonicTime now);

    void remove_expired(MonotonicTime now);
    std::size_t size() const { return this->refused.size(); }

private:
    struct Refused {
        MonotonicTime first_token_deadline;
        MonotonicTime retry_until;
    };

    /// By a hash of the traits: two requests that are alike in all of them within seconds are one.
    std::multimap<std::uint64_t, Refused> refused;
};

}
