// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibConfiguration/Configuration.h>
#include <LibCore/Clock.h>
#include <LibHttp/HttpClient.h>
#include <Utilities/spurtide/Command.h>
#include <Utilities/spurtide/LineDifference.h>
#include <algorithm>
#include <array>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>

namespace Spurtide {

namespace {

using Json = nlohmann::ordered_json;

constexpr Duration ADMIN_TIMEOUT = seconds(15);

struct AdminAnswer {
    ExitCode code = ExitCode::Success;
    Json body;
};

ExitCode exit_code_of(int status)
{
    switch (status) {
    case 200:
        return ExitCode::Success;
    case 401:
    case 403:
    case 429:
        return ExitCode::Refused;
    case 409:
        return ExitCode::Conflict;
    case 422:
        return ExitCode::BadSettings;
    case 503:
        return ExitCode::Unreachable;
    default:
        return ExitCode::Failed;
    }
}

AdminAnswer call_admin(CommandOptions const& options, std::string const& method, std::string const& path, std::string const& body = "")
{
    auto client = make_http_client(options.admin, ADMIN_TIMEOUT);
    httplib::Request request;
    request.method = method;
    request.path = path;
    request.body = body;
    request.set_header("Authorization", "Bearer " + options.key);
    request.set_header("Content-Type", "application/json");
    auto const result = client.send(request);
    if (!result) {
        std::cerr << "spurtide: " << options.admin.to_string() << " cannot be reached\n";
        return { ExitCode::Unreachable, Json::object() };
    }
    auto document = Json::parse(result->body, nullptr, false);
    auto const code = exit_code_of(result->status);
    if (!document.is_object())
        return { code == ExitCode::Success ? ExitCode::Failed : code, Json::object() };
    if (code != ExitCode::Success && document.contains("error"))
        std::cerr << "spurtide: " << document["error"].value("code", "") << ": " << document["error"].value("message", "") << "\n";
    return { code, std::move(document) };
}

/// Reads and checks a file; prints every fault.
std::optional<std::string> read_checked(std::string const& path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream contents;
    if (!file || !(contents << file.rdbuf())) {
        std::cerr << path << ": /: not_readable\n";
        return {};
    }
    auto const read = read_configuration(contents.str(), path);
    if (read.is_error()) {
        std::cerr << read.error().describe();
        return {};
    }
    return contents.str();
}

void print_table(std::vector<std::vector<std::string>> const& rows)
{
    std::vector<std::size_t> widths;
    for (auto const& row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    for (auto const& row : rows) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            bool const is_last = i + 1 == row.size();
            std::cout << std::left << std::setw(is_last ? 0 : static_cast<int>(widths[i]) + 2) << row[i];
        }
        std::cout << "\n";
    }
}

std::string plain(Json const& value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

/// Prints a list of objects with their keys as the head.
void print_objects(Json const& list)
{
    std::vector<std::vector<std::string>> rows;
    for (auto const& entry : list) {
        if (rows.empty()) {
            rows.emplace_back();
            for (auto const& [key, value] : entry.items())
                rows.back().push_back(key);
        }
        rows.emplace_back();
        for (auto const& [key, value] : entry.items())
            rows.back().push_back(plain(value));
    }
    print_table(rows);
}

ExitCode print_answer(CommandOptions const& options, AdminAnswer const& answer, std::vector<std::string> const& lists)
{
    if (answer.code != ExitCode::Success)
        return answer.code;
    if (options.output == OutputForm::Json) {
        std::cout << answer.body.dump(2) << "\n";
        return answer.code;
    }
    for (auto const& [key, value] : answer.body.items()) {
        if (std::find(lists.begin(), lists.end(), key) == lists.end())
            std::cout << key << ": " << plain(value) << "\n";
    }
    for (auto const& list : lists) {
        std::cout << "\n";
        print_objects(answer.body.value(list, Json::array()));
    }
    return answer.code;
}

ExitCode run_check(CommandOptions const& options)
{
    if (!read_checked(options.words[1]))
        return ExitCode::BadSettings;
    std::cout << options.words[1] << ": configuration is valid\n";
    return ExitCode::Success;
}

ExitCode run_get(CommandOptions const& options)
{
    auto const answer = call_admin(options, "GET", "/v1/configuration");
    if (answer.code != ExitCode::Success)
        return answer.code;
    if (options.output == OutputForm::Json)
        std::cout << answer.body.dump(2) << "\n";
    else
        std::cout << answer.body.value("content", "");
    return ExitCode::Success;
}

ExitCode run_diff(CommandOptions const& options)
{
    auto const wanted = read_checked(options.words[1]);
    if (!wanted)
        return ExitCode::BadSettings;
    auto const present = call_admin(options, "GET", "/v1/configuration");
    if (present.code != ExitCode::Success)
        return present.code;
    auto const difference = line_difference(present.body.value("content", ""), *wanted);
    std::cout << difference;
    return difference.empty() ? ExitCode::Success : ExitCode::Failed;
}

ExitCode run_apply(CommandOptions const& options)
{
    auto const content = read_checked(options.words[1]);
    if (!content)
        return ExitCode::BadSettings;
    auto base = options.base_generation;
    if (base.empty() || options.run == CommandOptions::Run::Dry) {
        auto const present = call_admin(options, "GET", "/v1/configuration");
        if (present.code != ExitCode::Success)
            return present.code;
        if (base.empty())
            base = std::to_string(present.body.value("generation", std::int64_t { 0 }));
        if (options.run == CommandOptions::Run::Dry) {
            std::cout << "would apply on generation " << base << ":\n"
                      << line_difference(present.body.value("content", ""), *content);
            return ExitCode::Success;
        }
    }
    // The same file on the same base is the same change, however often it is sent.
    auto const apply_id = options.apply_id.empty() ? sha256_hex(base + ":" + *content).substr(0, 32) : options.apply_id;
    auto const answer = call_admin(options, "PUT", "/v1/configuration?base_generation=" + base + "&apply_id=" + apply_id, *content);
    if (answer.code == ExitCode::Success)
        std::cout << "generation " << answer.body.value("generation", std::int64_t { 0 }) << " is accepted\n";
    if (answer.code == ExitCode::Conflict)
        std::cerr << "spurtide: wanted on generation " << base << ", present is " << answer.body["error"]["present_generation"] << " by " << plain(answer.body["error"]["present_author"]) << "\n";
    return answer.code;
}

ExitCode run_history(CommandOptions const& options)
{
    return print_answer(options, call_admin(options, "GET", "/v1/history"), { "entries" });
}

ExitCode run_status(CommandOptions const& options)
{
    return print_answer(options, call_admin(options, "GET", "/v1/status"), { "machines", "cells" });
}

ExitCode run_drain(CommandOptions const& options)
{
    return print_answer(options, call_admin(options, "PUT", "/v1/drains/" + options.words[1]), {});
}

ExitCode run_undrain(CommandOptions const& options)
{
    return print_answer(options, call_admin(options, "DELETE", "/v1/drains/" + options.words[1]), {});
}

}

std::span<Command const> all_commands()
{
    static std::array const commands = {
        Command { "check", "FILE", "check a configuration file and name every fault", 1, run_check },
        Command { "diff", "FILE", "show what a file would change", 1, run_diff },
        Command { "apply", "FILE", "put a file in force as a whole", 1, run_apply },
        Command { "get", "", "print the configuration in force", 0, run_get },
        Command { "history", "", "list the accepted generations", 0, run_history },
        Command { "status", "", "show the data centre's VMs, their generations and the cells", 0, run_status },
        Command { "drain", "ENGINE", "give an engine no new work", 1, run_drain },
        Command { "undrain", "ENGINE", "give an engine new work again", 1, run_undrain },
    };
    return commands;
}

}
