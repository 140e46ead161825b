// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibRouter/RouterState.h>
#include <string_view>

namespace Spurtide {

/// Records what an upstream states about itself in a response: that it is leaving, or that this VM should pause. The request
/// is named in the log; it is empty for calls of the router itself.
void record_upstream_statements(RouterState& state, UpstreamRecord const& upstream, ResponseInfo const& info, int status, std::string_view request);

}
