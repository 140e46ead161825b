// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibConfiguration/Configuration.h>
#include <LibDecision/CellMap.h>
#include <LibDecision/CellScheduler.h>
#include <LibService/ConfigurationFollower.h>
#include <LibWire/Kernel.h>
#include <Services/EntryServer/Problem.h>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Spurtide {

/// A granted placement, with the addresses of its engines.
struct GrantedPlacement {
    std::string prefill_engine;
    std::string decode_engine;
    std::string prefill_address;
    std::string decode_address;
};

/// Asks the keepers of the data centre's cells. Blocks; used from handlers' threads.
class PlacementClient {
public:
    PlacementClient(Kernel& kernel, ConfigurationFollower& follower, std::string virtual_machine, std::string data_centre);

    /// The own cell's keeper first, then others. Every problem it gives is one where nothing was dispatched.
    Result<GrantedPlacement, Problem> ask(PlacementAsk const& ask, Duration first_token_within);
    void progress(std::string const& work, std::string const& decode_engine, GrantProgress progress);
    void release(std::string const& work, std::string const& decode_engine, std::int64_t output_tokens);

    /// The engine that a request's stream is on, by any keeper.
    std::optional<std::string> locate(std::string const& work, std::string_view account);

    /// HOST:PORT of an engine; empty where the configuration has none of that name.
    std::string engine_address(std::string_view engine) const;

private:
    struct Map {
        std::int64_t generation = 0;
        std::int64_t directory_version = 0;
        CellMap cells;
    };

    std::shared_ptr<Map const> current_map();
    std::vector<std::string> keepers_to_ask(std::string_view work);
    std::vector<std::string> keepers_of(std::string_view decode_engine);
    Result<GrantedPlacement, Problem> read_reply(wire::Envelope const& reply) const;

    Kernel& kernel;
    ConfigurationFollower& follower;
    std::string virtual_machine;
    std::string data_centre;
    std::mutex mutex;
    std::shared_ptr<Map const> map;
};

}
