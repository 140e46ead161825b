// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibDecision/UpstreamList.h>
#include <LibRouter/UpstreamLimitCounter.h>
#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Spurtide {

/// Keeps the requests of this VM within the rate limits that upstreams set for all VMs together, and out of the pauses that they
/// request from this VM. Before a request is sent to
/// such an upstream, a turn is requested from the VM that counts for the upstream, which takes one round trip. If that VM does
/// not answer, the next one in the ranking is asked, and then this VM counts for itself.
class UpstreamLimiter {
public:
    struct Options {
        /// Timeout for the answer of one VM.
        Duration answer_timeout = milliseconds(150);
        /// Time without an answer after which the process is probed.
        Duration probe_delay = milliseconds(50);
        /// The longest time for which a VM that was denied a turn requests no other one, while other upstreams can take its
        /// requests.
        Duration maximum_pause = milliseconds(250);
        /// Delay before a VM that has not yet discovered the others checks again.
        Duration discovery_delay = milliseconds(100);
        /// Timeout for fetching the limits known to another VM.
        Duration fetch_timeout = milliseconds(500);
        /// Digest of the departures that are passed on together with the limits.
        std::function<std::uint64_t()> departures_digest = [] { return std::uint64_t { 0 }; };
    };
    using TurnRequest = UpstreamLimitCounter::TurnRequest;
    using Turn = UpstreamPacer::Turn;

    /// The book is the one of this VM.
    UpstreamLimiter(Options options, Kernel& kernel, VirtualMachineRanking& ranking, UpstreamLimitTable& book, UpstreamLimitCounter& own_counter);

    /// Records the limit stated in an upstream's answer, and notifies the counting VM if the limit changed.
    UpstreamLimitTable::Change note(std::string_view upstream, UpstreamLimitStatement const& statement);
    std::optional<double> rate_of(std::string_view upstream) const { return this->book.rate_of(upstream); }

    /// Requests a turn; granted at once if the upstream has no limit.
    asio::awaitable<Turn> request_turn(TurnRequest turn_request);
    /// Returns the turn of a request that was not sent.
    void return_turn(std::string const& upstream);

    /// Time until a turn should be requested again; zero if it may be requested now.
    Duration pause_left(std::string_view upstream, MonotonicTime now) const;
    /// Records that the upstream asked this VM to send it no requests for the given time.
    void note_pause(UpstreamRecord const& upstream, Duration pause);
    /// Time until a request may be sent to an upstream that requested a pause, with the slow start after the pause taken into
    /// account; zero if one may be sent now.
    Duration requested_pause_left(UpstreamRecord const& upstream, MonotonicTime now) const;
    /// Call right before a request is sent to the upstream.
    void note_sent(UpstreamRecord const& upstream);
    /// Returns the delay after which a caller should retry that is refused because of the upstream's pause.
    Duration assign_retry(UpstreamRecord const& upstream);

    /// Digest of the limits and departures known to this VM.
    std::uint64_t digest() const { return this->book.digest() ^ this->options.departures_digest(); }
    /// Handles the digest of another VM; fetches that VM's limits and departures if it differs from this one's.
    void handle_digest(std::string const& endpoint, std::uint64_t other);

    /// Removes the state of upstreams that no longer have a limit.
    void forget_unlimited();

private:
    asio::awaitable<Turn> ask_ranked(TurnRequest turn_request);
    asio::awaitable<std::optional<Turn>> ask_other(std::string virtual_machine, TurnRequest turn_request);

    Options options;
    Kernel& kernel;
    VirtualMachineRanking& ranking;
    UpstreamLimitTable& book;
    UpstreamLimitCounter& own_counter;
    /// Identifies this process in statements.
    std::uint64_t origin;
    std::map<std::string, MonotonicTime, std::less<>> paused_until;
    bool is_fetching = false;
};

}
