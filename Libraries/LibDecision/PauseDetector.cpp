// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/PauseDetector.h>

namespace Spurtide {

void PauseDetector::note_iteration(MonotonicTime now)
{
    if (this->last_iteration && now - *this->last_iteration >= this->options.pause_threshold)
        this->resumed_at = now;
    this->last_iteration = now;
}

bool PauseDetector::is_catching_up(MonotonicTime now) const
{
    return this->resumed_at && now - *this->resumed_at < this->options.catch_up_time;
}

}
