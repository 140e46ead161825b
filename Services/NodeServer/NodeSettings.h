// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Result.h>
#include <LibCore/SettingsReader.h>
#include <LibDecision/Residency.h>
#include <LibDecision/SharedRetryBudget.h>
#include <LibHttp/Address.h>
#include <cstddef>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace Spurtide {

/// The checked settings of a NodeServer.
struct NodeSettings {
    std::string virtual_machine;
    std::string data_centre;
    /// Where it is told; requests that have to stay in some regions are served at those data centres alone.
    RegionMap regions;
    /// Where callers connect.
    Address caller_address;
    /// Where readiness and metrics are asked for.
    Address operations_address;
    /// Where metrics are asked for as well.
    std::optional<Address> metrics_address;
    /// Where the other VMs connect.
    Address wire_address;
    /// Where other VMs send requests that this one is to relay; without it, it relays none.
    std::optional<Address> relay_address;
    /// Wire addresses of VMs to meet first; some may be stale.
    std::vector<std::string> seeds;
    Address registry_address;
    SharedRetryBudget::Options retry;
    /// Sliding window over which accounts' limits are watched.
    Duration quota_window = seconds(8);
    /// Units over an account's limit that operators put up with in a window, for errors of counting.
    double quota_tolerance = 0;
    /// Whether all VMs start for the first time: then none has forgotten what accounts used.
    enum class Start {
        First,
        Again,
    } start
        = Start::Again;
    /// Part of an engine's memory that is never promised.
    double memory_headroom = 0.05;
    /// Standard deviations of what an engine's answers will hold that have to fit beside the expected sum.
    double memory_deviations = 1;
    /// How far answers' lengths are from what callers expect: standard deviation of the logarithm.
    double length_spread = 0.6;
    /// Refused callers come back at times that are spread over this.
    Duration return_spread = seconds(4);
    /// Whether engines are ordered to change between reading prompts and making answers.
    enum class RoleChanges {
        Off,
        On,
    } role_changes
        = RoleChanges::Off;
    /// Whether plain calls ask the admission controller of their service for a place at an upstream before each send.
    enum class CallAdmission {
        Off,
        On,
    } call_admission
        = CallAdmission::Off;
    /// Whether streams that run are moved to other engines where their own one does not complete them.
    enum class StreamMigration {
        Off,
        On,
    } stream_migration
        = StreamMigration::Off;
    /// Whether streams are placed by the time at which their whole answer has to be complete.
    enum class CompletionPlacement {
        Off,
        On,
    } completion_placement
        = CompletionPlacement::Off;
    /// Whether an account above its share of scarce decode memory leaves the rest to the accounts below theirs.
    enum class AccountShareBound {
        Off,
        On,
    } account_share_bound
        = AccountShareBound::Off;
    /// How long callers may come back for a stream that neither a VM nor the registry knows.
    Duration longest_absence = seconds(600);
    /// How long one write to the lease of those orders is good for.
    Duration lease_time = seconds(3);
    /// Within what time news of the registry have to be in force.
    Duration news_time = seconds(2);
    /// Part of a core that this VM has. Those with less than the next keep the engines only where no other does.
    double processor_share = 1;
    double keeper_processor_share = 0;
    /// File descriptors that this process may have; callers' connections take half of them at most, since each request
    /// may need another one to an upstream.
    std::int64_t descriptors = 20'000;
    /// What this process may hold in memory, if that is limited.
    std::optional<std::size_t> memory_bytes;
    /// From the signal to stop until the platform ends the process.
    Duration stop_grace = seconds(8);

    static Result<NodeSettings, SettingsError> read(nlohmann::json const& settings, std::string_view source);
};

}
