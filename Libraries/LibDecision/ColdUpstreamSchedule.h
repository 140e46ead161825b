// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <LibDecision/SendingMachines.h>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace Spurtide {

/// Limits the request rate of all VMs to cold upstreams by time division, without coordination. The period is the time
/// in which the upstream accepts one request from every VM; in each period, a VM has one turn per upstream and may send
/// one request in it. Unused turns lapse, so that idle VMs do not send all at once later.
///
/// Turns are derived from the time of day, which VMs agree on to within milliseconds. A clock jump makes a VM's turns
/// overlap with another's for a while. Random turns are not sufficient: with them, 350 VMs sent a cold upstream 12
/// requests in a second where 11 were allowed.
class ColdUpstreamSchedule {
public:
    struct Options {
        /// Length of a turn. Within any second, all VMs together send at most what the upstream accepts in one second
        /// plus one turn.
        Duration turn = milliseconds(250);
    };

    explicit ColdUpstreamSchedule(Options options)
        : options(options)
    {
    }

    /// Time until this VM may send to an upstream that accepts the given rate in requests per second; zero if it may
    /// send now. The time of day counts from the Unix epoch.
    Duration time_until_turn(std::string_view upstream, double rate, SendingMachines const& machines, Duration time_of_day) const;
    /// Marks the current turn as used.
    void note_sent(std::string_view upstream, double rate, SendingMachines const& machines, Duration time_of_day);

private:
    struct Turn {
        std::int64_t number = 0;
        Duration since_begin {};
        Duration period {};
    };
    static Turn turn_at(std::string_view upstream, double rate, SendingMachines const& machines, Duration time_of_day);

    Options options;
    std::map<std::string, std::int64_t, std::less<>> last_used;
};

}
