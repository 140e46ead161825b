// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <LibDecision/StreamOrigin.h>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Spurtide {

/// Remembers for a limited time where streams began. A stream is named by the request whose response brought its first event.
class StreamOriginTable {
public:
    struct Options {
        /// Counted from when the origin was last noted. Longer than a caller takes to come back after its stream broke.
        Duration retention = seconds(60);
        /// A VM of the largest deployment begins some 40 streams per second, and holds the origins of twice as many of other VMs.
        std::size_t maximum_size = 16384;
        /// Callers choose the names of their requests.
        std::size_t maximum_name_length = 256;
    };

    explicit StreamOriginTable(Options options)
        : options(options)
    {
    }

    enum class NoteResult {
        Noted,
        /// The origin of another stream is known by this name. Neither is known from now on.
        Conflicting,
        /// The origin is uncertain, the table is full, or the name is too long or empty.
        NotNoted,
    };
    /// Notes an origin, or renews it.
    NoteResult note(std::string_view request, StreamOrigin const& origin, MonotonicTime now);

    struct Found {
        StreamOrigin origin;
        /// Since it was last noted.
        Duration age {};
    };
    std::optional<Found> find(std::string_view request, MonotonicTime now) const;
    /// Whether two streams were noted by this name.
    bool is_conflicting(std::string_view request, MonotonicTime now) const;

    void remove_expired(MonotonicTime now);
    std::size_t size() const { return this->entries.size(); }

private:
    struct Entry {
        StreamOrigin origin;
        MonotonicTime noted_at;
        bool is_conflicting = false;
    };

    bool is_expired(Entry const& entry, MonotonicTime now) const { return now - entry.noted_at >= this->options.retention; }

    Options options;
    std::map<std::string, Entry, std::less<>> entries;
};

}
