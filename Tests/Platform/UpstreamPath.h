// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibHttp/Address.h>
#include <list>
#include <map>
#include <string>
#include <vector>

namespace Spurtide::Tests {

/// The network path between the VMs of a test and one upstream: a TCP forwarder whose path can fail for single VMs. The VMs run in
/// turns, each on its own loop, so a connection that is found after a turn was opened by the VM whose turn it was.
class UpstreamPath {
public:
    enum class Condition {
        Working,
        /// New connections are refused, and open ones were reset.
        Reset,
        /// New connections are refused, and open ones still work.
        NewRefused,
        /// Packets are lost: connections neither open nor end.
        Silent,
        /// The upstream's process stands still: new connections wait in its backlog, and nothing comes from those that are open.
        Paused,
    };

    explicit UpstreamPath(Address upstream);
    ~UpstreamPath();
    UpstreamPath(UpstreamPath const&) = delete;
    UpstreamPath& operator=(UpstreamPath const&) = delete;

    /// Where the VMs connect.
    Address const& address() const { return this->bound; }
    void set_condition(std::string const& virtual_machine, Condition condition);
    /// The VM's turn begins, and the one before ends.
    void begin_turn(std::string const& virtual_machine);
    /// Forwards what has arrived.
    void poll();
    /// Connections that a VM has opened so far.
    int opened_by(std::string const& virtual_machine) const;

private:
    /// One direction of a connection.
    struct Direction {
        int from = -1;
        int to = -1;
        std::string buffer;
        bool has_ended = false;
    };

    struct Connection {
        std::string virtual_machine;
        int client = -1;
        int server = -1;
        Direction request;
        Direction response;
    };

    Condition condition_of(std::string const& virtual_machine) const;
    int bind();
    void listen(int backlog);
    void stop_listening();
    void fill_backlog();
    void accept_pending();
    /// The connections of which something can be read, or the rest of it has to be written.
    std::vector<bool> find_active() const;
    /// Returns false if the connection was reset.
    static bool forward(Direction& direction);
    static void reset(Connection& connection);

    Address upstream;
    Address bound;
    /// Bound and never listening: no other process may get the port while the path refuses connections.
    int port_holder = -1;
    std::string current;
    Condition listening_as = Condition::Working;
    int listener = -1;
    std::vector<int> fillers;
    std::map<std::string, Condition> conditions;
    std::map<std::string, int> opened;
    std::list<Connection> connections;
};

}
