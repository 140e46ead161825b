// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace Spurtide {

/// The bytes that this process holds for its peers until they can be passed on. All kinds share one limit, so that no mix of slow or
/// faulty peers exhausts the memory of the process. Used by the event loop's thread only.
class BufferMemory {
public:
    enum class Kind {
        /// Of callers' requests, until the requests have ended.
        RequestBodies,
        /// Of requests that are relayed for other VMs.
        RelayedBodies,
        /// Of responses that are read whole.
        ResponseBodies,
        /// Events of streams that are not complete or must not be sent yet.
        WithheldEvents,
        /// What callers sent before the request that it belongs to is read.
        ReadAhead,
    };
    static constexpr std::size_t KIND_COUNT = 5;
    static constexpr std::array<Kind, KIND_COUNT> KINDS = { Kind::RequestBodies, Kind::RelayedBodies, Kind::ResponseBodies, Kind::WithheldEvents, Kind::ReadAhead };

    static constexpr std::size_t DEFAULT_LIMIT_BYTES = 32UL * 1024 * 1024;
    /// A part of the limit is kept for reservations of this size or less, so that usual requests go on beside large ones.
    static constexpr std::size_t SMALL_BYTES = 64UL * 1024;

    static BufferMemory& the();

    void set_limit(std::size_t bytes) { this->limit_bytes = bytes; }
    std::size_t limit() const { return this->limit_bytes; }
    std::size_t used() const { return this->used_bytes; }
    std::size_t used(Kind kind) const { return this->used_by_kind[index_of(kind)]; }
    /// Reservations that could not be had since the start of the process.
    std::uint64_t refusals(Kind kind) const { return this->refusals_by_kind[index_of(kind)]; }

    /// Whether a reservation of the kind could grow from one size to another now.
    bool can_grow(Kind kind, std::size_t from, std::size_t to) const;

private:
    friend class BufferReservation;
    static std::size_t index_of(Kind kind) { return static_cast<std::size_t>(kind); }
    /// What all kinds together may hold after a reservation of the kind has grown to a size.
    std::size_t limit_for(Kind kind, std::size_t size) const;
    void note_change(Kind kind, std::size_t from, std::size_t to);
    void note_refusal(Kind kind) { ++this->refusals_by_kind[index_of(kind)]; }

    std::size_t limit_bytes = DEFAULT_LIMIT_BYTES;
    std::size_t used_bytes = 0;
    std::array<std::size_t, KIND_COUNT> used_by_kind {};
    std::array<std::uint64_t, KIND_COUNT> refusals_by_kind {};
};

std::string_view to_string(BufferMemory::Kind kind);

}
