// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibAccounts/ClientAccount.h>
#include <LibCore/Result.h>
#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Spurtide {

/// Why accounts cannot be told apart.
enum class AccountFaultKind {
    MissingName,
    DuplicateName,
    /// Two accounts have the same key.
    DuplicateKey,
};

std::string_view to_string(AccountFaultKind kind);

struct AccountFault {
    AccountFaultKind kind;
    /// Index of the account at fault.
    std::size_t account = 0;
};

/// The accounts of one configuration, found by key in constant time.
class AccountBook {
public:
    static Result<AccountBook, AccountFault> create(std::vector<ClientAccount> accounts);

    /// The account that has the key; null where none has.
    ClientAccount const* find(KeyDigest const& key) const;
    ClientAccount const* find_by_name(std::string_view name) const;
    std::vector<ClientAccount> const& accounts() const { return this->all; }

private:
    std::vector<ClientAccount> all;
    std::unordered_map<KeyDigest, std::size_t, KeyDigestHash> by_key;
    std::map<std::string, std::size_t, std::less<>> by_name;
};

/// Who may use a route.
enum class RouteAccess {
    /// Callers with the key of an account.
    Accounts,
    /// Anybody; one who has a key all the same is known by it.
    Anybody,
};

/// Who sent a request, by one configuration.
struct CallerIdentity {
    enum class Standing {
        /// The configuration has no accounts, or the route is open and no known key came.
        Anonymous,
        Account,
        /// A key is needed, and none came or the one that came is no account's.
        Refused,
    } standing
        = Standing::Refused;
    /// Set for Account; lives as long as the book.
    ClientAccount const* account = nullptr;
};

/// The book is null where the configuration has no accounts at all.
CallerIdentity identify_caller(AccountBook const* book, RouteAccess access, std::optional<KeyDigest> const& key);

}
