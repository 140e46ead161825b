// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibDecision/Quarantine.h>
#include <LibRouter/QuarantinePort.h>
#include <LibRouter/VirtualMachineRanking.h>
#include <LibWire/Kernel.h>
#include <asio.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace Spurtide {

constexpr std::string_view QUARANTINE_SERVICE = "quarantine";

/// Replicates the list of quarantined requests and prompt parts to all VMs. The VM that adds an entry broadcasts it; a VM that misses the
/// broadcast detects the difference by the digest in the next heartbeat and fetches the whole list. Entries are also written
/// to the platform's store, for restarts of all processes and for data centres that are partitioned from each other.
class ReplicatedQuarantine {
public:
    struct Options {
        Quarantine::Options quarantine {};
        /// How long a read of the store stays valid. Crashes come in series, and one read serves the series.
        Duration store_read_validity = seconds(2);
        /// Delay before a failed write is retried; doubles up to the longest.
        Duration initial_write_retry_delay = milliseconds(500);
        Duration maximum_write_retry_delay = seconds(8);
        Duration fetch_timeout = milliseconds(500);
    };

    ReplicatedQuarantine(Options options, Kernel& kernel, VirtualMachineRanking const& ranking, QuarantinePort& store, asio::io_context& loop);

    void start();

    /// The remaining quarantine time of the request; empty if it may be sent.
    std::optional<Duration> held_for(RequestFingerprint const& request) const;
    /// The remaining quarantine time of a prompt with these shared parts; empty if it may be sent.
    std::optional<Duration> held_for(PromptParts const& parts) const;
    /// Whether a single further crash quarantines the request again.
    bool is_on_probation(RequestFingerprint const& request) const;
    /// The number of requests in quarantine and on probation.
    std::size_t size() const { return this->quarantine.size(); }

    /// Quarantines the request on all VMs.
    void add(RequestFingerprint const& request);
    /// Quarantines all prompts with these parts on all VMs.
    void add(PromptParts const& parts);
    /// Call when an answer to a prompt with these parts was served. A quarantine that it contradicts ends on all VMs.
    void note_served(PromptParts const& parts);

    /// Whether a recent read of the store has finished, successfully or not.
    bool has_recent_store_read() const;
    /// Starts a read of the store unless there was a recent one.
    void refresh_from_store();

    /// Writes again what a restored store lacks. For the VM that does so for all, repeatedly with the era that the store is
    /// known to be in; each era is compared once.
    void verify_store(std::int64_t era);

    std::uint64_t digest() const { return this->quarantine.digest(); }
    /// Handles the digest of another VM; fetches that VM's entries if it differs from this one's.
    void handle_digest(std::string const& endpoint, std::uint64_t digest);
    /// Answers fetches and merges broadcast entries; returns false for other messages.
    bool handle(wire::Envelope const& request, Kernel::Responder const& respond);

private:
    void merge(QuarantineEntry const& entry, std::string_view source);
    void merge(wire::QuarantineRecords const& records);
    void replicate(QuarantineEntry const& entry);
    void broadcast(QuarantineEntry const& entry);
    asio::awaitable<void> read_store();
    asio::awaitable<void> verify_rows(std::int64_t era);
    void start_writing();
    asio::awaitable<void> write_store();

    Options options;
    Kernel& kernel;
    VirtualMachineRanking const& ranking;
    QuarantinePort& store;
    asio::io_context& loop;
    Quarantine quarantine;
    std::optional<MonotonicTime> store_read_at;
    bool is_reading = false;
    bool is_verifying = false;
    std::optional<std::int64_t> verified_era;
    bool is_writing = false;
    bool is_fetching = false;
    std::map<RequestFingerprint, QuarantineEntry> pending_writes;
    std::vector<RequestFingerprint> outdated;
};

}
