// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibDecision/AccountShares.h>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace Spurtide {

/// How accounts share the decode memory of a model's engines: what each holds, held lately, and asked for lately. All amounts
/// are tokens of memory. Time is passed in.
class DecodeMemoryShares {
public:
    struct Options {
        /// Time constant of past use and demand.
        Duration decay_time = seconds(10);
        /// Fraction by which the accounts' need may exceed its average, since requests arrive at random.
        double need_margin = 0.25;
    };

    DecodeMemoryShares();
    explicit DecodeMemoryShares(Options options);

    void set_weight(std::string_view account, double weight);
    /// Records a request that will hold the given memory for the given time if it is placed.
    void note_ask(std::string_view account, std::int64_t priority, double tokens, Duration expected_time, MonotonicTime now);
    void hold(std::string_view account, double tokens, MonotonicTime now);
    void release(std::string_view account, double tokens, Duration held_for, MonotonicTime now);

    /// Memory held now and, on average, lately, divided by the account's weight.
    double usage(std::string_view account, MonotonicTime now) const { return this->shares.usage(account, now); }

    /// Whether the account would exceed its share with a further request, while there is less memory than all active accounts
    /// need. Shares are max-min fair: what accounts do not need of an equal share is divided among the others.
    bool is_over_share(std::string_view account, double tokens, double free_memory, MonotonicTime now) const;
    /// Whether the free memory beyond a request of an account that is over its share is needed by the other active accounts of
    /// at least the same priority.
    bool is_needed_by_others(std::string_view account, std::int64_t priority, double tokens, double free_memory, MonotonicTime now) const;

private:
    struct Account {
        double weight = 1;
        double held = 0;
        /// Average memory that its requests need, decayed since demand_at.
        double demand = 0;
        MonotonicTime demand_at;
        std::int64_t priority = 0;
    };

    double demand_of(Account const& account, MonotonicTime now) const;
    double need_of(Account const& account, MonotonicTime now) const;
    bool is_active(Account const& account, MonotonicTime now) const;

    Options options;
    AccountShares shares;
    std::map<std::string, Account, std::less<>> accounts;
};

}
