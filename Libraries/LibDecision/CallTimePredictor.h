// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibDecision/CallPlaces.h>
#include <LibDecision/WaitingCalls.h>

namespace Spurtide {

/// Predicts how long calls wait and when they are answered, from the calls ahead of them and the measured service times.
class CallTimePredictor {
public:
    struct Prediction {
        /// Until a place is granted.
        Duration wait {};
        /// From the grant to the response, usually.
        Duration service {};

        Duration total() const { return this->wait + this->service; }
    };

    CallTimePredictor(CallPlaces const& places, WaitingCalls const& waiting)
        : places(places)
        , waiting(waiting)
    {
    }

    /// The call has to be among the waiting ones.
    Prediction predict(WaitingCall const& call, MonotonicTime now) const;
    /// The last moment at which a call can be granted a place and be answered before its timeout. At least half of the time may be
    /// spent waiting, so that no measurement, however wrong, refuses calls to an idle service.
    MonotonicTime last_start(CallAsk const& ask, MonotonicTime asked_at, MonotonicTime now) const;
    /// The last moment at which it can be granted a place and have a chance to be answered within its latency target.
    MonotonicTime last_start_on_time(CallAsk const& ask, MonotonicTime asked_at, MonotonicTime now) const;
    /// The last moment at which it can be granted a place and will almost certainly be answered within its latency target.
    MonotonicTime last_likely_start(CallAsk const& ask, MonotonicTime asked_at, MonotonicTime now) const;

private:
    CallPlaces const& places;
    WaitingCalls const& waiting;
};

}
