// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <LibDecision/UpstreamIncarnation.h>
#include <LibDecision/UpstreamPause.h>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Spurtide {

/// The request rate that an upstream accepts from all VMs together, as it stated at some point in time.
struct UpstreamLimitStatement {
    /// Requests per second; empty if the upstream stated no limit.
    std::optional<double> rate;
    /// For a limit, when it was received. Otherwise, when the request was sent whose response stated none, since
    /// responses to earlier requests may predate the limit.
    MonotonicTime as_of;
    /// Identifies the process that received the statement from the upstream; 0 if unknown.
    std::uint64_t origin = 0;
    /// Orders the statements of one origin, by `as_of` on its clock. Unlike a time that was derived from an age, it does not
    /// depend on how long a message took.
    std::int64_t sequence = 0;
};

/// How much the upstreams are willing to take, as stated in their responses: the latest rate limit statement of each that
/// this VM has received, and the pauses that they requested from this VM. Time is passed in.
class UpstreamLimitTable {
public:
    enum class Change {
        None,
        /// A different limit is in force, or none any more.
        InForce,
    };

    /// Stores the statement unless a newer one is known, or it was merged before. An upstream without a known limit that
    /// states none is not stored.
    Change merge(std::string_view upstream, UpstreamLimitStatement const& statement);

    /// Returns the limit in force in requests per second, if there is one.
    std::optional<double> rate_of(std::string_view upstream) const;
    /// Returns the latest statement, if there is one.
    std::optional<UpstreamLimitStatement> statement_of(std::string_view upstream) const;
    /// Differs between two VMs, barring hash collisions, if they know limits of different upstreams; 0 if there are
    /// none.
    std::uint64_t digest() const;
    /// Calls the function with the name of each upstream that has a statement.
    void for_each(std::function<void(std::string_view)> const& function) const;
    /// Number of upstreams with a limit.
    std::size_t size() const;
    /// Forgets upstreams that are no longer listed. Pauses are kept, as the entries may come back.
    void retain(std::function<bool(std::string_view)> const& is_listed);

    /// Records that the upstream asked this VM to send it no requests for the given time.
    void note_pause(UpstreamIncarnation const& upstream, Duration pause, MonotonicTime now);
    /// Returns the pause of this incarnation; null if it requested none, or it is over.
    UpstreamPause* pause_of(std::string_view upstream, std::int64_t started, MonotonicTime now);
    /// Number of upstreams that are paused, or in the slow start after a pause.
    std::size_t paused_upstreams(MonotonicTime now) const;
    void forget_ended_pauses(MonotonicTime now);

private:
    struct Known {
        UpstreamLimitStatement statement;
        /// The latest sequence of each origin.
        std::map<std::uint64_t, std::int64_t> merged;
    };

    struct IncarnationPause {
        std::int64_t started = 0;
        UpstreamPause pause;
    };

    std::map<std::string, Known, std::less<>> statements;
    std::map<std::string, IncarnationPause, std::less<>> pauses;
};

}
