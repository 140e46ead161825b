// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace Spurtide {

/// Splits an event stream at event boundaries, which are empty lines, counts the events and tracks the last event id.
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
        this->has_lines = false;
        this->is_line_empty = true;
    }
    /// Whether bytes of an incomplete event were received.
    bool is_inside_event() const;
    /// Bytes after the last complete event, whether they were taken or not.
    std::size_t partial_event_size() const { return this->partial_event_bytes; }
    /// Bytes that are held since they belong to an incomplete event.
    std::size_t withheld_size() const { return this->pending.size(); }
    std::int64_t event_count() const { return this->events; }
    std::string const& last_identifier() const { return this->last_id; }

private:
    /// Number of bytes up to the end of the last event that these complete; 0 if they complete none.
    std::size_t find_complete_events(std::string_view bytes);
    void note_line_part(std::string_view part) { this->is_line_empty = this->is_line_empty && (part.empty() || part == "\r"); }

    std::string pending;
    std::size_t partial_event_bytes = 0;
    /// Whether the partial event has lines before the current one, which may itself be incomplete.
    bool has_lines = false;
    bool is_line_empty = true;
    std::int64_t events = 0;
    std::string last_id;
};

}
