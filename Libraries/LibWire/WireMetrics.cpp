// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibWire/WireMetrics.h>

namespace Spurtide {

namespace {

void publish(Metrics& metrics, std::map<std::string, TrafficCount> const& counts, std::string const& direction)
{
    for (auto const& [kind, count] : counts) {
        MetricLabels const labels = { { "direction", direction }, { "kind", kind } };
        metrics.set("spurtide_wire_messages", "Messages between the system's processes so far.", static_cast<double>(count.messages), labels);
        metrics.set("spurtide_wire_payload_bytes", "Bytes of these messages so far, without headers.", static_cast<double>(count.bytes), labels);
    }
}

}

void publish_wire_metrics(Kernel const& kernel, Metrics& metrics)
{
    publish(metrics, kernel.sent_traffic(), "sent");
    publish(metrics, kernel.received_traffic(), "received");
    metrics.set("spurtide_wire_links", "Connections to other processes that this one opened", static_cast<double>(kernel.open_links()));
}

void keep_wire_metrics_published(Kernel& kernel, Metrics& metrics)
{
    kernel.every(seconds(1), [&kernel, &metrics] { publish_wire_metrics(kernel, metrics); });
}

}
