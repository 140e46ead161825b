// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <LibDecision/CrashLog.h>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Spurtide {

/// Identifies prompt parts that crash the engines that answer prompts with them, from the prompts that each crashed engine
/// was answering.
///
/// A part that crashes each engine is at all of these crashes, and no prompt with it is ever served. Parts that always occur
/// together with it are at the same crashes, and a part that most prompts share is at nearly all crashes. Therefore a part that was
/// served is ruled out, and the cause is named as narrowly as the crashes allow: as all parts that the prompts have in common
/// and that were not served. Only prompts with all of these parts are withheld.
class PoisonPartDetector {
public:
    struct Options {
        /// Crashes at which a part that has never been served counts as a cause.
        std::size_t crash_threshold = 3;
        /// Crashes at which one counts that was served before they began, or whose narrower alternatives explain fewer of them.
        std::size_t certain_crashes = 5;
        /// Crashes that a part must explain beyond those of any single request, which may be the cause by itself.
        std::size_t crashes_of_other_requests = 2;
        /// A cause begins to run shortly before each crash, so that few of the requests there are later than it. Least recency of a part
        /// that may still be at its crashes by chance: 1 if it was always the latest there; requests that are there by chance average 0.4.
        double minimum_recency = 0.6;
        /// The same from `certain_crashes` on. Leaves room for a cause that takes effect only after some time.
        double minimum_certain_recency = 0.2;
        /// Share of the unexplained crashes in its time that a cause must have been at while it may still be there by chance.
        double minimum_share = 0.6;
        /// The same from `certain_crashes` on. Leaves room for several causes at once.
        double minimum_certain_share = 0.3;
        /// Answers to other prompts that must have been served. Without any, the engines may crash for reasons of their own.
        std::size_t served_answers = 3;
        /// How long before its first crash a part may have been served to be ruled out: longer than a response takes, and short
        /// compared to the interval between two software updates of the upstreams.
        Duration exonerated_for = seconds(60);
        /// Crashes closer than this may have one external cause, such as the loss of a rack.
        Duration separate_after = milliseconds(50);
        /// Crashes, each of a request sent after the one before, that have no common external cause however close they are.
        std::size_t successive_crashes = 3;
        /// Time from the first report of a crash until all VMs have reported their requests.
        Duration report_delay = milliseconds(60);
        Duration retention = seconds(3600);
        /// Maximum number of crashes kept; the oldest are evicted first. Each report looks at all of them.
        std::size_t maximum_crashes = 64;
        /// Maximum number of requests kept per crash.
        std::size_t maximum_requests = 64;
    };

    /// What is known of served answers.
    struct Evidence {
        std::function<std::optional<MonotonicTime>(PromptPart)> last_served = [](auto) { return std::optional<MonotonicTime>(); };
        std::function<std::size_t(MonotonicTime since)> answers_since = [](auto) { return std::size_t { 0 }; };
    };

    explicit PoisonPartDetector(Options options)
        : options(options)
        , log({ options.report_delay, options.retention, options.maximum_crashes, options.maximum_requests })
    {
    }

    /// Records that the upstream crashed while it had the request, which had been sent there `ran_for` earlier.
    void note_crash(RequestFingerprint const& request, PromptParts const& parts, UpstreamIncarnation const& upstream, Duration ran_for, MonotonicTime now);

    /// Which crashes to take into account.
    enum class Crashes {
        All,
        /// Those at which all VMs have reported their requests.
        FullyReported,
    };
    struct Suspects {
        PromptParts parts;
        /// The first crash at which one of the parts was.
        MonotonicTime since {};
    };
    /// The parts at enough crashes to be a cause unless they were served; empty if there are none.
    Suspects suspects(std::function<bool(PromptParts const&)> const& is_held, Crashes which, MonotonicTime now) const;

    struct PoisonParts {
        /// The cause is among these parts, which have always occurred together.
        PromptParts parts;
        std::size_t crashes = 0;
        std::size_t requests = 0;
    };
    /// Returns the causes identified by the fully reported crashes, except for those that `is_held` accepts; crashes of these count as explained.
    std::vector<PoisonParts> find_poison_parts(std::function<bool(PromptParts const&)> const& is_held, Evidence const& evidence, MonotonicTime now) const;

    std::size_t size() const { return this->log.crashes().size(); }

private:
    /// A part that may be the cause.
    struct Candidate {
        PromptPart part;
        /// All parts that its requests at the crashes have in common, this one among them.
        PromptParts common;
        /// All parts of its requests.
        std::set<PromptPart> companions {};
        std::size_t crashes = 0;
        /// Its crashes that no part found before explains.
        std::size_t unexplained = 0;
        /// All unexplained crashes from its first one to its latest.
        std::size_t unexplained_meanwhile = 0;
        std::map<RequestFingerprint, std::size_t> crashes_by_request {};
        /// Its crashes without those that followed another one at once.
        std::size_t separate_crashes = 0;
        /// Its crashes of which each was of a request that was sent after the one before.
        std::size_t successive_crashes = 0;
        /// Sum over the crashes of the time that its latest request had run.
        Duration ran_for {};
        /// Sum over the crashes of how unlikely it is by chance that its latest request was sent so shortly before, relative to the others
        /// there, and the largest possible sum.
        double recency_sum = 0;
        double largest_recency_sum = 0;
        MonotonicTime first_crash {};
        std::size_t unexplained_before = 0;
        MonotonicTime last_separate_crash {};
        MonotonicTime last_successive_crash {};

        Duration average_run() const { return this->ran_for / static_cast<std::int64_t>(this->crashes); }
        bool is_at_share(double share) const { return static_cast<double>(this->unexplained) >= share * static_cast<double>(this->unexplained_meanwhile); }
        double recency() const { return this->recency_sum / this->largest_recency_sum; }
        std::size_t crashes_of_other_requests() const;
    };
    using Candidates = std::map<PromptPart, Candidate>;

    static void add(Candidate& candidate, CrashLog::Request const& request);
    void count_crash(Candidate& candidate, CrashLog::Crash const& crash, Duration ran_for) const;
    static void add_recency(Candidate& candidate, CrashLog::Crash const& crash, Duration ran_for);
    Candidates find_candidates(std::function<bool(PromptParts const&)> const& is_explained, Crashes which, MonotonicTime now) const;
    bool has_enough_crashes(Candidate const& candidate) const;
    bool is_certain(Candidate const& candidate) const { return candidate.crashes >= this->options.certain_crashes; }
    bool may_be_explained_by(Candidate const& candidate, Candidate const& companion) const;
    bool is_displaced(Candidate const& candidate, Candidate const& other) const;
    std::optional<Candidate> most_likely(std::vector<Candidate> const& candidates) const;
    std::optional<PoisonParts> find_next(std::function<bool(PromptParts const&)> const& is_explained, Evidence const& evidence, MonotonicTime now) const;

    Options options;
    CrashLog log;
};

}
