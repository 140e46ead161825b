// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <cstdint>

namespace Spurtide {

/// Where the lines of this process go: from glog to one descriptor, without waiting for its reader.
class ProcessLog {
public:
    ProcessLog() = delete;

    /// Sends all lines of glog to the descriptor, and to nothing else. The descriptor stays the caller's.
    static void start(int descriptor);
    /// Writes what is kept as far as possible; lines go nowhere from here on.
    static void stop();
    /// Writes what is kept, as far as the descriptor takes it.
    static void flush();
    /// Lines dropped since the start, since nobody read them.
    static std::uint64_t dropped_lines();
};

}
