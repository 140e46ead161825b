// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <string_view>

namespace Spurtide {

/// Why an HTTP exchange did not go on.
enum class HttpError {
    /// No connection came up; nothing was sent.
    CannotConnect,
    /// The same, since the other side's machine says that nothing listens there: its process is gone.
    NobodyListens,
    /// The other side closed or reset the connection.
    Closed,
    TimedOut,
    /// The bytes are not HTTP.
    Malformed,
    HeadTooLarge,
    BodyTooLarge,
    /// An event of a stream has no end.
    EventTooLarge,
    /// Responses to other requests came in place of the one that was due.
    OtherResponses,
    /// This side gave the exchange up.
    Aborted,
    /// The same, since nothing came and no further connection to the other side could be established.
    Unresponsive,
};

std::string_view to_string(HttpError error);

}
