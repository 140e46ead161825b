// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibWire/WireUpstreamLimits.h>
#include <algorithm>
#include <cmath>

namespace Spurtide {

void write_statement(std::string_view upstream, UpstreamLimitTable const& book, MonotonicTime now, wire::UpstreamLimitStatement& message)
{
    message.set_upstream(std::string(upstream));
    auto const statement = book.statement_of(upstream);
    if (!statement)
        return;
    message.set_kind(statement->rate ? wire::UPSTREAM_LIMIT_NAMED : wire::UPSTREAM_LIMIT_OVER);
    message.set_rate(statement->rate.value_or(0));
    message.set_age_microseconds(std::chrono::duration_cast<Duration>(now - statement->as_of).count());
    message.set_origin(statement->origin);
    message.set_sequence(statement->sequence);
}

UpstreamLimitTable::Change take_statement(wire::UpstreamLimitStatement const& message, UpstreamLimitTable& book, MonotonicTime now)
{
    auto const age = Duration(std::max<std::int64_t>(0, message.age_microseconds()));
    UpstreamLimitStatement statement { {}, now - age, message.origin(), message.sequence() };
    switch (message.kind()) {
    case wire::UPSTREAM_LIMIT_OVER:
        return book.merge(message.upstream(), statement);
    case wire::UPSTREAM_LIMIT_NAMED:
        if (!std::isfinite(message.rate()) || message.rate() < 0)
            return UpstreamLimitTable::Change::None;
        statement.rate = message.rate();
        return book.merge(message.upstream(), statement);
    default:
        return UpstreamLimitTable::Change::None;
    }
}

}
