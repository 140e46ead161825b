// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Spurtide {

/// Grants calls places at upstreams; hosted by all VMs.
constexpr std::string_view CALL_ADMISSION_SERVICE = "call-admission";

/// A group of the upstreams of a service that one VM admits calls to. The upstreams of a service with many are split into
/// groups by hashes of their identities, so that the load is shared among VMs.
struct CallGroup {
    std::string service;
    std::uint32_t index = 0;
    /// Number of groups of the service.
    std::uint32_t count = 1;

    /// Number of groups for a number of upstreams: a power of two, so that groups are only split in halves when upstreams
    /// are added.
    static std::uint32_t count_for(std::size_t upstreams);
    /// The group of an upstream, or the first one that a request is sent to, by a hash of its name.
    static std::uint32_t index_for(std::string_view name, std::uint32_t count);

    bool contains(std::string_view upstream) const { return index_for(upstream, this->count) == this->index; }
    /// The key by which VMs are ranked for the group.
    std::string key() const;
};

}
