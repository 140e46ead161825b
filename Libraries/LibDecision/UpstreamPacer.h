// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace Spurtide {

/// Spaces the requests of all VMs to upstreams that named how many they take, on the VM that does so for an upstream. Pure:
/// time is passed in.
///
/// What was not used is not saved up: an upstream in need gets no bursts. A pacer that is new in office begins with a full
/// interval, since another may just have let a request go.
class UpstreamPacer {
public:
    struct Ask {
        /// Requests a second that the upstream takes from those whom this pacer counts; more than 0.
        double rate = 1;
        /// How long the request may wait for its turn where it stands; zero where it would rather go elsewhere.
        Duration longest_wait {};
        /// How long its caller can wait to come back; zero where it does not have to.
        Duration patience {};
    };

    struct Turn {
        enum class Outcome {
            /// The request may be sent after the wait; its turn is kept until then.
            Granted,
            /// No turn comes soon enough. The wait is when one may be free again, behind other callers who were told so.
            Denied,
        } outcome
            = Outcome::Denied;
        Duration wait {};
    };

    Turn take(std::string_view upstream, Ask const& ask, MonotonicTime now);
    /// A granted request was not sent.
    void return_turn(std::string_view upstream, MonotonicTime now);
    /// Forgets upstreams that have no limit any more.
    void retain(std::function<bool(std::string_view)> const& is_limited);

private:
    struct Entry {
        Duration interval {};
        /// When the next turn is free.
        MonotonicTime next;
        /// When the caller comes back who was told the latest time.
        MonotonicTime last_retry;
    };

    std::map<std::string, Entry, std::less<>> entries;
};

}
