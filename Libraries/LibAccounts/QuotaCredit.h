// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibAccounts/WindowUse.h>
#include <LibCore/Time.h>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Spurtide {

/// What a VM may still use of accounts' limits, and what it used lately. Pure: time is passed in.
class QuotaCredit {
public:
    struct Options {
        /// What is left of credit goes back so long after its first part came: kept longer, it would be missing at the VMs
        /// where the account's other requests come.
        Duration keep = milliseconds(500);
        /// For how long the VM asks in advance, by its use in the last seconds.
        Duration foresight = milliseconds(500);
        /// How far back its use is told to a ledger that is new in office.
        Duration window = seconds(8);
    };

    enum class Outcome {
        Spent,
        /// The credit that lies here is not enough.
        MustAsk,
    };

    explicit QuotaCredit(Options options);

    Outcome spend(std::string_view account, double cost, MonotonicTime now);
    /// What to ask for beside what a request needs, for those that come soon.
    double foreseen(std::string_view account, MonotonicTime now) const;
    void add(std::string_view account, double amount, MonotonicTime now);
    /// A request that was counted has not run and will not.
    void give_back(std::string_view account, double cost, MonotonicTime now);
    /// What lay here for too long; taking it removes it.
    double take_unused(std::string_view account, MonotonicTime now);
    double used_in_window(std::string_view account, MonotonicTime now) const;
    /// The same by eighths of the window, the newest first; empty where nothing was used.
    std::vector<double> use_by_eighths(std::string_view account, MonotonicTime now) const;

    /// What all VMs used of the account, as the ledger told with its last answer, by eighths of the window.
    void note_known_use(std::string_view account, std::vector<double> use, MonotonicTime now);
    /// The same as of now: what has left the window since is gone from it.
    std::vector<double> known_use(std::string_view account, MonotonicTime now) const;

    struct Unused {
        std::string account;
        double amount = 0;
    };
    /// What lay here for too long, of all accounts; forgets those that were idle for the window.
    std::vector<Unused> take_all_unused(MonotonicTime now);

private:
    /// The window is kept in slices, the oldest of which counts whole.
    static constexpr std::size_t SLICES = 9;

    struct Entry {
        double credit = 0;
        MonotonicTime keep_until;
        WindowUse<SLICES> used;
        std::vector<double> known_use {};
        MonotonicTime known_at;
    };

    std::int64_t slice_at(MonotonicTime now) const;
    Entry& entry_of(std::string_view account, MonotonicTime now);

    Options options;
    Duration slice_length;
    std::map<std::string, Entry, std::less<>> entries;
};

}
