// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibAccounts/AccountBook.h>
#include <array>

namespace Spurtide {

std::string_view to_string(AccountFaultKind kind)
{
    constexpr std::array<std::string_view, 3> NAMES = { "missing_name", "duplicate_name", "duplicate_key" };
    return NAMES.at(static_cast<std::size_t>(kind));
}

Result<AccountBook, AccountFault> AccountBook::create(std::vector<ClientAccount> accounts)
{
    AccountBook book;
    for (std::size_t i = 0; i < accounts.size(); ++i) {
        if (accounts[i].name.empty())
            return Failure { AccountFault { AccountFaultKind::MissingName, i } };
        if (!book.by_name.emplace(accounts[i].name, i).second)
            return Failure { AccountFault { AccountFaultKind::DuplicateName, i } };
        for (auto const& key : accounts[i].keys) {
            // An account that names a key twice means nothing else than one that names it once.
            auto const [place, is_new] = book.by_key.emplace(key, i);
            if (!is_new && place->second != i)
                return Failure { AccountFault { AccountFaultKind::DuplicateKey, i } };
        }
    }
    book.all = std::move(accounts);
    return book;
}

ClientAccount const* AccountBook::find(KeyDigest const& key) const
{
    auto const found = this->by_key.find(key);
    return found == this->by_key.end() ? nullptr : &this->all[found->second];
}

ClientAccount const* AccountBook::find_by_name(std::string_view name) const
{
    auto const found = this->by_name.find(name);
    return found == this->by_name.end() ? nullptr : &this->all[found->second];
}

CallerIdentity identify_caller(AccountBook const* book, RouteAccess access, std::optional<KeyDigest> const& key)
{
    if (!book)
        return { CallerIdentity::Standing::Anonymous, nullptr };
    if (key) {
        if (auto const* account = book->find(*key))
            return { CallerIdentity::Standing::Account, account };
    }
    if (access == RouteAccess::Anybody)
        return { CallerIdentity::Standing::Anonymous, nullptr };
    return { CallerIdentity::Standing::Refused, nullptr };
}

}
