// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/WaitingCalls.h>
#include <algorithm>
#include <cmath>

namespace Spurtide {

namespace {

/// Usage decays within seconds, so it is exact to within a few parts in a thousand for this time.
constexpr Duration USAGE_VALIDITY = milliseconds(20);

}

void WaitingCalls::update_usage(Line const& line, std::string_view account, MonotonicTime now) const
{
    if (line.usage_determined_at && now - *line.usage_determined_at < USAGE_VALIDITY)
        return;
    line.usage = this->shares.usage(account, now);
    line.weight = this->shares.weight(account);
    line.usage_determined_at = now;
}

void WaitingCalls::note_usage_changed(std::string_view account) const
{
    for (auto const& [rank, lines] : this->classes) {
        if (auto const line = lines.by_account.find(account); line != lines.by_account.end())
            line->second.usage_determined_at.reset();
    }
}

WaitingCalls::Key WaitingCalls::key(WaitingCall const& call)
{
    return { call.timeliness == Timeliness::OnTime ? call.ask.target_time : call.ask.timeout, call.number, &call };
}

WaitingCall const& WaitingCalls::add(WaitingCall call)
{
    if (call.number == 0)
        call.number = ++this->last_number;
    auto owned = std::make_unique<WaitingCall>(std::move(call));
    auto const& added = *owned;
    auto& lines = this->classes[class_of(added)];
    auto& line = lines.by_account[added.ask.account].keys;
    line.insert(std::upper_bound(line.begin(), line.end(), key(added)), key(added));
    ++lines.calls;
    this->on_time_calls += added.timeliness == Timeliness::OnTime ? 1 : 0;
    this->expiries.emplace(added.expires_at, added.number, &added);
    this->calls[added.ask.request] = std::move(owned);
    return added;
}

std::optional<WaitingCall> WaitingCalls::take(std::string_view request)
{
    auto const found = this->calls.find(std::string(request));
    if (found == this->calls.end())
        return {};
    auto const owned = std::move(found->second);
    this->calls.erase(found);
    this->expiries.erase({ owned->expires_at, owned->number, owned.get() });
    auto const lines = this->classes.find(class_of(*owned));
    auto const line = lines->second.by_account.find(owned->ask.account);
    auto& keys = line->second.keys;
    keys.erase(std::lower_bound(keys.begin(), keys.end(), key(*owned)));
    if (keys.empty())
        lines->second.by_account.erase(line);
    this->on_time_calls -= owned->timeliness == Timeliness::OnTime ? 1 : 0;
    if (--lines->second.calls == 0)
        this->classes.erase(lines);
    return std::move(*owned);
}

WaitingCall const* WaitingCalls::find(std::string_view request) const
{
    auto const found = this->calls.find(std::string(request));
    return found == this->calls.end() ? nullptr : found->second.get();
}

void WaitingCalls::visit(std::function<bool(WaitingCall const&)> const& visitor, MonotonicTime now) const
{
    struct Turn {
        double usage = 0;
        std::vector<Key> const* keys = nullptr;
    };
    for (auto const& [rank, lines] : this->classes) {
        std::vector<Turn> turns;
        turns.reserve(lines.by_account.size());
        for (auto const& [account, line] : lines.by_account) {
            this->update_usage(line, account, now);
            turns.push_back({ line.usage, &line.keys });
        }
        // Usually the first account provides the call, so the others are not sorted.
        auto const is_later = [](Turn const& a, Turn const& b) {
            return std::pair(a.usage, a.keys->front()) > std::pair(b.usage, b.keys->front());
        };
        std::make_heap(turns.begin(), turns.end(), is_later);
        while (!turns.empty()) {
            for (auto const& key : *turns.front().keys) {
                if (!visitor(*key.call))
                    return;
            }
            std::pop_heap(turns.begin(), turns.end(), is_later);
            turns.pop_back();
        }
    }
}

double WaitingCalls::count_ahead(WaitingCall const& call, double amount, MonotonicTime now) const
{
    double ahead = 0;
    for (auto const& [rank, lines] : this->classes) {
        if (rank < class_of(call)) {
            ahead += static_cast<double>(lines.calls);
            continue;
        }
        if (rank != class_of(call))
            break;
        auto const& own_line = lines.by_account.find(call.ask.account)->second;
        auto const own_ahead = static_cast<double>(std::lower_bound(own_line.keys.begin(), own_line.keys.end(), key(call)) - own_line.keys.begin());
        ahead += own_ahead;
        if (lines.by_account.size() == 1)
            continue;
        this->update_usage(own_line, call.ask.account, now);
        // Its account's usage when it is the first of its account.
        auto const usage = own_line.usage + own_ahead * amount / own_line.weight;
        for (auto const& [account, line] : lines.by_account) {
            if (&line == &own_line)
                continue;
            this->update_usage(line, account, now);
            auto const granted_before = std::ceil((usage - line.usage) * line.weight / amount);
            ahead += std::clamp(granted_before, 0.0, static_cast<double>(line.keys.size()));
        }
    }
    return ahead;
}

WaitingCall const* WaitingCalls::last(Include include, MonotonicTime now) const
{
    for (auto lines = this->classes.rbegin(); lines != this->classes.rend(); ++lines) {
        if (include == Include::OnTimeCalls && lines->first.timeliness == Timeliness::Late)
            continue;
        auto const& accounts = lines->second.by_account;
        Line const* highest = nullptr;
        for (auto const& [account, line] : accounts) {
            this->update_usage(line, account, now);
            if (!highest || line.usage > highest->usage)
                highest = &line;
        }
        return highest->keys.back().call;
    }
    return nullptr;
}

WaitingCall const* WaitingCalls::first_to_expire() const
{
    return this->expiries.empty() ? nullptr : std::get<2>(*this->expiries.begin());
}

std::vector<std::string> WaitingCalls::requests_from(std::string_view origin) const
{
    std::vector<std::string> requests;
    for (auto const& [request, call] : this->calls) {
        if (call->ask.origin == origin)
            requests.push_back(request);
    }
    return requests;
}

}
