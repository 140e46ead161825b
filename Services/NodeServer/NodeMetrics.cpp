// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <Services/NodeServer/NodeMetrics.h>

namespace Spurtide {

void publish_node_metrics(NodeFacts const& facts, Metrics& metrics)
{
    auto const set = [&](std::string const& name, std::string const& help, auto value) { metrics.set(name, help, static_cast<double>(value)); };
    set("spurtide_ready", "1 while this VM calls itself ready", facts.state == NodeFacts::State::Ready ? 1 : 0);
    set("spurtide_stopping", "1 from the signal to stop", facts.state == NodeFacts::State::Stopping ? 1 : 0);
    set("spurtide_configuration_version", "Version of the configuration in force; 0 before the first", facts.configuration_version);
    set("spurtide_upstreams_version", "Version of the newest change of the upstreams that is known", facts.upstreams_version.version);
    set("spurtide_registry_era", "Era of the registry that the list of upstreams is of; rises when the registry was restored", facts.upstreams_version.era);
    set("spurtide_upstreams", "Upstreams that are known", facts.upstreams);
    set("spurtide_unreachable_upstreams", "Upstreams to which the last connection attempt of this VM failed", facts.unreachable_upstreams);
    set("spurtide_partitioned", "1 while this VM cannot connect to any upstream", facts.reach == NodeFacts::Reach::None ? 1 : 0);
    set("spurtide_live_vms", "VMs that are alive, this one among them", facts.live_virtual_machines);
    set("spurtide_caller_connections", "Open connections of callers", facts.caller_connections);
    set("spurtide_running_requests", "Requests that were read and are not answered", facts.running_requests);
    set("spurtide_quarantined_requests", "Requests that are kept from upstreams since they crashed some, or were lately", facts.quarantined_requests);
    set("spurtide_stream_origins", "Streams whose origin this VM remembers, copies of other VMs' streams included", facts.stream_origins);
    set("spurtide_limited_upstreams", "Upstreams that named a limit on requests a second, by what this VM knows", facts.limited_upstreams);
    set("spurtide_paused_upstreams", "Upstreams that asked this VM for a pause, until their usual load has been restored after it", facts.paused_upstreams);
    set("spurtide_departing_upstreams", "Upstreams that announced in a response that they are leaving, while the registry lists them as serving", facts.departing_upstreams);
    set("spurtide_log_lines_dropped", "Lines of the log that were dropped since the start, since nobody read them", facts.dropped_log_lines);
    set("spurtide_keeps_engines", "1 while this VM takes itself for the keeper of the engines", facts.keeping == NodeFacts::Keeping::This ? 1 : 0);
    set("spurtide_upstreams_from_registry", "1 while this VM watches the registry's list of upstreams and is answered", facts.upstreams_source == NodeFacts::Source::Registry ? 1 : 0);
    set("spurtide_upstreams_from_peers", "1 while other VMs tell this one of the list", facts.upstreams_source == NodeFacts::Source::Peers ? 1 : 0);
    set("spurtide_buffer_limit_bytes", "What may be buffered for callers, upstreams and other VMs together", facts.buffer_limit_bytes);
    for (auto const& buffers : facts.buffers) {
        MetricLabels const labels { { "kind", std::string(buffers.kind) } };
        metrics.set("spurtide_buffered_bytes", "What is buffered for callers, upstreams and other VMs", static_cast<double>(buffers.bytes), labels);
        metrics.set("spurtide_buffer_refusals", "Bodies, responses or events that did not fit into the buffers, since the start", static_cast<double>(buffers.refusals), labels);
    }
    if (facts.memory) {
        set("spurtide_resident_bytes", "Resident memory of the process", facts.memory->resident_bytes);
        set("spurtide_peak_resident_bytes", "The most resident memory that the process has had", facts.memory->peak_resident_bytes);
    }
    for (auto const& [evacuation, upstreams] : facts.evacuations) {
        MetricLabels const labels { { "evacuated", evacuation.data_centre } };
        bool const is_in_force = evacuation.state == Evacuation::State::Ordered;
        metrics.set("spurtide_evacuation_version", "The registry's version of the last order or end of a data centre's evacuation", static_cast<double>(evacuation.version.version), labels);
        metrics.set("spurtide_evacuated_upstreams", "Upstreams that get nothing new since their data centre is evacuated", is_in_force ? static_cast<double>(upstreams) : 0, labels);
    }
}

}
