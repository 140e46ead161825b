// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibDecision/UpstreamLimitTable.h>
#include <LibWire/Spurtide.pb.h>
#include <string_view>

namespace Spurtide {

/// Writes what the book knows of the upstream, with its age in the place of a time that only this VM's clock has; nothing
/// but the name where it knows nothing.
void write_statement(std::string_view upstream, UpstreamLimitTable const& book, MonotonicTime now, wire::UpstreamLimitStatement& message);

/// Takes what another VM tells, unless it makes no sense.
UpstreamLimitTable::Change take_statement(wire::UpstreamLimitStatement const& message, UpstreamLimitTable& book, MonotonicTime now);

}
