// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <Services/NodeServer/NodeSettings.h>
#include <catch2/catch.hpp>
#include <random>

using namespace Spurtide;

namespace {

constexpr std::string_view WHOLE = R"({
    // Comments are allowed.
    "vm": "front-1", "data_centre": "dc",
    "caller_address": "127.0.0.1:1", "operations_address": "127.0.0.1:2", "wire_address": "127.0.0.1:3",
    "registry_address": "127.0.0.1:4", "seeds": ["127.0.0.1:3"],
    "memory_headroom": 0.2, "length_spread": 0.6, "role_changes": "on", "call_admission": "on", "lease_milliseconds": 3000, "news_milliseconds": 4000,
    "stream_migration": "on", "completion_placement": "on", "account_share_bound": "on", "memory_deviations": 1.5, "processor_share": 0.25, "keeper_processor_share": 0.4,
    "retry_ratio": 0.2, "retry_allowance": 56, "retry_window_seconds": 10, "stop_grace_seconds": 8, "descriptors": 4100, "memory_megabytes": 88, "metrics_address": "127.0.0.1:5"
})";

Result<NodeSettings, SettingsError> read(std::string_view text)
{
    auto const json = TRY(parse_settings(text, "test"));
    return NodeSettings::read(json, "test");
}

}

TEST_CASE("A node's settings are read whole")
{
    auto const settings = read(WHOLE);
    REQUIRE_FALSE(settings.is_error());
    CHECK(settings.value().role_changes == NodeSettings::RoleChanges::On);
    CHECK(settings.value().call_admission == NodeSettings::CallAdmission::On);
    CHECK(settings.value().stream_migration == NodeSettings::StreamMigration::On);
    CHECK(settings.value().completion_placement == NodeSettings::CompletionPlacement::On);
    CHECK(settings.value().account_share_bound == NodeSettings::AccountShareBound::On);
    CHECK(settings.value().lease_time == seconds(3));
    CHECK(settings.value().news_time == seconds(4));
    CHECK(settings.value().memory_deviations == 1.5);
    CHECK(settings.value().processor_share == 0.25);
    CHECK(settings.value().descriptors == 4100);
    CHECK(settings.value().memory_bytes == 88UL * 1024 * 1024);
}

// Guards against a node that asks other VMs for permits although nobody switched that on.
TEST_CASE("Calls ask for no permits unless a node's settings say so", "[call-admission]")
{
    std::string text(WHOLE);
    std::string const choice = "\"call_admission\": \"on\", ";
    text.replace(text.find(choice), choice.size(), "");
    auto const settings = read(text);
    REQUIRE_FALSE(settings.is_error());
    CHECK(settings.value().call_admission == NodeSettings::CallAdmission::Off);
}

// Guards against a node that takes an unknown limit for one of zero bytes and refuses all.
TEST_CASE("A node whose settings give no memory has no limit of its own")
{
    auto const given = GENERATE(as<std::string>(), "", "\"memory_megabytes\": 0, ");
    std::string text(WHOLE);
    std::string const field = "\"memory_megabytes\": 88, ";
    text.replace(text.find(field), field.size(), given);
    auto const settings = read(text);
    REQUIRE_FALSE(settings.is_error());
    CHECK_FALSE(settings.value().memory_bytes);
}

// Guards against streams that are moved in deployments which did not ask for it.
TEST_CASE("Streams are not moved unless the settings say so")
{
    std::string text(WHOLE);
    std::string const field = "\"stream_migration\": \"on\", ";
    text.erase(text.find(field), field.size());
    auto const settings = read(text);
    REQUIRE_FALSE(settings.is_error());
    CHECK(settings.value().stream_migration == NodeSettings::StreamMigration::Off);
}

// Guards against streams that wait or are refused by rules which the deployment did not ask for.
TEST_CASE("Completion times and account shares bind no placement unless the settings say so")
{
    std::string text(WHOLE);
    std::string const fields = "\"completion_placement\": \"on\", \"account_share_bound\": \"on\", ";
    text.erase(text.find(fields), fields.size());
    auto const settings = read(text);
    REQUIRE_FALSE(settings.is_error());
    CHECK(settings.value().completion_placement == NodeSettings::CompletionPlacement::Off);
    CHECK(settings.value().account_share_bound == NodeSettings::AccountShareBound::Off);
}

TEST_CASE("What makes no sense in a node's settings is a fault that names its key")
{
    struct Row {
        std::string from;
        std::string to;
        std::string key;
    };
    auto const row = GENERATE(values<Row>({
        { "\"on\"", "\"maybe\"", "role_changes" },
        { "\"call_admission\": \"on\"", "\"call_admission\": true", "call_admission" },
        { "\"call_admission\": \"on\"", "\"call_admission\": \"auto\"", "call_admission" },
        { "\"stream_migration\": \"on\"", "\"stream_migration\": \"sometimes\"", "stream_migration" },
        { "\"completion_placement\": \"on\"", "\"completion_placement\": 1", "completion_placement" },
        { "\"account_share_bound\": \"on\"", "\"account_share_bound\": \"both\"", "account_share_bound" },
        { "\"lease_milliseconds\": 3000", "\"lease_milliseconds\": 1", "lease_milliseconds" },
        { "\"news_milliseconds\": 4000", "\"news_milliseconds\": 10", "news_milliseconds" },
        { "\"memory_deviations\": 1.5", "\"memory_deviations\": -1", "memory_deviations" },
        { "\"processor_share\": 0.25", "\"processor_share\": -1", "processor_share" },
        { "\"descriptors\": 4100", "\"descriptors\": 3", "descriptors" },
        { "\"memory_megabytes\": 88", "\"memory_megabytes\": -1", "memory_megabytes" },
        { "\"memory_megabytes\": 88", "\"memory_megabytes\": \"88\"", "memory_megabytes" },
        { "\"127.0.0.1:5\"", "\"5\"", "metrics_address" },
        { "127.0.0.1:4", "nowhere", "registry_address" },
        { "\"vm\"", "\"machine\"", "vm" },
        { "0.6", "\"wide\"", "length_spread" },
    }));
    CAPTURE(row.key);
    std::string text(WHOLE);
    text.replace(text.find(row.from), row.from.size(), row.to);
    auto const settings = read(text);
    REQUIRE(settings.is_error());
    CHECK(settings.error().describe().find(row.key) != std::string::npos);
}

TEST_CASE("Damaged settings are faults, never a crash")
{
    auto const seed = GENERATE(range(1, 9));
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    int valid = 0;
    for (int turn = 0; turn < 500; ++turn) {
        std::string text(WHOLE);
        for (std::uint64_t i = 0; i <= random() % 3; ++i)
            text[random() % text.size()] = static_cast<char>(random());
        valid += read(text).is_error() ? 0 : 1;
    }
    CHECK(valid < 500);
}
