// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Spurtide {

enum class MemberLife {
    Alive,
    Suspect,
    Dead,
    Leaving,
};

std::string_view to_string(MemberLife life);

/// A service that a process of a VM hosts, and where it listens.
struct ServiceEndpoint {
    std::string service;
    std::string endpoint;
    /// Differs at each start of the process.
    std::string incarnation;

    bool operator==(ServiceEndpoint const&) const = default;
};

/// What is known of one VM of the data centre. Only the VM itself raises its version.
struct MemberRecord {
    std::string virtual_machine;
    /// Time of the ConfigServer's start, in milliseconds since the epoch; a later one replaces an earlier one.
    std::int64_t incarnation = 0;
    /// Raised by the VM at each heartbeat.
    std::int64_t heartbeat = 0;
    /// The heartbeat at which the services last changed.
    std::int64_t changed_at = 0;
    MemberLife life = MemberLife::Alive;
    std::int64_t configuration_generation = 0;
    std::vector<ServiceEndpoint> services;
};

/// The short form of a record that rides on each heartbeat.
struct MemberDigest {
    std::string virtual_machine;
    std::int64_t incarnation = 0;
    std::int64_t heartbeat = 0;
    std::int64_t changed_at = 0;
    MemberLife life = MemberLife::Alive;
    std::int64_t configuration_generation = 0;
};

/// The VMs of one data centre as one of them sees them. Heartbeats spread by gossip with a few
/// peers a period, so that a VM's cost does not grow with the data centre.
class MembershipTable {
public:
    struct Options {
        Duration suspect_after = seconds(3);
        Duration dead_after = seconds(8);
        Duration forget_after = seconds(120);
        /// Records carried on one heartbeat.
        std::size_t digests_per_heartbeat = 8;
    };

    MembershipTable(Options options, MemberRecord self);

    MemberRecord const& self() const { return this->members.at(this->self_name).record; }

    /// Raises this VM's own heartbeat.
    void beat(std::span<ServiceEndpoint const> services, std::int64_t configuration_generation, MonotonicTime now);
    void leave(MonotonicTime now);

    /// The digests for the next heartbeat: this VM's own and the next few in turn.
    std::vector<MemberDigest> next_digests();

    /// Takes a peer's digests. Gives the VMs whose full record is wanted from that peer.
    std::vector<std::string> merge_digests(std::span<MemberDigest const> digests, MonotonicTime now);
    /// Takes full records; older ones than are known change nothing.
    void merge_records(std::span<MemberRecord const> records, MonotonicTime now);

    std::optional<MemberRecord> find(std::string_view virtual_machine) const;

    /// Turns silent members suspect, then dead, then forgets them.
    void advance(MonotonicTime now);

    /// Records of the VMs that are not dead, with their life as seen here.
    std::vector<MemberRecord> live_members() const;
    std::vector<MemberRecord> all_members() const;

    /// A number that changes whenever a service, a life or a member changed.
    std::int64_t version() const { return this->current_version; }

private:
    struct Member {
        MemberRecord record;
        MonotonicTime heard;
    };

    MemberLife life_of(Member const& member, MonotonicTime now) const;
    void defend(MonotonicTime now);

    Options options;
    std::string self_name;
    std::map<std::string, Member, std::less<>> members;
    std::string digest_cursor;
    std::int64_t current_version = 1;
};

}
