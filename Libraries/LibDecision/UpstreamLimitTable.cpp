// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/UpstreamLimitTable.h>
#include <algorithm>
#include <xxhash.h>

namespace Spurtide {

UpstreamLimitTable::Change UpstreamLimitTable::merge(std::string_view upstream, UpstreamLimitStatement const& statement)
{
    auto found = this->statements.find(upstream);
    if (found == this->statements.end()) {
        if (!statement.rate)
            return Change::None;
        found = this->statements.emplace(std::string(upstream), Known { statement, {} }).first;
        found->second.merged.emplace(statement.origin, statement.sequence);
        return Change::InForce;
    }
    auto& known = found->second;
    if (statement.origin != 0) {
        auto const [latest, is_first] = known.merged.try_emplace(statement.origin, statement.sequence);
        if (!is_first && statement.sequence <= latest->second)
            return Change::None;
        latest->second = statement.sequence;
    }
    bool const is_same_origin = statement.origin != 0 && statement.origin == known.statement.origin;
    if (!is_same_origin && statement.as_of <= known.statement.as_of)
        return Change::None;
    bool const is_other = statement.rate != known.statement.rate;
    known.statement = statement;
    return is_other ? Change::InForce : Change::None;
}

std::optional<double> UpstreamLimitTable::rate_of(std::string_view upstream) const
{
    auto const found = this->statements.find(upstream);
    return found == this->statements.end() ? std::optional<double> {} : found->second.statement.rate;
}

std::optional<UpstreamLimitStatement> UpstreamLimitTable::statement_of(std::string_view upstream) const
{
    auto const found = this->statements.find(upstream);
    return found == this->statements.end() ? std::optional<UpstreamLimitStatement> {} : found->second.statement;
}

std::uint64_t UpstreamLimitTable::digest() const
{
    std::uint64_t digest = 0;
    for (auto const& [upstream, known] : this->statements)
        digest ^= known.statement.rate ? XXH3_64bits(upstream.data(), upstream.size()) : 0;
    return digest;
}

void UpstreamLimitTable::for_each(std::function<void(std::string_view)> const& function) const
{
    for (auto const& entry : this->statements)
        function(entry.first);
}

std::size_t UpstreamLimitTable::size() const
{
    return static_cast<std::size_t>(std::count_if(this->statements.begin(), this->statements.end(), [](auto const& entry) { return entry.second.statement.rate.has_value(); }));
}

void UpstreamLimitTable::retain(std::function<bool(std::string_view)> const& is_listed)
{
    std::erase_if(this->statements, [&](auto const& entry) { return !is_listed(entry.first); });
}

void UpstreamLimitTable::note_pause(UpstreamIncarnation const& upstream, Duration pause, MonotonicTime now)
{
    this->forget_ended_pauses(now);
    auto& known = this->pauses[upstream.identity];
    if (known.started != upstream.started)
        known = { upstream.started, {} };
    known.pause.extend(now + pause);
}

UpstreamPause* UpstreamLimitTable::pause_of(std::string_view upstream, std::int64_t started, MonotonicTime now)
{
    auto const found = this->pauses.find(upstream);
    if (found == this->pauses.end() || found->second.pause.is_over(now))
        return nullptr;
    // An unknown start time does not prove that the upstream started again.
    return started == 0 || found->second.started == started ? &found->second.pause : nullptr;
}

std::size_t UpstreamLimitTable::paused_upstreams(MonotonicTime now) const
{
    return static_cast<std::size_t>(std::count_if(this->pauses.begin(), this->pauses.end(), [&](auto const& entry) { return !entry.second.pause.is_over(now); }));
}

void UpstreamLimitTable::forget_ended_pauses(MonotonicTime now)
{
    std::erase_if(this->pauses, [&](auto const& entry) { return entry.second.pause.is_over(now); });
}

}
