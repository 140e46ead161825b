// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <cstdint>
#include <optional>

namespace Spurtide {

/// The memory of this process as the kernel counts it.
struct ProcessMemory {
    std::uint64_t resident_bytes = 0;
    std::uint64_t peak_resident_bytes = 0;
};

/// Empty where the kernel does not tell.
std::optional<ProcessMemory> read_process_memory();

}
