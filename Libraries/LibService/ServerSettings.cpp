// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibService/ServerSettings.h>

namespace Spurtide {

Address read_address(SettingsReader& reader, std::string_view key)
{
    auto const text = reader.text(key, Presence::Required);
    auto const address = parse_address(text);
    if (!address && !text.empty())
        reader.fault(SettingsFaultKind::OutOfRange, key, "HOST:PORT");
    return address.value_or(Address {});
}

std::string read_endpoint(SettingsReader& reader, std::string_view key, Presence presence)
{
    auto const text = reader.text(key, presence);
    if (text.empty())
        return {};
    if (!parse_address(text))
        reader.fault(SettingsFaultKind::OutOfRange, key, "HOST:PORT");
    return "tcp://" + text;
}

ServerSettings read_server_settings(SettingsReader& reader, std::int64_t default_threads)
{
    ServerSettings settings;
    settings.virtual_machine = reader.text("vm", Presence::Required);
    settings.data_centre = reader.text("data_centre", Presence::Required);
    settings.wire_endpoint = read_endpoint(reader, "wire_address", Presence::Required);
    settings.http_address = read_address(reader, "http_address");
    settings.http_threads = static_cast<std::size_t>(reader.integer("http_threads", Presence::Optional, 2, 8192, default_threads));
    return settings;
}

}
