// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibWire/Kernel.h>
#include <asio.hpp>
#include <string>

namespace Spurtide {

/// Sends a request to a service of another VM and awaits the reply on the kernel's event loop.
asio::awaitable<WireReply> call_service(Kernel& kernel, std::string endpoint, wire::Envelope envelope, Kernel::Patience patience);

}
