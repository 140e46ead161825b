// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibRouter/RelayProtocol.h>
#include <catch2/catch.hpp>

using namespace Spurtide;

// Guards against a late copy of a refusal that is taken for the response to the next send of the same request: the relaying VM has to use
// a new connection to the upstream, as the VM itself would.
TEST_CASE("A relaying VM learns which connection to the upstream a request may use", "[not-run][late]")
{
    using Freshness = ConnectionPool::Freshness;
    RelayedSend send;
    send.upstream = "i-1";
    send.time_left = seconds(1);
    send.freshness = GENERATE(Freshness::Any, Freshness::Recent, Freshness::New);
    CAPTURE(static_cast<int>(send.freshness));
    auto const head = relay_request_head("127.0.0.1:1", send, 0);
    auto const read = read_relay_request(head);
    REQUIRE_FALSE(read.is_error());
    CHECK(read.value().freshness == send.freshness);
    // VMs of earlier versions know these values only.
    auto const connection = head.headers.find("Spurtide-Relay-Connection");
    CHECK((connection == "any" || connection == "recent"));
}
