// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>

namespace Spurtide::Tests {

/// Looks at a condition until it holds. The time only bounds a failure; a pass never depends on it.
inline bool eventually(std::function<bool()> const& condition, Duration limit = seconds(20))
{
    std::mutex mutex;
    std::condition_variable never;
    auto const until = std::chrono::steady_clock::now() + limit;
    std::unique_lock lock(mutex);
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= until)
            return false;
        never.wait_for(lock, milliseconds(5));
    }
    return true;
}

}
