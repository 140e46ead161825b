// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibRouter/CallGroup.h>
#include <bit>
#include <xxhash.h>

namespace Spurtide {

namespace {

constexpr std::size_t UPSTREAMS_PER_GROUP = 32;

}

std::uint32_t CallGroup::count_for(std::size_t upstreams)
{
    auto const groups = (upstreams + UPSTREAMS_PER_GROUP - 1) / UPSTREAMS_PER_GROUP;
    return static_cast<std::uint32_t>(std::bit_ceil(groups));
}

std::uint32_t CallGroup::index_for(std::string_view name, std::uint32_t count)
{
    return count <= 1 ? 0 : static_cast<std::uint32_t>(XXH3_64bits(name.data(), name.size()) & (count - 1));
}

std::string CallGroup::key() const
{
    auto key = "calls/" + this->service;
    if (this->count > 1) {
        key += '/';
        key += std::to_string(this->index);
    }
    return key;
}

}
