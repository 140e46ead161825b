// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Result.h>
#include <LibDecision/Quarantine.h>
#include <LibPlatform/PlatformError.h>
#include <asio.hpp>
#include <vector>

namespace Spurtide {

/// The port to the rows of the requests that are kept from upstreams, which outlast all processes of the system.
class QuarantinePort {
public:
    virtual ~QuarantinePort() = default;

    /// All that are written and can be read. Errors: Unreachable, Unavailable, InDoubt, Malformed.
    virtual asio::awaitable<Result<std::vector<QuarantineEntry>, PlatformError>> read_quarantine() = 0;
    /// Writes an entry, whatever stood there, and removes the outdated. Errors: those of a read; after InDoubt it may have
    /// taken effect, and may be written again.
    virtual asio::awaitable<Result<Done, PlatformError>> write_quarantine(QuarantineEntry entry, std::vector<RequestFingerprint> outdated) = 0;
};

}
