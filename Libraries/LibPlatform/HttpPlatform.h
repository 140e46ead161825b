// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <LibHttp/Address.h>
#include <LibPlatform/ObjectStorePort.h>
#include <LibPlatform/TablePort.h>
#include <LibPlatform/VirtualMachineListPort.h>

namespace Spurtide {

/// The platform's three services over HTTP. Each call uses a connection of its own and may be made
/// from any thread.
class HttpPlatform final
    : public TablePort,
      public ObjectStorePort,
      public VirtualMachineListPort {
public:
    HttpPlatform(Address address, Duration timeout);

    Result<TableRow, PlatformError> read(std::string_view key) override;
    Result<std::int64_t, PlatformError> write(std::string_view key, std::string_view value, std::int64_t expected_version) override;
    Result<Done, PlatformError> put(std::string_view name, std::string_view content) override;
    Result<std::string, PlatformError> get(std::string_view name) override;
    Result<std::vector<ListedMachine>, PlatformError> list() override;

private:
    Address address;
    Duration timeout;
};

}
