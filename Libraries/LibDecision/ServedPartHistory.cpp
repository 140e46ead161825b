// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/ServedPartHistory.h>
#include <algorithm>

namespace Spurtide {

void ServedPartHistory::note_served(PromptParts const& parts, MonotonicTime now)
{
    this->answers.push_back(now);
    if (this->answers.size() > this->options.kept_answers)
        this->answers.pop_front();
    for (auto const& part : parts) {
        auto const [entry, is_new] = this->entries.try_emplace(part, this->order.end());
        if (!is_new)
            this->order.erase(entry->second);
        entry->second = this->order.insert(this->order.end(), { part, now });
    }
    while (!this->order.empty() && (this->order.size() > this->options.capacity || now - this->order.front().at > this->options.retention)) {
        this->entries.erase(this->order.front().part);
        this->order.pop_front();
    }
}

std::optional<MonotonicTime> ServedPartHistory::last_served(PromptPart part, MonotonicTime now) const
{
    auto const found = this->entries.find(part);
    if (found == this->entries.end() || now - found->second->at > this->options.retention)
        return {};
    return found->second->at;
}

std::size_t ServedPartHistory::answers_since(MonotonicTime since) const
{
    return static_cast<std::size_t>(std::count_if(this->answers.begin(), this->answers.end(), [&](auto at) { return at >= since; }));
}

}
