// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/SilencePolicy.h>
#include <algorithm>

namespace Spurtide {

Duration SilencePolicy::shortest_silence(SilentRequest const& request) const
{
    auto const shortest = request.alternative == SilentRequest::Alternative::ThroughRelay ? this->options.silence_before_relay : this->options.silence;
    auto const worth_waiting = request.caller_patience ? *request.caller_patience - request.time_elsewhere : request.usual_wait;
    return std::max(shortest, worth_waiting);
}

}
