// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/EndLedger.h>
#include <algorithm>

namespace Spurtide {

namespace {

/// Who was at an upstream so many times as long as another before it ended did not come there together with it.
constexpr int CLEAR_RATIO = 2;

}

void EndLedger::note_end(RequestFingerprint const& request, UpstreamLife const& upstream, Duration ran_for, MonotonicTime now)
{
    this->forget_old(now);
    if (this->sound.contains(request, now))
        return;
    auto const [end, is_new] = this->ends.try_emplace(upstream);
    if (is_new)
        end->second.first_report = now;
    // Several attempts of one request at one upstream are one; the last that came is nearest to the end.
    auto const [place, is_first] = end->second.requests.try_emplace(request, ran_for);
    if (!is_first)
        place->second = std::min(place->second, ran_for);
}

void EndLedger::note_good_end(RequestFingerprint const& request, MonotonicTime now)
{
    this->sound.note(request, now);
    for (auto& [upstream, end] : this->ends)
        end.requests.erase(request);
}

bool EndLedger::is_suspect(RequestFingerprint const& request) const
{
    auto const was_there = [&](auto const& end) { return end.second.requests.contains(request); };
    return static_cast<std::size_t>(std::count_if(this->ends.begin(), this->ends.end(), was_there)) >= this->options.ends_of_a_cause;
}

bool EndLedger::is_settled(RequestFingerprint const& request, MonotonicTime now) const
{
    return std::all_of(this->ends.begin(), this->ends.end(), [&](auto const& end) { return !end.second.requests.contains(request) || this->has_settled(end.second, now); });
}

std::vector<EndLedger::Cause> EndLedger::find_causes(std::function<bool(RequestFingerprint const&)> const& is_known, MonotonicTime now) const
{
    std::vector<End const*> unexplained;
    for (auto const& [upstream, end] : this->ends) {
        bool const is_explained = std::any_of(end.requests.begin(), end.requests.end(), [&](auto const& request) { return is_known(request.first); });
        if (!is_explained && this->has_settled(end, now))
            unexplained.push_back(&end);
    }
    std::vector<Cause> causes;
    while (unexplained.size() >= this->options.ends_of_a_cause) {
        auto const cause = this->most_likely(unexplained);
        if (!cause)
            break;
        causes.push_back(*cause);
        std::erase_if(unexplained, [&](auto const* end) { return end->requests.contains(cause->request); });
    }
    return causes;
}

std::optional<EndLedger::Cause> EndLedger::most_likely(std::span<End const* const> unexplained) const
{
    std::map<RequestFingerprint, Suspicion> suspicions;
    for (auto const* end : unexplained) {
        for (auto const& [request, ran_for] : end->requests) {
            auto& suspicion = suspicions[request];
            ++suspicion.ends;
            suspicion.ran_for += ran_for;
        }
    }
    // Of two that were at as many ends, it is the one that came to them last.
    auto const is_less = [](auto const& left, auto const& right) {
        return std::pair(left.second.ends, -left.second.ran_for) < std::pair(right.second.ends, -right.second.ran_for);
    };
    auto const worst = std::max_element(suspicions.begin(), suspicions.end(), is_less);
    if (worst == suspicions.end() || worst->second.ends < this->options.ends_of_a_cause)
        return {};
    auto const rivals = [&](auto const& other) {
        return other.first != worst->first && other.second.ends == worst->second.ends && other.second.ran_for < worst->second.ran_for * CLEAR_RATIO;
    };
    bool const is_clear = std::none_of(suspicions.begin(), suspicions.end(), rivals);
    if (!is_clear && worst->second.ends < this->options.ends_of_a_cause + this->options.ends_for_clarity)
        return {};
    return Cause { worst->first, worst->second.ends };
}

void EndLedger::forget_old(MonotonicTime now)
{
    std::erase_if(this->ends, [&](auto const& end) { return now - end.second.first_report > this->options.memory; });
    while (this->ends.size() >= this->options.most_ends) {
        auto const is_older = [](auto const& left, auto const& right) { return left.second.first_report < right.second.first_report; };
        this->ends.erase(std::min_element(this->ends.begin(), this->ends.end(), is_older));
    }
}

}
