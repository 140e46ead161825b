// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibRouter/EventStreamSplitter.h>

namespace Spurtide {

std::string EventStreamSplitter::append(std::string_view bytes)
{
    this->pending += bytes;
    auto const end = this->pending.rfind("\n\n");
    if (end == std::string::npos)
        return {};
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
