// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <LibDecision/RouteTable.h>
#include <optional>

namespace Spurtide {

/// How far a planned stop has come.
struct StopTime {
    /// Until this process ends.
    Duration left {};
    /// From the stop's begin to the process's end.
    Duration whole {};
};

/// How long a request takes, as far as that is known before it begins.
struct ExpectedTime {
    /// It is held no longer.
    Duration longest {};
    /// Nine in ten of its kind end within this; empty where none was seen.
    std::optional<Duration> probable {};
};

/// Whether a request that begins now will be over before the process ends. A stopping VM is still sent callers
/// for two seconds, and longer while few others of its data centre are ready. A stream is taken if it will probably
/// end in time: one that is cut is lost, one that is refused at once is served elsewhere. Where nothing is known of
/// streams' lengths they are taken in the first third of the stop. Calls have to end within the time that they may
/// be held.
inline bool may_begin_before_stop(RouteKind kind, ExpectedTime expected, StopTime stop)
{
    if (kind != RouteKind::Stream)
        return stop.left >= expected.longest;
    if (expected.probable)
        return stop.left >= *expected.probable;
    return stop.left * 3 >= stop.whole * 2;
}

}
