// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <map>
#include <string>
#include <string_view>

namespace Spurtide {

/// Weighted usage of a shared resource by account: what each account holds now, and what it consumed recently, with
/// exponential decay. Schedulers serve the account with the lowest usage first, which approximates weighted max-min
/// fairness and is work-conserving. The unit of amounts is up to the user. Time is passed in.
class AccountShares {
public:
    struct Options {
        /// Time constant of the decay of consumption.
        Duration decay_time = seconds(10);
        /// An account that neither held nor consumed anything for this long is inactive. Once it is active again it
        /// starts level with the active account of lowest usage, with no credit for the past.
        Duration inactive_after = seconds(10);
    };

    explicit AccountShares(Options options)
        : options(options)
    {
    }

    /// Accounts without a weight have weight 1. Weights are greater than 0.
    void set_weight(std::string_view account, double weight);
    /// Call when a request of the account arrives, before its usage is compared with that of others.
    void note_active(std::string_view account, MonotonicTime now);
    void hold(std::string_view account, double amount, MonotonicTime now);
    void release(std::string_view account, double amount, MonotonicTime now);
    void consume(std::string_view account, double amount, MonotonicTime now);

    /// (Held amount + decayed consumption) / weight; 0 for unknown accounts.
    double usage(std::string_view account, MonotonicTime now) const;
    double held(std::string_view account) const;
    double weight(std::string_view account) const;
    /// Whether another account has been active lately.
    bool has_other_active(std::string_view account, MonotonicTime now) const;
    /// Forgets inactive accounts that hold nothing and have the default weight.
    void forget_inactive(MonotonicTime now);

private:
    struct Account {
        double weight = 1;
        double held = 0;
        double consumed = 0;
        MonotonicTime decayed_at;
        MonotonicTime active_at;
    };

    Account& find_or_add(std::string_view account, MonotonicTime now);
    double consumed(Account const& account, MonotonicTime now) const;
    double usage(Account const& account, MonotonicTime now) const;
    bool is_active(Account const& account, MonotonicTime now) const;
    static void set_consumed(Account& account, double amount, MonotonicTime now);

    Options options;
    std::map<std::string, Account, std::less<>> accounts;
};

}
