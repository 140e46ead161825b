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

/// Every VM hosts the first; those that can carry the engines of all announce the second as well.
constexpr std::string_view PLACEMENT_SERVICE = "placement";
constexpr std::string_view STRONG_PLACEMENT_SERVICE = "placement-strong";

/// Which VM keeps something for all others, found by each VM on its own: the VMs that can are ranked by rendezvous
/// hashing, and those that did not answer lately are passed over.
class KeeperRanking {
public:
    struct Hooks {
        /// While this VM's data centre is cut off from all others, the VMs in it; empty else.
        std::function<std::optional<std::vector<std::string>>()> confined_to = [] { return std::optional<std::vector<std::string>> {}; };
    };

    KeeperRanking(Kernel& kernel, Duration suspicion)
        : kernel(kernel)
        , suspicion(suspicion)
    {
    }

    void set_hooks(Hooks new_hooks) { this->hooks = std::move(new_hooks); }

    /// VMs in the order in which they would keep what the key names, without those that were silent lately.
    std::vector<std::string> names(std::string_view key) const;
    /// Where a VM's process listens; empty where it is not known.
    std::string endpoint_of(std::string const& virtual_machine) const;
    /// The first of the order; this VM's own where there is none.
    std::string present_endpoint(std::string_view key) const;
    bool is_own(std::string_view key) const;
    /// The VM did not answer; it is not asked again for some time.
    void note_silent(std::string const& virtual_machine);

private:
    Kernel& kernel;
    Duration suspicion;
    Hooks hooks;
    std::map<std::string, MonotonicTime> silent_until;
};

}
