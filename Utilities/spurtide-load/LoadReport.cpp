// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <Utilities/spurtide-load/LoadReport.h>
#include <algorithm>
#include <cmath>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

namespace Spurtide {

namespace {

constexpr double MILLISECONDS = 1000;
constexpr double TOKEN_GAP_SHARE = 0.95;

bool is_whole(RequestResult::End end)
{
    return end == RequestResult::End::AnsweredWhole || end == RequestResult::End::ResumedWhole;
}

nlohmann::ordered_json quantiles_of(std::vector<double> const& values)
{
    return { { "p50", quantile_of(values, 0.5) * MILLISECONDS }, { "p95", quantile_of(values, 0.95) * MILLISECONDS }, { "p99", quantile_of(values, 0.99) * MILLISECONDS } };
}

}

double quantile_of(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    auto const rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(values.size())));
    return values[std::clamp<std::size_t>(rank, 1, values.size()) - 1];
}

void LoadReport::add(RequestResult const& result)
{
    std::scoped_lock const lock(this->mutex);
    ++this->ends[result.end];
    if (!result.code.empty())
        ++this->codes[result.code];
    this->tokens += result.tokens;
    if (result.first_token_seconds >= 0)
        this->first_token.push_back(result.first_token_seconds);
    this->between_tokens.insert(this->between_tokens.end(), result.between_tokens_seconds.begin(), result.between_tokens_seconds.end());
    bool const met_both = result.first_token_seconds <= this->first_token_target && quantile_of(result.between_tokens_seconds, TOKEN_GAP_SHARE) <= this->token_target;
    if (is_whole(result.end) && met_both)
        ++this->good_count;
}

std::int64_t LoadReport::count(RequestResult::End end) const
{
    std::scoped_lock const lock(this->mutex);
    auto const found = this->ends.find(end);
    return found == this->ends.end() ? 0 : found->second;
}

std::int64_t LoadReport::sent() const
{
    std::scoped_lock const lock(this->mutex);
    std::int64_t total = 0;
    for (auto const& [end, count] : this->ends)
        total += count;
    return total;
}

std::int64_t LoadReport::good() const
{
    std::scoped_lock const lock(this->mutex);
    return this->good_count;
}

std::string LoadReport::json(double seconds, std::int64_t held_at_end) const
{
    using End = RequestResult::End;
    nlohmann::ordered_json document = { { "seconds", seconds }, { "sent", this->sent() }, { "answered_whole", this->count(End::AnsweredWhole) }, { "resumed_whole", this->count(End::ResumedWhole) },
        { "refused", this->count(End::Refused) }, { "failed", this->count(End::Failed) }, { "cancelled", this->count(End::Cancelled) }, { "not_whole", this->count(End::NotWhole) },
        { "unreachable", this->count(End::Unreachable) }, { "good", this->good() }, { "tokens", this->tokens }, { "held_at_end", held_at_end } };
    std::scoped_lock const lock(this->mutex);
    document["codes"] = this->codes;
    document["first_token_milliseconds"] = quantiles_of(this->first_token);
    document["between_tokens_milliseconds"] = quantiles_of(this->between_tokens);
    return document.dump(2);
}

std::string LoadReport::table(double seconds, std::int64_t held_at_end) const
{
    using End = RequestResult::End;
    std::ostringstream out;
    out << std::fixed << std::setprecision(1);
    out << "requests sent            " << this->sent() << "\n"
        << "answered whole           " << this->count(End::AnsweredWhole) << "\n"
        << "resumed, answered whole  " << this->count(End::ResumedWhole) << "\n"
        << "refused (not run)        " << this->count(End::Refused) << "\n"
        << "failed (may have run)    " << this->count(End::Failed) << "\n"
        << "cancelled by this tool   " << this->count(End::Cancelled) << "\n"
        << "not whole                " << this->count(End::NotWhole) << "\n"
        << "unreachable              " << this->count(End::Unreachable) << "\n"
        << "good under both targets  " << this->good() << "\n"
        << "slots and exports held   " << held_at_end << "\n";
    std::scoped_lock const lock(this->mutex);
    out << "first token ms           p50 " << quantile_of(this->first_token, 0.5) * MILLISECONDS << "  p95 " << quantile_of(this->first_token, 0.95) * MILLISECONDS << "  p99 " << quantile_of(this->first_token, 0.99) * MILLISECONDS << "\n"
        << "between tokens ms        p50 " << quantile_of(this->between_tokens, 0.5) * MILLISECONDS << "  p95 " << quantile_of(this->between_tokens, 0.95) * MILLISECONDS << "  p99 " << quantile_of(this->between_tokens, 0.99) * MILLISECONDS << "\n"
        << "tokens a second          " << (seconds > 0 ? static_cast<double>(this->tokens) / seconds : 0) << "\n";
    for (auto const& [code, number] : this->codes)
        out << "  " << std::left << std::setw(23) << code << number << "\n";
    return out.str();
}

}
