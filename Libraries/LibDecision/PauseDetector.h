// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <optional>

namespace Spurtide {

/// Detects whether the process was paused a moment ago. The messages it reads right after a pause are stale: most of
/// their senders have already timed out. Time is passed in with each iteration of the event loop.
class PauseDetector {
public:
    struct Options {
        /// A process whose slowest timer fires every 500 ms was paused if no iteration ran for this long.
        Duration pause_threshold = milliseconds(1000);
        /// The longest time it takes to read the messages that queued up during the pause.
        Duration catch_up_time = milliseconds(100);
    };

    explicit PauseDetector(Options options)
        : options(options)
    {
    }

    void note_iteration(MonotonicTime now);
    bool is_catching_up(MonotonicTime now) const;

private:
    Options options;
    std::optional<MonotonicTime> last_iteration;
    std::optional<MonotonicTime> resumed_at;
};

}
