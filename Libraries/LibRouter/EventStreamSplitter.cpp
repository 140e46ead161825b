// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibRouter/EventStreamSplitter.h>

namespace Spurtide {

std::string EventStreamSplitter::append(std::string_view bytes)
{
    // What was received before has been searched, but for a boundary that begins with its last byte.
    auto const unsearched = this->pending.empty() ? 0 : this->pending.size() - 1;
    this->pending += bytes;
    auto const found = std::string_view(this->pending).substr(unsearched).rfind("\n\n");
    if (found == std::string_view::npos) {
        this->partial_event_bytes += bytes.size();
        return {};
    }
    auto const end = unsearched + found;
    this->partial_event_bytes = this->pending.size() - end - 2;
    std::string whole = this->pending.substr(0, end + 2);
    this->pending.erase(0, end + 2);
    for (auto position = whole.find("\n\n"); position != std::string::npos; position = whole.find("\n\n", position + 2))
        ++this->events;
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
    return this->pending.find_first_not_of("\r\n") != std::string::npos && !this->pending.ends_with("\r\n\r\n");
}

}
