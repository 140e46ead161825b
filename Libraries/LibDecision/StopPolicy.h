// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <LibDecision/RouteTable.h>

namespace Spurtide {

/// How far a planned stop has come.
struct StopTime {
    /// Until this process ends.
    Duration left {};
    /// From the stop's begin to the process's end.
    Duration whole {};
};

/// Whether a request that begins now will be over before the process ends. A stopping VM is still sent callers
/// while few others of its data centre are ready. Streams, whose length is not known, are taken in the first
/// third of the stop only; what is taken later has to end within the time that it may be held.
inline bool may_begin_before_stop(RouteKind kind, Duration longest, StopTime stop)
{
    if (kind == RouteKind::Stream)
        return stop.left * 3 >= stop.whole * 2;
    return stop.left >= longest;
}

}
