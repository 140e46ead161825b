// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>

namespace Spurtide::Tests {

/// A moment of virtual time, in milliseconds after an arbitrary start.
constexpr MonotonicTime at_milliseconds(std::int64_t count)
{
    return MonotonicTime(seconds(1000) + milliseconds(count));
}

}
