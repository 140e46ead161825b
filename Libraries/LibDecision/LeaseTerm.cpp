// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/LeaseTerm.h>
#include <utility>

namespace Spurtide {

LeaseTerm::LeaseTerm(Options options, std::string holder)
    : options(options)
    , holder_name(std::move(holder))
{
}

LeaseTerm::Step LeaseTerm::next_step(MonotonicTime now, Duration needed) const
{
    if (this->is_held(now + needed))
        return Step::Use;
    if (!this->is_row_known)
        return Step::Read;
    if (now < this->no_term_before)
        return Step::Wait;
    bool const is_own = this->last_row && this->last_row->holder == this->holder_name && (!this->is_restored || this->last_row->version == this->token);
    if (this->last_row && !is_own && now < this->unchanged_since + this->takeover_delay())
        return Step::Wait;
    return Step::Write;
}

void LeaseTerm::note_era(std::int64_t new_era, MonotonicTime now)
{
    if (this->era && new_era <= *this->era)
        return;
    this->is_restored = this->era.has_value();
    this->era = new_era;
    if (!this->is_restored)
        return;
    this->no_term_before = now + this->takeover_delay();
    this->last_row.reset();
    this->is_row_known = false;
}

void LeaseTerm::note_read(LeaseReading const& reading, MonotonicTime now)
{
    this->note_era(reading.position.era, now);
    auto const& row = reading.row;
    bool const is_first_reading = !std::exchange(this->has_read, true);
    // A store that never states an era loses nothing.
    bool const may_be_lost = !row && reading.position.era > 0 && this->options.missing_row == MissingRow::MayBeLost;
    if (is_first_reading && may_be_lost)
        this->no_term_before = now + this->takeover_delay();
    this->is_row_known = true;
    bool const is_unchanged = this->last_row && row && this->last_row->version == row->version;
    if (!is_unchanged)
        this->unchanged_since = now;
    this->last_row = row;
    // A write whose answer was lost took effect. Which of several it was is not known, so its term is counted from the first.
    // After a restoration, the row may be that of the older copy, or of a write that replaced the row of another holder.
    if (row && row->holder == this->holder_name && row->version != this->token && !this->is_restored)
        this->begin_term(row->version, this->first_write_in_doubt_at.value_or(this->write_sent_at));
    // Earlier writes required another version.
    if (!is_unchanged && row)
        this->first_write_in_doubt_at.reset();
}

void LeaseTerm::note_write_sent(MonotonicTime now)
{
    this->write_sent_at = now;
    this->first_write_in_doubt_at = this->first_write_in_doubt_at.value_or(now);
    this->era_of_write = this->era;
}

void LeaseTerm::note_written(StorePosition version, MonotonicTime now)
{
    if (this->era_of_write && version.era != *this->era_of_write) {
        this->note_era(version.era, now);
        this->is_row_known = false;
        return;
    }
    this->is_row_known = true;
    this->last_row = LeaseRow { this->holder_name, version };
    this->unchanged_since = now;
    this->first_write_in_doubt_at.reset();
    this->begin_term(version, this->write_sent_at);
}

void LeaseTerm::begin_term(StorePosition version, MonotonicTime sent_at)
{
    this->token = version;
    this->held_until = sent_at + this->options.length - this->options.margin;
}

}
