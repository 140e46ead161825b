// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/CrashLog.h>
#include <algorithm>

namespace Spurtide {

void CrashLog::note(RequestFingerprint const& request, PromptParts const& parts, UpstreamIncarnation const& upstream, Duration ran_for, MonotonicTime now)
{
    auto& crash = this->by_upstream.try_emplace(upstream, Crash { now, {} }).first->second;
    if (crash.requests.size() >= this->options.maximum_requests && !crash.requests.contains(request))
        return;
    auto const [place, is_first] = crash.requests.try_emplace(request, Request { parts, ran_for });
    if (!is_first)
        place->second.ran_for = std::min(place->second.ran_for, ran_for);
    this->forget_old(now);
}

void CrashLog::forget(RequestFingerprint const& request)
{
    for (auto& [upstream, crash] : this->by_upstream)
        crash.requests.erase(request);
}

void CrashLog::forget_old(MonotonicTime now)
{
    std::erase_if(this->by_upstream, [&](auto const& crash) { return now - crash.second.first_report > this->options.retention; });
    while (this->by_upstream.size() > this->options.maximum_crashes) {
        auto const is_older = [](auto const& left, auto const& right) { return left.second.first_report < right.second.first_report; };
        this->by_upstream.erase(std::min_element(this->by_upstream.begin(), this->by_upstream.end(), is_older));
    }
}

}
