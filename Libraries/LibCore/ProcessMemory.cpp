// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/ProcessMemory.h>
#include <fstream>
#include <string>

namespace Spurtide {

std::optional<ProcessMemory> read_process_memory()
{
    constexpr std::uint64_t BYTES_PER_KILOBYTE = 1024;
    std::ifstream file("/proc/self/status");
    std::optional<std::uint64_t> resident;
    std::optional<std::uint64_t> peak;
    std::string field;
    while (file >> field) {
        std::uint64_t kilobytes = 0;
        if (field == "VmRSS:" && file >> kilobytes)
            resident = kilobytes * BYTES_PER_KILOBYTE;
        else if (field == "VmHWM:" && file >> kilobytes)
            peak = kilobytes * BYTES_PER_KILOBYTE;
    }
    if (!resident || !peak)
        return {};
    return ProcessMemory { *resident, *peak };
}

}
