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

/// Which VMs of a data centre watch the registry for the others. All of them choose the same ones from the same list;
/// while their lists differ, some more or fewer watch.
std::vector<std::string> choose_watchers(std::span<std::string const> virtual_machines, std::size_t count);

/// Whether one VM has to watch the registry itself. The VMs of a data centre stand in an order that all agree on: the
/// first ones watch and tell the others. Where these say nothing, since the registry turned them away or they are gone,
/// the next few take over at once and all others somewhat later, and whoever then hears of the registry tells
/// the others. So a registry that is away is asked by a few VMs often and by the others seldom, and one that serves some
/// VMs and refuses others is known to all of them. Pure: time is passed in.
class WatchPlan {
public:
    struct Options {
        /// Watchers of a data centre: two may fail at once, and the third bridges the time until others take over.
        std::size_t watchers = 3;
        /// The next in the order: where a third of the VMs is refused, one in 27 groups of three is, and one in 700 of six.
        std::size_t first_backups = 6;
        /// Smaller data centres have no use for telling: all of their VMs watch.
        std::size_t minimum_data_centre_size = 6;
        /// Watchers tell at least this often.
        Duration update_interval = milliseconds(400);
        /// Two messages that did not come, from any watcher.
        Duration silence = milliseconds(900);
        /// For those behind the first stand-ins, which take up to half of it to hear of the registry and tell.
        Duration late_backup_silence = milliseconds(1800);
        /// Told regularly for so long, a VM stops to watch.
        Duration settling_time = milliseconds(1500);
        /// Parts of the time within which news have to be in force, for which they are gathered after each: by the first
        /// of the order, and by those that are told by it. Where the first one's watch fell silent, the others' news
        /// still come in time. Of three watchers each change wakes, two ask a third as often while changes come in rows.
        double first_batching_share = 0.1;
        double other_batching_share = 0.25;
        /// Tries that the VMs of a data centre which are no watchers make together while the registry is away.
        double backup_attempts_per_second = 12;
    };

    enum class Role {
        Watcher,
        Listener,
    };

    WatchPlan(Options options, std::string own_virtual_machine);

    /// Takes the live VMs of the data centre, this one among them.
    void set_virtual_machines(std::vector<std::string> virtual_machines);
    /// A VM told its news.
    void note_update(std::string_view sender, MonotonicTime now);
    enum class PeerReachability {
        Some,
        /// None of the other VMs can be reached just now, so none tells.
        None,
    };
    void set_peer_reachability(PeerReachability reachability) { this->peer_reachability = reachability; }

    Role role() const { return this->own_role; }
    /// Whether this VM watches the registry itself.
    bool watches(MonotonicTime now) const;
    /// Whether another VM told news lately, be it one that this VM does not rely on.
    bool has_recent_update(MonotonicTime now) const;
    /// The VMs that this one tells when it watches and hears of the registry: all others, since any of them may be
    /// refused by the registry. None where all watch.
    std::vector<std::string> const& listeners() const { return this->listener_names; }
    /// The watcher that this VM asks for what is long, so that each of them is asked by as many; empty where all watch.
    std::string const& assigned_watcher() const { return this->assigned_watcher_name; }
    /// The longest pause between two tries while the registry is away.
    Duration maximum_retry_interval(Duration usual) const;
    /// How long news are gathered after each, where they have to be in force within the given time.
    Duration batching_delay(Duration news_time) const;
    Duration update_interval() const { return this->options.update_interval; }

private:
    Duration silence_limit() const;

    Options options;
    std::string own_virtual_machine;
    Role own_role = Role::Watcher;
    PeerReachability peer_reachability = PeerReachability::Some;
    std::vector<std::string> virtual_machines;
    /// The same in the order in which they watch.
    std::vector<std::string> order;
    std::size_t own_rank = 0;
    std::vector<std::string> listener_names;
    std::string assigned_watcher_name;
    std::optional<MonotonicTime> trusted_since;
    /// By one that this VM relies on, and by any.
    std::optional<MonotonicTime> last_trusted_update;
    std::optional<MonotonicTime> last_update;
};

}
