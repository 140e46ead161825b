// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibAccounts/QuotaCredit.h>
#include <LibRouter/QuotaCounter.h>
#include <asio.hpp>
#include <map>
#include <optional>
#include <string>

namespace Spurtide {

/// Counts the requests of this VM against their accounts' limits, which hold over all VMs together. A request is
/// counted before it is sent to an upstream, and its cost is given back where it has not run.
///
/// The VM that counts the account is asked, unless credit from an earlier ask lies here; a message there and back for
/// a request at most, none for most requests of accounts that are far from their limits. One that does not answer is
/// passed over, then the next stands in, then this VM counts for itself.
class QuotaClient {
public:
    struct Options {
        QuotaCredit::Options credit {};
        /// Longest wait for one VM's answer.
        Duration answer_time = milliseconds(300);
        /// After a start, of this VM or of the one that counts, requests wait for the VMs to meet: refused, they would come
        /// back into the same second. Polls of this many, at most, while none is ready.
        int longest_polls = 16;
        Duration poll = milliseconds(100);
        /// Silence after which its process is asked whether it is there.
        Duration silence = milliseconds(100);
        /// How often unused credit goes back where no ask takes it along.
        Duration return_interval = milliseconds(500);
    };

    QuotaClient(Options options, Kernel& kernel, KeeperRanking& ranking, QuotaCounter& own_counter);

    void start();

    enum class Outcome {
        Counted,
        OverLimit,
    };
    struct Decision {
        Outcome outcome = Outcome::Counted;
        /// When an over-limit caller should come back.
        Duration retry_after {};
    };

    /// Counts a request; the patience is how long its caller still waits.
    asio::awaitable<Decision> take(std::string account, double cost, Duration patience);
    /// A request that was counted has not run and will not.
    void give_back(std::string const& account, double cost);

private:
    /// Empty where none that was asked is ready.
    asio::awaitable<std::optional<Decision>> ask_ranked(std::string account, double cost, Duration patience);
    QuotaLedger::Ask ask_for(std::string const& account, double cost, Duration patience);
    std::optional<QuotaLedger::Answer> ask_own(std::string const& account, double cost, Duration patience, QuotaCounter::Standing standing);
    asio::awaitable<std::optional<QuotaLedger::Answer>> ask(std::string virtual_machine, std::string account, double cost, Duration patience);
    Decision settle(std::string const& account, double cost, QuotaLedger::Answer const& answer);
    void return_unused();

    Options options;
    Kernel& kernel;
    KeeperRanking& ranking;
    QuotaCounter& own_counter;
    QuotaCredit credit;
    /// The counting process that answered last, by account.
    std::map<std::string, std::string, std::less<>> counters;
};

}
