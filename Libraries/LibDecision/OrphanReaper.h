// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <LibDecision/CellScheduler.h>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace Spurtide {

/// Finds requests that an engine holds for no one. A request is only cancelled if its origin disowned it, or if the
/// origin's incarnation is dead and no reader has been attached for a grace period.
class OrphanReaper {
public:
    struct Options {
        /// Time for callers to resume the requests of a dead origin through another VM.
        Duration dead_origin_grace = seconds(2);
        /// Delay before an origin is queried about a request that this keeper did not grant.
        Duration question_delay = seconds(1);
        /// Interval between queries about the same request.
        Duration question_interval = seconds(1);
    };

    explicit OrphanReaper(Options options)
        : options(options)
    {
    }

    struct Question {
        std::string origin;
        std::string engine;
        std::string request;
    };

    struct Cancellation {
        std::string engine;
        std::string request;
        std::string_view reason;
    };

    struct Findings {
        std::vector<Question> questions;
        std::vector<Cancellation> cancellations;
    };

    /// Processes the complete list of requests held by an engine.
    Findings observe(std::string_view engine, std::span<HeldWork const> held, std::function<bool(std::string_view origin)> const& is_alive, MonotonicTime now);

    /// Records that the origin no longer owns the request.
    void note_disowned(std::string_view engine, std::string_view request);

private:
    struct Key {
        std::string engine;
        std::string request;
        bool operator<(Key const& other) const { return std::tie(this->engine, this->request) < std::tie(other.engine, other.request); }
    };

    struct Watch {
        MonotonicTime first_seen;
        /// Since when the origin has been dead and no reader has been attached.
        std::optional<MonotonicTime> orphaned_since;
        std::optional<MonotonicTime> asked_at;
        bool disowned = false;
    };

    Options options;
    std::map<Key, Watch> watches;
};

}
