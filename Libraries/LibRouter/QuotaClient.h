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

/// Counts the requests of this VM against the limits of their accounts, which apply to all VMs together. A request is counted
/// before it is sent to an upstream; its cost is refunded if it was not executed.
///
/// A request is paid for from the local credit of its account or else by asking the VM that counts the account. This takes
/// at most one round trip per request, and none for most requests of accounts that are far from their limits. If the counting
/// VM does not answer, the next one in the ranking is asked, and then this VM counts for itself.
class QuotaClient {
public:
    struct Options {
        QuotaCredit::Options credit {};
        /// Timeout for the answer of one VM.
        Duration answer_timeout = milliseconds(300);
        /// After a start of this VM or of the counting one, requests wait until the VMs have discovered each other: rejected
        /// requests would all be retried within the same second. This is the number of polls before this VM counts alone.
        int maximum_polls = 16;
        Duration poll_interval = milliseconds(100);
        /// Time without an answer after which the process is probed.
        Duration probe_delay = milliseconds(100);
        /// How often unused credit is returned if no request for new credit carries it.
        Duration return_interval = milliseconds(500);
    };

    QuotaClient(Options options, Kernel& kernel, VirtualMachineRanking& ranking, QuotaCounter& own_counter);

    void start();

    enum class Outcome {
        Admitted,
        OverLimit,
    };
    struct Decision {
        Outcome outcome = Outcome::Admitted;
        /// When a caller over its limit should retry.
        Duration retry_after {};
    };

    /// Counts a request; the patience is the time that its caller is still willing to wait.
    asio::awaitable<Decision> acquire(std::string account, double cost, Duration patience);
    /// Refunds the cost of a request that was counted but will not be executed.
    void refund(std::string const& account, double cost);

private:
    /// Empty if none of the VMs asked is ready.
    asio::awaitable<std::optional<Decision>> ask_ranked(std::string account, double cost, Duration patience);
    QuotaLedger::Ask create_ask(std::string const& account, double cost, Duration patience);
    std::optional<QuotaLedger::Answer> ask_own(std::string const& account, double cost, Duration patience, QuotaCounter::Mode mode);
    asio::awaitable<std::optional<QuotaLedger::Answer>> ask(std::string virtual_machine, std::string account, double cost, Duration patience);
    Decision apply_answer(std::string const& account, double cost, QuotaLedger::Answer const& answer);
    void return_unused();

    Options options;
    Kernel& kernel;
    VirtualMachineRanking& ranking;
    QuotaCounter& own_counter;
    QuotaCredit credit;
    /// The process that last answered for an account, by account name.
    std::map<std::string, std::string, std::less<>> counting_processes;
};

}
