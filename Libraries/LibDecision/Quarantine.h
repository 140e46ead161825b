// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <LibDecision/PromptPart.h>
#include <LibDecision/RequestFingerprint.h>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Spurtide {

/// A request that is not sent to upstreams because it crashed some of them, or all requests whose prompts have certain parts.
struct QuarantineEntry {
    /// For parts of prompts: the fingerprint of these.
    RequestFingerprint request;
    /// How often the request was found to crash upstreams; each time doubles the hold.
    std::int64_t times = 1;
    /// End of the hold in milliseconds since the epoch.
    std::int64_t until = 0;
    /// A prompt is held if it has all of these parts. Empty for an entry that holds a single request.
    PromptParts parts {};
    /// How often it had been found when it was last lifted; found more often, it is held again.
    std::int64_t lifted = 0;

    bool operator==(QuarantineEntry const&) const = default;
};

/// The requests and prompt parts that are withheld from all upstreams. Merging keeps the larger numbers of two entries for the same, so
/// that all VMs converge. Times are wall clock times, as VMs exchange them.
class Quarantine {
public:
    struct Options {
        /// After the hold the request is tried again, in case the upstreams were fixed meanwhile. Three upstreams an hour
        /// are an acceptable cost if they were not.
        Duration first_hold = seconds(3600);
        /// The same for parts of prompts: a wrong hold of these refuses many callers, and the analyzers still know their crashes.
        Duration first_hold_of_parts = seconds(600);
        Duration maximum_hold = seconds(86400);
        /// Time after a hold during which a single further crash is sufficient.
        Duration probation = seconds(86400);
        /// About 100 bytes per entry. All entries are sent to a VM that is missing one. The entries that end first are
        /// evicted first.
        std::size_t capacity = 1024;
    };

    explicit Quarantine(Options options)
        : options(options)
    {
    }

    /// Returns the remaining hold, or nothing if the request may be sent.
    std::optional<Duration> held_for(RequestFingerprint const& request, std::int64_t unix_milliseconds) const;
    /// Whether the single request was held recently, so that a single crash is sufficient to hold it again.
    bool is_on_probation(RequestFingerprint const& request, std::int64_t unix_milliseconds) const;

    /// Returns the longest remaining hold of the parts that a prompt has, or nothing if it may be sent.
    std::optional<Duration> held_for(PromptParts const& parts, std::int64_t unix_milliseconds) const;

    /// Holds the request from now on. Returns the entry to replicate to the other VMs.
    QuarantineEntry add(RequestFingerprint const& request, std::int64_t unix_milliseconds);
    /// Holds all prompts with these parts from now on.
    QuarantineEntry add(PromptParts const& parts, std::int64_t unix_milliseconds);
    /// Ends the holds of parts that a prompt has. Returns the entries to replicate to the other VMs.
    std::vector<QuarantineEntry> lift(PromptParts const& parts, std::int64_t unix_milliseconds);

    enum class MergeResult {
        Unchanged,
        Changed,
    };
    /// Merges an entry from another VM or from the store.
    MergeResult merge(QuarantineEntry const& entry, std::int64_t unix_milliseconds);

    void forget_old(std::int64_t unix_milliseconds);
    std::size_t size() const { return this->holds.size(); }
    std::vector<QuarantineEntry> entries() const;
    /// Equal for equal sets of entries; 0 if there are none.
    std::uint64_t digest() const;
    bool is_expired(QuarantineEntry const& entry, std::int64_t unix_milliseconds) const;

private:
    QuarantineEntry hold(QuarantineEntry const& initial, std::int64_t unix_milliseconds);
    void evict_to_capacity();

    Options options;
    std::map<RequestFingerprint, QuarantineEntry> holds;
    /// Of these, the ones that hold parts of prompts.
    std::set<RequestFingerprint> holds_of_parts;
};

}
