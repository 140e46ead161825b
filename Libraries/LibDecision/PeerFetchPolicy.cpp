// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/PeerFetchPolicy.h>

namespace Spurtide {

template<typename Version>
bool PeerFetchPolicy<Version>::should_fetch(Version peers_version, Version own_version, LocalSource source, MonotonicTime now)
{
    if (this->pending && own_version >= this->pending->version)
        this->pending.reset();
    if (peers_version <= own_version)
        return false;
    if (!this->pending)
        this->pending = Pending { peers_version, now };
    auto const waited = now - this->pending->since;
    bool const may_come_by_itself = (source == LocalSource::Available && waited < this->options.source_timeout)
        || (source == LocalSource::Watchers && waited < this->options.watchers_timeout);
    bool const is_under_way = this->last_fetch && now - *this->last_fetch < this->options.fetch_interval;
    if (may_come_by_itself || is_under_way)
        return false;
    this->last_fetch = now;
    return true;
}

template class PeerFetchPolicy<std::int64_t>;
template class PeerFetchPolicy<StorePosition>;

}
