// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/LogLine.h>
#include <LibCore/ProgramOptions.h>
#include <LibService/ServerStartError.h>
#include <iostream>
#include <string_view>

namespace Spurtide {

/// The main function of a server: reads the settings, starts it, says where it listens, and stops
/// it at SIGTERM. ServerType has read_options(), create(), stop() and its two addresses.
template<typename ServerType>
int service_main(int argument_count, char** arguments, std::string_view name, std::string_view summary)
{
    ServerProgram program;
    program.name = name;
    program.summary = summary;
    program.check = [](nlohmann::json const& settings, std::string_view source) -> Result<Done, SettingsError> {
        TRY(ServerType::read_options(settings, source));
        return Done {};
    };
    program.run = [name](nlohmann::json const& settings, std::string_view source) {
        auto const options = ServerType::read_options(settings, source).release_value();
        LogLine::set_process_fields(name, options.server.virtual_machine, options.server.data_centre);
        auto server = ServerType::create(options);
        if (server.is_error()) {
            LogLine("cannot_listen").with("side", server.error() == ServerStartError::CannotListenHttp ? "http" : "wire");
            return ExitCode::Failed;
        }
        std::cout << "event=ready program=" << name << " vm=" << options.server.virtual_machine << " wire=" << server.value()->wire_endpoint()
                  << " http=" << server.value()->http_address().to_string() << std::endl;
        wait_for_stop_signal();
        LogLine("stopping").with("reason", "signal");
        server.value()->stop();
        return ExitCode::Success;
    };
    return server_main(argument_count, arguments, program);
}

}
