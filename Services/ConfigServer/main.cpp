// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/LogLine.h>
#include <LibCore/ProgramOptions.h>
#include <Services/ConfigServer/ConfigServer.h>
#include <iostream>

namespace {

using namespace Spurtide;

Result<Done, SettingsError> check(nlohmann::json const& settings, std::string_view source)
{
    TRY(ConfigServer::read_options(settings, source));
    return Done {};
}

ExitCode run(nlohmann::json const& settings, std::string_view source)
{
    auto const options = ConfigServer::read_options(settings, source).release_value();
    LogLine::set_process_fields("ConfigServer", options.server.virtual_machine, options.server.data_centre);
    auto server = ConfigServer::create(options);
    if (server.is_error()) {
        LogLine("cannot_listen").with("side", server.error() == ServerStartError::CannotListenHttp ? "http" : "wire");
        return ExitCode::Failed;
    }
    std::cout << "event=ready program=ConfigServer vm=" << options.server.virtual_machine << " wire=" << server.value()->wire_endpoint()
              << " http=" << server.value()->http_address().to_string() << std::endl;
    wait_for_stop_signal();
    server.value()->leave();
    server.value()->stop();
    return ExitCode::Success;
}

}

int main(int argument_count, char** arguments)
{
    return Spurtide::server_main(argument_count, arguments, { "ConfigServer", "configuration, membership and claims of one VM", check, run });
}
