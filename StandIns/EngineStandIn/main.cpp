// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/LogLine.h>
#include <LibCore/ProgramOptions.h>
#include <StandIns/EngineStandIn/EngineStandIn.h>
#include <iostream>

namespace {

using namespace Spurtide;

Result<std::vector<EngineStandIn::Options>, SettingsError> read_options(nlohmann::json const& settings, std::string_view source)
{
    std::vector<SettingsFault> faults;
    SettingsReader reader(settings, std::string(source), "", faults);
    EngineStandIn::Options common;
    common.threads = static_cast<std::size_t>(reader.integer("threads", Presence::Optional, 4, 4096, 64));
    common.report_lag = reader.milliseconds("report_lag_milliseconds", 0, 10000, 200);
    common.added_delay = Duration(reader.integer("added_delay_microseconds", Presence::Optional, 0, 10'000'000, 0));
    common.fence_check = reader.boolean("checks_fence", true) ? EngineStandIn::Options::FenceCheck::On : EngineStandIn::Options::FenceCheck::Off;
    common.model.decode_slots = reader.integer("decode_slots", Presence::Optional, 1, 4096, 20);
    common.model.prefill_tokens_per_second = reader.number("prefill_tokens_per_second", Presence::Optional, 1, 1e9, 20000);
    common.model.step_base = Duration(reader.integer("step_microseconds", Presence::Optional, 100, 1'000'000, 12000));
    common.model.step_per_sequence = Duration(reader.integer("step_per_sequence_microseconds", Presence::Optional, 0, 1'000'000, 900));
    common.model.cache_hold = reader.milliseconds("cache_hold_milliseconds", 1, 60000, 900);
    common.model.cache_bytes_per_token = reader.number("cache_bytes_per_token", Presence::Optional, 0, 1e9, 100'000);
    common.model.link_bytes_per_second = reader.number("link_bytes_per_second", Presence::Optional, 1, 1e15, 10e9);
    std::vector<EngineStandIn::Options> all;
    for (auto& engine : reader.objects("engines", Presence::Required)) {
        auto options = common;
        options.name = engine.text("name", Presence::Required);
        auto const address = parse_address(engine.text("address", Presence::Required));
        if (address)
            options.address = *address;
        else
            engine.fault(SettingsFaultKind::OutOfRange, "address", "HOST:PORT");
        options.model.seed = all.size() + 1;
        engine.finish();
        all.push_back(std::move(options));
    }
    reader.finish();
    if (!faults.empty())
        return Failure { SettingsError { std::move(faults) } };
    return all;
}

ExitCode run(nlohmann::json const& settings, std::string_view source)
{
    auto const all = read_options(settings, source);
    std::vector<std::unique_ptr<EngineStandIn>> engines;
    std::string ready = "event=ready program=EngineStandIn";
    for (auto const& options : all.value()) {
        auto engine = EngineStandIn::create(options);
        if (engine.is_error()) {
            LogLine("cannot_listen").with("address", options.address.to_string());
            return ExitCode::Failed;
        }
        ready += " " + options.name + "=" + engine.value()->address().to_string();
        engines.push_back(engine.release_value());
    }
    std::cout << ready << std::endl;
    wait_for_stop_signal();
    return ExitCode::Success;
}

Result<Done, SettingsError> check(nlohmann::json const& settings, std::string_view source)
{
    TRY(read_options(settings, source));
    return Done {};
}

}

int main(int argument_count, char** arguments)
{
    return Spurtide::server_main(argument_count, arguments, { "EngineStandIn", "model engines that only pretend, for tests and the demo", check, run });
}
