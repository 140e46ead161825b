// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <Utilities/spurtide/Command.h>
#include <algorithm>
#include <array>
#include <cstdlib>
#include <fstream>
#include <getopt.h>
#include <glog/logging.h>
#include <iostream>

namespace {

using namespace Spurtide;

enum class OptionCode : int {
    Admin = 'a',
    KeyFile = 'k',
    Output = 'o',
    BaseGeneration = 'b',
    ApplyId = 'i',
    DryRun = 'n',
    Check = 'c',
    Help = 'h',
    Version = 'v',
};

void print_help()
{
    std::cout << "spurtide - drives a spurtide deployment\n\n"
                 "Usage: spurtide [OPTIONS] COMMAND [ARGUMENT]\n\nCommands:\n";
    for (auto const& command : all_commands()) {
        auto usage = std::string(command.name) + " " + std::string(command.arguments);
        usage.resize(std::max<std::size_t>(usage.size() + 1, 18), ' ');
        std::cout << "  " << usage << command.summary << "\n";
    }
    std::cout << "\nOptions:\n"
                 "  -a, --admin HOST:PORT      an AdminServer (default 127.0.0.1:7003, or SPURTIDE_ADMIN)\n"
                 "  -k, --key-file FILE        file with the operator's key (or SPURTIDE_KEY)\n"
                 "  -o, --output table|json    form of the output (default table)\n"
                 "  -b, --base-generation N    apply only on this generation (default: the one in force)\n"
                 "  -i, --apply-id ID          name of the change; the same id is accepted once\n"
                 "  -n, --dry-run              with apply: show the change and do nothing\n"
                 "  -c, --check                check the command line and exit; nothing is sent\n"
                 "  -h, --help                 print this help\n"
                 "  -v, --version              print the version\n\n"
                 "A change begins with a file of the whole desired state:\n"
                 "  spurtide check fleet.json && spurtide diff fleet.json && spurtide apply fleet.json\n\n"
                 "Exit codes: 0 success, 1 failed or different, 2 bad usage, 3 invalid file,\n"
                 "4 refused (key, role or rate), 5 conflict, 6 unreachable or not accepted.\n";
}

int exit_with(ExitCode code) { return static_cast<int>(code); }

std::string environment(char const* name, std::string fallback)
{
    auto const* value = std::getenv(name);
    return value ? value : std::move(fallback);
}

bool read_key_file(char const* path, std::string& key)
{
    std::ifstream file(path);
    return static_cast<bool>(std::getline(file, key));
}

/// Takes one option; false where its argument is not valid.
bool take_option(int code, CommandOptions& options)
{
    switch (static_cast<OptionCode>(code)) {
    case OptionCode::Admin: {
        auto const address = parse_address(optarg);
        options.admin = address.value_or(options.admin);
        return address.has_value();
    }
    case OptionCode::KeyFile:
        return read_key_file(optarg, options.key);
    case OptionCode::Output:
        options.output = std::string_view(optarg) == "json" ? OutputForm::Json : OutputForm::Table;
        return std::string_view(optarg) == "json" || std::string_view(optarg) == "table";
    case OptionCode::BaseGeneration:
        options.base_generation = optarg;
        return !options.base_generation.empty() && std::all_of(options.base_generation.begin(), options.base_generation.end(), [](unsigned char c) { return std::isdigit(c) != 0; });
    case OptionCode::ApplyId:
        options.apply_id = optarg;
        return true;
    case OptionCode::Check:
        options.run = CommandOptions::Run::CheckOnly;
        return true;
    case OptionCode::DryRun:
        options.run = CommandOptions::Run::Dry;
        return true;
    default:
        return false;
    }
}

int run_command(CommandOptions const& options)
{
    auto const commands = all_commands();
    auto const found = options.words.empty() ? commands.end() : std::find_if(commands.begin(), commands.end(), [&](auto const& command) { return command.name == options.words[0]; });
    if (found == commands.end() || options.words.size() != found->argument_count + 1) {
        std::cerr << "spurtide: no such command, or wrong number of arguments; try spurtide --help\n";
        return exit_with(ExitCode::BadUsage);
    }
    if (options.run == CommandOptions::Run::CheckOnly) {
        std::cout << "spurtide: the command line is valid\n";
        return exit_with(ExitCode::Success);
    }
    return exit_with(found->run(options));
}

}

int main(int argument_count, char** arguments)
{
    std::array<option, 10> const long_options { {
        { "admin", required_argument, nullptr, static_cast<int>(OptionCode::Admin) },
        { "key-file", required_argument, nullptr, static_cast<int>(OptionCode::KeyFile) },
        { "output", required_argument, nullptr, static_cast<int>(OptionCode::Output) },
        { "base-generation", required_argument, nullptr, static_cast<int>(OptionCode::BaseGeneration) },
        { "apply-id", required_argument, nullptr, static_cast<int>(OptionCode::ApplyId) },
        { "check", no_argument, nullptr, static_cast<int>(OptionCode::Check) },
        { "dry-run", no_argument, nullptr, static_cast<int>(OptionCode::DryRun) },
        { "help", no_argument, nullptr, static_cast<int>(OptionCode::Help) },
        { "version", no_argument, nullptr, static_cast<int>(OptionCode::Version) },
        { nullptr, 0, nullptr, 0 },
    } };
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(arguments[0]);
    CommandOptions options;
    options.key = environment("SPURTIDE_KEY", "");
    options.admin = parse_address(environment("SPURTIDE_ADMIN", "")).value_or(options.admin);
    int code = 0;
    while ((code = getopt_long(argument_count, arguments, "a:k:o:b:i:nchv", long_options.data(), nullptr)) != -1) {
        if (static_cast<OptionCode>(code) == OptionCode::Help) {
            print_help();
            return exit_with(ExitCode::Success);
        }
        if (static_cast<OptionCode>(code) == OptionCode::Version) {
            std::cout << "spurtide " << VERSION << "\n";
            return exit_with(ExitCode::Success);
        }
        if (!take_option(code, options)) {
            std::cerr << "spurtide: an option is not valid; try spurtide --help\n";
            return exit_with(ExitCode::BadUsage);
        }
    }
    for (int i = optind; i < argument_count; ++i)
        options.words.emplace_back(arguments[i]);
    return run_command(options);
}
