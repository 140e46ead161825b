// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/PoisonRequestDetector.h>
#include <algorithm>

namespace Spurtide {

namespace {

/// A request that ran this many times as long on the crashed upstreams as another one did not arrive together with it.
constexpr int RUN_TIME_RATIO = 2;

}

void PoisonRequestDetector::note_crash(RequestFingerprint const& request, UpstreamIncarnation const& upstream, Duration ran_for, MonotonicTime now)
{
    if (this->completed.contains(request, now))
        return;
    this->log.note(request, {}, upstream, ran_for, now);
}

void PoisonRequestDetector::note_completed(RequestFingerprint const& request, MonotonicTime now)
{
    this->completed.note(request, now);
    this->log.forget(request);
}

bool PoisonRequestDetector::is_suspect(RequestFingerprint const& request) const
{
    auto const was_there = [&](auto const& crash) { return crash.second.requests.contains(request); };
    return static_cast<std::size_t>(std::count_if(this->log.crashes().begin(), this->log.crashes().end(), was_there)) >= this->options.crash_threshold;
}

bool PoisonRequestDetector::is_fully_reported(RequestFingerprint const& request, MonotonicTime now) const
{
    return std::all_of(this->log.crashes().begin(), this->log.crashes().end(), [&](auto const& crash) { return !crash.second.requests.contains(request) || this->log.is_fully_reported(crash.second, now); });
}

std::vector<PoisonRequestDetector::PoisonRequest> PoisonRequestDetector::find_poison_requests(std::function<bool(RequestFingerprint const&)> const& is_known, MonotonicTime now) const
{
    std::vector<CrashLog::Crash const*> unexplained;
    for (auto const& [upstream, crash] : this->log.crashes()) {
        bool const is_explained = std::any_of(crash.requests.begin(), crash.requests.end(), [&](auto const& request) { return is_known(request.first); });
        if (!is_explained && this->log.is_fully_reported(crash, now))
            unexplained.push_back(&crash);
    }
    std::vector<PoisonRequest> causes;
    while (unexplained.size() >= this->options.crash_threshold) {
        auto const cause = this->most_likely(unexplained);
        if (!cause)
            break;
        causes.push_back(*cause);
        std::erase_if(unexplained, [&](auto const* crash) { return crash->requests.contains(cause->request); });
    }
    return causes;
}

std::optional<PoisonRequestDetector::PoisonRequest> PoisonRequestDetector::most_likely(std::span<CrashLog::Crash const* const> unexplained) const
{
    std::map<RequestFingerprint, Evidence> evidence_by_request;
    for (auto const* crash : unexplained) {
        for (auto const& [fingerprint, request] : crash->requests) {
            auto& evidence = evidence_by_request[fingerprint];
            ++evidence.crashes;
            evidence.ran_for += request.ran_for;
        }
    }
    // Among requests with equally many crashes, the one that arrived most recently before them is the likeliest.
    auto const is_less = [](auto const& left, auto const& right) {
        return std::pair(left.second.crashes, -left.second.ran_for) < std::pair(right.second.crashes, -right.second.ran_for);
    };
    auto const likeliest = std::max_element(evidence_by_request.begin(), evidence_by_request.end(), is_less);
    if (likeliest == evidence_by_request.end() || likeliest->second.crashes < this->options.crash_threshold)
        return {};
    auto const is_rival = [&](auto const& other) {
        return other.first != likeliest->first && other.second.crashes == likeliest->second.crashes && other.second.ran_for < likeliest->second.ran_for * RUN_TIME_RATIO;
    };
    bool const is_clear = std::none_of(evidence_by_request.begin(), evidence_by_request.end(), is_rival);
    if (!is_clear && likeliest->second.crashes < this->options.crash_threshold + this->options.tie_break_crashes)
        return {};
    return PoisonRequest { likeliest->first, likeliest->second.crashes };
}

}
