// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibDecision/EvacuationTable.h>
#include <LibDecision/MembershipTable.h>
#include <LibDecision/PartitionDetector.h>
#include <LibWire/Kernel.h>
#include <functional>
#include <map>
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
        /// Members that are probed in each interval.
        std::size_t probes = 2;
        /// Tries of one probe before the member is suspect.
        int probe_tries = 3;
        /// A VM that starts, or that was alone, compares its members with a peer so often and so long. Among 350 VMs
        /// that start together each knows all others after some six of these.
        Duration joining_interval = milliseconds(150);
        Duration joining = milliseconds(1500);
        /// How often it does so later: what a lost message left out is made up for by then.
        Duration comparing_interval = seconds(10);
        /// A VM whose members did not grow for so long has met those that are there.
        Duration settling = milliseconds(300);
        /// Records in one answer to a VM that was not known before; all of them come to the seeds at once.
        std::size_t records_for_new = 24;
        std::size_t records_for_known = 96;
    };

    MembershipService(Options options, Kernel& kernel, std::function<std::int64_t()> generation, std::function<void(std::string const& endpoint, std::int64_t generation)> on_newer_generation);

    void start();
    /// Tells the peers; the function runs at the first answer, or at once where there are no peers.
    void leave(std::function<void()> when_told);

    void handle_announce(wire::Announce const& announce, Kernel::Responder const& respond);
    void handle_heartbeat(wire::Heartbeat const& heartbeat, Kernel::Responder const& respond);
    void handle_records(wire::MemberRecords const& records, Kernel::Responder const& respond);

    /// Makes the list of upstreams part of the news: its version here, and what to do when a peer's is newer.
    void set_upstreams_hooks(std::function<StorePosition()> version, std::function<void(std::string const& endpoint, StorePosition version)> on_newer)
    {
        this->upstreams_version = std::move(version);
        this->on_newer_upstreams = std::move(on_newer);
    }

    /// Makes a digest of what all VMs keep alike part of the heartbeats, and says what to do with those of others.
    void set_quarantine_hooks(std::function<std::uint64_t()> digest, std::function<void(std::string const& endpoint, std::uint64_t digest)> on_other)
    {
        this->quarantine_digest = std::move(digest);
        this->on_quarantine_digest = std::move(on_other);
    }

    /// The same of the limits that upstreams named.
    void set_upstream_limits_hooks(std::function<std::uint64_t()> digest, std::function<void(std::string const& endpoint, std::uint64_t digest)> on_other)
    {
        this->upstream_limits_digest = std::move(digest);
        this->on_upstream_limits_digest = std::move(on_other);
    }

    /// Makes evacuations part of the heartbeats, so that a VM hears of them from any other that it reaches.
    void set_evacuation_hooks(std::function<EvacuationTable const&()> book, std::function<void(EvacuationUpdate const&)> on_told)
    {
        this->evacuations = std::move(book);
        this->on_evacuations = std::move(on_told);
    }

    /// Announces further endpoints of this VM besides the services of its kernel; asked before each heartbeat.
    void set_endpoints_hook(std::function<std::vector<ServiceEndpoint>()> hook) { this->further_endpoints = std::move(hook); }

    /// Machines that the platform's list says are leaving; handed on to this VM's processes.
    void set_leaving_machines(std::vector<std::string> machines);

    /// Whether another VM was heard lately.
    bool has_company() const;
    /// Tells a VM's data centre; without it all are of one.
    void set_data_centre_of(MembershipTable::DataCentreOf tell) { this->data_centre_of = std::move(tell); }
    /// Whether this VM's data centre is cut off from all others, as far as probes tell.
    bool is_cut_off() const;
    /// Whether this VM has met most of the others, or has waited long enough for them.
    bool is_settled() const;

    /// Tells a few peers at once, instead of at the next interval.
    void spread_news();

    /// Members as seen now.
    std::vector<MemberRecord> members() const { return this->table.all_members(); }
    VirtualMachineCount count() const;
    /// Those that are alive or fell silent, and this VM's place among them by name.
    SendingMachines sending_machines() const { return this->table.sending_machines(); }
    /// VMs that are alive and whose process started later than that, in milliseconds since the epoch.
    std::size_t count_started_after(std::int64_t unix_milliseconds) const { return this->table.count_started_after(unix_milliseconds); }

private:
    struct LocalProcess {
        std::vector<ServiceEndpoint> services;
        MonotonicTime heard;
    };

    void beat();
    void join();
    bool is_joining() const;
    void meet_seeds();
    /// Probes one member; an empty name stands for a seed whose name is not known.
    void probe(std::string const& virtual_machine, std::string const& endpoint, int tries_left, std::function<void()> const& when_answered = {});
    void take_answer(wire::HeartbeatReply const& answer, std::string const& endpoint);
    void tell_evacuations(google::protobuf::RepeatedPtrField<wire::Evacuation>& messages) const;
    void hear_evacuations(google::protobuf::RepeatedPtrField<wire::Evacuation> const& messages);
    void note_heard(std::string const& virtual_machine);
    void note_probe_failure(std::string const& virtual_machine);
    /// Whether the VM is of another data centre.
    bool is_elsewhere(MemberRecord const& member) const { return this->data_centre_of(member) != this->data_centre_of(this->table.self()); }
    void answer_keys(wire::Heartbeat const& heartbeat, std::size_t most, wire::HeartbeatReply& reply) const;
    std::vector<std::string> take_digests(google::protobuf::RepeatedPtrField<wire::MemberDigest> const& digests);
    void take_records(google::protobuf::RepeatedPtrField<wire::MemberRecord> const& records);
    void add_records(std::vector<std::string> const& names, google::protobuf::RepeatedPtrField<wire::MemberRecord>& records) const;
    std::string endpoint_of(std::string const& virtual_machine) const;
    void refresh_directory();
    std::vector<ServiceEndpoint> local_services();

    Options options;
    Kernel& kernel;
    std::function<std::int64_t()> generation;
    std::function<void(std::string const& endpoint, std::int64_t generation)> on_newer_generation;
    std::function<StorePosition()> upstreams_version;
    std::function<void(std::string const& endpoint, StorePosition version)> on_newer_upstreams;
    std::function<std::uint64_t()> upstream_limits_digest = [] { return std::uint64_t(0); };
    std::function<void(std::string const& endpoint, std::uint64_t digest)> on_upstream_limits_digest = [](auto const&, auto) {};
    std::function<std::uint64_t()> quarantine_digest = [] { return std::uint64_t(0); };
    std::function<void(std::string const& endpoint, std::uint64_t digest)> on_quarantine_digest = [](auto const&, auto) {};
    /// Empty where there are none to tell of.
    std::function<EvacuationTable const&()> evacuations;
    std::function<void(EvacuationUpdate const&)> on_evacuations;
    std::function<std::vector<ServiceEndpoint>()> further_endpoints = [] { return std::vector<ServiceEndpoint> {}; };
    MembershipTable table;
    MonotonicTime started_at;
    MonotonicTime joining_until;
    MonotonicTime last_compared;
    std::optional<MonotonicTime> last_heard;
    MembershipTable::DataCentreOf data_centre_of = [](auto const&) { return std::string(); };
    PartitionDetector partition_detector { PartitionDetector::Options {} };
    std::map<std::string, LocalProcess> processes;
    std::vector<std::string> leaving_machines;
};

}
