// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <LibRouter/InFlightRequest.h>

namespace Spurtide {

InFlightRequest::InFlightRequest(ReachabilityProber const& prober, UpstreamRecord const& upstream, std::string request, std::shared_ptr<HttpConnection> const& connection, MayAbandon may_abandon)
    : record(upstream)
    , sent_at(monotonic_now())
    , tracker(prober.tracker())
    , watched(prober.watched())
    , watch_position(this->watched->end())
{
    this->tracker->note_sent(upstream.identity, upstream.data_centre, this->sent_at);
    if (may_abandon)
        this->watch_position = this->watched->emplace(upstream.identity, ReachabilityProber::WatchedRequest { std::move(request), connection, std::move(may_abandon) });
}

InFlightRequest::~InFlightRequest()
{
    if (this->watch_position != this->watched->end())
        this->watched->erase(this->watch_position);
    this->tracker->note_finished(this->record.identity);
}

void InFlightRequest::note_received()
{
    this->tracker->note_response(this->record.identity, monotonic_now());
}

}
