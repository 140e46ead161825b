// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/LeaseTerm.h>
#include <utility>

namespace Spurtide {

LeaseTerm::LeaseTerm(Options options, std::string holder)
    : options(options)
    , name(std::move(holder))
{
}

LeaseTerm::Step LeaseTerm::next_step(MonotonicTime now, Duration needed) const
{
    if (this->is_held(now + needed))
        return Step::Use;
    if (!this->is_known)
        return Step::Read;
    bool const is_foreign = this->seen && this->seen->holder != this->name;
    auto const free_from = this->seen_since + 2 * this->options.length + this->options.margin;
    if (is_foreign && now < free_from)
        return Step::Wait;
    return Step::Write;
}

void LeaseTerm::note_read(std::optional<LeaseRow> const& row, MonotonicTime now)
{
    this->is_known = true;
    bool const is_unchanged = this->seen && row && this->seen->version == row->version;
    if (!is_unchanged)
        this->seen_since = now;
    this->seen = row;
    bool const is_own = row && row->holder == this->name;
    // A write whose answer was lost took effect. Its term began when it was sent, or later.
    if (is_own && row->version != this->token)
        this->note_written(row->version, now);
}

void LeaseTerm::note_write_sent(MonotonicTime now)
{
    this->write_sent = now;
}

void LeaseTerm::note_written(std::int64_t version, MonotonicTime now)
{
    this->is_known = true;
    this->seen = LeaseRow { this->name, version };
    this->seen_since = now;
    this->token = version;
    this->held_until = this->write_sent + this->options.length - this->options.margin;
}

}
