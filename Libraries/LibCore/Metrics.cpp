// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Metrics.h>
#include <mutex>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace Spurtide {

namespace {

prometheus::Histogram::BucketBoundaries const s_seconds = { 0.001, 0.002, 0.005, 0.01, 0.02, 0.037, 0.05, 0.1, 0.2, 0.5, 0.95, 2, 5, 10, 30, 60 };

}

class Metrics::Core {
public:
    // NOTE: The library gives the same family back for a name that is known.
    prometheus::Registry registry { prometheus::Registry::InsertBehavior::Merge };
    std::mutex mutex;
};

Metrics::Metrics()
    : core(std::make_unique<Core>())
{
}

Metrics::~Metrics() = default;

void Metrics::increment(std::string const& name, std::string const& help, MetricLabels const& labels, double amount)
{
    std::scoped_lock const lock(this->core->mutex);
    prometheus::BuildCounter().Name(name).Help(help).Register(this->core->registry).Add(labels).Increment(amount);
}

void Metrics::set(std::string const& name, std::string const& help, double value, MetricLabels const& labels)
{
    std::scoped_lock const lock(this->core->mutex);
    prometheus::BuildGauge().Name(name).Help(help).Register(this->core->registry).Add(labels).Set(value);
}

void Metrics::observe_seconds(std::string const& name, std::string const& help, double value, MetricLabels const& labels)
{
    std::scoped_lock const lock(this->core->mutex);
    prometheus::BuildHistogram().Name(name).Help(help).Register(this->core->registry).Add(labels, s_seconds).Observe(value);
}

std::string Metrics::render() const
{
    return prometheus::TextSerializer().Serialize(this->core->registry.Collect());
}

}
