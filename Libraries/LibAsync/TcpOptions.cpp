// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibAsync/TcpOptions.h>
#include <netinet/tcp.h>

namespace Spurtide {

namespace {

constexpr int PROBE_INTERVAL_SECONDS = 1;
/// Only counts where TCP_USER_TIMEOUT is not available: otherwise that decides, whatever the number of probes.
constexpr int PROBES_UNANSWERED = 2;

void set_option(int descriptor, int level, int option, int value)
{
    // A platform without one of these only notices a dead peer later.
    static_cast<void>(::setsockopt(descriptor, level, option, &value, sizeof(value)));
}

}

void set_tcp_options(asio::ip::tcp::socket& socket, PeerPatience patience)
{
    auto const descriptor = socket.native_handle();
    set_option(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(to_milliseconds(patience.unacknowledged)));
    set_option(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, static_cast<int>(to_seconds(patience.idle)));
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, PROBE_INTERVAL_SECONDS);
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPCNT, PROBES_UNANSWERED);
}

}
