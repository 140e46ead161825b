// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Result.h>
#include <LibDecision/LeaseTerm.h>
#include <LibPlatform/PlatformError.h>
#include <asio.hpp>
#include <string>

namespace Spurtide {

/// Interface to the lease rows in the platform's store, which are changed by conditional writes only.
class LeasePort {
public:
    virtual ~LeasePort() = default;

    /// Reads the current row. Errors: Unreachable, Unavailable, InDoubt, Malformed, HistoryGone (restored meanwhile).
    virtual asio::awaitable<Result<LeaseReading, PlatformError>> read_lease(std::string name) = 0;
    /// Writes the row if it still has the expected version (0: if it does not exist) and returns its new version. The
    /// condition is on the version alone; a result of another era than the expected one has matched some other row.
    /// Errors: those of read_lease(), and Conflict. After InDoubt the write may have taken effect, or may do so
    /// seconds later.
    virtual asio::awaitable<Result<StorePosition, PlatformError>> write_lease(std::string name, std::string holder, StorePosition expected_version) = 0;
};

}
