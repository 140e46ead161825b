// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/PauseDetector.h>

namespace Spurtide {

void PauseDetector::note_turn(MonotonicTime now)
{
    if (this->last_turn && now - *this->last_turn >= this->options.longest_turn)
        this->woke_at = now;
    this->last_turn = now;
}

bool PauseDetector::is_catching_up(MonotonicTime now) const
{
    return this->woke_at && now - *this->woke_at < this->options.catching_up;
}

}
