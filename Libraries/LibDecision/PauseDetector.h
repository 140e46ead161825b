// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <optional>

namespace Spurtide {

/// Tells whether a process stood still a moment ago. What it reads then was sent while it stood still, by senders
/// that have mostly given up. Pure: time is passed in, at each turn of the process's loop.
class PauseDetector {
public:
    struct Options {
        /// A process whose slowest timer runs each 500 ms and that takes no turn for so long stood still.
        Duration pause_threshold = milliseconds(1000);
        /// How long it takes at most to read what came meanwhile.
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
