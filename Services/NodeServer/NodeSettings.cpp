// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <Services/NodeServer/NodeSettings.h>

namespace Spurtide {

namespace {

constexpr double BYTES_PER_MEGABYTE = 1024 * 1024;

std::optional<Address> read_address(SettingsReader& reader, std::string_view key, Presence presence)
{
    auto const text = reader.text(key, presence);
    auto address = parse_address(text);
    if (!address && !text.empty())
        reader.fault(SettingsFaultKind::OutOfRange, key, "HOST:PORT");
    return address;
}

Address required_address(SettingsReader& reader, std::string_view key)
{
    return read_address(reader, key, Presence::Required).value_or(Address {});
}

}

Result<NodeSettings, SettingsError> NodeSettings::read(nlohmann::json const& settings, std::string_view source)
{
    std::vector<SettingsFault> faults;
    SettingsReader reader(settings, std::string(source), "", faults);
    NodeSettings node;
    node.virtual_machine = reader.text("vm", Presence::Required);
    node.data_centre = reader.text("data_centre", Presence::Required);
    for (auto& data_centre : reader.objects("data_centres", Presence::Optional)) {
        auto const name = data_centre.text("name", Presence::Required);
        node.regions.insert_or_assign(name, data_centre.text("region", Presence::Required));
        data_centre.finish();
    }
    node.caller_address = required_address(reader, "caller_address");
    node.operations_address = required_address(reader, "operations_address");
    node.metrics_address = read_address(reader, "metrics_address", Presence::Optional);
    node.wire_address = required_address(reader, "wire_address");
    node.relay_address = read_address(reader, "relay_address", Presence::Optional);
    node.registry_address = required_address(reader, "registry_address");
    node.seeds = reader.texts("seeds", Presence::Optional);
    node.retry.ratio = reader.number("retry_ratio", Presence::Optional, 0, 10, node.retry.ratio);
    node.retry.allowance = reader.number("retry_allowance", Presence::Optional, 0, 1e6, node.retry.allowance);
    node.retry.window = from_seconds(reader.number("retry_window_seconds", Presence::Optional, 0.1, 3600, to_seconds(node.retry.window)));
    node.quota_window = from_seconds(reader.number("quota_window_seconds", Presence::Optional, 0.5, 3600, to_seconds(node.quota_window)));
    node.quota_tolerance = reader.number("quota_tolerance", Presence::Optional, 0, 1e12, node.quota_tolerance);
    node.start = reader.boolean("first_start", false) ? Start::First : Start::Again;
    node.memory_headroom = reader.number("memory_headroom", Presence::Optional, 0, 0.9, node.memory_headroom);
    node.memory_deviations = reader.number("memory_deviations", Presence::Optional, 0, 10, node.memory_deviations);
    node.length_spread = reader.number("length_spread", Presence::Optional, 0.05, 3, node.length_spread);
    node.return_spread = milliseconds(reader.integer("return_spread_milliseconds", Presence::Optional, 0, 60'000, to_milliseconds(node.return_spread)));
    node.role_changes = reader.choice("role_changes", Presence::Optional, { "on", "off" }, "off") == "on" ? RoleChanges::On : RoleChanges::Off;
    node.call_admission = reader.choice("call_admission", Presence::Optional, { "on", "off" }, "off") == "on" ? CallAdmission::On : CallAdmission::Off;
    node.stream_migration = reader.choice("stream_migration", Presence::Optional, { "on", "off" }, "off") == "on" ? StreamMigration::On : StreamMigration::Off;
    node.completion_placement = reader.choice("completion_placement", Presence::Optional, { "on", "off" }, "off") == "on" ? CompletionPlacement::On : CompletionPlacement::Off;
    node.account_share_bound = reader.choice("account_share_bound", Presence::Optional, { "on", "off" }, "off") == "on" ? AccountShareBound::On : AccountShareBound::Off;
    node.news_time = reader.milliseconds("news_milliseconds", 500, 60'000, to_milliseconds(node.news_time));
    node.longest_absence = from_seconds(reader.number("longest_absence_seconds", Presence::Optional, 0.1, 600, to_seconds(node.longest_absence)));
    node.lease_time = reader.milliseconds("lease_milliseconds", 1000, 60'000, to_milliseconds(node.lease_time));
    node.processor_share = reader.number("processor_share", Presence::Optional, 0.001, 1024, node.processor_share);
    node.keeper_processor_share = reader.number("keeper_processor_share", Presence::Optional, 0, 1024, node.keeper_processor_share);
    node.descriptors = reader.integer("descriptors", Presence::Optional, 64, 10'000'000, node.descriptors);
    if (auto const megabytes = reader.number("memory_megabytes", Presence::Optional, 0, 16e6, 0); megabytes > 0)
        node.memory_bytes = static_cast<std::size_t>(megabytes * BYTES_PER_MEGABYTE);
    node.stop_grace = from_seconds(reader.number("stop_grace_seconds", Presence::Optional, 0.5, 3600, to_seconds(node.stop_grace)));
    reader.finish();
    if (!faults.empty())
        return Failure { SettingsError { std::move(faults) } };
    return node;
}

}
