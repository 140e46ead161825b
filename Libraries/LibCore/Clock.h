// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>

namespace Spurtide {

inline MonotonicTime monotonic_now() { return MonotonicClock::now(); }

/// Milliseconds since the Unix epoch by the wall clock.
std::int64_t unix_milliseconds();

}
