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

/// Whether one VM has to watch the registry itself. One that is no watcher does so until the watchers told it news
/// regularly, and as soon as they don't. Pure: time is passed in.
class WatchPlan {
public:
    struct Options {
        /// Watchers of a data centre: two may fail at once, and the third bridges the time until others take over.
        std::size_t watchers = 3;
        /// Smaller data centres have no use for telling: all of their VMs watch.
        std::size_t smallest_data_centre = 6;
        /// Watchers tell at least this often.
        Duration tell_interval = milliseconds(400);
        /// Two messages that did not come, from any watcher.
        Duration silence = milliseconds(900);
        /// Told regularly for so long, a VM stops to watch.
        Duration settling = milliseconds(1500);
    };

    enum class Part {
        Watcher,
        Listener,
    };

    WatchPlan(Options options, std::string own_virtual_machine);

    /// Takes the live VMs of the data centre, this one among them.
    void set_virtual_machines(std::vector<std::string> virtual_machines);
    /// A watcher told its news.
    void note_told(MonotonicTime now);

    Part part() const { return this->own_part; }
    /// Whether this VM watches the registry itself.
    bool watches(MonotonicTime now) const;
    /// The VMs that this watcher tells; none where all watch.
    std::vector<std::string> const& listeners() const { return this->told; }
    Duration tell_interval() const { return this->options.tell_interval; }

private:
    Options options;
    std::string own_virtual_machine;
    Part own_part = Part::Watcher;
    std::vector<std::string> virtual_machines;
    std::vector<std::string> told;
    std::optional<MonotonicTime> told_since;
    std::optional<MonotonicTime> last_told;
};

}
