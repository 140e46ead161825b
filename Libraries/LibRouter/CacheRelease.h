// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibRouter/RouterState.h>
#include <string>

namespace Spurtide {

/// Asks the engine that holds a cache to free it, without waiting for the answer. Does nothing if the handle is empty.
void free_cache(RouterState& state, UpstreamRecord const& holder, std::string const& handle);

}
