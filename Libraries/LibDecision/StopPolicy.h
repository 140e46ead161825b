// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <LibDecision/RouteTable.h>
#include <optional>

namespace Spurtide {

/// How far a planned stop has come.
struct StopProgress {
    /// Until this process ends.
    Duration remaining {};
    /// From the stop's begin to the process's end.
    Duration total {};
};

/// How long a request takes, as far as that is known before it begins.
struct ExpectedTime {
    /// It is held no longer.
    Duration maximum {};
    /// Nine in ten of its kind end within this; empty where none was seen.
    std::optional<Duration> probable {};
};

/// Whether a request that begins now will be over before the process ends. A stopping VM is still sent callers
/// for two seconds, and longer while few others of its data centre are ready. A stream is taken if it will probably
/// end in time: one that is cut is lost, one that is refused at once is served elsewhere. Where nothing is known of
/// streams' lengths they are taken in the first third of the stop. Calls have to end within the time that they may
/// be held.
inline bool may_begin_before_stop(RouteKind kind, ExpectedTime expected, StopProgress stop)
{
    if (kind != RouteKind::Stream)
        return stop.remaining >= expected.maximum;
    if (expected.probable)
        return stop.remaining >= *expected.probable;
    return stop.remaining * 3 >= stop.total * 2;
}

}
