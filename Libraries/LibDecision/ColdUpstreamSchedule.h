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

/// This VM's part of the requests that upstreams bear while they are cold, without asking anybody: each VM has a turn at
/// each upstream once in the time in which the upstream bears a request of every VM, and sends one request in a turn. Turns
/// that were not used lapse, so that VMs which were idle do not send all together.
///
/// Turns follow each other by the time of day, which all VMs have within some milliseconds. Where it jumps a VM has its turn
/// beside another's for a while: with turns at times drawn by lot instead, 350 VMs sent a cold upstream 12 requests in a
/// second where 11 were allowed.
class ColdUpstreamSchedule {
public:
    struct Options {
        /// How long a turn lasts. Within a second all VMs together send what an upstream bears in that time and in this.
        Duration turn = milliseconds(250);
    };

    explicit ColdUpstreamSchedule(Options options)
        : options(options)
    {
    }

    /// Time until this VM may send to the upstream, which bears so many requests a second; zero where it may now.
    /// The time is that of day, since the epoch.
    Duration time_until_turn(std::string_view upstream, double rate, SendingMachines const& machines, Duration time_of_day) const;
    /// Uses up the present turn.
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
