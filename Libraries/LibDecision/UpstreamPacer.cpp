// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Verify.h>
#include <LibDecision/UpstreamPacer.h>
#include <algorithm>

namespace Spurtide {

UpstreamPacer::Turn UpstreamPacer::take(std::string_view upstream, Ask const& ask, MonotonicTime now)
{
    VERIFY(ask.rate > 0);
    auto const interval = std::max(Duration { 1 }, from_seconds(1 / ask.rate));
    auto found = this->entries.find(upstream);
    if (found == this->entries.end())
        found = this->entries.emplace(std::string(upstream), Entry { interval, now + interval, now }).first;
    auto& entry = found->second;
    // A higher limit moves the turns that were already granted forward.
    if (interval < entry.interval && entry.next > now)
        entry.next = now + Duration(static_cast<std::int64_t>(static_cast<double>((entry.next - now).count()) * to_seconds(interval) / to_seconds(entry.interval)));
    entry.interval = interval;
    auto const turn = std::max(now, entry.next);
    auto const wait = std::chrono::duration_cast<Duration>(turn - now);
    if (wait <= ask.longest_wait) {
        entry.next = turn + interval;
        return { Turn::Outcome::Granted, wait };
    }
    if (ask.patience <= Duration::zero())
        return { Turn::Outcome::Denied, wait };
    auto const at = std::max(turn, entry.last_retry + interval);
    auto const retry_after = std::chrono::duration_cast<Duration>(at - now);
    if (retry_after <= ask.patience)
        entry.last_retry = at;
    return { Turn::Outcome::Denied, retry_after };
}

void UpstreamPacer::return_turn(std::string_view upstream, MonotonicTime now)
{
    auto const found = this->entries.find(upstream);
    if (found != this->entries.end())
        found->second.next = std::max(now, found->second.next - found->second.interval);
}

void UpstreamPacer::retain(std::function<bool(std::string_view)> const& is_limited)
{
    std::erase_if(this->entries, [&](auto const& entry) { return !is_limited(entry.first); });
}

}
