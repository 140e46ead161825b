// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/PoisonPartDetector.h>
#include <algorithm>
#include <cmath>
#include <tuple>

namespace Spurtide {

namespace {

/// A part whose requests ran this many times as long on the crashed upstreams as those of another part did not arrive together with it.
constexpr int RUN_TIME_RATIO = 2;
/// The only request on a crashed upstream counts like the latest of this many.
constexpr double LONE_REQUEST_WEIGHT = 4;

bool contains(PromptParts const& parts, PromptPart part) { return std::binary_search(parts.begin(), parts.end(), part); }

}

std::size_t PoisonPartDetector::Candidate::crashes_of_other_requests() const
{
    auto const is_less = [](auto const& left, auto const& right) { return left.second < right.second; };
    auto const most = std::max_element(this->crashes_by_request.begin(), this->crashes_by_request.end(), is_less);
    return most == this->crashes_by_request.end() ? 0 : this->crashes - most->second;
}

void PoisonPartDetector::note_crash(RequestFingerprint const& request, PromptParts const& parts, UpstreamIncarnation const& upstream, Duration ran_for, MonotonicTime now)
{
    if (!parts.empty())
        this->log.note(request, parts, upstream, ran_for, now);
}

void PoisonPartDetector::add(Candidate& candidate, CrashLog::Request const& request)
{
    candidate.companions.insert(request.parts.begin(), request.parts.end());
    if (candidate.common.empty()) {
        candidate.common = request.parts;
        return;
    }
    PromptParts common;
    std::set_intersection(candidate.common.begin(), candidate.common.end(), request.parts.begin(), request.parts.end(), std::back_inserter(common));
    candidate.common = std::move(common);
}

PoisonPartDetector::Candidates PoisonPartDetector::find_candidates(std::function<bool(PromptParts const&)> const& is_explained, Crashes which, MonotonicTime now) const
{
    std::vector<CrashLog::Crash const*> ordered;
    ordered.reserve(this->log.crashes().size());
    for (auto const& [upstream, crash] : this->log.crashes()) {
        if (which == Crashes::All || this->log.is_fully_reported(crash, now))
            ordered.push_back(&crash);
    }
    std::stable_sort(ordered.begin(), ordered.end(), [](auto const* left, auto const* right) { return left->first_report < right->first_report; });
    Candidates candidates;
    std::size_t unexplained = 0;
    for (auto const* crash : ordered) {
        bool const is_crash_explained = std::any_of(crash->requests.begin(), crash->requests.end(), [&](auto const& request) { return is_explained(request.second.parts); });
        unexplained += is_crash_explained ? 0 : 1;
        std::map<PromptPart, Duration> latest_runs;
        for (auto const& [fingerprint, request] : crash->requests) {
            for (auto const& part : request.parts) {
                auto& candidate = candidates.try_emplace(part, Candidate { part, {} }).first->second;
                add(candidate, request);
                ++candidate.crashes_by_request[fingerprint];
                auto const [run, is_new] = latest_runs.try_emplace(part, request.ran_for);
                run->second = std::min(run->second, request.ran_for);
            }
        }
        for (auto const& [part, ran_for] : latest_runs) {
            auto& candidate = candidates.at(part);
            if (candidate.crashes == 0) {
                candidate.first_crash = crash->first_report;
                candidate.unexplained_before = unexplained - (is_crash_explained ? 0 : 1);
            }
            this->count_crash(candidate, *crash, ran_for);
            candidate.unexplained += is_crash_explained ? 0 : 1;
            candidate.unexplained_meanwhile = unexplained - candidate.unexplained_before;
        }
    }
    return candidates;
}

void PoisonPartDetector::count_crash(Candidate& candidate, CrashLog::Crash const& crash, Duration ran_for) const
{
    bool const is_first = candidate.crashes == 0;
    if (is_first || crash.first_report - candidate.last_separate_crash >= this->options.separate_after) {
        ++candidate.separate_crashes;
        candidate.last_separate_crash = crash.first_report;
    }
    if (is_first || crash.first_report - ran_for >= candidate.last_successive_crash) {
        ++candidate.successive_crashes;
        candidate.last_successive_crash = crash.first_report;
    }
    ++candidate.crashes;
    candidate.ran_for += ran_for;
    add_recency(candidate, crash, ran_for);
}

void PoisonPartDetector::add_recency(Candidate& candidate, CrashLog::Crash const& crash, Duration ran_for)
{
    auto const is_not_earlier = [&](auto const& request) { return request.second.ran_for <= ran_for; };
    auto const not_earlier = std::count_if(crash.requests.begin(), crash.requests.end(), is_not_earlier);
    // Upstreams that crash by themselves rarely have just one request.
    auto const all = crash.requests.size() == 1 ? LONE_REQUEST_WEIGHT : static_cast<double>(crash.requests.size());
    candidate.recency_sum += std::log(all / static_cast<double>(not_earlier));
    candidate.largest_recency_sum += std::log(all);
}

bool PoisonPartDetector::has_enough_crashes(Candidate const& candidate) const
{
    auto const of_others = candidate.crashes_of_other_requests();
    bool const is_repeated = candidate.unexplained >= this->options.crash_threshold && of_others >= this->options.crashes_of_other_requests
        && candidate.recency() >= this->options.minimum_recency && candidate.is_at_share(this->options.minimum_share);
    bool const is_certain = this->is_certain(candidate) && candidate.unexplained > 0 && of_others > 0
        && candidate.recency() >= this->options.minimum_certain_recency && candidate.is_at_share(this->options.minimum_certain_share);
    bool const is_separate = candidate.separate_crashes > 1 || candidate.successive_crashes >= this->options.successive_crashes;
    return is_separate && (is_repeated || is_certain);
}

PoisonPartDetector::Suspects PoisonPartDetector::suspects(std::function<bool(PromptParts const&)> const& is_held, Crashes which, MonotonicTime now) const
{
    Suspects suspects;
    std::vector<PromptPart> parts;
    for (auto const& [part, candidate] : this->find_candidates(is_held, which, now)) {
        if (!this->has_enough_crashes(candidate))
            continue;
        suspects.since = parts.empty() ? candidate.first_crash : std::min(suspects.since, candidate.first_crash);
        parts.insert(parts.end(), candidate.common.begin(), candidate.common.end());
    }
    suspects.parts = make_prompt_parts(std::move(parts));
    return suspects;
}

std::vector<PoisonPartDetector::PoisonParts> PoisonPartDetector::find_poison_parts(std::function<bool(PromptParts const&)> const& is_held, Evidence const& evidence, MonotonicTime now) const
{
    std::vector<PoisonParts> found;
    auto const is_explained = [&](PromptParts const& parts) {
        return is_held(parts) || std::any_of(found.begin(), found.end(), [&](auto const& cause) { return contains_all(parts, cause.parts); });
    };
    while (auto cause = this->find_next(is_explained, evidence, now))
        found.push_back(std::move(*cause));
    return found;
}

std::optional<PoisonPartDetector::PoisonParts> PoisonPartDetector::find_next(std::function<bool(PromptParts const&)> const& is_explained, Evidence const& evidence, MonotonicTime now) const
{
    auto const candidates = this->find_candidates(is_explained, Crashes::FullyReported, now);
    auto const is_ruled_out = [&](PromptPart part) {
        auto const served = evidence.last_served(part);
        return served && *served + this->options.exonerated_for >= candidates.at(part).first_crash;
    };
    auto const was_served = [&](PromptPart part) { return evidence.last_served(part).has_value(); };
    // Until it is certain, a part may owe its crashes to several narrower ones.
    auto const has_narrower_suspects = [&](Candidate const& candidate) {
        return !this->is_certain(candidate) && std::any_of(candidate.companions.begin(), candidate.companions.end(), [&](auto companion) {
            return !was_served(companion) && this->may_be_explained_by(candidate, candidates.at(companion));
        });
    };
    std::vector<Candidate> never_served;
    std::vector<Candidate> served_before;
    for (auto const& [part, candidate] : candidates) {
        if (!this->has_enough_crashes(candidate) || is_ruled_out(part) || has_narrower_suspects(candidate))
            continue;
        auto remaining = candidate;
        std::erase_if(remaining.common, is_ruled_out);
        if (!was_served(part)) {
            std::erase_if(remaining.common, was_served);
            if (evidence.answers_since(MonotonicTime {}) >= this->options.served_answers)
                never_served.push_back(std::move(remaining));
        } else if (candidate.unexplained >= this->options.certain_crashes && evidence.answers_since(candidate.first_crash) >= this->options.served_answers) {
            served_before.push_back(std::move(remaining));
        }
    }
    // A part that was served before the crashes began is a cause only if its content or the upstreams changed.
    auto const cause = this->most_likely(never_served.empty() ? served_before : never_served);
    if (!cause)
        return {};
    return PoisonParts { cause->common, cause->crashes, cause->crashes_by_request.size() };
}

bool PoisonPartDetector::may_be_explained_by(Candidate const& candidate, Candidate const& companion) const
{
    bool const is_narrower = contains(companion.common, candidate.part) && !contains(candidate.common, companion.part);
    return is_narrower && companion.crashes > 1 && companion.unexplained > 0;
}

// Of two parts where each prompt with the one also has the other, the less common one is the cause, unless the other is at more
// crashes than chance explains.
bool PoisonPartDetector::is_displaced(Candidate const& candidate, Candidate const& other) const
{
    bool const is_within_other = contains(candidate.common, other.part) && !contains(other.common, candidate.part);
    bool const contains_other = contains(other.common, candidate.part) && !contains(candidate.common, other.part);
    auto const is_broader_cause = [this](Candidate const& broad, Candidate const& narrow) { return this->is_certain(broad) && broad.crashes >= narrow.crashes + 2; };
    return (contains_other && !is_broader_cause(candidate, other)) || (is_within_other && is_broader_cause(other, candidate));
}

std::optional<PoisonPartDetector::Candidate> PoisonPartDetector::most_likely(std::vector<Candidate> const& candidates) const
{
    std::vector<Candidate const*> remaining;
    for (auto const& candidate : candidates) {
        bool const is_displaced = std::any_of(candidates.begin(), candidates.end(), [&](auto const& other) { return this->is_displaced(candidate, other); });
        if (!is_displaced)
            remaining.push_back(&candidate);
    }
    auto const is_less = [](auto const* left, auto const* right) { return std::tuple(left->crashes, left->unexplained, -left->average_run()) < std::tuple(right->crashes, right->unexplained, -right->average_run()); };
    auto const likeliest = std::max_element(remaining.begin(), remaining.end(), is_less);
    if (likeliest == remaining.end())
        return {};
    auto const& found = **likeliest;
    auto const is_rival = [&](auto const* other) {
        return other->common != found.common && other->crashes == found.crashes && other->average_run() < found.average_run() * RUN_TIME_RATIO;
    };
    bool const is_clear = std::none_of(remaining.begin(), remaining.end(), is_rival);
    if (!is_clear && !this->is_certain(found))
        return {};
    return found;
}

}
