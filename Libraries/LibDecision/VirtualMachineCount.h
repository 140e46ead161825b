// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <algorithm>
#include <cstddef>

namespace Spurtide {

/// The VMs that share a common limit, as seen by one of them. A VM that became unreachable without leaving still
/// counts, as it may be partitioned off and go on using its share. Dividing by the reachable VMs alone, seven VMs,
/// three of which lost sight of the others, took shares of an allowance of 80 that added up to 95.
struct VirtualMachineCount {
    /// VMs that respond, including this one.
    std::size_t live = 0;
    /// VMs that stopped responding, suspected or declared dead.
    std::size_t missing = 0;

    /// The share of each VM, between 0 and 1.
    double share_of_each() const { return 1.0 / static_cast<double>(std::max<std::size_t>(1, this->live + this->missing)); }

    bool operator==(VirtualMachineCount const&) const = default;
};

}
