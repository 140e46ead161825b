// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <LibDecision/RouteTable.h>
#include <optional>

namespace Spurtide {

/// The progress of a planned stop.
struct StopProgress {
    /// Time until this process exits.
    Duration remaining {};
    /// Time from the beginning of the stop to the exit.
    Duration total {};
};

/// The expected duration of a request, as far as it is known in advance.
struct ExpectedDuration {
    /// The timeout of the request.
    Duration maximum {};
    /// The 90th percentile of similar requests; empty if there is no data.
    std::optional<Duration> percentile_90 {};
};

/// Whether a request that begins now is expected to end before the process exits. A stopping VM still receives clients
/// for two seconds, and longer while few other VMs of its data centre are ready. A stream is accepted if it will
/// probably end in time: one that is interrupted is lost, while one that is refused at once is served elsewhere. If no
/// durations are known, streams are accepted during the first third of the stop. Other requests have to end within
/// their timeout.
inline bool may_begin_before_stop(RouteKind kind, ExpectedDuration expected, StopProgress stop)
{
    if (kind != RouteKind::Stream)
        return stop.remaining >= expected.maximum;
    if (expected.percentile_90)
        return stop.remaining >= *expected.percentile_90;
    return stop.remaining * 3 >= stop.total * 2;
}

}
