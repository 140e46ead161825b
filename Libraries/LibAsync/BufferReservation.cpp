// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibAsync/BufferReservation.h>
#include <utility>

namespace Spurtide {

BufferReservation::BufferReservation(BufferReservation&& other) noexcept
    : kind(other.kind)
    , bytes(std::exchange(other.bytes, 0))
{
}

BufferReservation& BufferReservation::operator=(BufferReservation&& other) noexcept
{
    if (this == &other)
        return *this;
    this->set_size(0);
    this->kind = other.kind;
    this->bytes = std::exchange(other.bytes, 0);
    return *this;
}

BufferReservation::Outcome BufferReservation::try_set_size(std::size_t size)
{
    auto& memory = BufferMemory::the();
    if (!memory.can_grow(this->kind, this->bytes, size)) {
        memory.note_refusal(this->kind);
        return Outcome::OutOfMemory;
    }
    this->set_size(size);
    return Outcome::Granted;
}

void BufferReservation::set_size(std::size_t size)
{
    BufferMemory::the().note_change(this->kind, this->bytes, size);
    this->bytes = size;
}

}
