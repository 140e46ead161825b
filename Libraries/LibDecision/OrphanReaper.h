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

/// Finds work that an engine holds for nobody. Work is cancelled only when its origin disowned it,
/// or when the origin's incarnation is dead and no reader has taken the stream for a grace time.
class OrphanReaper {
public:
    struct Options {
        /// Time for a caller to come back, through another VM, for the work of a dead origin.
        Duration dead_origin_grace = seconds(2);
        /// Time before an origin is asked about work that the keeper did not grant.
        Duration question_delay = seconds(1);
        /// Time between two questions about the same work.
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

    /// Takes one engine's whole list of held work.
    Findings observe(std::string_view engine, std::span<HeldWork const> held, std::function<bool(std::string_view origin)> const& is_alive, MonotonicTime now);

    /// The origin said that the work is not its own any more.
    void note_disowned(std::string_view engine, std::string_view request);

private:
    struct Key {
        std::string engine;
        std::string request;
        bool operator<(Key const& other) const { return std::tie(this->engine, this->request) < std::tie(other.engine, other.request); }
    };

    struct Watch {
        MonotonicTime first_seen;
        /// Since when the origin has been dead and nobody has read.
        std::optional<MonotonicTime> orphaned_since;
        std::optional<MonotonicTime> asked_at;
        bool disowned = false;
    };

    Options options;
    std::map<Key, Watch> watches;
};

}
