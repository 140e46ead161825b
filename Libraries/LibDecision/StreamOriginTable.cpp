// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/StreamOriginTable.h>

namespace Spurtide {

StreamOriginTable::NoteResult StreamOriginTable::note(std::string_view request, StreamOrigin const& origin, MonotonicTime now)
{
    if (!origin.is_certain() || request.empty() || request.size() > this->options.maximum_name_length)
        return NoteResult::NotNoted;
    auto const found = this->entries.find(request);
    if (found == this->entries.end() || this->is_expired(found->second, now)) {
        if (this->entries.size() >= this->options.maximum_size)
            this->remove_expired(now);
        if (this->entries.size() >= this->options.maximum_size)
            return NoteResult::NotNoted;
        this->entries.insert_or_assign(std::string(request), Entry { origin, now });
        return NoteResult::Noted;
    }
    auto& entry = found->second;
    entry.noted_at = now;
    // A stream continues at other upstreams, but neither at another version nor at another service.
    bool const is_same_stream = entry.origin.service == origin.service && entry.origin.software_version == origin.software_version;
    entry.is_conflicting = entry.is_conflicting || !is_same_stream;
    return entry.is_conflicting ? NoteResult::Conflicting : NoteResult::Noted;
}

std::optional<StreamOriginTable::Found> StreamOriginTable::find(std::string_view request, MonotonicTime now) const
{
    auto const found = this->entries.find(request);
    if (found == this->entries.end() || found->second.is_conflicting || this->is_expired(found->second, now))
        return {};
    return Found { found->second.origin, std::chrono::duration_cast<Duration>(now - found->second.noted_at) };
}

bool StreamOriginTable::is_conflicting(std::string_view request, MonotonicTime now) const
{
    auto const found = this->entries.find(request);
    return found != this->entries.end() && found->second.is_conflicting && !this->is_expired(found->second, now);
}

void StreamOriginTable::remove_expired(MonotonicTime now)
{
    std::erase_if(this->entries, [&](auto const& entry) { return this->is_expired(entry.second, now); });
}

}
