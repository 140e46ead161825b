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

/// Whether this VM's data centre is cut off from all others, by probes of VMs elsewhere that stay without an answer
/// while none of them is heard. Each request of a VM finds out by itself otherwise, and one VM sees few: of hundreds
/// each asks the keepers of the other data centres in vain for as long as the cut lasts. Pure: time is passed in.
class PartitionDetector {
public:
    struct Options {
        /// Tries without an answer since the last word from elsewhere. Two VMs that died, tried three times each, are
        /// as many; so they have to be of several VMs too.
        std::size_t minimum_failed_probes = 6;
        std::size_t minimum_virtual_machines = 3;
        /// Silence of all of them. Some five messages come from elsewhere in this time where a third of the VMs is of the own data centre.
        Duration silence = milliseconds(900);
    };

    explicit PartitionDetector(Options options)
        : options(options)
    {
    }

    /// A VM of another data centre was heard.
    void note_heard(MonotonicTime now)
    {
        this->last_heard = now;
        this->failed_probes = 0;
        this->failed_virtual_machines.clear();
    }

    /// A probe of a VM of another data centre got no answer. Takes how many VMs are known there.
    void note_probe_failure(std::string_view virtual_machine, std::size_t known_elsewhere)
    {
        ++this->failed_probes;
        this->failed_virtual_machines.emplace(virtual_machine);
        this->required_virtual_machines = std::min(this->options.minimum_virtual_machines, known_elsewhere);
    }

    /// False before anything was heard: a VM that starts knows of no cut.
    bool is_cut_off(MonotonicTime now) const
    {
        if (!this->last_heard || now - *this->last_heard < this->options.silence)
            return false;
        return this->failed_probes >= this->options.minimum_failed_probes && this->failed_virtual_machines.size() >= this->required_virtual_machines;
    }

private:
    Options options;
    std::optional<MonotonicTime> last_heard;
    std::size_t failed_probes = 0;
    std::size_t required_virtual_machines = 0;
    std::set<std::string, std::less<>> failed_virtual_machines;
};

}
