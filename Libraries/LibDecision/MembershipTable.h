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

/// A service that a process of a VM hosts, and where it listens.
struct ServiceEndpoint {
    std::string service;
    std::string endpoint;
    /// Differs at each start of the process.
    std::string incarnation;

    bool operator==(ServiceEndpoint const&) const = default;
};

/// What is known of one VM of the data centre.
struct MemberRecord {
    std::string virtual_machine;
    /// Time of the ConfigServer's start, in milliseconds since the epoch; a later one replaces an earlier one.
    std::int64_t incarnation = 0;
    /// Raised by the VM alone, when its services change, when it leaves, and to refute a suspicion.
    std::int64_t version = 0;
    MemberLiveness liveness = MemberLiveness::Alive;
    std::int64_t configuration_generation = 0;
    std::vector<ServiceEndpoint> services;
};

/// The short form of a record that rides on probes and their answers.
struct MemberDigest {
    std::string virtual_machine;
    std::int64_t incarnation = 0;
    std::int64_t version = 0;
    MemberLiveness liveness = MemberLiveness::Alive;
    std::int64_t configuration_generation = 0;
};

/// Names one start of one VM in eight bytes.
std::uint64_t member_key(MemberRecord const& record);

/// The VMs of one data centre as one of them sees them, in the manner of SWIM: each VM probes a few
/// others a period, changes ride on probes and answers a limited number of times, and a suspected VM
/// refutes by raising its version. A VM's cost does not grow with the data centre.
class MembershipTable {
public:
    struct Options {
        /// From the first suspicion to the declaration of death.
        Duration suspicion_timeout = seconds(3);
        Duration forget_after = seconds(120);
        /// Changes carried on one message.
        std::size_t updates_per_message = 8;
        /// How often one change is passed on by one VM.
        int transmissions_per_update = 10;
        /// Suspects that are probed beside the usual targets.
        std::size_t suspects_per_period = 2;
        /// Members that one VM probes in turn. Each is among those of as many others on average, and news reach all over
        /// them in a few intervals; probing all in turn, a thousand VMs would hold a million connections.
        std::size_t neighbours = 32;
        /// VMs that probe one suspect in a period, on average. With all of them doing so, a suspect of a thousand VMs got
        /// 4,000 probes a second, and could not refute for work.
        std::size_t probers_per_suspect = 64;
    };

    MembershipTable(Options options, MemberRecord self);

    MemberRecord const& self() const { return this->members.at(this->self_name).record; }

    /// Takes this VM's own services; a change raises its version.
    void update_self(std::span<ServiceEndpoint const> services, std::int64_t configuration_generation);
    void leave();

    /// The members to probe next. Each neighbour is probed once in a round, in an order that differs by round;
    /// suspects are probed beside them.
    std::vector<std::string> next_targets(std::size_t count);
    /// The members that this VM probes in turn: those that score highest with it, the dead left out. At most so many.
    std::vector<std::string> neighbours(std::size_t most) const;

    /// The digests for a message to a VM: this VM's own, the target's where it has cause to refute, and news.
    std::vector<MemberDigest> digests_for(std::string_view target);

    /// Takes a peer's digests. Gives the VMs whose full record is wanted from that peer.
    std::vector<std::string> merge_digests(std::span<MemberDigest const> digests, MonotonicTime now);
    /// Takes full records; older ones than are known change nothing.
    void merge_records(std::span<MemberRecord const> records, MonotonicTime now);

    /// The keys of the members that are not dead. A VM that starts, or was alone, sends them to one peer after the
    /// other and gets what it lacks: news alone, a few on each message, take seconds to come around among hundreds of
    /// VMs that start together, and each VM's whole list from a few seeds is more than the seeds' links carry.
    std::vector<std::uint64_t> keys() const;
    struct Difference {
        std::vector<MemberRecord> missing_records;
        /// Keys of members that are not known here.
        std::vector<std::uint64_t> unknown_keys;
    };
    /// What a VM with these keys lacks, at most so many and different ones for different VMs, and what it could tell.
    Difference compare_keys(std::string_view virtual_machine, std::span<std::uint64_t const> keys, std::size_t most) const;
    /// Records of the keys that are known.
    std::vector<MemberRecord> records_of(std::span<std::uint64_t const> keys) const;

    /// All tries of a probe stayed without an answer.
    enum class Suspicion {
        New,
        Known,
    };
    Suspicion mark_suspect(std::string_view virtual_machine, MonotonicTime now);
    /// When a member was last added; empty before the first.
    std::optional<MonotonicTime> last_joined() const { return this->last_join; }

    /// Names a member's data centre; the same for all where it tells nothing.
    using DataCentreOf = std::function<std::string(MemberRecord const&)>;

    /// Turns members that were suspect for too long dead, and forgets the dead. Those of a data centre of which no VM
    /// answers stay: it may be cut off, and its VMs go on using their part of what all share, for an hour now and then.
    /// VMs that left as planned are forgotten all the same.
    void advance(
        MonotonicTime now, DataCentreOf const& data_centre_of = [](auto const&) { return std::string(); });

    std::optional<MemberRecord> find(std::string_view virtual_machine) const;
    /// Records of the VMs that are not dead.
    std::vector<MemberRecord> live_members() const;
    /// Whether a VM that is not dead listens there with any of its services.
    bool has_endpoint(std::string_view endpoint) const;
    std::vector<MemberRecord> all_members() const;
    VirtualMachineCount count() const;
    /// This VM's place by name among those that are alive or fell silent.
    SendingMachines sending_machines() const;
    /// Members that are alive and whose incarnation is later.
    std::size_t count_started_after(std::int64_t incarnation) const;
    /// The same on a side that is cut off from all other data centres: their VMs are missing, suspected or not. Suspicion
    /// comes one by one; a second after a cut a side of 27 VMs still counted 49 of the 59 others as answering.
    VirtualMachineCount count_in_partition(std::string_view data_centre, DataCentreOf const& data_centre_of) const;

    /// A number that changes whenever a service, a life or a member changed.
    std::int64_t version() const { return this->current_version; }

private:
    struct Member {
        MemberRecord record;
        /// Since when the present life holds.
        MonotonicTime since;
        int remaining_transmissions = 0;
        /// It said that it leaves; what becomes of it then is no loss.
        bool has_left = false;
    };

    void add_suspects(std::vector<std::string>& targets) const;
    bool is_prober_of(std::string const& suspect) const;
    void note_change(Member& member, MonotonicTime now);
    void set_liveness(Member& member, MemberLiveness liveness, MonotonicTime now);
    void refute(std::int64_t incarnation, std::int64_t version);
    bool take_digest(Member& member, MemberDigest const& digest, MonotonicTime now);

    Options options;
    std::string self_name;
    std::map<std::string, Member, std::less<>> members;
    std::vector<std::string> round;
    std::uint64_t round_number = 0;
    std::int64_t current_version = 1;
    std::optional<MonotonicTime> last_join;
};

}
