// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibRouter/UpstreamLimitCounter.h>
#include <asio.hpp>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Spurtide {

/// Keeps this VM's requests within the limits that upstreams name for all VMs together. Before a request goes to such an
/// upstream it asks for a turn of the VM that counts for it, a message there and back. Where that VM does not answer the next
/// one stands in, then this VM counts for itself.
class UpstreamLimiter {
public:
    struct Options {
        /// Longest wait for one VM's answer.
        Duration answer_time = milliseconds(150);
        /// Silence after which its process is asked whether it is there.
        Duration silence = milliseconds(50);
        /// A VM that was denied a turn does not ask for another one for at most so long, while others can take its requests.
        Duration longest_pause = milliseconds(250);
        /// When a VM that does not know the others yet looks again.
        Duration unsettled_pause = milliseconds(100);
        /// Longest wait for what another VM knows.
        Duration fetch_timeout = milliseconds(500);
    };
    using Ask = UpstreamLimitCounter::Ask;
    using Turn = UpstreamPacer::Turn;

    /// The book is this VM's.
    UpstreamLimiter(Options options, Kernel& kernel, KeeperRanking& ranking, UpstreamLimitTable& book, UpstreamLimitCounter& own_counter);

    /// Takes what an answer said, and tells the VM that counts where that changes something.
    UpstreamLimitTable::Change note(std::string_view upstream, UpstreamLimitStatement const& statement);
    std::optional<double> rate_of(std::string_view upstream) const { return this->book.rate_of(upstream); }

    /// Granted at once where the upstream has no limit.
    asio::awaitable<Turn> take(Ask ask);
    /// A granted request was not sent.
    void give_back(std::string const& upstream);

    /// Time until it makes sense to ask for a turn again; zero where a request may ask now.
    Duration pause_left(std::string_view upstream, MonotonicTime now) const;
    /// Of the upstreams whose limits are known here.
    std::uint64_t digest() const { return this->book.digest(); }
    /// Another VM knows of limits of other upstreams; what it knows is asked for.
    void hear_of(std::string const& endpoint, std::uint64_t other);

    /// Forgets upstreams that have no limit any more.
    void forget_unlimited();

private:
    asio::awaitable<Turn> ask_ranked(Ask ask);
    asio::awaitable<std::optional<Turn>> ask_other(std::string virtual_machine, Ask ask);

    Options options;
    Kernel& kernel;
    KeeperRanking& ranking;
    UpstreamLimitTable& book;
    UpstreamLimitCounter& own_counter;
    std::map<std::string, MonotonicTime, std::less<>> paused_until;
    bool is_fetching = false;
};

}
