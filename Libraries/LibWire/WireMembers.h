// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibDecision/MembershipTable.h>
#include <LibWire/Spurtide.pb.h>

namespace Spurtide {

/// Conversions between the decision library's membership types and their wire form.
void write_record(MemberRecord const& record, wire::MemberRecord& message);
MemberRecord read_record(wire::MemberRecord const& message);
void write_digest(MemberDigest const& digest, wire::MemberDigest& message);
MemberDigest read_digest(wire::MemberDigest const& message);

}
