// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <LibDecision/RequestFingerprint.h>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Spurtide {

/// A request that is kept from upstreams since it crashed some.
struct QuarantineEntry {
    RequestFingerprint request;
    /// How often it was found to crash upstreams; each time it is kept out for longer.
    std::int64_t times = 1;
    /// Milliseconds since the epoch at which it may be tried again.
    std::int64_t until = 0;

    bool operator==(QuarantineEntry const&) const = default;
};

/// The requests that are kept from all upstreams. Every VM has the same after a moment, since of two entries for a
/// request all keep the larger numbers. Times are of the wall clock, as VMs compare them with each other's.
class Quarantine {
public:
    struct Options {
        /// Three upstreams in an hour is what a request may cost that a repair of the upstreams made harmless or not.
        Duration first_hold = seconds(3600);
        Duration maximum_hold = seconds(86400);
        /// For so long after it one more crash is enough.
        Duration probation = seconds(86400);
        /// Some 100 bytes each; all go to a VM that lacks one. Those that are over first go first.
        std::size_t capacity = 1024;
    };

    explicit Quarantine(Options options)
        : options(options)
    {
    }

    /// How long the request is still kept out; empty where it may be sent.
    std::optional<Duration> held_for(RequestFingerprint const& request, std::int64_t unix_milliseconds) const;
    /// Whether it was kept out lately, so that one crash is enough to be so again.
    bool is_on_probation(RequestFingerprint const& request, std::int64_t unix_milliseconds) const;

    /// Keeps the request out from now on; gives the entry for the others.
    QuarantineEntry add(RequestFingerprint const& request, std::int64_t unix_milliseconds);

    enum class MergeResult {
        Unchanged,
        Changed,
    };
    /// Takes another VM's entry, or the store's.
    MergeResult merge(QuarantineEntry const& entry, std::int64_t unix_milliseconds);

    void forget_old(std::int64_t unix_milliseconds);
    std::size_t size() const { return this->held.size(); }
    std::vector<QuarantineEntry> entries() const;
    /// The same wherever the same entries are; 0 for none.
    std::uint64_t digest() const;
    bool is_expired(QuarantineEntry const& entry, std::int64_t unix_milliseconds) const;

private:
    void evict_to_capacity();

    Options options;
    std::map<RequestFingerprint, QuarantineEntry> held;
};

}
