// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibDecision/CallQueue.h>
#include <LibWire/Spurtide.pb.h>

namespace Spurtide {

/// Conversions between the queue's types and their wire form. An unknown refusal reason, as a later version may send, is read
/// as NoUpstream, and an unknown outcome as Unused.
wire::CallRefusalReason wire_reason(CallRefusalReason reason);
CallRefusalReason read_reason(wire::CallRefusalReason reason);
wire::CallOutcome wire_outcome(CallOutcome outcome);
CallOutcome read_outcome(wire::CallOutcome outcome);

}
