// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <algorithm>
#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace Spurtide {

/// Detects whether this VM's data centre is cut off from all others: probes of several VMs elsewhere fail while no
/// message from any of them arrives. Without it each request would have to find out by timing out, and a VM sees few of
/// them: with hundreds of VMs, each would query the engine keepers of the other data centres in vain for the whole
/// partition. Time is passed in.
class PartitionDetector {
public:
    struct Options {
        /// Failed probes since the last message from elsewhere. Two dead VMs, probed three times each, produce as many,
        /// so the probes also have to cover several VMs.
        std::size_t minimum_failed_probes = 6;
        std::size_t minimum_virtual_machines = 3;
        /// How long nothing may arrive from any of them. About five messages arrive from other data centres in this
        /// time if a third of the VMs is in the own data centre.
        Duration silence = milliseconds(900);
    };

    explicit PartitionDetector(Options options)
        : options(options)
    {
    }

    /// Records a message from a VM of another data centre.
    void note_message(MonotonicTime now)
    {
        this->last_message = now;
        this->failed_probes = 0;
        this->failed_virtual_machines.clear();
    }

    /// Records an unanswered probe of a VM in another data centre. `known_elsewhere` is the number of VMs known there.
    void note_probe_failure(std::string_view virtual_machine, std::size_t known_elsewhere)
    {
        ++this->failed_probes;
        this->failed_virtual_machines.emplace(virtual_machine);
        this->required_virtual_machines = std::min(this->options.minimum_virtual_machines, known_elsewhere);
    }

    /// Returns false until the first message from elsewhere: a VM that has just started cannot detect a partition.
    bool is_cut_off(MonotonicTime now) const
    {
        if (!this->last_message || now - *this->last_message < this->options.silence)
            return false;
        return this->failed_probes >= this->options.minimum_failed_probes && this->failed_virtual_machines.size() >= this->required_virtual_machines;
    }

private:
    Options options;
    std::optional<MonotonicTime> last_message;
    std::size_t failed_probes = 0;
    std::size_t required_virtual_machines = 0;
    std::set<std::string, std::less<>> failed_virtual_machines;
};

}
