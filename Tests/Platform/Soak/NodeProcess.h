// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <LibHttp/Address.h>
#include <cstddef>
#include <optional>
#include <string>
#include <sys/types.h>

namespace Spurtide::Tests {

/// One process of a node, from its start to its end, with the signals that were sent to it.
class NodeProcess {
public:
    NodeProcess(std::string const& binary, std::string const& settings_path, std::string const& log_path, Address callers);
    NodeProcess(NodeProcess const&) = delete;
    NodeProcess& operator=(NodeProcess const&) = delete;
    /// Kills what still runs.
    ~NodeProcess();

    /// Sends nothing to a process that has ended.
    void send(int signal);
    /// Notices its end.
    void watch();
    bool is_running() const { return !this->status; }
    /// Whether its program has taken over what a hangup signal does.
    bool handles_hangup() const;
    /// The most memory that was resident at once so far; 0 if that is unknown.
    std::size_t peak_memory_bytes() const;
    /// How it ended, if no signal that was sent explains that.
    std::optional<std::string> unexplained_end() const;

    Address const callers;
    MonotonicTime const started_at;
    std::optional<MonotonicTime> killed_at;
    std::optional<MonotonicTime> told_to_stop_at;
    std::optional<MonotonicTime> suspended_at;
    std::optional<MonotonicTime> served_at;
    pid_t id = 0;
    /// Stands still again and again.
    bool is_slowed = false;
    std::size_t peak_memory_seen = 0;

private:
    std::optional<int> status;
    bool handled_stop = false;
};

}
