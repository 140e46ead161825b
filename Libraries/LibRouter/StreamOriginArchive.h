// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibAsync/Signal.h>
#include <LibCore/Metrics.h>
#include <LibDecision/StreamOrigin.h>
#include <LibRouter/StreamOriginPort.h>
#include <asio.hpp>
#include <cstdint>
#include <limits>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Spurtide {

/// Looks up where streams began in the registry. All origins are read at once, and calls that come during a read share the next one.
class StreamOriginArchive {
public:
    struct Options {
        /// A caller is refused if the registry takes longer.
        Duration timeout = milliseconds(400);
        /// Callers choose the names that they ask for, so reads take only a part of the time.
        int pause_per_read_time = 4;
        Duration minimum_pause = milliseconds(50);
        Duration maximum_pause = milliseconds(500);
        /// How long what was read is kept. Most callers come back within seconds.
        Duration retention = seconds(60);
    };

    StreamOriginArchive(Options options, asio::io_context& loop, StreamOriginPort& port, Metrics& metrics);

    /// The origin as of the last read; empty if that did not have it, or had two of them.
    std::optional<StreamOrigin> find_known(std::string_view request) const;
    /// Whether the last read had two origins by this name.
    bool is_conflicting(std::string_view request) const;
    /// Frees what was read if it was not needed lately.
    void forget_old(MonotonicTime now);
    /// Reads the registry if the last read did not have the origin.
    asio::awaitable<std::optional<StreamOrigin>> find(std::string request);

private:
    /// A read that several calls wait for.
    struct Read {
        bool is_done = false;
        std::list<Signal*> waiting;
    };

    /// An index of `origins`.
    using OriginIndex = std::uint32_t;
    static constexpr OriginIndex CONFLICTING = std::numeric_limits<OriginIndex>::max();

    asio::awaitable<void> run_reads();
    asio::awaitable<void> read();
    OriginIndex index_of(StreamOriginRecord::Group const& group);

    Options options;
    asio::io_context& loop;
    StreamOriginPort& port;
    Metrics& metrics;
    /// Few services and versions begin all streams.
    std::vector<StreamOrigin> origins;
    std::unordered_map<StreamKey, OriginIndex> streams;
    MonotonicTime read_at;
    /// The read that has not begun; null if none was asked for.
    std::shared_ptr<Read> next_read;
    bool is_reading = false;
};

}
