// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <algorithm>
#include <cstdint>

namespace Spurtide {

/// How many output tokens the events of a service hold, as far as its streams have shown it. The configuration announces a
/// number; an event is only known to hold one token until enough streams agree with it.
class EventSize {
public:
    /// Adds the number of events that a stream has had so far. Each engine that it ran on may have sent one that was not full.
    /// The announced number is at least 1.
    void note_events(std::int64_t events, std::int64_t maximum_tokens, std::int64_t announced_tokens, std::int64_t engines)
    {
        this->adopt(announced_tokens);
        if (maximum_tokens > 0 && events > std::min(maximum_tokens, MOST_TOKENS) / this->announced + engines + EMPTY_EVENTS)
            this->is_contradicted = true;
    }

    /// Call for each stream that ended whole.
    void note_complete(std::int64_t announced_tokens)
    {
        this->adopt(announced_tokens);
        this->complete_streams = std::min(this->complete_streams + 1, STREAMS_BEFORE_TRUST);
    }

    /// The events of the longest stream with this many tokens.
    std::int64_t most_events(std::int64_t maximum_tokens, std::int64_t announced_tokens) const
    {
        bool const is_trusted = announced_tokens == this->announced && !this->is_contradicted && this->complete_streams >= STREAMS_BEFORE_TRUST;
        return std::min(maximum_tokens, MOST_TOKENS) / (is_trusted ? this->announced : 1) + 1 + EMPTY_EVENTS;
    }

private:
    /// Few streams are so long that they could contradict the announced number.
    static constexpr int STREAMS_BEFORE_TRUST = 50;
    /// The event that marks the end may hold no token.
    static constexpr std::int64_t EMPTY_EVENTS = 1;
    /// Callers may state numbers that overflow; no answer is as long.
    static constexpr std::int64_t MOST_TOKENS = 1'000'000'000'000;

    void adopt(std::int64_t announced_tokens)
    {
        if (this->announced == announced_tokens)
            return;
        this->announced = announced_tokens;
        this->complete_streams = 0;
        this->is_contradicted = false;
    }

    std::int64_t announced = 1;
    int complete_streams = 0;
    bool is_contradicted = false;
};

}
