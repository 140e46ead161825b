// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <LibRouter/UpstreamUse.h>

namespace Spurtide {

UpstreamUse::UpstreamUse(ReachabilityProber const& prober, UpstreamRecord const& upstream, std::shared_ptr<HttpConnection> const& connection, OutOfReach out_of_reach)
    : record(upstream)
    , began(monotonic_now())
    , tracker(prober.tracker())
    , watched(prober.watched())
    , watch(this->watched->end())
{
    this->tracker->note_sent(upstream.identity, upstream.data_centre, this->began);
    if (out_of_reach == OutOfReach::BreakOff)
        this->watch = this->watched->emplace(upstream.identity, connection);
}

UpstreamUse::~UpstreamUse()
{
    if (this->watch != this->watched->end())
        this->watched->erase(this->watch);
    this->tracker->note_finished(this->record.identity);
}

void UpstreamUse::note_heard()
{
    this->tracker->note_response(this->record.identity, monotonic_now());
}

}
