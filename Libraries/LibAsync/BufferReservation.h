// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibAsync/BufferMemory.h>
#include <cstddef>

namespace Spurtide {

/// A part of the BufferMemory that is given back with the object.
class BufferReservation {
public:
    enum class Outcome {
        Granted,
        /// The size is as before.
        OutOfMemory,
    };

    explicit BufferReservation(BufferMemory::Kind kind)
        : kind(kind)
    {
    }
    ~BufferReservation() { this->set_size(0); }
    BufferReservation(BufferReservation&& other) noexcept;
    BufferReservation& operator=(BufferReservation&& other) noexcept;
    BufferReservation(BufferReservation const&) = delete;
    BufferReservation& operator=(BufferReservation const&) = delete;

    std::size_t size() const { return this->bytes; }
    /// Grows within the limits of the BufferMemory, or shrinks.
    [[nodiscard]] Outcome try_set_size(std::size_t size);
    /// Counts what is held already, whether it is within the limits or not.
    void set_size(std::size_t size);

private:
    BufferMemory::Kind kind;
    std::size_t bytes = 0;
};

}
