// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibDecision/UpstreamList.h>
#include <LibWire/Spurtide.pb.h>

namespace Spurtide {

/// Conversions between the decision library's upstreams and their wire form.
void write_upstream(UpstreamRecord const& record, wire::UpstreamEntry& message);
UpstreamRecord read_upstream(wire::UpstreamEntry const& message);
void write_listing(UpstreamListing const& listing, wire::UpstreamsContent& message);
UpstreamListing read_listing(wire::UpstreamsContent const& message);
void write_evacuations(EvacuationTable const& book, google::protobuf::RepeatedPtrField<wire::Evacuation>& messages);
EvacuationUpdate read_evacuations(google::protobuf::RepeatedPtrField<wire::Evacuation> const& messages);

}
