// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibAsync/Spawn.h>
#include <LibCore/Clock.h>
#include <LibCore/LogLine.h>
#include <LibCore/ProcessLog.h>
#include <LibCore/ProgramOptions.h>
#include <Services/NodeServer/NodeMain.h>
#include <csignal>
#include <memory>

namespace Spurtide {

namespace {

constexpr std::string_view PROGRAM = "spurtide-node";
constexpr int START_ATTEMPTS = 50;
constexpr Duration START_RETRY_INTERVAL = milliseconds(200);

/// Reads the settings again and says what a restart would change; addresses and names stay as they are.
void reload(std::string const& path)
{
    auto const settings = load_settings(path);
    if (settings.is_error()) {
        LogLine("settings_unreadable").with("faults", settings.error().describe());
        return;
    }
    auto const checked = NodeSettings::read(settings.value(), path);
    if (checked.is_error())
        LogLine("settings_faulty").with("faults", checked.error().describe());
    else
        LogLine("settings_read_again").with("vm", checked.value().virtual_machine);
}

void watch_signals(asio::signal_set& signals, std::string const& path, Node& node, asio::io_context& loop)
{
    signals.async_wait([&signals, path, &node, &loop](asio::error_code error, int signal) {
        if (error)
            return;
        watch_signals(signals, path, node, loop);
        if (signal == SIGHUP)
            reload(path);
        else
            node.stop([&loop] { loop.stop(); });
    });
}

/// A node and the event loop that it runs on. A node that could not be created leaves coroutines on its loop.
struct RunningNode {
    asio::io_context loop { 1 };
    std::unique_ptr<Node> node;
};

/// An address may be held for a moment by the process that used it before, or not be there yet. The error is the exit code: Success if
/// the process is told to stop before the node has started.
Result<std::unique_ptr<RunningNode>, ExitCode> create_node(NodeSettings const& settings, std::function<NodeAdapters(NodeSettings const&)> const& make_adapters)
{
    for (int attempt = 1; attempt <= START_ATTEMPTS; ++attempt) {
        auto running = std::make_unique<RunningNode>();
        auto created = Node::create(running->loop, settings, make_adapters(settings));
        if (!created.is_error()) {
            running->node = created.release_value();
            return running;
        }
        LogLine("start_failed").with("reason", to_string(created.error())).with("attempt", attempt).with("of", START_ATTEMPTS);
        if (is_told_to_stop_within(START_RETRY_INTERVAL))
            return Failure { ExitCode::Success };
    }
    return Failure { ExitCode::Failed };
}

ExitCode run(NodeSettings const& settings, std::string const& path, std::function<NodeAdapters(NodeSettings const&)> const& make_adapters)
{
    LogLine::set_process_fields(PROGRAM, settings.virtual_machine, settings.data_centre);
    std::signal(SIGPIPE, SIG_IGN);
    auto created = create_node(settings, make_adapters);
    if (created.is_error()) {
        LogLine("cannot_start").with("reason", created.error() == ExitCode::Success ? "told_to_stop" : "no_address");
        return created.error();
    }
    auto const running = created.release_value();
    auto& node = *running->node;
    asio::signal_set signals(running->loop, SIGTERM, SIGINT, SIGHUP);
    watch_signals(signals, path, node, running->loop);
    unblock_handled_signals();
    LogLine("started").with("callers", node.caller_address().to_string()).with("operations", node.operations_address().to_string());
    run_loop(running->loop);
    ProcessLog::flush();
    // Whatever still runs is cut off with the process; taking it apart first would only take time.
    std::_Exit(static_cast<int>(ExitCode::Success));
}

}

int node_main(int argument_count, char** arguments, std::function<NodeAdapters(NodeSettings const&)> make_adapters)
{
    ServerProgram program;
    program.name = PROGRAM;
    program.summary = "routes callers' requests; one process a VM";
    program.stop_signals = ServerProgram::StopSignals::Handled;
    program.check = [](nlohmann::json const& settings, std::string_view source) -> Result<Done, SettingsError> {
        TRY(NodeSettings::read(settings, source));
        return Done {};
    };
    program.run = [&](nlohmann::json const& settings, std::string_view source) {
        return run(NodeSettings::read(settings, source).release_value(), std::string(source), make_adapters);
    };
    return server_main(argument_count, arguments, program);
}

}
