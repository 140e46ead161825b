// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibDecision/StorePosition.h>

namespace Spurtide::Tests {

/// A position of a store that was never restored.
constexpr StorePosition operator""_v(unsigned long long version) { return { 0, static_cast<std::int64_t>(version) }; }

}
