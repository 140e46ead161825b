// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <LibDecision/CallQueue.h>
#include <functional>
#include <utility>

namespace Spurtide {

/// A place at an upstream for one send of a plain call. It is returned exactly once: by end(), or as unused by the destructor.
class CallPermit {
public:
    using Return = std::function<void(CallOutcome outcome, Duration service_time)>;

    /// Holds no place.
    CallPermit() = default;
    explicit CallPermit(Return return_place)
        : return_place(std::move(return_place))
    {
    }
    ~CallPermit() { this->end(CallOutcome::Unused, {}); }
    CallPermit(CallPermit&& other) noexcept
        : return_place(std::exchange(other.return_place, {}))
    {
    }
    CallPermit& operator=(CallPermit&& other) noexcept
    {
        if (this != &other) {
            this->end(CallOutcome::Unused, {});
            this->return_place = std::exchange(other.return_place, {});
        }
        return *this;
    }
    CallPermit(CallPermit const&) = delete;
    CallPermit& operator=(CallPermit const&) = delete;

    /// The service time is from the send to the response.
    void end(CallOutcome outcome, Duration service_time)
    {
        if (auto const function = std::exchange(this->return_place, {}))
            function(outcome, service_time);
    }

private:
    Return return_place;
};

}
