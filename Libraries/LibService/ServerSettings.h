// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/SettingsReader.h>
#include <LibHttp/Address.h>
#include <string>

namespace Spurtide {

/// What every server of the system is told.
struct ServerSettings {
    std::string virtual_machine;
    std::string data_centre;
    /// Where other processes reach this one, for ZeroMQ.
    std::string wire_endpoint;
    Address http_address;
    std::size_t http_threads = 16;
};

/// HOST:PORT, or a fault.
Address read_address(SettingsReader& reader, std::string_view key);

/// HOST:PORT as a ZeroMQ endpoint, or a fault.
std::string read_endpoint(SettingsReader& reader, std::string_view key, Presence presence);

ServerSettings read_server_settings(SettingsReader& reader, std::int64_t default_threads);

}
