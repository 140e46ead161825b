// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <cstdint>
#include <string>

namespace Spurtide {

/// One incarnation of an upstream. A restart under the same identity is a new incarnation.
struct UpstreamIncarnation {
    std::string identity;
    /// Start time in milliseconds since the epoch; 0 if the upstream does not report it.
    std::int64_t started = 0;

    auto operator<=>(UpstreamIncarnation const&) const = default;
};

}
