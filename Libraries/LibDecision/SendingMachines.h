// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <cstddef>

namespace Spurtide {

/// The VMs that may send at the same time, as seen by one of them.
struct SendingMachines {
    std::size_t count = 1;
    /// Position of this VM among them, on which all VMs agree.
    std::size_t rank = 0;
};

}
