// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <optional>

namespace Spurtide {

/// Sheds load of an overloaded VM by closing new connections before their requests are read: their callers try another VM, and
/// the requests that were read are still answered in time. Driven by how late the event loop runs its timers.
class ConnectionAdmission {
public:
    struct Options {
        /// A loop with less delay keeps up.
        Duration delay_limit = milliseconds(50);
        /// The delay has to last for so long. A burst or a pause of the process delays single timers.
        Duration overloaded_after = milliseconds(400);
        /// An overloaded VM still accepts one connection in this time: where a balancer gives all of them to this VM, a caller would
        /// otherwise not be served at all.
        Duration accept_interval = milliseconds(250);
    };

    explicit ConnectionAdmission(Options options)
        : options(options)
    {
    }

    /// Call regularly with the time by which a timer of the event loop was late.
    void note_loop_delay(Duration delay, MonotonicTime now);
    /// By the delays noted so far.
    bool is_overloaded() const { return this->overloaded; }
    /// Whether to accept one new connection.
    bool try_accept(MonotonicTime now);

private:
    Options options;
    /// Since when each delay has been above the limit; empty if the last one was not.
    std::optional<MonotonicTime> delayed_since;
    bool overloaded = false;
    std::optional<MonotonicTime> last_accepted;
};

}
