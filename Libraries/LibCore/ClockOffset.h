// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>

namespace Spurtide {

/// For tests alone: sets what monotonic_now() adds to the system's clock, as if the machine had been suspended for so long.
void set_clock_offset_for_tests(Duration offset);

}
