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
    bool const is_held_by_other = this->last_row && this->last_row->holder != this->holder_name;
    auto const available_from = this->unchanged_since + 2 * this->options.length + this->options.margin;
    if (is_held_by_other && now < available_from)
        return Step::Wait;
    return Step::Write;
}

void LeaseTerm::note_read(std::optional<LeaseRow> const& row, MonotonicTime now)
{
    this->is_row_known = true;
    bool const is_unchanged = this->last_row && row && this->last_row->version == row->version;
    if (!is_unchanged)
        this->unchanged_since = now;
    this->last_row = row;
    bool const is_own = row && row->holder == this->holder_name;
    // A write whose answer was lost took effect. Which of several it was is not known, so its term is counted from the first.
    if (is_own && row->version != this->token)
        this->begin_term(row->version, this->first_write_in_doubt_at.value_or(this->write_sent_at));
    // Earlier writes required another version.
    if (!is_unchanged && row)
        this->first_write_in_doubt_at.reset();
}

void LeaseTerm::note_write_sent(MonotonicTime now)
{
    this->write_sent_at = now;
    this->first_write_in_doubt_at = this->first_write_in_doubt_at.value_or(now);
}

void LeaseTerm::note_written(std::int64_t version, MonotonicTime now)
{
    this->is_row_known = true;
    this->last_row = LeaseRow { this->holder_name, version };
    this->unchanged_since = now;
    this->first_write_in_doubt_at.reset();
    this->begin_term(version, this->write_sent_at);
}

void LeaseTerm::begin_term(std::int64_t version, MonotonicTime sent_at)
{
    this->token = version;
    this->held_until = sent_at + this->options.length - this->options.margin;
}

}
