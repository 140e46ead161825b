// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Result.h>
#include <LibDecision/LeaseTerm.h>
#include <LibPlatform/PlatformError.h>
#include <asio.hpp>
#include <optional>
#include <string>

namespace Spurtide {

/// Interface to the lease rows in the platform's store, which are changed by conditional writes only.
class LeasePort {
public:
    virtual ~LeasePort() = default;

    /// Reads the current row; empty if there is none. Errors: Unreachable, Unavailable, InDoubt, Malformed.
    virtual asio::awaitable<Result<std::optional<LeaseRow>, PlatformError>> read_lease(std::string name) = 0;
    /// Writes the row if it still has the expected version (0: if it does not exist) and returns its new version.
    /// Errors: those of read_lease(), and Conflict. After InDoubt the write may have taken effect, or may do so
    /// seconds later.
    virtual asio::awaitable<Result<std::int64_t, PlatformError>> write_lease(std::string name, std::string holder, std::int64_t expected_version) = 0;
};

}
