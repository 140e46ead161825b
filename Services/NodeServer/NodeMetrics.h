// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Metrics.h>
#include <LibCore/ProcessMemory.h>
#include <LibDecision/EvacuationTable.h>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace Spurtide {

/// What a node believes and carries at the moment when its metrics are asked for.
struct NodeFacts {
    enum class State {
        NotReady,
        Ready,
        Stopping,
    } state
        = State::NotReady;
    std::int64_t configuration_version = 0;
    StorePosition upstreams_version;
    std::size_t upstreams = 0;
    /// Upstreams to which the last connection attempt failed.
    std::size_t unreachable_upstreams = 0;
    /// Whether this VM can connect to any upstream.
    enum class Reach {
        None,
        Some,
    } reach
        = Reach::Some;
    std::size_t live_virtual_machines = 0;
    std::size_t caller_connections = 0;
    std::size_t running_requests = 0;
    std::size_t quarantined_requests = 0;
    std::size_t stream_origins = 0;
    std::size_t limited_upstreams = 0;
    /// Upstreams that asked this VM for a pause that is not over, or was so a moment ago.
    std::size_t paused_upstreams = 0;
    /// Upstreams that announced their departure in a response while the registry lists them as serving.
    std::size_t departing_upstreams = 0;
    std::uint64_t dropped_log_lines = 0;
    std::size_t buffer_limit_bytes = 0;
    struct BufferFacts {
        std::string_view kind;
        std::size_t bytes = 0;
        /// Since the start of the process.
        std::uint64_t refusals = 0;
    };
    std::vector<BufferFacts> buffers;
    std::optional<ProcessMemory> memory;
    /// What is known of evacuations, ended ones among them, with the upstreams that they concern.
    struct EvacuationFacts {
        Evacuation evacuation;
        std::size_t upstreams = 0;
    };
    std::vector<EvacuationFacts> evacuations;
    enum class Keeping {
        Others,
        This,
    } keeping
        = Keeping::Others;
    enum class Source {
        Away,
        Peers,
        Registry,
    } upstreams_source
        = Source::Away;
};

/// Writes the facts into the metrics.
void publish_node_metrics(NodeFacts const& facts, Metrics& metrics);

}
