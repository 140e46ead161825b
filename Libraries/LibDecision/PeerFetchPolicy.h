// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <cstdint>
#include <optional>

namespace Spurtide {

/// Decides when what a peer knows is fetched from it. News come from the registry to all VMs at nearly the same time;
/// a peer that has them some milliseconds earlier is no reason to have them sent once more. Pure: time is passed in.
class PeerFetchPolicy {
public:
    struct Options {
        /// How long this VM's own source may take to bring what a peer has. A fraction of the time within which news
        /// have to be in force (2 s on today's deployments), of which hearing of them takes half a second.
        Duration source_timeout = milliseconds(300);
        /// How long the peers that watch for this VM may take: a round of their messages and an answer.
        Duration watchers_timeout = milliseconds(600);
        /// Between two fetches: a first one may still be under way.
        Duration fetch_interval = milliseconds(250);
    };

    enum class LocalSource {
        Available,
        /// Others watch for this VM; what one of them knows is asked of that one.
        Watchers,
        /// What a peer knows will not come by itself.
        Unavailable,
    };

    explicit PeerFetchPolicy(Options options)
        : options(options)
    {
    }

    /// A peer told its version. Whether what it knows is to be fetched from it now.
    bool should_fetch(std::int64_t peers_version, std::int64_t own_version, LocalSource source, MonotonicTime now);

private:
    struct Pending {
        std::int64_t version = 0;
        MonotonicTime since;
    };

    Options options;
    std::optional<Pending> pending;
    std::optional<MonotonicTime> last_fetch;
};

}
