// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibDecision/Quarantine.h>
#include <LibRouter/KeeperRanking.h>
#include <LibRouter/QuarantinePort.h>
#include <LibWire/Kernel.h>
#include <asio.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace Spurtide {

constexpr std::string_view QUARANTINE_SERVICE = "quarantine";

/// Keeps the requests that upstreams are kept from, on every VM the same. Whoever finds one tells all VMs at once; one that
/// missed it finds out by the next heartbeat, which carries a digest, and fetches all. The platform's store has them as
/// well, for when all processes start again and for data centres that are cut off from each other.
class QuarantineKeeper {
public:
    struct Options {
        Quarantine::Options quarantine {};
        /// What the store said is good for so long: crashes come in series, and one read serves them.
        Duration store_memory = seconds(2);
        /// Between two tries to write an entry; doubles up to the longest.
        Duration first_write_pause = milliseconds(500);
        Duration longest_write_pause = seconds(8);
        Duration fetch_timeout = milliseconds(500);
    };

    QuarantineKeeper(Options options, Kernel& kernel, KeeperRanking const& ranking, QuarantinePort& store, asio::io_context& loop);

    void start();

    /// How long the request is still kept out; empty where it may be sent.
    std::optional<Duration> held_for(RequestFingerprint const& request) const;
    /// Whether one more crash is enough to keep it out again.
    bool is_on_probation(RequestFingerprint const& request) const;
    /// Those that are kept out, and those on probation.
    std::size_t size() const { return this->quarantine.size(); }

    /// Keeps the request out everywhere from now on.
    void add(RequestFingerprint const& request);

    /// Whether the store was asked lately, with an answer or without.
    bool has_asked_store() const;
    /// Asks it where that is not so.
    void ask_store();

    std::uint64_t digest() const { return this->quarantine.digest(); }
    /// The VM there has a digest, which may be another than here.
    void hear_of(std::string const& endpoint, std::uint64_t digest);
    /// Answers a VM that fetches, and takes what another tells; false for other messages.
    bool handle(wire::Envelope const& request, Kernel::Responder const& respond);

private:
    void merge(QuarantineEntry const& entry, std::string_view source);
    void merge(wire::QuarantineRecords const& records);
    void tell_all(QuarantineEntry const& entry);
    asio::awaitable<void> read_store();
    asio::awaitable<void> write_store();

    Options options;
    Kernel& kernel;
    KeeperRanking const& ranking;
    QuarantinePort& store;
    asio::io_context& loop;
    Quarantine quarantine;
    std::optional<MonotonicTime> store_asked_at;
    bool is_reading = false;
    bool is_writing = false;
    bool is_fetching = false;
    std::map<RequestFingerprint, QuarantineEntry> unwritten;
    std::vector<RequestFingerprint> outdated;
};

}
