// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/UpstreamPause.h>
#include <algorithm>
#include <bit>

namespace Spurtide {

void UpstreamPause::extend(MonotonicTime new_end)
{
    if (new_end <= this->end)
        return;
    this->end = new_end;
    this->sends = 0;
}

// By the nth step, 2^n requests may have been sent.
MonotonicTime UpstreamPause::time_of_send(std::uint64_t number) const
{
    return this->end + STEP * std::min(static_cast<int>(std::bit_width(number)), STEPS);
}

Duration UpstreamPause::time_left(MonotonicTime now) const
{
    return std::max(Duration::zero(), std::chrono::duration_cast<Duration>(this->time_of_send(this->sends) - now));
}

void UpstreamPause::note_sent(MonotonicTime now)
{
    if (now >= this->end)
        ++this->sends;
}

Duration UpstreamPause::assign_retry(MonotonicTime now)
{
    this->next_assigned = std::max(this->next_assigned, this->sends);
    return std::max(Duration::zero(), std::chrono::duration_cast<Duration>(this->time_of_send(this->next_assigned++) - now));
}

bool UpstreamPause::is_over(MonotonicTime now) const { return now >= this->end + STEP * STEPS; }

}
