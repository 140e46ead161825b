// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Result.h>
#include <LibHttp/HttpListener.h>
#include <LibService/ServerSettings.h>
#include <LibService/ServerStartError.h>
#include <LibWire/Kernel.h>
#include <memory>
#include <string>

namespace Spurtide {

/// The two sides on which every server listens. Neither answers before it is started.
struct ServerCore {
    std::unique_ptr<HttpListener> listener;
    std::unique_ptr<Kernel> kernel;
};

/// Takes both addresses of the settings. The directory's endpoint is empty in the ConfigServer itself.
Result<ServerCore, ServerStartError> open_server_core(ServerSettings const& settings, std::string const& directory_endpoint, std::size_t maximum_body_bytes = HttpListener::Options {}.maximum_body_bytes);

}
