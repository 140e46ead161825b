// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibAsync/Spawn.h>
#include <LibCore/Clock.h>
#include <LibCore/LogLine.h>
#include <LibCore/ProcessLog.h>
#include <LibCore/ProgramOptions.h>
#include <LibCore/Verify.h>
#include <Services/NodeServer/NodeMain.h>
#include <algorithm>
#include <csignal>
#include <exception>
#include <malloc.h>
#include <memory>
#include <optional>

namespace Spurtide {

namespace {

constexpr std::string_view PROGRAM = "spurtide-node";
constexpr int LARGE_ALLOCATION_BYTES = 48 * 1024;
constexpr Duration SHORTEST_START_RETRY_INTERVAL = milliseconds(200);
constexpr Duration LONGEST_START_RETRY_INTERVAL = seconds(2);

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

/// Memory of long bodies goes back to the system when they are freed. The C library would take such blocks from the heap after it has
/// seen some, where blocks that are freed between others stay resident.
void set_allocator_options()
{
#ifdef __GLIBC__
    static_cast<void>(::mallopt(M_MMAP_THRESHOLD, LARGE_ALLOCATION_BYTES));
#endif
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

/// Libraries throw where descriptors or memory are short.
std::optional<Result<std::unique_ptr<Node>, NodeStartError>> try_create_node(asio::io_context& loop, NodeSettings const& settings, NodeAdapters const& adapters)
{
    try {
        return Node::create(loop, settings, adapters);
    } catch (std::exception const& error) {
        LogLine("start_threw").with("error", error.what());
        return {};
    }
}

Address const& address_of(NodeStartError error, NodeSettings const& settings)
{
    switch (error) {
    case NodeStartError::CannotListenForCallers:
        return settings.caller_address;
    case NodeStartError::CannotListenForOperations:
        return settings.operations_address;
    case NodeStartError::CannotListenForPeers:
        return settings.wire_address;
    }
    VERIFY_NOT_REACHED();
}

/// Retries until the addresses can be used: the process that used one before may still hold it, or an outgoing connection of another
/// process may have its port. Returns null if the process is told to stop before the node has started.
std::unique_ptr<RunningNode> create_node(NodeSettings const& settings, std::function<NodeAdapters(NodeSettings const&)> const& make_adapters)
{
    auto retry_interval = SHORTEST_START_RETRY_INTERVAL;
    for (std::int64_t attempt = 1;; ++attempt) {
        auto running = std::make_unique<RunningNode>();
        auto created = try_create_node(running->loop, settings, make_adapters(settings));
        if (created && !created->is_error()) {
            running->node = created->release_value();
            return running;
        }
        LogLine("start_failed")
            .with("reason", created ? to_string(created->error()) : "exception")
            .with("address", created ? address_of(created->error(), settings).to_string() : std::string())
            .with("attempt", attempt)
            .with("retry_in_ms", to_milliseconds(retry_interval));
        if (is_told_to_stop_within(retry_interval))
            return {};
        retry_interval = std::min(retry_interval * 2, LONGEST_START_RETRY_INTERVAL);
    }
}

ExitCode run(NodeSettings const& settings, std::string const& path, std::function<NodeAdapters(NodeSettings const&)> const& make_adapters)
{
    LogLine::set_process_fields(PROGRAM, settings.virtual_machine, settings.data_centre);
    std::signal(SIGPIPE, SIG_IGN);
    set_allocator_options();
    auto const running = create_node(settings, make_adapters);
    if (!running) {
        LogLine("cannot_start").with("reason", "told_to_stop");
        return ExitCode::Success;
    }
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
