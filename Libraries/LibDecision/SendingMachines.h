// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <cstddef>

namespace Spurtide {

/// The VMs that may send at the same time, as one of them sees them.
struct SendingMachines {
    std::size_t count = 1;
    /// This VM's place among them, the same in the eyes of all.
    std::size_t rank = 0;
};

}
