// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Result.h>
#include <LibDecision/StorePosition.h>
#include <LibDecision/StreamOriginRecord.h>
#include <LibPlatform/PlatformError.h>
#include <asio.hpp>
#include <string>
#include <vector>

namespace Spurtide {

/// A row of the registry with the origins of streams.
struct StoredStreamOrigins {
    std::string key;
    StreamOriginRecord record;
    StorePosition version;
};

/// Interface to the rows of the registry that tell where streams began. They outlive all VMs.
class StreamOriginPort {
public:
    virtual ~StreamOriginPort() = default;

    /// Reads all rows; those that cannot be decoded hold no origins. Errors: Unreachable, Unavailable, InDoubt, Malformed, HistoryGone
    /// (restored meanwhile).
    virtual asio::awaitable<Result<std::vector<StoredStreamOrigins>, PlatformError>> read_stream_origins() = 0;
    /// Overwrites a row and removes others. Errors: those of read_stream_origins(). After InDoubt the write may have taken effect, or
    /// may do so seconds later.
    virtual asio::awaitable<Result<Done, PlatformError>> write_stream_origins(std::string key, StreamOriginRecord record, std::vector<std::string> removed_keys) = 0;
};

}
