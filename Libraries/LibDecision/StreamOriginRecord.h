// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>
#include <xxhash.h>

namespace Spurtide {

/// Identifies a stream by the name of the request that brought its first event. Records hold keys, as callers choose names of any
/// length.
using StreamKey = std::uint64_t;

inline StreamKey stream_key(std::string_view request) { return XXH3_64bits(request.data(), request.size()); }

/// Where streams began, as one row of the registry holds it.
struct StreamOriginRecord {
    /// Streams that began at one software version of a service.
    struct Group {
        std::string service;
        std::string software_version;
        std::vector<StreamKey> streams;

        bool operator==(Group const&) const = default;
    };

    std::vector<Group> groups;

    bool operator==(StreamOriginRecord const&) const = default;
};

}
