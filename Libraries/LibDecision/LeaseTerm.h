// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <cstdint>
#include <optional>
#include <string>

namespace Spurtide {

/// The one row that says who may give orders, as the platform keeps it.
struct LeaseRow {
    std::string holder;
    /// Rises with each write to the row.
    std::int64_t version = 0;
};

/// One process's part in a lease that is kept as a row of the platform's store and changed by conditional
/// writes alone. Pure: time is passed in, and whoever owns it reads and writes the row.
///
/// A holder counts its term from before its write was sent, and ends it a margin early. Another process takes
/// the row only after it saw it unchanged for two terms by its own clock, so that some time lies between the
/// last order of one holder and the first of the next, also where a holder was paused.
class LeaseTerm {
public:
    struct Options {
        /// How long one write is good for.
        Duration length = seconds(3);
        /// The holder stops so much earlier; covers what its last order takes to arrive.
        Duration margin = milliseconds(800);
    };

    enum class Step {
        /// The lease is held for long enough.
        Use,
        /// Read the row: nothing is known of it, or a write is in doubt.
        Read,
        /// Write the row, on condition of expected_version().
        Write,
        /// Another process holds it.
        Wait,
    };

    /// The holder's name is that of one start of one process.
    LeaseTerm(Options options, std::string holder);

    /// What has to be done to hold the lease from now until some time from now.
    Step next_step(MonotonicTime now, Duration needed) const;
    /// Version that a write has to find; 0 stands for no row.
    std::int64_t expected_version() const { return this->last_row ? this->last_row->version : 0; }
    std::string const& holder() const { return this->holder_name; }

    void note_read(std::optional<LeaseRow> const& row, MonotonicTime now);
    /// Call just before a write is sent.
    void note_write_sent(MonotonicTime now);
    void note_written(std::int64_t version, MonotonicTime now);
    /// The write was refused, or its answer is lost; the row has to be read.
    void note_write_failed() { this->is_row_known = false; }

    bool is_held(MonotonicTime now) const { return this->held_until && now < *this->held_until; }
    /// Names the term to engines: never lower than that of an earlier holder.
    std::int64_t fence() const { return this->token; }

private:
    Options options;
    std::string holder_name;
    bool is_row_known = false;
    std::optional<LeaseRow> last_row;
    MonotonicTime unchanged_since;
    MonotonicTime write_sent_at;
    std::optional<MonotonicTime> held_until;
    std::int64_t token = 0;
};

}
