// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/ProcessLog.h>
#include <LibCore/ProgramOptions.h>
#include <array>
#include <csignal>
#include <getopt.h>
#include <glog/logging.h>
#include <iostream>
#include <unistd.h>

namespace Spurtide {

namespace {

enum class OptionCode : int {
    Settings = 's',
    Check = 'c',
    Help = 'h',
    Version = 'v',
};

struct ServerOptions {
    std::string settings_path;
    bool check_only = false;
};

void print_help(ServerProgram const& program)
{
    std::cout << program.name << " - " << program.summary << "\n\n"
              << "Usage: " << program.name << " --settings FILE [--check]\n\n"
              << "  -s, --settings FILE  settings, JSON with comments (docs/operators/settings.md)\n"
              << "  -c, --check          check the settings and exit\n"
              << "  -h, --help           print this help\n"
              << "  -v, --version        print the version\n\n"
              << "Exit codes: 0 success, 1 failed, 2 bad usage, 3 bad settings.\n";
}

sigset_t stop_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

int exit_with(ExitCode code) { return static_cast<int>(code); }

int run_with_settings(ServerProgram const& program, ServerOptions const& options)
{
    auto const settings = load_settings(options.settings_path);
    if (settings.is_error()) {
        std::cerr << settings.error().describe();
        return exit_with(ExitCode::BadSettings);
    }
    auto const checked = program.check(settings.value(), options.settings_path);
    if (checked.is_error()) {
        std::cerr << checked.error().describe();
        return exit_with(ExitCode::BadSettings);
    }
    if (options.check_only) {
        std::cout << options.settings_path << ": settings are valid\n";
        return exit_with(ExitCode::Success);
    }
    if (program.stop_signals == ServerProgram::StopSignals::WaitedFor)
        block_stop_signals();
    ProcessLog::start(STDERR_FILENO);
    auto const code = program.run(settings.value(), options.settings_path);
    ProcessLog::stop();
    return exit_with(code);
}

}

int server_main(int argument_count, char** arguments, ServerProgram const& program)
{
    std::array<option, 5> const long_options { {
        { "settings", required_argument, nullptr, static_cast<int>(OptionCode::Settings) },
        { "check", no_argument, nullptr, static_cast<int>(OptionCode::Check) },
        { "help", no_argument, nullptr, static_cast<int>(OptionCode::Help) },
        { "version", no_argument, nullptr, static_cast<int>(OptionCode::Version) },
        { nullptr, 0, nullptr, 0 },
    } };
    FLAGS_logtostderr = true;
    // The lines carry their own time, so that each is key=value pairs from its start.
    FLAGS_log_prefix = false;
    google::InitGoogleLogging(arguments[0]);
    ServerOptions options;
    int code = 0;
    while ((code = getopt_long(argument_count, arguments, "s:chv", long_options.data(), nullptr)) != -1) {
        switch (static_cast<OptionCode>(code)) {
        case OptionCode::Settings:
            options.settings_path = optarg;
            break;
        case OptionCode::Check:
            options.check_only = true;
            break;
        case OptionCode::Help:
            print_help(program);
            return exit_with(ExitCode::Success);
        case OptionCode::Version:
            std::cout << program.name << " " << VERSION << "\n";
            return exit_with(ExitCode::Success);
        default:
            std::cerr << "Try " << program.name << " --help\n";
            return exit_with(ExitCode::BadUsage);
        }
    }
    if (options.settings_path.empty() || optind != argument_count) {
        std::cerr << program.name << ": --settings FILE is required and takes no other words; try --help\n";
        return exit_with(ExitCode::BadUsage);
    }
    return run_with_settings(program, options);
}

void block_stop_signals()
{
    auto const signals = stop_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    // A caller or upstream that vanishes is seen as a failed write, not as a signal.
    std::signal(SIGPIPE, SIG_IGN);
}

void wait_for_stop_signal()
{
    auto const signals = stop_signals();
    // A line that nobody read in time is written as soon as somebody reads, also if no other line follows.
    timespec const flush_interval { 1, 0 };
    while (sigtimedwait(&signals, nullptr, &flush_interval) < 0)
        ProcessLog::flush();
}

bool is_told_to_stop_within(Duration duration)
{
    auto const signals = stop_signals();
    auto const whole = std::chrono::duration_cast<std::chrono::seconds>(duration);
    auto const rest = std::chrono::duration_cast<std::chrono::nanoseconds>(duration - whole);
    timespec const time { whole.count(), rest.count() };
    return sigtimedwait(&signals, nullptr, &time) >= 0;
}

}
