// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Verify.h>
#include <LibDecision/SendAccounting.h>
#include <algorithm>
#include <utility>

namespace Spurtide {

std::size_t SendAccounting::uncharged(Send send) const
{
    // A first prefill is either accepted, and then the run that follows it arrives, or refused, and then it arrives
    // itself.
    std::size_t const more = send == Send::Prefill && this->has_prefilled ? 2 : 1;
    auto const beyond_first = this->arrivals == 0 ? more - 1 : more;
    return beyond_first - std::min(beyond_first, this->unused.size());
}

bool SendAccounting::can_charge(Send send, double part, MonotonicTime now) const
{
    auto const count = this->uncharged(send);
    return count == 0 || this->budget.can_take(count, part, now);
}

bool SendAccounting::try_charge(Send send, double part, MonotonicTime now)
{
    auto const count = this->uncharged(send);
    if (count > 0 && !this->budget.try_take(count, part, now))
        return false;
    this->unused.insert(this->unused.end(), count, now);
    return true;
}

void SendAccounting::note_prefill(PrefillOutcome end, MonotonicTime now)
{
    if (end == PrefillOutcome::Accepted && !std::exchange(this->has_prefilled, true))
        return;
    this->note_arrival(now);
}

void SendAccounting::note_arrival(MonotonicTime now)
{
    if (this->arrivals++ == 0)
        return;
    VERIFY(!this->unused.empty());
    this->budget.restart_window(this->unused.back(), now);
    this->unused.pop_back();
}

void SendAccounting::note_not_delivered(MonotonicTime now)
{
    VERIFY(this->arrivals > 0);
    if (--this->arrivals > 0)
        this->unused.push_back(now);
}

void SendAccounting::refund_unused()
{
    for (auto const taken_at : this->unused)
        this->budget.refund(taken_at);
    this->unused.clear();
}

}
