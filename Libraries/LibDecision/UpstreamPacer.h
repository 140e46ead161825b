// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace Spurtide {

/// Paces the requests of all VMs to rate-limited upstreams, on the VM that is responsible for the upstream. Time is
/// passed in.
///
/// Unused turns do not accumulate, as an overloaded upstream must not receive bursts. A new pacer starts with a full
/// interval, since its predecessor may just have granted a turn.
class UpstreamPacer {
public:
    struct Ask {
        /// Requests per second that the upstream accepts from the VMs counted by this pacer; greater than 0.
        double rate = 1;
        /// How long the request can wait for its turn; zero if it prefers another upstream.
        Duration longest_wait {};
        /// How long the client can wait before it retries; zero if it does not need to.
        Duration patience {};
    };

    struct Turn {
        enum class Outcome {
            /// The request may be sent after the wait. Its turn is reserved until then.
            Granted,
            /// No turn is available soon enough. The wait is when one may be available, after other clients that were
            /// told to retry.
            Denied,
        } outcome
            = Outcome::Denied;
        Duration wait {};
    };

    Turn take(std::string_view upstream, Ask const& ask, MonotonicTime now);
    /// Returns the turn of a granted request that was not sent.
    void return_turn(std::string_view upstream, MonotonicTime now);
    /// Forgets upstreams that are no longer limited.
    void retain(std::function<bool(std::string_view)> const& is_limited);

private:
    struct Entry {
        Duration interval {};
        /// When the next turn is available.
        MonotonicTime next;
        /// The latest time at which a client was told to retry.
        MonotonicTime last_retry;
    };

    std::map<std::string, Entry, std::less<>> entries;
};

}
