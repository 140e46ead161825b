// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibAccounts/KeyDigest.h>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Spurtide {

/// What an account may use, over all VMs together: so much a second, and a burst above that.
struct AccountLimit {
    enum class Unit {
        Requests,
        Tokens,
    } unit
        = Unit::Requests;
    /// Units a second; more than 0.
    double rate = 1;
    /// Units that an account which was idle may use at once.
    double burst = 1;
    /// What a call counts that names no tokens, where tokens are the unit.
    double plain_call_tokens = 0;
};

/// A client account of the configuration.
struct ClientAccount {
    std::string name;
    std::vector<KeyDigest> keys;
    /// 0 goes first, before routes' own priorities are looked at.
    std::int64_t priority = 0;
    /// Empty for accounts without a limit.
    std::optional<AccountLimit> limit;
    /// Regions that its requests stay in; empty for all.
    std::vector<std::string> home_regions {};

    /// What one request counts against the limit: 1, or the tokens that it names, prompt and longest answer together.
    /// 0 without a limit.
    double cost_of(std::optional<double> tokens) const;
};

}
