// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibDecision/AccountShares.h>
#include <LibDecision/CallAsk.h>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Spurtide {

/// Whether a waiting call can still be answered within its latency target.
enum class Timeliness {
    OnTime,
    Late,
};

/// A call that waits for a place.
struct WaitingCall {
    CallAsk ask;
    MonotonicTime asked_at;
    /// From when on it cannot be answered before its timeout.
    MonotonicTime expires_at;
    Timeliness timeliness = Timeliness::OnTime;
    std::uint64_t number = 0;
};

/// The calls that wait, in order: priority, on-time before late, the account's weighted usage, deadline. The usage changes with
/// each grant, so calls are sorted by account, and the order among the accounts is determined when it is needed.
class WaitingCalls {
public:
    explicit WaitingCalls(AccountShares const& shares)
        : shares(shares)
    {
    }

    WaitingCall const& add(WaitingCall call);
    /// Removes the call; empty if it does not wait.
    std::optional<WaitingCall> take(std::string_view request);
    WaitingCall const* find(std::string_view request) const;

    std::size_t size() const { return this->calls.size(); }
    /// Of those that wait as on time.
    std::size_t on_time() const { return this->on_time_calls; }
    bool empty() const { return this->calls.empty(); }
    /// Visits calls in order until the visitor returns false. It must not change the calls.
    void visit(std::function<bool(WaitingCall const&)> const& visitor, MonotonicTime now) const;
    /// The number of calls that will be granted a place before this one, if each consumes the amount of its account's share.
    double count_ahead(WaitingCall const& call, double amount, MonotonicTime now) const;
    /// The newest call of the account with the highest usage at the lowest priority; late calls first if they are included.
    enum class Include {
        OnTimeCalls,
        AllCalls,
    };
    WaitingCall const* last(Include include, MonotonicTime now) const;
    /// The call that expires first; null if none waits.
    WaitingCall const* first_to_expire() const;
    /// Call when the account's usage has changed other than by decay.
    void note_usage_changed(std::string_view account) const;
    std::vector<std::string> requests_from(std::string_view origin) const;

private:
    struct Key {
        MonotonicTime deadline;
        std::uint64_t number = 0;
        WaitingCall const* call = nullptr;
        bool operator<(Key const& other) const { return std::pair(this->deadline, this->number) < std::pair(other.deadline, other.number); }
    };
    struct Class {
        std::int64_t priority = 0;
        Timeliness timeliness = Timeliness::OnTime;
        auto operator<=>(Class const& other) const = default;
    };
    struct Line {
        /// Sorted by deadline, so that the number of calls ahead is known without counting them.
        std::vector<Key> keys;
        /// Of the account; with thousands of accounts, it is too expensive to determine each time.
        mutable double usage = 0;
        mutable double weight = 1;
        mutable std::optional<MonotonicTime> usage_determined_at;
    };
    struct Lines {
        std::map<std::string, Line, std::less<>> by_account;
        std::size_t calls = 0;
    };

    void update_usage(Line const& line, std::string_view account, MonotonicTime now) const;
    static Key key(WaitingCall const& call);
    static Class class_of(WaitingCall const& call) { return { call.ask.priority, call.timeliness }; }

    AccountShares const& shares;
    std::unordered_map<std::string, std::unique_ptr<WaitingCall>> calls;
    std::map<Class, Lines> classes;
    std::set<std::tuple<MonotonicTime, std::uint64_t, WaitingCall const*>> expiries;
    std::size_t on_time_calls = 0;
    std::uint64_t last_number = 0;
};

}
