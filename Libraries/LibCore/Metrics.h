// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace Spurtide {

using MetricLabels = std::map<std::string, std::string>;

/// The metrics of one process, in the Prometheus text format.
class Metrics {
public:
    Metrics();
    ~Metrics();
    Metrics(Metrics const&) = delete;
    Metrics& operator=(Metrics const&) = delete;

    void increment(std::string const& name, std::string const& help, MetricLabels const& labels = {}, double amount = 1);
    void set(std::string const& name, std::string const& help, double value, MetricLabels const& labels = {});
    /// Seconds, in buckets from 1 ms to 60 s.
    void observe_seconds(std::string const& name, std::string const& help, double value, MetricLabels const& labels = {});

    std::string render() const;

private:
    class Core;
    std::unique_ptr<Core> core;
};

}
