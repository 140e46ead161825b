// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibDecision/SharedRetryBudget.h>
#include <vector>

namespace Spurtide {

/// Counts the arrivals of one request at its service, and charges them to the service's retry budget.
///
/// Everything that is sent arrives, refused or not, except for the first prefill that an engine accepts. The first
/// arrival is the request itself; each further one is charged before it is sent, whatever preceded it. Charging by the
/// outcome of the previous send missed what follows a refused prefill: of 79 extra arrivals in ten seconds at engines
/// that refuse six in ten requests, only 46 were charged.
class SendAccounting {
public:
    enum class Send {
        Prefill,
        Run,
    };

    enum class PrefillOutcome {
        Accepted,
        /// Refused, or not answered, in which case it may have been refused.
        NotAccepted,
    };

    explicit SendAccounting(SharedRetryBudget& budget)
        : budget(budget)
    {
    }

    /// Returns the extra sends that have to be charged before this one. For a prefill this includes the run that
    /// follows it, so that no prompt is processed for a run that the budget does not cover.
    std::size_t uncharged(Send send) const;
    /// Whether the budget covers all of them now.
    bool can_charge(Send send, double part, MonotonicTime now) const;
    /// Charges them to the budget; returns false if the budget does not cover all of them.
    bool try_charge(Send send, double part, MonotonicTime now);

    /// Records that a run is sent or that a prefill ended. Both have to be charged first.
    void note_run(MonotonicTime now) { this->note_arrival(now); }
    void note_prefill(PrefillOutcome end, MonotonicTime now);
    /// Records that the run noted last did not arrive after all; its charge may be used for another.
    void note_not_delivered(MonotonicTime now);

    /// Refunds charges that were not used. Has to be called at the end of the request.
    void refund_unused();

private:
    void note_arrival(MonotonicTime now);

    SharedRetryBudget& budget;
    std::size_t arrivals = 0;
    bool has_prefilled = false;
    /// When each of the unused charges was made.
    std::vector<MonotonicTime> unused;
};

}
