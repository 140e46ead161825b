// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Result.h>
#include <LibCore/SettingsReader.h>
#include <LibDecision/CellMap.h>
#include <LibDecision/CellScheduler.h>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Spurtide {

/// An engine of a pool and where it answers.
struct ConfiguredEngine {
    EngineDescription description;
    std::string data_centre;
    /// HOST:PORT.
    std::string address;
    /// Whether the engine checks the fence epoch of an order.
    enum class OrderChecks {
        Fenced,
        Unfenced,
    } order_checks
        = OrderChecks::Unfenced;
};

struct ConfiguredModel {
    std::string name;
    std::int64_t maximum_prompt_tokens = 0;
    std::int64_t maximum_output_tokens = 0;
};

/// A plain service and its servers.
struct ConfiguredService {
    struct Server {
        /// As the platform's machine list has it; empty where it is not listed.
        std::string name;
        std::string data_centre;
        std::string address;
    };

    std::string name;
    std::vector<Server> servers;
};

struct ConfiguredAccount {
    AccountDescription description;
    /// SHA-256 of the bearer key, in hexadecimal.
    std::string key_hash;
    /// Requests of higher priority than this are lowered to it.
    std::int64_t maximum_priority = 0;
};

/// The whole desired state of the fleet, as operators wrote it.
struct Configuration {
    std::int64_t generation = 0;
    std::vector<ConfiguredModel> models;
    std::vector<ConfiguredEngine> engines;
    std::vector<ConfiguredService> services;
    std::vector<ConfiguredAccount> accounts;

    ConfiguredModel const* find_model(std::string_view name) const;
    ConfiguredService const* find_service(std::string_view name) const;
    ConfiguredEngine const* find_engine(std::string_view name) const;
    ConfiguredAccount const* find_account_by_key_hash(std::string_view key_hash) const;
};

/// The engines of a data centre by name and kind, from which its cells are made.
std::vector<CellMember> cell_members(Configuration const& configuration, std::string_view data_centre);

/// Reads a declarative file; names every fault at once.
Result<Configuration, SettingsError> read_configuration(std::string_view text, std::string_view source);

/// SHA-256 of a text, in hexadecimal.
std::string sha256_hex(std::string_view text);

}
