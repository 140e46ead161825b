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

/// The port to rows that say who may do what, changed by conditional writes alone.
class LeasePort {
public:
    virtual ~LeasePort() = default;

    /// The row as it is; empty where there is none. Errors: Unreachable, Unavailable, InDoubt, Malformed.
    virtual asio::awaitable<Result<std::optional<LeaseRow>, PlatformError>> read_lease(std::string name) = 0;
    /// Writes the row where it still has the version (0: where it is not there); gives its new version.
    /// Errors: those of a read, and Conflict. After InDoubt the write may have taken effect, or may do so
    /// seconds later.
    virtual asio::awaitable<Result<std::int64_t, PlatformError>> write_lease(std::string name, std::string holder, std::int64_t expected_version) = 0;
};

}
