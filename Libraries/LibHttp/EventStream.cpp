// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibHttp/EventStream.h>
#include <utility>

namespace Spurtide {

namespace {

/// An event of this many bytes without its end is no event stream of ours.
constexpr std::size_t LONGEST_LINE = 1024UL * 1024;

}

bool EventStreamParser::feed(std::string_view bytes)
{
    this->buffer += bytes;
    std::size_t start = 0;
    while (true) {
        auto const end = this->buffer.find('\n', start);
        if (end == std::string::npos)
            break;
        std::string_view line(this->buffer.data() + start, end - start);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        if (!this->take_line(line))
            return false;
        start = end + 1;
    }
    this->buffer.erase(0, start);
    return this->buffer.size() <= LONGEST_LINE;
}

bool EventStreamParser::take_line(std::string_view line)
{
    if (line.empty()) {
        if (!this->has_content)
            return true;
        auto const finished = std::exchange(this->event, {});
        this->has_content = false;
        return this->sink(finished);
    }
    if (line.front() == ':')
        return true;
    auto const colon = line.find(':');
    auto const field = line.substr(0, colon);
    auto value = colon == std::string_view::npos ? std::string_view {} : line.substr(colon + 1);
    if (value.starts_with(' '))
        value.remove_prefix(1);
    this->has_content = true;
    if (field == "id")
        this->event.identifier = value;
    else if (field == "event")
        this->event.name = value;
    else if (field == "data")
        this->event.data += (this->event.data.empty() ? "" : "\n") + std::string(value);
    return true;
}

std::string format_event(StreamEvent const& event)
{
    std::string text;
    if (!event.identifier.empty())
        text += "id: " + event.identifier + "\n";
    if (!event.name.empty())
        text += "event: " + event.name + "\n";
    return text + "data: " + event.data + "\n\n";
}

}
