// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <LibDecision/SendingMachines.h>
#include <LibDecision/VirtualMachineCount.h>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Spurtide {

enum class MemberLiveness {
    Alive,
    Suspect,
    Dead,
    Leaving,
};

std::string_view to_string(MemberLiveness liveness);

/// A service hosted by a process of a VM, and the endpoint it listens on.
struct ServiceEndpoint {
    std::string service;
    std::string endpoint;
    /// Differs for each start of the process.
    std::string incarnation;

    bool operator==(ServiceEndpoint const&) const = default;
};

/// The state of one VM, as replicated by gossip.
struct MemberRecord {
    std::string virtual_machine;
    /// Start time of the ConfigServer in milliseconds since the epoch. A later incarnation supersedes an earlier one.
    std::int64_t incarnation = 0;
    /// Incremented only by the VM itself: when its services change, when it leaves, and to refute a suspicion.
    std::int64_t version = 0;
    MemberLiveness liveness = MemberLiveness::Alive;
    std::int64_t configuration_generation = 0;
    std::vector<ServiceEndpoint> services;
};

/// The abbreviated record that is piggybacked on probes and acknowledgements.
struct MemberDigest {
    std::string virtual_machine;
    std::int64_t incarnation = 0;
    std::int64_t version = 0;
    MemberLiveness liveness = MemberLiveness::Alive;
    std::int64_t configuration_generation = 0;
};

/// Identifies one incarnation of a VM in eight bytes.
std::uint64_t member_key(MemberRecord const& record);

/// The VMs of the deployment as seen by one of them, maintained by a SWIM-style protocol: each VM probes a few others
/// per period, updates are piggybacked on probes and acknowledgements a limited number of times, and a suspected VM
/// refutes the suspicion by incrementing its version. The cost per VM is independent of the number of VMs.
class MembershipTable {
public:
    struct Options {
        /// Time from the first suspicion until the member is declared dead.
        Duration suspicion_timeout = seconds(3);
        Duration forget_after = seconds(120);
        /// Updates piggybacked on one message.
        std::size_t updates_per_message = 8;
        /// How often one VM passes an update on.
        int transmissions_per_update = 10;
        /// Suspects probed per period in addition to the regular targets.
        std::size_t suspects_per_period = 2;
        /// Members that one VM probes in turn. Each member is a neighbour of as many others on average, and updates
        /// reach all members within a few periods. Probing all members in turn, a thousand VMs would hold a million
        /// connections.
        std::size_t neighbours = 32;
        /// VMs that probe a suspect in one period, on average. When all of them did, a suspect among a thousand VMs
        /// received 4,000 probes a second and was too busy to refute the suspicion.
        std::size_t probers_per_suspect = 64;
    };

    MembershipTable(Options options, MemberRecord self);

    MemberRecord const& self() const { return this->members.at(this->self_name).record; }

    /// Sets this VM's own services; a change increments its version.
    void update_self(std::span<ServiceEndpoint const> services, std::int64_t configuration_generation);
    void leave();

    /// Returns the members to probe next. Each neighbour is probed once per round, in an order that differs between
    /// rounds; suspects are probed in addition.
    std::vector<std::string> next_targets(std::size_t count);
    /// Returns the members that this VM probes in turn: those ranked first by a hash with its name, excluding dead
    /// ones, at most `most`.
    std::vector<std::string> neighbours(std::size_t most) const;

    /// Returns the digests to send to a VM: this VM's own, the target's if it has to refute a suspicion, and pending
    /// updates.
    std::vector<MemberDigest> digests_for(std::string_view target);

    /// Merges a peer's digests. Returns the VMs whose full records have to be fetched from that peer.
    std::vector<std::string> merge_digests(std::span<MemberDigest const> digests, MonotonicTime now);
    /// Merges full records; outdated ones are ignored.
    void merge_records(std::span<MemberRecord const> records, MonotonicTime now);

    /// Returns the keys of the members that are not dead. A VM that starts, or was isolated, sends them to one peer
    /// after the other and receives the records it is missing. Gossip alone, with a few updates per message, takes
    /// seconds to converge when hundreds of VMs start together, and sending the whole list to each VM would overload
    /// the links of the few seeds.
    std::vector<std::uint64_t> keys() const;
    struct Difference {
        std::vector<MemberRecord> missing_records;
        /// Keys of members that are unknown here.
        std::vector<std::uint64_t> unknown_keys;
    };
    /// Compares a VM's keys with this table: up to `most` records that the VM is missing, different ones for different
    /// VMs, and the keys of records it could send in return.
    Difference compare_keys(std::string_view virtual_machine, std::span<std::uint64_t const> keys, std::size_t most) const;
    /// Returns the records of the given keys, as far as they are known.
    std::vector<MemberRecord> records_of(std::span<std::uint64_t const> keys) const;

    /// Whether a member is newly suspected or was suspected or dead before.
    enum class Suspicion {
        New,
        Known,
    };
    Suspicion mark_suspect(std::string_view virtual_machine, MonotonicTime now);
    /// When a member was last added; empty before the first.
    std::optional<MonotonicTime> last_joined() const { return this->last_join; }

    /// Returns a member's data centre. The default puts all members in the same one.
    using DataCentreOf = std::function<std::string(MemberRecord const&)>;

    /// Declares members dead after the suspicion timeout, and forgets dead members after a while. Dead members of a
    /// data centre of which no VM answers are kept: the data centre may be partitioned off, for an hour at times, while
    /// its VMs go on using their shares of the common limits. VMs that left as planned are forgotten regardless.
    void advance(
        MonotonicTime now, DataCentreOf const& data_centre_of = [](auto const&) { return std::string(); });

    std::optional<MemberRecord> find(std::string_view virtual_machine) const;
    /// Returns the records of all members that are not dead.
    std::vector<MemberRecord> live_members() const;
    /// Whether any service of a member that is not dead listens on the endpoint.
    bool has_endpoint(std::string_view endpoint) const;
    std::vector<MemberRecord> all_members() const;
    VirtualMachineCount count() const;
    /// This VM's rank by name among the members that have not left.
    SendingMachines sending_machines() const;
    /// Counts the live members with a later incarnation.
    std::size_t count_started_after(std::int64_t incarnation) const;
    /// Like count(), for a VM whose data centre is cut off from all others: their VMs count as missing whether
    /// suspected or not. Suspicions arise one by one; a second into a partition, a side with 27 VMs still counted 49 of
    /// the 59 others as live.
    VirtualMachineCount count_in_partition(std::string_view data_centre, DataCentreOf const& data_centre_of) const;

    /// Incremented whenever a member, its liveness or one of its services changes.
    std::int64_t version() const { return this->current_version; }

private:
    struct Member {
        MemberRecord record;
        /// When the member entered its current liveness state.
        MonotonicTime since;
        int remaining_transmissions = 0;
        /// The member announced that it leaves, so its failure does not count as a loss.
        bool has_left = false;
    };

    void add_suspects(std::vector<std::string>& targets) const;
    bool is_prober_of(std::string const& suspect) const;
    void note_change(Member& member, MonotonicTime now);
    void set_liveness(Member& member, MemberLiveness liveness, MonotonicTime now);
    void refute(std::int64_t incarnation, std::int64_t version);
    bool merge_digest(Member& member, MemberDigest const& digest, MonotonicTime now);

    Options options;
    std::string self_name;
    std::map<std::string, Member, std::less<>> members;
    std::vector<std::string> round;
    std::uint64_t round_number = 0;
    std::int64_t current_version = 1;
    std::optional<MonotonicTime> last_join;
};

}
