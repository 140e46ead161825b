// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Spurtide {

/// A new request id: a UUID of version 7, so that ids are ordered by time.
std::string new_request_identifier();

/// One attempt at a request, as engines hold it: the id, a dot and the attempt's number.
std::string work_name(std::string_view request, int attempt);

/// The request's id in the name of one of its attempts.
std::string_view request_of(std::string_view work);

/// Where a caller stands in a stream. Written as WORK/ENGINE/OFFSET in each event's id.
struct StreamPosition {
    std::string work;
    std::string engine;
    std::int64_t offset = 0;

    std::string to_string() const;
};

/// Empty where the text is no event id of ours.
std::optional<StreamPosition> parse_stream_position(std::string_view text);

}
