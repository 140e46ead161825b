// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <cstdint>
#include <optional>
#include <string>

namespace Spurtide {

/// The row in the platform's store that names the lease holder.
struct LeaseRow {
    std::string holder;
    /// Increases with each write to the row.
    std::int64_t version = 0;
};

/// Tracks one process's participation in a lease that is stored as a row and changed only by conditional writes.
/// Performs no I/O: the owner passes in the time and reads and writes the row.
///
/// The holder counts its term from before the write was sent and gives it up a margin early. Another process takes the
/// row only after observing it unchanged for two terms on its own clock. This leaves a gap between the last order of
/// one holder and the first order of the next, even if the holder was paused.
class LeaseTerm {
public:
    struct Options {
        /// How long a write is valid.
        Duration length = seconds(3);
        /// How much earlier the holder stops; covers the time until its last order arrives.
        Duration margin = milliseconds(800);
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
    /// The version required by a conditional write; 0 if the row must not exist.
    std::int64_t expected_version() const { return this->last_row ? this->last_row->version : 0; }
    std::string const& holder() const { return this->holder_name; }

    void note_read(std::optional<LeaseRow> const& row, MonotonicTime now);
    /// Must be called before a write is sent.
    void note_write_sent(MonotonicTime now);
    void note_written(std::int64_t version, MonotonicTime now);
    /// The write was rejected or its answer was lost, so the row has to be read again.
    void note_write_failed() { this->is_row_known = false; }

    bool is_held(MonotonicTime now) const { return this->held_until && now < *this->held_until; }
    /// Identifies the term to engines; never lower than the token of an earlier holder.
    std::int64_t fence() const { return this->token; }

private:
    void begin_term(std::int64_t version, MonotonicTime sent_at);

    Options options;
    std::string holder_name;
    bool is_row_known = false;
    std::optional<LeaseRow> last_row;
    MonotonicTime unchanged_since;
    MonotonicTime write_sent_at;
    /// When the first write was sent of those that may have produced a row that was not read yet.
    std::optional<MonotonicTime> first_write_in_doubt_at;
    std::optional<MonotonicTime> held_until;
    std::int64_t token = 0;
};

}
