// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/ProgramOptions.h>
#include <StandIns/PlatformStandIn/PlatformStandIn.h>
#include <iostream>

namespace {

using namespace Spurtide;

Result<PlatformStandIn::Options, SettingsError> read_options(nlohmann::json const& settings, std::string_view source)
{
    std::vector<SettingsFault> faults;
    SettingsReader reader(settings, std::string(source), "", faults);
    PlatformStandIn::Options options;
    auto const address = parse_address(reader.text("address", Presence::Required));
    if (address)
        options.address = *address;
    else
        reader.fault(SettingsFaultKind::OutOfRange, "address", "HOST:PORT");
    options.list_lag = reader.milliseconds("list_lag_milliseconds", 0, 600'000, 2000);
    reader.finish();
    if (!faults.empty())
        return Failure { SettingsError { std::move(faults) } };
    return options;
}

Result<Done, SettingsError> check(nlohmann::json const& settings, std::string_view source)
{
    TRY(read_options(settings, source));
    return Done {};
}

ExitCode run(nlohmann::json const& settings, std::string_view source)
{
    auto platform = PlatformStandIn::create(read_options(settings, source).release_value());
    if (platform.is_error())
        return ExitCode::Failed;
    std::cout << "event=ready program=PlatformStandIn http=" << platform.value()->address().to_string() << std::endl;
    wait_for_stop_signal();
    return ExitCode::Success;
}

}

int main(int argument_count, char** arguments)
{
    return Spurtide::server_main(argument_count, arguments, { "PlatformStandIn", "the platform's table, object store and machine list, for tests and the demo", check, run });
}
