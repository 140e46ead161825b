// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Result.h>
#include <LibCore/SettingsReader.h>
#include <LibCore/Time.h>
#include <functional>
#include <span>
#include <string>
#include <string_view>

namespace Spurtide {

constexpr std::string_view VERSION = "0.1.0";

/// Exit codes of every binary.
enum class ExitCode : int {
    Success = 0,
    Failed = 1,
    BadUsage = 2,
    BadSettings = 3,
    Refused = 4,
    Conflict = 5,
    Unreachable = 6,
};

/// What a server's command line may say.
struct ServerProgram {
    std::string_view name;
    std::string_view summary;
    /// Checks the settings; gives every fault.
    std::function<Result<Done, SettingsError>(nlohmann::json const& settings, std::string_view source)> check;
    /// Runs until SIGTERM or SIGINT.
    std::function<ExitCode(nlohmann::json const& settings, std::string_view source)> run;
    /// How the program takes SIGTERM and SIGINT.
    enum class StopSignals {
        /// They are blocked in every thread, and one waits for them.
        WaitedFor,
        /// The program's event loop handles them, and SIGHUP. The main function has blocked them (HandledSignals.h).
        Handled,
    } stop_signals
        = StopSignals::WaitedFor;
};

/// Handles --settings, --check, --help and --version, then runs the server.
int server_main(int argument_count, char** arguments, ServerProgram const& program);

/// Blocks SIGTERM, SIGINT and SIGPIPE for all later threads. Call before the first thread starts.
void block_stop_signals();

/// Waits until this process is told to stop.
void wait_for_stop_signal();
/// Waits for the given time; returns whether this process was told to stop meanwhile. The signals have to be blocked.
bool is_told_to_stop_within(Duration duration);

}
