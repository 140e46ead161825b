// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibAccounts/AccountBook.h>
#include <catch2/catch.hpp>

using namespace Spurtide;

namespace {

ClientAccount account(std::string name, std::vector<std::string> const& keys)
{
    ClientAccount made;
    made.name = std::move(name);
    for (auto const& key : keys)
        made.keys.push_back(KeyDigest::of(key));
    return made;
}

AccountBook book_of(std::vector<ClientAccount> accounts) { return AccountBook::create(std::move(accounts)).release_value(); }

}

TEST_CASE("A key's digest is SHA-256", "[keys]")
{
    // The vectors of FIPS 180-2.
    REQUIRE(KeyDigest::of("abc").to_hex() == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    REQUIRE(KeyDigest::of("").to_hex() == "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855");
    REQUIRE(KeyDigest::of("abc") == KeyDigest::of("abc"));
    REQUIRE_FALSE(KeyDigest::of("abc") == KeyDigest::of("abd"));
}

TEST_CASE("An account is found by each of its keys and by no other", "[keys]")
{
    auto const book = book_of({ account("one", { "a", "b" }), account("two", { "c" }) });
    CHECK(book.find(KeyDigest::of("a"))->name == "one");
    CHECK(book.find(KeyDigest::of("b"))->name == "one");
    CHECK(book.find(KeyDigest::of("c"))->name == "two");
    CHECK(book.find(KeyDigest::of("d")) == nullptr);
    CHECK(book.find(KeyDigest::of("")) == nullptr);
    CHECK(book.find_by_name("two")->name == "two");
    CHECK(book.find_by_name("three") == nullptr);
}

TEST_CASE("Accounts that cannot be told apart are a fault that names the account", "[keys][config]")
{
    struct Row {
        std::vector<ClientAccount> accounts;
        AccountFaultKind kind;
        std::size_t account;
    };
    std::vector<Row> const rows {
        { { account("one", { "a" }), account("", { "b" }) }, AccountFaultKind::MissingName, 1 },
        { { account("one", { "a" }), account("two", { "b" }), account("one", { "c" }) }, AccountFaultKind::DuplicateName, 2 },
        { { account("one", { "a" }), account("two", { "b", "a" }) }, AccountFaultKind::DuplicateKey, 1 },
    };
    for (auto const& row : rows) {
        auto const made = AccountBook::create(row.accounts);
        REQUIRE(made.is_error());
        CHECK(made.error().kind == row.kind);
        CHECK(made.error().account == row.account);
        CHECK_FALSE(to_string(made.error().kind).empty());
    }
    CHECK_FALSE(AccountBook::create({ account("one", { "a", "a" }) }).is_error());
}

TEST_CASE("Who sent a request follows from the key, the route and whether there are accounts", "[keys]")
{
    using Standing = CallerIdentity::Standing;
    auto const book = book_of({ account("one", { "a" }) });
    AccountBook const nobody;
    struct Row {
        AccountBook const* book;
        RouteAccess access;
        std::optional<std::string> key;
        Standing standing;
    };
    std::vector<Row> const rows {
        { nullptr, RouteAccess::Accounts, std::nullopt, Standing::Anonymous },
        { nullptr, RouteAccess::Accounts, "a", Standing::Anonymous },
        { &book, RouteAccess::Accounts, "a", Standing::Account },
        { &book, RouteAccess::Accounts, "x", Standing::Refused },
        { &book, RouteAccess::Accounts, std::nullopt, Standing::Refused },
        { &book, RouteAccess::Anybody, std::nullopt, Standing::Anonymous },
        { &book, RouteAccess::Anybody, "x", Standing::Anonymous },
        { &book, RouteAccess::Anybody, "a", Standing::Account },
        // The last account was taken away; that opens nothing.
        { &nobody, RouteAccess::Accounts, "a", Standing::Refused },
    };
    for (auto const& row : rows) {
        auto const key = row.key ? std::optional<KeyDigest>(KeyDigest::of(*row.key)) : std::nullopt;
        auto const identity = identify_caller(row.book, row.access, key);
        CHECK(identity.standing == row.standing);
        CHECK((identity.account != nullptr) == (row.standing == Standing::Account));
    }
}

TEST_CASE("What a request counts follows from the limit's unit", "[quota]")
{
    ClientAccount made = account("one", {});
    CHECK(made.cost_of(500) == 0);
    made.limit = AccountLimit {};
    CHECK(made.cost_of(500) == 1);
    CHECK(made.cost_of(std::nullopt) == 1);
    made.limit->unit = AccountLimit::Unit::Tokens;
    made.limit->plain_call_tokens = 200;
    CHECK(made.cost_of(500) == 500);
    CHECK(made.cost_of(std::nullopt) == 200);
    CHECK(made.cost_of(-3) == 0);
}

TEST_CASE("Two thousand accounts of several keys are each found", "[keys]")
{
    // The size that deployments are designed for: 2,100 accounts.
    std::vector<ClientAccount> accounts;
    for (int i = 0; i < 2100; ++i) {
        auto const name = "account-" + std::to_string(i);
        accounts.push_back(account(name, { name + "/1", name + "/2", name + "/3" }));
    }
    auto const book = book_of(std::move(accounts));
    for (int i = 0; i < 2100; ++i) {
        auto const name = "account-" + std::to_string(i);
        for (auto const* key : { "/1", "/2", "/3" })
            REQUIRE(book.find(KeyDigest::of(name + key))->name == name);
    }
}
