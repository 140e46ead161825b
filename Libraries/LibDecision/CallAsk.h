// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <cstdint>
#include <string>
#include <vector>

namespace Spurtide {

/// A plain call that asks for a place at one of its service's upstreams.
struct CallAsk {
    std::string request;
    std::string account;
    /// 0 is the highest priority.
    std::int64_t priority = 0;
    /// The VM that sends the call.
    std::string origin;
    std::string data_centre;
    /// When the latency target of the call ends.
    MonotonicTime target_time;
    /// When the call has to be answered at the latest: its route's timeout or its caller's deadline.
    MonotonicTime timeout;
    /// The longest delay after which the caller can still retry; zero if it cannot.
    Duration retry_patience {};
    /// Upstreams that the call must not be sent to.
    std::vector<std::string> excluded_upstreams {};
};

}
