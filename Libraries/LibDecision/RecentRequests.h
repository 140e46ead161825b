// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <LibDecision/RequestFingerprint.h>
#include <cstddef>
#include <deque>
#include <map>

namespace Spurtide {

/// The most recently noted requests, bounded by age and number.
class RecentRequests {
public:
    struct Options {
        Duration retention {};
        std::size_t capacity = 0;
    };

    explicit RecentRequests(Options options)
        : options(options)
    {
    }

    void note(RequestFingerprint const& request, MonotonicTime now)
    {
        this->noted.insert_or_assign(request, now);
        this->order.push_back({ request, now });
        while (!this->order.empty() && (this->order.size() > this->options.capacity || now - this->order.front().at > this->options.retention)) {
            // The request may have been noted again since.
            auto const found = this->noted.find(this->order.front().request);
            if (found != this->noted.end() && found->second == this->order.front().at)
                this->noted.erase(found);
            this->order.pop_front();
        }
    }

    bool contains(RequestFingerprint const& request, MonotonicTime now) const
    {
        auto const found = this->noted.find(request);
        return found != this->noted.end() && now - found->second <= this->options.retention;
    }

private:
    struct Noted {
        RequestFingerprint request;
        MonotonicTime at;
    };

    Options options;
    std::map<RequestFingerprint, MonotonicTime> noted;
    std::deque<Noted> order;
};

}
