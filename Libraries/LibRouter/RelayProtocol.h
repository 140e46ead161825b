// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibAsync/ConnectionPool.h>
#include <LibAsync/HttpMessage.h>
#include <LibAsync/MessageParser.h>
#include <LibCore/Result.h>
#include <LibCore/Time.h>
#include <optional>
#include <string>
#include <string_view>

namespace Spurtide {

/// One VM asks another to send a request to an upstream, since it cannot reach the upstream itself. The request travels as the
/// body of an HTTP request, byte for byte, and the upstream's response as the response, with its own framing. A response that is
/// not marked as the upstream's says that the upstream did not receive the request.
struct RelayedSend {
    /// The caller's request, for the logs of both VMs.
    std::string request;
    /// The upstream's identity; the relaying VM looks up its address.
    std::string upstream;
    /// Nothing is sent to the upstream after this time.
    Duration time_left {};
    ConnectionPool::Freshness freshness = ConnectionPool::Freshness::Any;
    MessageParser::ExpectedBody expected_body = MessageParser::ExpectedBody::AsFramed;
    /// The silence after which the relaying VM gives up the response while new connections to the upstream fail; empty for requests
    /// that must not be sent to another upstream.
    std::optional<Duration> abandon_after {};
    enum class Operation {
        Send,
        /// Only connects, to find out whether the upstream can be reached.
        Probe,
    } operation
        = Operation::Send;
};

/// What became of a request to relay.
enum class RelayOutcome {
    /// The response is the upstream's.
    Forwarded,
    /// A connection was established, as a probe asks for.
    Connected,
    /// Not sent: the relaying VM reaches no upstream either.
    Partitioned,
    /// Not sent: the relaying VM is stopping.
    Stopping,
    /// Not sent: the relaying VM does not list the upstream.
    UnknownUpstream,
    /// Not sent: the upstream is leaving, or asked the relaying VM for a pause.
    NotAvailable,
    /// Not sent: nothing listens at the upstream's address.
    NobodyListens,
    /// Not sent: no connection to the upstream was established.
    CannotConnect,
    /// Not sent: the time was over.
    Expired,
    /// Not sent: the request could not be read.
    Malformed,
    /// Not sent: the relaying VM has no memory left for the body.
    OutOfMemory,
};

std::string_view to_string(RelayOutcome outcome);

/// The head of a request to relay, whose body has the given size in bytes.
HttpRequestHead relay_request_head(std::string_view relay_address, RelayedSend const& send, std::size_t body_size);

enum class RelayRequestError {
    MissingField,
    BadField,
};

Result<RelayedSend, RelayRequestError> read_relay_request(HttpRequestHead const& head);

/// The upstream's response head as the relaying VM passes it on: without the fields of its connection, and marked. Its Content-Length
/// goes along in a field of its own, since the relayed response is framed anew.
HttpResponseHead relayed_response_head(HttpResponseHead const& head);
/// The relaying VM's own response.
HttpResponseHead relay_outcome_head(RelayOutcome outcome);
/// Empty if the response does not come from a relaying VM.
std::optional<RelayOutcome> read_relay_outcome(HttpResponseHead const& head);
/// Turns a relayed response head back into the upstream's: without the mark, and with its Content-Length in the place of the relayed
/// response's own.
void restore_upstream_head(HttpResponseHead& head);

}
