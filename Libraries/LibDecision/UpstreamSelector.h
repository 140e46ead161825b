// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Spurtide {

/// An upstream of a plain service that could take a request.
struct SelectableUpstream {
    std::string_view identity;
    std::int64_t slots = 1;
    enum class Place {
        SameDataCentre,
        Elsewhere,
    } place
        = Place::SameDataCentre;
};

/// How one send to an upstream turned out.
enum class UpstreamOutcome {
    Succeeded,
    /// It is full: healthy, but not to be filled further just now.
    Full,
    /// It did not answer, or not with a whole answer.
    Failed,
};

/// Chooses among the upstreams of plain services by what this VM sent and got back, and leaves out those that
/// fail for a time that doubles. Never leaves out more than half of a service's upstreams.
class UpstreamSelector {
public:
    struct Options {
        /// Consecutive bad outcomes that leave an upstream out.
        int failures_before_ejection = 3;
        Duration first_ejection = milliseconds(1000);
        Duration maximum_ejection = seconds(8);
        /// A full upstream gets nothing for so long, while others have room.
        Duration full_backoff = milliseconds(150);
        /// Weight of a new sample in the mean time of an answer.
        double smoothing = 0.15;
        /// Cost of an upstream in another data centre, as time.
        Duration remote_penalty = milliseconds(4);
    };

    explicit UpstreamSelector(Options options)
        : options(options)
    {
    }

    /// Picks the upstream with the least expected time; empty where there is none.
    std::optional<std::size_t> choose(std::span<SelectableUpstream const> upstreams, MonotonicTime now);

    void note_sent(std::string_view identity);
    void note_end(std::string_view identity, UpstreamOutcome outcome, Duration took, MonotonicTime now);
    /// Forgets upstreams that are no more listed.
    void retain(std::function<bool(std::string_view)> const& is_listed);

    std::int64_t in_flight(std::string_view identity) const;
    bool is_ejected(std::string_view identity, MonotonicTime now) const;

private:
    struct Known {
        std::int64_t in_flight = 0;
        int failures_in_a_row = 0;
        int ejections = 0;
        MonotonicTime ejected_until;
        MonotonicTime full_until;
        double mean_seconds = 0;
        /// One request at a time tries an upstream that was left out.
        bool needs_trial = false;
    };

    double expected_seconds(SelectableUpstream const& upstream, Known const& known) const;

    Options options;
    std::map<std::string, Known, std::less<>> known;
    std::uint64_t turn = 0;
};

}
