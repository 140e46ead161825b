// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/ConnectionAdmission.h>

namespace Spurtide {

void ConnectionAdmission::note_loop_delay(Duration delay, MonotonicTime now)
{
    if (delay <= this->options.delay_limit)
        this->delayed_since.reset();
    else if (!this->delayed_since)
        this->delayed_since = now;
    this->overloaded = this->delayed_since && now - *this->delayed_since >= this->options.overloaded_after;
}

bool ConnectionAdmission::try_accept(MonotonicTime now)
{
    bool const is_due = !this->last_accepted || now - *this->last_accepted >= this->options.accept_interval;
    if (this->overloaded && !is_due)
        return false;
    this->last_accepted = now;
    return true;
}

}
