// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibAsync/BufferMemory.h>

namespace Spurtide {

BufferMemory& BufferMemory::the()
{
    static BufferMemory s_the;
    return s_the;
}

// New requests are refused before responses of requests that have run are lost, and large ones before small ones.
std::size_t BufferMemory::limit_for(Kind kind, std::size_t size) const
{
    bool const is_new_work = kind == Kind::RequestBodies || kind == Kind::RelayedBodies;
    auto const eighth = this->limit_bytes / 8;
    if (size <= SMALL_BYTES)
        return is_new_work ? 7 * eighth : this->limit_bytes;
    return is_new_work ? 4 * eighth : 6 * eighth;
}

bool BufferMemory::can_grow(Kind kind, std::size_t from, std::size_t to) const
{
    if (to <= from)
        return true;
    auto const limit = this->limit_for(kind, to);
    return this->used_bytes <= limit && to - from <= limit - this->used_bytes;
}

void BufferMemory::note_change(Kind kind, std::size_t from, std::size_t to)
{
    this->used_bytes += to - from;
    this->used_by_kind[index_of(kind)] += to - from;
}

std::string_view to_string(BufferMemory::Kind kind)
{
    constexpr std::array<std::string_view, BufferMemory::KIND_COUNT> NAMES = { "request_bodies", "relayed_bodies", "response_bodies", "withheld_events", "read_ahead" };
    return NAMES.at(static_cast<std::size_t>(kind));
}

}
