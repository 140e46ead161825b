// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <LibDecision/StorePosition.h>
#include <cstdint>
#include <optional>
#include <string>

namespace Spurtide {

/// The row in the platform's store that names the lease holder.
struct LeaseRow {
    std::string holder;
    /// Increases with each write to the row.
    StorePosition version;
};

/// What a read of the row found.
struct LeaseReading {
    /// Empty if there is no row.
    std::optional<LeaseRow> row;
    /// The position that the answer reflects.
    StorePosition position;
};

/// Tracks one process's participation in a lease that is stored as a row and changed only by conditional writes.
/// Performs no I/O: the owner passes in the time and reads and writes the row.
///
/// The holder counts its term from before the write was sent and gives it up a margin early. Another process takes the
/// row only after observing it unchanged for two terms on its own clock. This leaves a gap between the last order of
/// one holder and the first order of the next, even if the holder was paused.
///
/// A new era of the store may lack the rows of terms that still run, and give out their versions to other rows. Terms that
/// run are used to their end; no process begins one until all of the earlier era are over, as with the row of another holder.
class LeaseTerm {
public:
    /// What a row that the first read does not find means.
    enum class MissingRow {
        /// It may have been lost with a restoration before this process started, so another holder's term may run.
        MayBeLost,
        /// No process held the lease before this one started.
        NeverWritten,
    };

    struct Options {
        /// How long a write is valid.
        Duration length = seconds(3);
        /// How much earlier the holder stops; covers the time until its last order arrives.
        Duration margin = milliseconds(800);
        MissingRow missing_row = MissingRow::MayBeLost;
    };

    enum class Step {
        /// The lease is held for long enough.
        Use,
        /// Read the row: its state is unknown or a write is in doubt.
        Read,
        /// Write the row conditionally on expected_version().
        Write,
        /// Another process holds the lease.
        Wait,
    };

    /// The holder's name identifies one incarnation of a process.
    LeaseTerm(Options options, std::string holder);

    /// The next step needed to hold the lease from now on for the given duration.
    Step next_step(MonotonicTime now, Duration needed) const;
    /// The version required by a conditional write; version 0 if the row must not exist.
    StorePosition expected_version() const { return this->last_row ? this->last_row->version : StorePosition(); }
    std::string const& holder() const { return this->holder_name; }

    /// The store is known to be in an era, from any of its answers.
    void note_era(std::int64_t era, MonotonicTime now);
    void note_read(LeaseReading const& reading, MonotonicTime now);
    /// Must be called before a write is sent.
    void note_write_sent(MonotonicTime now);
    /// The write succeeded. If it did so in a new era, it may have matched a row other than the one that was read, and begins no
    /// term.
    void note_written(StorePosition version, MonotonicTime now);
    /// The write was rejected or its answer was lost, so the row has to be read again.
    void note_write_failed() { this->is_row_known = false; }

    bool is_held(MonotonicTime now) const { return this->held_until && now < *this->held_until; }
    /// Identifies the term to engines; never lower than the token of an earlier holder, of an earlier era too.
    std::int64_t fence() const { return this->token.ordinal(); }

private:
    /// How long a row has to be unchanged before another process takes it.
    Duration takeover_delay() const { return 2 * this->options.length + this->options.margin; }
    void begin_term(StorePosition version, MonotonicTime sent_at);

    Options options;
    std::string holder_name;
    /// Empty before the first answer.
    std::optional<std::int64_t> era;
    /// Whether the row was read at least once.
    bool has_read = false;
    /// Whether the store was restored since the first answer.
    bool is_restored = false;
    /// Until then terms of the earlier era may run.
    MonotonicTime no_term_before;
    bool is_row_known = false;
    std::optional<LeaseRow> last_row;
    MonotonicTime unchanged_since;
    MonotonicTime write_sent_at;
    /// When the first write was sent of those that may have produced a row that was not read yet.
    std::optional<MonotonicTime> first_write_in_doubt_at;
    /// The era that was known when the last write was sent.
    std::optional<std::int64_t> era_of_write;
    std::optional<MonotonicTime> held_until;
    StorePosition token;
};

}
