// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/PeerNewsTracker.h>

namespace Spurtide {

bool PeerNewsTracker::should_fetch(std::int64_t peers_version, std::int64_t own_version, OwnSource source, MonotonicTime now)
{
    if (this->awaited && own_version >= this->awaited->version)
        this->awaited.reset();
    if (peers_version <= own_version)
        return false;
    if (!this->awaited)
        this->awaited = Awaited { peers_version, now };
    auto const waited = now - this->awaited->since;
    bool const may_come_by_itself = (source == OwnSource::Well && waited < this->options.patience)
        || (source == OwnSource::Watchers && waited < this->options.patience_with_watchers);
    bool const is_under_way = this->last_fetch && now - *this->last_fetch < this->options.fetch_interval;
    if (may_come_by_itself || is_under_way)
        return false;
    this->last_fetch = now;
    return true;
}

}
