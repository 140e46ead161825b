// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibService/ServerCore.h>

namespace Spurtide {

Result<ServerCore, ServerStartError> open_server_core(ServerSettings const& settings, std::string const& directory_endpoint, std::size_t maximum_body_bytes)
{
    auto listener = HttpListener::create({ settings.http_address, settings.http_threads, maximum_body_bytes });
    if (listener.is_error())
        return Failure { ServerStartError::CannotListenHttp };
    Kernel::Options options;
    options.virtual_machine = settings.virtual_machine;
    options.listen_endpoint = settings.wire_endpoint;
    options.directory_endpoint = directory_endpoint;
    auto kernel = Kernel::create(options);
    if (kernel.is_error())
        return Failure { ServerStartError::CannotListenWire };
    return ServerCore { listener.release_value(), kernel.release_value() };
}

}
