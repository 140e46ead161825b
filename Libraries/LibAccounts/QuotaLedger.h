// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibAccounts/AccountBook.h>
#include <LibAccounts/WindowUse.h>
#include <LibCore/Time.h>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace Spurtide {

/// Counts accounts against their limits on the VM that does so for all others, and gives out what VMs' requests need.
/// Pure: time is passed in.
///
/// An account may use, in any window, its rate over the window and one burst. The window is counted as such: a token
/// bucket, which holds the burst alone, refuses requests of small accounts that stay below their limit, since a burst of
/// a second's rate may be two streams: of fifteen accounts it refused 270 requests in half a minute with bursts, by the log.
///
/// Within the window an account may not use more than its rate and three eighths of the window's rate beside the burst:
/// one that used all of a window at once and whose VMs are then all killed, so that nobody knows, would use another.
///
/// Nothing of it is stored. A ledger that is new in office learns what its accounts used lately from the VMs that ask,
/// each of which says so in its first ask, and what all used by the last answer that it got; so a holder that dies gives
/// nobody a second burst, and of two sides of a cut neither gives out what the other had used. For VMs that started within
/// the window, and so may have lost what they knew, it assumes that they used all they might: after a kill of all an
/// account has its rate from the first moment on, and its burst a window later.
class QuotaLedger {
public:
    struct Options {
        /// The sliding window over which operators watch limits.
        Duration window = seconds(8);
        /// Units over the limit that operators put up with in a window, beside a tenth of it, for errors of counting. Half
        /// of it, less what the rate alone may come to, is given to accounts whose use was forgotten: else the first
        /// streams of small accounts wait half a second for their rate.
        double tolerance = 0;
    };

    struct Ask {
        /// What the request at hand needs.
        double needed = 0;
        /// That, and what the VM expects to need soon. Given only where the account is far from its limit.
        double wanted = 0;
        /// What the VM got earlier and did not use.
        double returned = 0;
        /// What it used within the window, where it has not told this ledger before: by eighths of the window, the
        /// newest first, which may have just begun.
        std::vector<double> used_before {};
        /// What all VMs used, in the same way, as another ledger last told the VM; given with used_before. Of what a VM
        /// cannot reach any more nobody else can tell.
        std::vector<double> known_use {};
        /// How long the caller can wait; one who is told to come back later than that does not come.
        Duration patience {};
    };

    struct Answer {
        /// At least what is needed, or 0.
        double granted = 0;
        /// When it will be there, behind others who were told to come back before.
        Duration retry_after {};
        /// What all VMs used, for a ledger that is asked after this one.
        std::vector<double> known_use {};
    };

    explicit QuotaLedger(Options options);

    /// How much of a limit this ledger may give; both are more than 0, up to 1.
    struct Share {
        /// Of the deployment that this ledger counts for. Use is kept as if the others used their part alike, so that a
        /// part which changes neither frees nor binds more.
        double part = 1;
        /// Beyond this part of the window nothing is given, where another ledger may count as well.
        double most = 1;
        /// Part of the VMs that may have lost what they used.
        double forgotten = 0;
    };

    Answer take(std::string_view account, AccountLimit const& limit, Share share, Ask const& ask, MonotonicTime now);
    /// Takes back what a VM did not use.
    void give_back(std::string_view account, double amount, MonotonicTime now);
    /// Forgets accounts that the configuration has no more.
    void retain(AccountBook const& book);

    /// What the account may still use now, as a part of what it may use in a window; empty where nothing was asked for
    /// it here.
    std::optional<double> free_part(std::string_view account, MonotonicTime now);

private:
    /// The window is kept in slices; the oldest counts whole, so at most a thirty-second of it too long.
    static constexpr std::size_t SLICES = 33;
    static constexpr std::size_t SLICES_IN_EIGHTH = 4;

    struct Booking {
        MonotonicTime at;
        double amount = 0;
    };

    struct Entry {
        AccountLimit limit;
        double part = 1;
        WindowUse<SLICES> used;
        /// What others used beyond that and told no ledger here. What they tell takes its place.
        WindowUse<SLICES> used_elsewhere;
        /// What may be used at once, filled at the rate.
        double at_once = 0;
        MonotonicTime filled;
        /// Callers who were told when to come back.
        std::deque<Booking> bookings;

        double sum_of_both() const { return this->used.sum() + this->used_elsewhere.sum(); }
    };

    std::int64_t slice_at(MonotonicTime now) const;
    double allowance(AccountLimit const& limit) const;
    double reserve(AccountLimit const& limit) const;
    double unknown_start(AccountLimit const& limit) const;
    Entry& entry_of(std::string_view account, AccountLimit const& limit, Share share, MonotonicTime now);
    Entry first_entry(AccountLimit const& limit, Share share, MonotonicTime now) const;
    void remove_use(Entry& entry, double amount) const;
    void advance(Entry& entry, MonotonicTime now) const;
    static void add_earlier_use(Entry& entry, std::vector<double> const& used, double part);
    static void add_known_use(Entry& entry, std::vector<double> const& known);
    static std::vector<double> use_by_eighths(Entry const& entry);
    Duration book_return(Entry& entry, double needed, double allowed, Duration patience, MonotonicTime now) const;

    Options options;
    Duration slice_length;
    std::map<std::string, Entry, std::less<>> entries;
};

}
