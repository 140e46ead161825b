// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <cstdint>

namespace Spurtide {

/// A pause that an upstream requested from this VM, and the slow start after it: with each step the number of requests that
/// may be sent doubles, so that an upstream that is still overloaded can request another pause before it receives a burst.
/// Time is passed in.
class UpstreamPause {
public:
    static constexpr Duration STEP = milliseconds(100);
    /// After this many steps requests are no longer counted.
    static constexpr int STEPS = 8;

    /// Starts the pause, or extends it. An earlier end than the known one changes nothing.
    void extend(MonotonicTime end);
    /// Time until the next request may be sent; zero if one may be sent now.
    Duration time_left(MonotonicTime now) const;
    void note_sent(MonotonicTime now);
    /// Returns the delay after which a caller that is refused now should retry. Callers are assigned consecutive sends of the
    /// slow start.
    Duration assign_retry(MonotonicTime now);
    /// Whether the pause and the slow start are over.
    bool is_over(MonotonicTime now) const;

private:
    /// When the send with the given number, counted from 0, may take place.
    MonotonicTime time_of_send(std::uint64_t number) const;

    MonotonicTime end;
    /// Requests sent since the end of the pause.
    std::uint64_t sends = 0;
    /// The number of the next send that a refused caller is assigned.
    std::uint64_t next_assigned = 0;
};

}
