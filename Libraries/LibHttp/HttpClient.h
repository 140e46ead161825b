// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <LibHttp/Address.h>
#include <httplib.h>

namespace Spurtide {

/// A client for one call or a few in a row. Connecting, reading and writing each have the timeout.
httplib::Client make_http_client(Address const& address, Duration timeout);

}
