// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibDecision/MembershipTable.h>
#include <LibWire/Kernel.h>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace Spurtide {

/// Keeps the membership of the data centre by gossip with the other ConfigServers, and answers the
/// processes of its own VM. Runs on the kernel's thread.
class MembershipService {
public:
    struct Options {
        std::string virtual_machine;
        std::vector<std::string> seeds;
        Duration heartbeat_interval = seconds(1);
        MembershipTable::Options table {};
        /// Peers that a heartbeat goes to in each interval.
        std::size_t fan_out = 2;
    };

    MembershipService(Options options, Kernel& kernel, std::function<std::int64_t()> generation, std::function<void(std::string const& endpoint)> on_newer_generation);

    void start();
    /// Tells the peers; the function runs at the first answer, or at once where there are no peers.
    void leave(std::function<void()> when_told);

    void handle_announce(wire::Announce const& announce, Kernel::Responder const& respond);
    void handle_heartbeat(wire::Heartbeat const& heartbeat, Kernel::Responder const& respond);
    void handle_records(wire::MemberRecords const& records);

    /// Members as seen now.
    std::vector<MemberRecord> members() const { return this->table.all_members(); }

private:
    struct LocalProcess {
        std::vector<ServiceEndpoint> services;
        MonotonicTime heard;
    };

    void beat();
    void send_heartbeat(std::string const& endpoint, std::function<void()> when_answered = {});
    void take_digests(google::protobuf::RepeatedPtrField<wire::MemberDigest> const& digests, std::string const& endpoint, std::vector<std::string>& wanted);
    void refresh_directory();
    std::vector<ServiceEndpoint> local_services();
    std::vector<std::string> peer_endpoints() const;

    Options options;
    Kernel& kernel;
    std::function<std::int64_t()> generation;
    std::function<void(std::string const& endpoint)> on_newer_generation;
    MembershipTable table;
    std::map<std::string, LocalProcess> processes;
    std::mt19937_64 random;
};

}
