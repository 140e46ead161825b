// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Spurtide {

/// A link of limited rate that its transfers share evenly, in virtual time.
class LinkModel {
public:
    explicit LinkModel(double bytes_per_second)
        : rate(bytes_per_second)
    {
    }

    void start(std::string name, double bytes, MonotonicTime now);
    void cancel(std::string_view name, MonotonicTime now);
    /// A stalled transfer moves nothing until it is cancelled.
    void stall(std::string_view name, MonotonicTime now);

    /// Lets time pass and gives the transfers that ended, in order.
    std::vector<std::string> advance(MonotonicTime now);
    std::optional<MonotonicTime> next_completion() const;
    std::size_t active() const { return this->transfers.size(); }

private:
    struct Transfer {
        double bytes_left = 0;
        bool stalled = false;
    };

    double share() const;
    void move_bytes(MonotonicTime now);

    double rate;
    MonotonicTime updated {};
    std::map<std::string, Transfer, std::less<>> transfers;
};

}
