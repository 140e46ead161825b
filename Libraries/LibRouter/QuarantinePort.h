// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Result.h>
#include <LibDecision/Quarantine.h>
#include <LibPlatform/PlatformError.h>
#include <asio.hpp>
#include <vector>

namespace Spurtide {

/// Interface to the quarantine rows in the platform's store, which survive a restart of all processes.
class QuarantinePort {
public:
    virtual ~QuarantinePort() = default;

    /// Reads all entries; rows that cannot be decoded are left out. Errors: Unreachable, Unavailable, InDoubt, Malformed.
    virtual asio::awaitable<Result<std::vector<QuarantineEntry>, PlatformError>> read_quarantine() = 0;
    /// Overwrites an entry and removes the outdated ones. Errors: those of read_quarantine(). After InDoubt the write may have
    /// taken effect; it is safe to repeat.
    virtual asio::awaitable<Result<Done, PlatformError>> write_quarantine(QuarantineEntry entry, std::vector<RequestFingerprint> outdated) = 0;
};

}
