// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <LibCore/LogLine.h>
#include <LibCore/ProcessLog.h>
#include <LibCore/ProgramOptions.h>
#include <Services/NodeServer/NodeMain.h>
#include <csignal>

namespace Spurtide {

namespace {

constexpr std::string_view PROGRAM = "spurtide-node";

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
        if (signal == SIGHUP)
            reload(path);
        else
            node.stop([&loop] { loop.stop(); });
        watch_signals(signals, path, node, loop);
    });
}

ExitCode run(NodeSettings const& settings, std::string const& path, std::function<NodeAdapters(NodeSettings const&)> const& make_adapters)
{
    LogLine::set_process_fields(PROGRAM, settings.virtual_machine, settings.data_centre);
    std::signal(SIGPIPE, SIG_IGN);
    asio::io_context loop(1);
    auto node = Node::create(loop, settings, make_adapters(settings));
    if (node.is_error()) {
        LogLine("cannot_start").with("reason", to_string(node.error()));
        return ExitCode::Failed;
    }
    asio::signal_set signals(loop, SIGTERM, SIGINT, SIGHUP);
    watch_signals(signals, path, *node.value(), loop);
    LogLine("started").with("callers", node.value()->caller_address().to_string()).with("operations", node.value()->operations_address().to_string());
    loop.run();
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
