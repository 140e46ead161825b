// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <LibWire/Kernel.h>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Spurtide {

/// All VMs host the first service; VMs with enough capacity to manage all engines announce the second as well.
constexpr std::string_view PLACEMENT_SERVICE = "placement";
constexpr std::string_view STRONG_PLACEMENT_SERVICE = "placement-strong";

/// Determines, without coordination, which VM is responsible for a key. Eligible VMs are ranked by rendezvous hashing; VMs that
/// recently failed to answer are skipped.
class VirtualMachineRanking {
public:
    struct Hooks {
        /// The VMs of this data centre while it is partitioned from all others; empty otherwise.
        std::function<std::optional<std::vector<std::string>>()> partition_members = [] { return std::optional<std::vector<std::string>> {}; };
    };

    VirtualMachineRanking(Kernel& kernel, Duration suspicion)
        : kernel(kernel)
        , suspicion(suspicion)
    {
    }

    void set_hooks(Hooks new_hooks) { this->hooks = std::move(new_hooks); }

    /// The VMs responsible for the key in order of preference, without those that recently failed to answer.
    std::vector<std::string> ranked_names(std::string_view key) const;
    /// The endpoint of a VM's process; empty if unknown.
    std::string endpoint_of(std::string const& virtual_machine) const;
    /// The endpoint of the first VM in the ranking; this VM's own if the ranking is empty.
    std::string first_endpoint(std::string_view key) const;
    bool is_own(std::string_view key) const;
    /// Excludes a VM that did not answer from the ranking for the suspicion time.
    void note_unresponsive(std::string const& virtual_machine);

private:
    Kernel& kernel;
    Duration suspicion;
    Hooks hooks;
    std::map<std::string, MonotonicTime> excluded_until;
};

}
