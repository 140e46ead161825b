// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Spurtide {

/// An upstream and where it is.
struct UpstreamLocation {
    std::string identity;
    std::string data_centre;
};

/// What one VM knows of which upstreams it can reach. An upstream that leaves requests without any answer for a
/// while is probed by a connection; one to which no connection can be made gets no requests, and is probed until
/// one can. Where several of another data centre cannot be reached and none of it answers, all of it counts as
/// cut off. Pure: time is passed in, and probes are made by whoever asks for them.
class ReachabilityTracker {
public:
    struct Options {
        /// Silence, while requests wait, after which an upstream is probed. Longer than most answers take.
        Duration silence = milliseconds(300);
        /// Time between two probes of one upstream.
        Duration probe_interval = milliseconds(300);
        /// A data centre of which something answered so lately is not cut off.
        Duration data_centre_silence = milliseconds(300);
        /// Upstreams of a data centre that have to be out of reach before all of it counts as cut off.
        std::size_t data_centre_failures = 2;
        /// Upstreams of a cut data centre, beside the known ones, that are probed in each round.
        std::size_t partition_probes = 1;
    };

    ReachabilityTracker(Options options, std::string own_data_centre);

    void note_sent(std::string_view identity, std::string_view data_centre, MonotonicTime now);
    /// Something came from the upstream, be it a part of an answer.
    void note_heard(std::string_view identity, MonotonicTime now);
    /// A request to it is over, however it ended.
    void note_finished(std::string_view identity);

    void note_probe(std::string_view identity, MonotonicTime now);
    void note_reached(std::string_view identity, std::string_view data_centre, MonotonicTime now);
    void note_unreachable(std::string_view identity, std::string_view data_centre, MonotonicTime now);

    enum class Isolation {
        None,
        /// No VM of another data centre answers.
        OwnDataCentre,
    };
    /// What else is known of cuts. A data centre counts as cut off from then on, until something of it answers.
    void set_isolation(Isolation isolation, MonotonicTime now);

    bool is_reachable(std::string_view identity, std::string_view data_centre, MonotonicTime now) const;
    bool is_cut_off(std::string_view data_centre, MonotonicTime now) const;
    bool is_any_cut_off(MonotonicTime now) const;
    /// The upstreams that are to be probed now since they are silent or out of reach.
    std::vector<std::string> due_probes(MonotonicTime now) const;
    /// Of data centres that count as cut off, others that are to be probed: something has to tell when one is back.
    std::vector<std::string> due_partition_probes(std::span<UpstreamLocation const> upstreams, MonotonicTime now);
    /// Forgets upstreams that are no more listed and have nothing in flight.
    void retain(std::function<bool(std::string_view)> const& is_listed);

private:
    enum class Reachability {
        Reachable,
        Unreachable,
    };

    struct Entry {
        std::string data_centre;
        std::int64_t in_flight = 0;
        /// When it was last heard, or when the first request after that was sent.
        MonotonicTime waiting_since;
        MonotonicTime last_probe;
        Reachability reachability = Reachability::Reachable;
    };

    struct DataCentre {
        std::optional<MonotonicTime> last_heard;
        std::size_t unreachable = 0;
    };

    void set_reachability(Entry& entry, Reachability reachability);
    bool needs_probe(Entry const& entry, MonotonicTime now) const;
    bool was_probed(Entry const& entry, MonotonicTime now) const { return now - entry.last_probe < this->options.probe_interval; }

    Options options;
    std::string own_data_centre;
    std::map<std::string, Entry, std::less<>> entries;
    std::map<std::string, DataCentre, std::less<>> data_centres;
    std::optional<MonotonicTime> isolated_since;
    std::size_t probe_rotation = 0;
};

}
