// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/ProgramOptions.h>
#include <StandIns/ServiceStandIn/ServiceStandIn.h>
#include <iostream>

namespace {

using namespace Spurtide;

Result<std::vector<ServiceStandIn::Options>, SettingsError> read_options(nlohmann::json const& settings, std::string_view source)
{
    std::vector<SettingsFault> faults;
    SettingsReader reader(settings, std::string(source), "", faults);
    std::vector<ServiceStandIn::Options> all;
    auto const delay = Duration(reader.integer("added_delay_microseconds", Presence::Optional, 0, 10'000'000, 0));
    for (auto& server : reader.objects("servers", Presence::Required)) {
        ServiceStandIn::Options options;
        options.added_delay = delay;
        options.name = server.text("name", Presence::Required);
        auto const address = parse_address(server.text("address", Presence::Required));
        if (address)
            options.address = *address;
        else
            server.fault(SettingsFaultKind::OutOfRange, "address", "HOST:PORT");
        server.finish();
        all.push_back(std::move(options));
    }
    reader.finish();
    if (!faults.empty())
        return Failure { SettingsError { std::move(faults) } };
    return all;
}

Result<Done, SettingsError> check(nlohmann::json const& settings, std::string_view source)
{
    TRY(read_options(settings, source));
    return Done {};
}

ExitCode run(nlohmann::json const& settings, std::string_view source)
{
    auto const all = read_options(settings, source);
    std::vector<std::unique_ptr<ServiceStandIn>> servers;
    std::string ready = "event=ready program=ServiceStandIn";
    for (auto const& options : all.value()) {
        auto server = ServiceStandIn::create(options);
        if (server.is_error())
            return ExitCode::Failed;
        ready += " " + options.name + "=" + server.value()->address().to_string();
        servers.push_back(server.release_value());
    }
    std::cout << ready << std::endl;
    wait_for_stop_signal();
    return ExitCode::Success;
}

}

int main(int argument_count, char** arguments)
{
    return Spurtide::server_main(argument_count, arguments, { "ServiceStandIn", "plain services that only pretend, for tests and the demo", check, run });
}
