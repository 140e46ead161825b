// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace Spurtide {

/// One event of a text/event-stream.
struct StreamEvent {
    std::string identifier;
    std::string name;
    std::string data;
};

/// Cuts a text/event-stream into events as its bytes come in. Comments are passed over.
class EventStreamParser {
public:
    /// Returns whether to go on.
    using Sink = std::function<bool(StreamEvent const&)>;

    explicit EventStreamParser(Sink sink)
        : sink(std::move(sink))
    {
    }

    /// False when the sink said to stop or the stream is not one.
    bool feed(std::string_view bytes);

private:
    bool take_line(std::string_view line);

    Sink sink;
    std::string buffer;
    StreamEvent event;
    bool has_content = false;
};

/// The bytes of one event. Data must hold no line break.
std::string format_event(StreamEvent const& event);

}
