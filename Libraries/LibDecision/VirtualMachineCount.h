// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <algorithm>
#include <cstddef>

namespace Spurtide {

/// The VMs that share what all of them may use together, as one of them sees them. One that fell silent without leaving
/// still counts: it may be cut off, and go on using its part. Dividing by those in sight alone, seven VMs of which three
/// lost sight of the others took parts of an allowance of 80 that added up to 95.
struct VirtualMachineCount {
    /// Those that answer, this one among them.
    std::size_t live = 0;
    /// Those that fell silent, suspected or taken for dead.
    std::size_t missing = 0;

    /// The part of each, 0 to 1.
    double share_of_each() const { return 1.0 / static_cast<double>(std::max<std::size_t>(1, this->live + this->missing)); }

    bool operator==(VirtualMachineCount const&) const = default;
};

}
