// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/ProgramOptions.h>
#include <Utilities/spurtide-load/Experiments.h>
#include <Utilities/spurtide-load/LoadRunner.h>
#include <array>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <getopt.h>
#include <glog/logging.h>
#include <iostream>
#include <mutex>

namespace {

using namespace Spurtide;

enum class OptionCode : int {
    Targets = 't',
    Key = 'k',
    Prompts = 'p',
    Requests = 'n',
    Rate = 'r',
    Seed = 's',
    CancelShare = 'c',
    ResumeShare = 'm',
    Engines = 'e',
    Concurrency = 'j',
    Output = 'o',
    ShowAnswers = 'a',
    Check = 'C',
    Seeds = 'S',
    Length = 'L',
    Help = 'h',
    Version = 'v',
};

struct Options {
    LoadRunner::Options load;
    std::string prompts;
    std::string output;
    std::int64_t shown_answers = 0;
    bool check_only = false;
    int experiment_seeds = 10;
    std::int64_t experiment_seconds = 40;
};

void print_help()
{
    std::cout << "spurtide-load - load and experiments for a spurtide deployment\n\n"
                 "Usage: spurtide-load run --targets HOST:PORT,... --prompts FILE [OPTIONS]\n"
                 "       spurtide-load experiment NAME [--seeds N] [--length SECONDS] [--output FILE]\n\n"
                 "  -t, --targets LIST       entries, separated by commas (loopback only)\n"
                 "  -k, --key KEY            the account's bearer key (or SPURTIDE_KEY)\n"
                 "  -p, --prompts FILE       workload, one JSON object a line\n"
                 "  -n, --requests N         requests in all (default 20)\n"
                 "  -r, --rate R             mean arrivals a second (default 5)\n"
                 "  -s, --seed S             seed of arrivals, targets and plans (default 1)\n"
                 "  -c, --cancel-share X     share of streams to go away from (default 0)\n"
                 "  -m, --resume-share X     share of streams to break off and read on elsewhere (default 0)\n"
                 "  -e, --engines LIST       engines whose held work is counted at the end\n"
                 "  -j, --concurrency N      connections at once (default 64)\n"
                 "  -o, --output FILE        write the report as JSON too\n"
                 "  -a, --show-answers N     print the first answers\n"
                 "  -C, --check              check the options and the workload and exit\n"
                 "  -S, --seeds N            experiment: seeds 1 to N (default 10)\n"
                 "  -L, --length SECONDS     experiment: virtual seconds of each run (default 40)\n"
                 "  -h, --help               print this help\n"
                 "  -v, --version            print the version\n\n"
                 "Experiments (one cell in virtual time):\n";
    for (auto const& experiment : all_experiments())
        std::cout << "  " << experiment.name << std::string(25 - experiment.name.size(), ' ') << experiment.summary << "\n";
    std::cout << "\n"
                 "Exit codes: 0 every answer whole and nothing held, 1 not so, 2 bad usage, 3 bad workload.\n";
}

int exit_with(ExitCode code) { return static_cast<int>(code); }

bool is_loopback(Address const& address) { return address.host.starts_with("127."); }

bool read_addresses(std::string_view text, std::vector<Address>& addresses)
{
    while (!text.empty()) {
        auto const end = std::min(text.find(','), text.size());
        auto const address = parse_address(text.substr(0, end));
        // Load goes nowhere but to this machine.
        if (!address || !is_loopback(*address))
            return false;
        addresses.push_back(*address);
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return !addresses.empty();
}

bool read_number(double minimum, double maximum, double& number)
{
    char* end = nullptr;
    number = std::strtod(optarg, &end);
    return end != optarg && *end == '\0' && number >= minimum && number <= maximum;
}

template<typename Integer>
bool read_integer(double minimum, double maximum, Integer& integer)
{
    double number = 0;
    if (!read_number(minimum, maximum, number))
        return false;
    integer = static_cast<Integer>(number);
    return true;
}

bool take_option(int code, Options& options)
{
    switch (static_cast<OptionCode>(code)) {
    case OptionCode::Targets:
        return read_addresses(optarg, options.load.targets);
    case OptionCode::Engines:
        return read_addresses(optarg, options.load.engines);
    case OptionCode::Key:
        options.load.key = optarg;
        return true;
    case OptionCode::Prompts:
        options.prompts = optarg;
        return true;
    case OptionCode::Output:
        options.output = optarg;
        return true;
    case OptionCode::Requests:
        return read_integer(1, 1e6, options.load.requests);
    case OptionCode::Rate:
        return read_number(0.01, 1e5, options.load.rate);
    case OptionCode::Seed:
        return read_integer(0, 1e9, options.load.seed);
    case OptionCode::CancelShare:
        return read_number(0, 1, options.load.cancel_share);
    case OptionCode::ResumeShare:
        return read_number(0, 1, options.load.resume_share);
    case OptionCode::Concurrency:
        return read_integer(1, 2000, options.load.concurrency);
    case OptionCode::ShowAnswers:
        return read_integer(0, 1000, options.shown_answers);
    case OptionCode::Check:
        options.check_only = true;
        return true;
    case OptionCode::Seeds:
        return read_integer(1, 1000, options.experiment_seeds);
    case OptionCode::Length:
        return read_integer(1, 3600, options.experiment_seconds);
    default:
        return false;
    }
}

void print_answer(RequestResult const& result)
{
    static std::mutex s_mutex;
    std::scoped_lock const lock(s_mutex);
    std::cout << "[" << result.kind << "] request=" << result.request << (result.code.empty() ? "" : " code=" + result.code) << "\n    " << result.text << "\n";
}

int run_experiment(std::string_view name, Options const& options)
{
    for (auto const& experiment : all_experiments()) {
        if (experiment.name != name)
            continue;
        auto const outcome = experiment.run(options.experiment_seeds, seconds(options.experiment_seconds));
        std::cout << experiment_table(outcome);
        if (!options.output.empty())
            std::ofstream(options.output) << experiment_json(outcome) << "\n";
        return exit_with(ExitCode::Success);
    }
    std::cerr << "spurtide-load: there is no experiment " << name << "; try spurtide-load --help\n";
    return exit_with(ExitCode::BadUsage);
}

int run(Options& options)
{
    auto items = read_prompt_file(options.prompts);
    if (items.is_error() || items.value().empty()) {
        std::cerr << (items.is_error() ? items.error().describe() : "spurtide-load: the workload is empty\n");
        return exit_with(ExitCode::BadSettings);
    }
    options.load.items = items.release_value();
    if (options.check_only) {
        std::cout << options.prompts << ": the workload is valid, " << options.load.items.size() << " kinds of requests\n";
        return exit_with(ExitCode::Success);
    }
    std::atomic<std::int64_t> shown = 0;
    options.load.on_result = [&](RequestResult const& result) {
        if (shown++ < options.shown_answers)
            print_answer(result);
    };
    constexpr double FIRST_TOKEN_TARGET = 0.95;
    constexpr double TOKEN_TARGET = 0.037;
    LoadReport report(FIRST_TOKEN_TARGET, TOKEN_TARGET);
    LoadRunner runner(options.load);
    auto const seconds_taken = runner.run(report);
    auto const held = runner.held_at_end();
    std::cout << report.table(seconds_taken, held);
    if (!options.output.empty())
        std::ofstream(options.output) << report.json(seconds_taken, held) << "\n";
    bool const is_clean = report.count(RequestResult::End::NotWhole) == 0 && report.count(RequestResult::End::Unreachable) == 0 && held == 0;
    return exit_with(is_clean ? ExitCode::Success : ExitCode::Failed);
}

}

int main(int argument_count, char** arguments)
{
    std::array<option, 18> const long_options { {
        { "targets", required_argument, nullptr, static_cast<int>(OptionCode::Targets) },
        { "key", required_argument, nullptr, static_cast<int>(OptionCode::Key) },
        { "prompts", required_argument, nullptr, static_cast<int>(OptionCode::Prompts) },
        { "requests", required_argument, nullptr, static_cast<int>(OptionCode::Requests) },
        { "rate", required_argument, nullptr, static_cast<int>(OptionCode::Rate) },
        { "seed", required_argument, nullptr, static_cast<int>(OptionCode::Seed) },
        { "cancel-share", required_argument, nullptr, static_cast<int>(OptionCode::CancelShare) },
        { "resume-share", required_argument, nullptr, static_cast<int>(OptionCode::ResumeShare) },
        { "engines", required_argument, nullptr, static_cast<int>(OptionCode::Engines) },
        { "concurrency", required_argument, nullptr, static_cast<int>(OptionCode::Concurrency) },
        { "output", required_argument, nullptr, static_cast<int>(OptionCode::Output) },
        { "show-answers", required_argument, nullptr, static_cast<int>(OptionCode::ShowAnswers) },
        { "check", no_argument, nullptr, static_cast<int>(OptionCode::Check) },
        { "seeds", required_argument, nullptr, static_cast<int>(OptionCode::Seeds) },
        { "length", required_argument, nullptr, static_cast<int>(OptionCode::Length) },
        { "help", no_argument, nullptr, static_cast<int>(OptionCode::Help) },
        { "version", no_argument, nullptr, static_cast<int>(OptionCode::Version) },
        { nullptr, 0, nullptr, 0 },
    } };
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(arguments[0]);
    Options options;
    // A router that closes its end is a result to report, not a reason to die.
    std::signal(SIGPIPE, SIG_IGN);
    if (auto const* key = std::getenv("SPURTIDE_KEY"))
        options.load.key = key;
    int code = 0;
    while ((code = getopt_long(argument_count, arguments, "t:k:p:n:r:s:c:m:e:j:o:a:CS:L:hv", long_options.data(), nullptr)) != -1) {
        if (static_cast<OptionCode>(code) == OptionCode::Help) {
            print_help();
            return exit_with(ExitCode::Success);
        }
        if (static_cast<OptionCode>(code) == OptionCode::Version) {
            std::cout << "spurtide-load " << VERSION << "\n";
            return exit_with(ExitCode::Success);
        }
        if (!take_option(code, options)) {
            std::cerr << "spurtide-load: an option is not valid; try spurtide-load --help\n";
            return exit_with(ExitCode::BadUsage);
        }
    }
    if (optind + 2 == argument_count && std::string_view(arguments[optind]) == "experiment")
        return run_experiment(arguments[optind + 1], options);
    bool const is_run = optind + 1 == argument_count && std::string_view(arguments[optind]) == "run";
    if (!is_run || options.load.targets.empty() || options.prompts.empty()) {
        std::cerr << "spurtide-load: run, --targets and --prompts are needed; try spurtide-load --help\n";
        return exit_with(ExitCode::BadUsage);
    }
    return run(options);
}
