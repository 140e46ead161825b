// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <string_view>

namespace Spurtide {

/// Why the platform did not do what was asked.
enum class PlatformError {
    /// Nothing was sent: the platform cannot be reached.
    Unreachable,
    /// The answer was lost; a write may have taken effect.
    InDoubt,
    /// The platform said that it does nothing now.
    Unavailable,
    /// A condition on the present version did not hold; nothing was written.
    Conflict,
    NotFound,
    /// The answer was not of the agreed form.
    Malformed,
    /// What changed since is no longer known; the whole has to be read again.
    HistoryGone,
};

std::string_view to_string(PlatformError error);

}
