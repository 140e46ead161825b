// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibConfiguration/Configuration.h>
#include <LibDecision/CellMap.h>
#include <LibDecision/CellScheduler.h>
#include <LibService/ConfigurationFollower.h>
#include <LibWire/Kernel.h>
#include <Services/EntryServer/Problem.h>
#include <map>
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

    /// Starts to tell keepers that are new in office what this entry was granted.
    void start();

    /// The own cell's keeper first, then others; where none keeps the cell at the moment, until the time is over.
    /// Every problem it gives is one where nothing was dispatched.
    Result<GrantedPlacement, Problem> ask(PlacementAsk const& ask, Duration first_token_within);
    void progress(std::string const& work, std::string const& decode_engine, GrantProgress progress);
    void release(std::string const& work, std::string const& decode_engine, std::int64_t output_tokens);
    /// Tells the keeper that an engine did not answer, so that nothing new goes there until it reports.
    void tell_failure(std::string const& work, std::string const& failed_engine);

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

    /// What was granted and is not released yet.
    struct Active {
        PlacementAsk ask;
        std::string prefill_engine;
        std::string decode_engine;
        GrantProgress progress = GrantProgress::Prefilling;
    };

    struct Round {
        std::optional<Result<GrantedPlacement, Problem>> decided;
        bool was_refused = false;
        Problem refusal;
    };

    std::shared_ptr<Map const> current_map();
    Round ask_round(PlacementAsk const& ask, MonotonicTime until);
    void tell_new_keepers();
    void note_granted(PlacementAsk const& ask, GrantedPlacement const& granted);
    std::vector<std::string> keepers_to_ask(std::string_view work);
    std::vector<std::string> keepers_of(std::string_view engine);
    Result<GrantedPlacement, Problem> read_reply(wire::Envelope const& reply) const;

    Kernel& kernel;
    ConfigurationFollower& follower;
    std::string virtual_machine;
    std::string data_centre;
    std::mutex mutex;
    std::shared_ptr<Map const> map;
    std::map<std::string, Active, std::less<>> active;
    /// Used on the kernel's thread alone.
    std::map<std::size_t, std::string> told_keepers;
};

}
