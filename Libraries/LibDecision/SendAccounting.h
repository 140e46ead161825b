// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibDecision/SharedRetryBudget.h>
#include <vector>

namespace Spurtide {

/// What of one request arrives at its service, and what of that the service's retry budget was charged.
///
/// All that is sent arrives, refused or not, but for the first prefill that an engine takes up. The first arrival is
/// the request itself; each further one is paid for before it leaves, whatever came before it. Charging by what the
/// last send had been left out what follows a refused prefill: of 79 extra arrivals in ten seconds at engines that
/// refuse six in ten of what they get, 46 were charged.
class SendAccounting {
public:
    enum class Send {
        Prefill,
        Run,
    };

    enum class PrefillOutcome {
        Accepted,
        /// Refused, or without an answer: it may have been refused.
        NotAccepted,
    };

    explicit SendAccounting(SharedRetryBudget& budget)
        : budget(budget)
    {
    }

    /// Extra sends that have to be taken from the budget before this may leave: for a prefill those of the run behind it
    /// as well, so that no prompt is read for a run that the budget has nothing for.
    std::size_t uncharged(Send send) const;
    /// Takes them; false where the budget has not all of them.
    bool try_charge(Send send, double part, MonotonicTime now);

    /// Call when a run leaves, and when a prefill ended. Both have to be paid for.
    void note_run(MonotonicTime now) { this->note_arrival(now); }
    void note_prefill(PrefillOutcome end, MonotonicTime now);

    /// Gives back what was paid and not used. Call at the request's end.
    void refund_unused();

private:
    void note_arrival(MonotonicTime now);

    SharedRetryBudget& budget;
    std::size_t arrivals = 0;
    bool has_prefilled = false;
    /// When each of those that are not used yet was taken.
    std::vector<MonotonicTime> unused;
};

}
