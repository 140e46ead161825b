// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibRouter/EventStreamSplitter.h>

namespace Spurtide {

std::size_t EventStreamSplitter::find_complete_events(std::string_view bytes)
{
    std::size_t complete = 0;
    std::size_t line = 0;
    for (auto end = bytes.find('\n'); end != std::string_view::npos; end = bytes.find('\n', line)) {
        this->note_line_part(bytes.substr(line, end - line));
        line = end + 1;
        bool const was_empty = std::exchange(this->is_line_empty, true);
        if (!was_empty) {
            this->has_lines = true;
        } else if (std::exchange(this->has_lines, false)) {
            ++this->events;
            complete = line;
        }
    }
    this->note_line_part(bytes.substr(line));
    return complete;
}

std::string EventStreamSplitter::append(std::string_view bytes)
{
    auto const complete = this->find_complete_events(bytes);
    if (complete == 0) {
        this->pending += bytes;
        this->partial_event_bytes += bytes.size();
        return {};
    }
    std::string whole = std::exchange(this->pending, {});
    whole += bytes.substr(0, complete);
    this->pending = bytes.substr(complete);
    this->partial_event_bytes = this->pending.size();
    constexpr std::string_view ID = "id:";
    for (auto line = whole.rfind(ID); line != std::string::npos; line = whole.rfind(ID, line - 1)) {
        if (line == 0 || whole[line - 1] == '\n') {
            auto const from = whole.find_first_not_of(' ', line + ID.size());
            this->last_id = whole.substr(from, whole.find('\n', from) - from);
            if (!this->last_id.empty() && this->last_id.back() == '\r')
                this->last_id.pop_back();
            break;
        }
        if (line == 0)
            break;
    }
    return whole;
}

bool EventStreamSplitter::is_inside_event() const
{
    return this->pending.find_first_not_of("\r\n") != std::string::npos;
}

}
