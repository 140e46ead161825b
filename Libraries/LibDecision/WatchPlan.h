// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Spurtide {

/// Selects the VMs of a data centre that watch the registry for the others. All VMs select the same ones from the same
/// list; while their lists differ, a few more or fewer watch.
std::vector<std::string> choose_watchers(std::span<std::string const> virtual_machines, std::size_t count);

/// Decides whether a VM watches the registry itself. The VMs of a data centre agree on an order: the first ones watch
/// and relay updates to the others. If these fall silent, because the registry refuses them or they are gone, the next
/// few take over at once and all others somewhat later, and whoever reaches the registry relays to the others. During
/// an outage the registry is thus polled by a few VMs often and by the others rarely, and if it serves only some VMs,
/// its updates still reach all of them. Time is passed in.
class WatchPlan {
public:
    struct Options {
        /// Watchers per data centre: two may fail at once, and the third covers the time until others take over.
        std::size_t watchers = 3;
        /// VMs next in the order. If a third of the VMs is refused, all of a group of three are refused in one case of
        /// 27, all of a group of six in one of 700.
        std::size_t first_backups = 6;
        /// In smaller data centres relaying does not pay off, and all VMs watch.
        std::size_t minimum_data_centre_size = 6;
        /// Maximum interval between two updates from a watcher.
        Duration update_interval = milliseconds(400);
        /// Two missed updates, from all watchers.
        Duration silence = milliseconds(900);
        /// For VMs behind the first backups, which take up to half of it to reach the registry and relay.
        Duration late_backup_silence = milliseconds(1800);
        /// A VM stops watching once it has received regular updates for this long.
        Duration settling_time = milliseconds(1500);
        /// Fractions of the propagation deadline for which changes are batched after each update: by the first VM in
        /// the order, and by those that receive updates from it. If the first VM's watch fails, changes still arrive in
        /// time through the others. Each change wakes all three watchers; during a series of changes two of them
        /// read a third as often.
        double first_batching_share = 0.1;
        double other_batching_share = 0.25;
        /// Combined rate at which the VMs of a data centre other than the watchers try to reach the registry during an
        /// outage.
        double backup_attempts_per_second = 12;
    };

    enum class Role {
        Watcher,
        Listener,
    };

    WatchPlan(Options options, std::string own_virtual_machine);

    /// Sets the live VMs of the data centre, including this one.
    void set_virtual_machines(std::vector<std::string> virtual_machines);
    /// Records an update from another VM.
    void note_update(std::string_view sender, MonotonicTime now);
    enum class PeerReachability {
        Some,
        /// No other VM is reachable, so none can relay updates.
        None,
    };
    void set_peer_reachability(PeerReachability reachability) { this->peer_reachability = reachability; }

    Role role() const { return this->own_role; }
    /// Whether this VM watches the registry itself.
    bool watches(MonotonicTime now) const;
    /// Whether another VM sent an update recently, even one that this VM does not rely on.
    bool has_recent_update(MonotonicTime now) const;
    /// The VMs to which this one relays while it watches and reaches the registry: all others, as the registry may
    /// refuse any of them. Empty if all VMs watch.
    std::vector<std::string> const& listeners() const { return this->listener_names; }
    /// The watcher from which this VM fetches large updates, which spreads the load evenly; empty if all VMs watch.
    std::string const& assigned_watcher() const { return this->assigned_watcher_name; }
    /// The longest interval between two attempts while the registry is unavailable.
    Duration maximum_retry_interval(Duration usual) const;
    /// How long changes are batched after each update, given the deadline by which they have to take effect.
    Duration batching_delay(Duration news_time) const;
    Duration update_interval() const { return this->options.update_interval; }

private:
    Duration silence_limit() const;

    Options options;
    std::string own_virtual_machine;
    Role own_role = Role::Watcher;
    PeerReachability peer_reachability = PeerReachability::Some;
    std::vector<std::string> virtual_machines;
    /// The VMs in the order in which they take over.
    std::vector<std::string> order;
    std::size_t own_rank = 0;
    std::vector<std::string> listener_names;
    std::string assigned_watcher_name;
    std::optional<MonotonicTime> trusted_since;
    /// The last update from a VM that this one relies on, and from any VM.
    std::optional<MonotonicTime> last_trusted_update;
    std::optional<MonotonicTime> last_update;
};

}
