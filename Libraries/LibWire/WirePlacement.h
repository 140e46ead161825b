// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibDecision/CellScheduler.h>
#include <LibWire/Spurtide.pb.h>
#include <optional>

namespace Spurtide {

/// Conversions between the scheduler's types and their wire form. What a later version may send and this one
/// does not know is read as the first of its kind.
wire::RefusalReason wire_reason(RefusalReason reason);
RefusalReason read_reason(wire::RefusalReason reason);
wire::GrantProgress wire_progress(GrantProgress progress);
GrantProgress read_progress(wire::GrantProgress progress);
wire::MoveEnd wire_move_end(MoveEnd end);
/// Empty for a message that does not report the end of a move.
std::optional<MoveEnd> read_move_end(wire::MoveEnd end);

}
