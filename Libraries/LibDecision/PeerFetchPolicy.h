// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <LibDecision/StorePosition.h>
#include <cstdint>
#include <optional>

namespace Spurtide {

struct PeerFetchOptions {
    /// How long this VM's own source may take to deliver what a peer already has. This is a fraction of the
    /// propagation deadline (2 s in current deployments), of which learning about the new version takes half a
    /// second.
    Duration source_timeout = milliseconds(300);
    /// How long the watchers that relay to this VM may take: one round of their messages and a response.
    Duration watchers_timeout = milliseconds(600);
    /// Minimum interval between two fetches, as the first may still be in progress.
    Duration fetch_interval = milliseconds(250);
};

/// Where newer state comes from if it is not fetched from a peer.
enum class LocalSource {
    Available,
    /// Other VMs watch the registry for this one; a version that a watcher has is fetched from that watcher.
    Watchers,
    /// Newer state will not arrive unless it is fetched.
    Unavailable,
};

/// Decides when to fetch newer state from a peer. The registry notifies all VMs at nearly the same time, so a peer that
/// is a few milliseconds ahead is no reason to transfer the state a second time. Time is passed in. Versions are numbers of the
/// configuration, or positions in the store.
template<typename Version>
class PeerFetchPolicy {
public:
    explicit PeerFetchPolicy(PeerFetchOptions options)
        : options(options)
    {
    }

    /// Returns whether to fetch from a peer that announced its version.
    bool should_fetch(Version peers_version, Version own_version, LocalSource source, MonotonicTime now);

private:
    struct Pending {
        Version version {};
        MonotonicTime since;
    };

    PeerFetchOptions options;
    std::optional<Pending> pending;
    std::optional<MonotonicTime> last_fetch;
};

extern template class PeerFetchPolicy<std::int64_t>;
extern template class PeerFetchPolicy<StorePosition>;

}
