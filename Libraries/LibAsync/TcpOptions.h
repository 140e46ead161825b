// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <asio.hpp>

namespace Spurtide {

/// How soon a silent peer is taken for gone.
struct PeerPatience {
    /// Unacknowledged bytes or probes end the connection after this time. Three losses in a row take 1.4 s to mend.
    Duration unacknowledged = milliseconds(1800);
    /// Silence after which the peer is probed, in whole seconds. The next probe, a second later, ends the connection.
    Duration idle = seconds(1);
};

/// Sends small writes at once, and notices a peer without power or behind a cut.
void set_tcp_options(asio::ip::tcp::socket& socket, PeerPatience patience);

}
