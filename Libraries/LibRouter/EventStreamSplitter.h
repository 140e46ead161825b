// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace Spurtide {

/// Splits an event stream at event boundaries, counts the events and tracks the last event id.
class EventStreamSplitter {
public:
    /// Appends received bytes and returns all bytes up to the end of the last complete event.
    std::string append(std::string_view bytes);
    /// Removes and returns the bytes after the last complete event.
    std::string take_remainder() { return std::exchange(this->pending, {}); }
    /// Drops the bytes of an incomplete event after its connection was lost; the resumed stream sends the event again.
    void discard_partial_event()
    {
        this->pending.clear();
        this->partial_event_bytes = 0;
    }
    /// Whether bytes of an incomplete event were received.
    bool is_inside_event() const;
    /// Bytes after the last complete event, whether they were taken or not.
    std::size_t partial_event_size() const { return this->partial_event_bytes; }
    std::int64_t event_count() const { return this->events; }
    std::string const& last_identifier() const { return this->last_id; }

private:
    std::string pending;
    std::size_t partial_event_bytes = 0;
    std::int64_t events = 0;
    std::string last_id;
};

}
