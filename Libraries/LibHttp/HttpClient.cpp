// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibHttp/HttpClient.h>

namespace Spurtide {

httplib::Client make_http_client(Address const& address, Duration timeout)
{
    httplib::Client client(address.host, address.port);
    client.set_connection_timeout(timeout);
    client.set_read_timeout(timeout);
    client.set_write_timeout(timeout);
    client.set_tcp_nodelay(true);
    client.set_keep_alive(false);
    return client;
}

}
