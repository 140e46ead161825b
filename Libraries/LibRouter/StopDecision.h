// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibRouter/RouterState.h>

namespace Spurtide {

/// What a stopping process did with a request.
enum class StopDecision {
    /// Sent it to an upstream.
    Sent,
    /// Refused it before it ran.
    Refused,
    /// Ended it at the exit.
    Interrupted,
};

void count_stop_decision(RouterState& state, StopDecision decision, CallerRequest const& request);

}
