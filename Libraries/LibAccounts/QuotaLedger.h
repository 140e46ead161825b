// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibAccounts/AccountBook.h>
#include <LibCore/Time.h>
#include <map>
#include <string>

namespace Spurtide {

/// Counts accounts against their limits on the VM that does so for all others: exact token buckets, out of which VMs
/// get what their requests need. Pure: time is passed in.
///
/// Nothing of it is stored. A ledger that is new in office learns what its accounts used lately from the VMs that ask,
/// each of which says so in its first ask; so a holder that dies gives nobody a second burst.
class QuotaLedger {
public:
    struct Options {
        /// How long use before this ledger's term counts: the sliding window over which operators watch limits.
        Duration window = seconds(8);
    };

    struct Ask {
        /// What the request at hand needs.
        double needed = 0;
        /// That, and what the VM expects to need soon. Given only where the account is far from its limit.
        double wanted = 0;
        /// What the VM got earlier and did not use.
        double returned = 0;
        /// What it used within the window, where it has not told this ledger before.
        double used_before = 0;
        /// How long the caller can wait; one who is told to come back later than that does not come.
        Duration patience {};
    };

    struct Answer {
        /// At least what is needed, or 0.
        double granted = 0;
        /// When it will be there, behind others who were told to come back before.
        Duration retry_after {};
    };

    explicit QuotaLedger(Options options)
        : options(options)
    {
    }

    /// Takes from an account, of whose limit this ledger may give the named part (more than 0, up to 1).
    Answer take(std::string_view account, AccountLimit const& limit, double part, Ask const& ask, MonotonicTime now);
    /// Takes back what a VM did not use.
    void give_back(std::string_view account, double amount, MonotonicTime now);
    /// Forgets accounts that the configuration has no more.
    void retain(AccountBook const& book);

    /// What the account could use at once; empty where nothing was asked for it here.
    std::optional<double> level(std::string_view account) const;

private:
    struct Entry {
        AccountLimit limit;
        /// In force: the limit's, times the part.
        double rate = 0;
        double capacity = 0;
        double level = 0;
        /// What VMs said that they used before this ledger counted.
        double used_before = 0;
        MonotonicTime began;
        MonotonicTime updated;
        /// Up to when the rate is spoken for by callers who were told to come back.
        MonotonicTime booked_until;
    };

    Entry& entry_of(std::string_view account, AccountLimit const& limit, double part, MonotonicTime now);
    void count_earlier_use(Entry& entry, double used, MonotonicTime now) const;
    static Duration book_return(Entry& entry, Ask const& ask, MonotonicTime now);

    Options options;
    std::map<std::string, Entry, std::less<>> entries;
};

}
