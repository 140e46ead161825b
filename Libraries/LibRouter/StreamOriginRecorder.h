// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Metrics.h>
#include <LibDecision/StreamOriginJournal.h>
#include <LibRouter/StreamOriginPort.h>
#include <asio.hpp>
#include <functional>
#include <optional>
#include <string>

namespace Spurtide {

/// Writes the origins of a data centre's streams to the registry, so that callers may take their streams up after all VMs have died.
/// Origins are collected for a short time and written together.
class StreamOriginRecorder {
public:
    struct Options {
        StreamOriginJournal::Options journal {};
        /// A stream whose VMs all die within this time of its first event is not known afterwards.
        Duration write_interval = milliseconds(250);
        /// Each data centre has a recorder. With more of them than this, each writes less often.
        int data_centres_at_full_rate = 10;
        Duration maximum_retry_interval = seconds(4);
        /// How often to look for rows that others left behind, which takes a read of all.
        Duration cleanup_interval = seconds(300);
    };

    struct Hooks {
        std::function<std::size_t()> data_centre_count = [] { return std::size_t(1); };
        /// The era of the registry that is known; rows are written again when it changes.
        std::function<std::int64_t()> era = [] { return std::int64_t(0); };
    };

    StreamOriginRecorder(Options options, asio::io_context& loop, StreamOriginPort& port, Metrics& metrics, std::string incarnation, Hooks hooks);

    void start();
    void add(std::string_view request, StreamOrigin const& origin);

    /// Origins in the records that are written here.
    std::size_t size() const { return this->journal.size(); }

private:
    asio::awaitable<void> run();
    asio::awaitable<void> write_pending();
    asio::awaitable<void> run_cleanup();
    asio::awaitable<void> find_abandoned_rows();
    void note_result(std::optional<PlatformError> error);
    Duration pause() const;

    Options options;
    asio::io_context& loop;
    StreamOriginPort& port;
    Metrics& metrics;
    Hooks hooks;
    StreamOriginJournal journal;
    std::optional<std::int64_t> era;
    int failures = 0;
    /// Origins that were dropped since the last write.
    std::int64_t dropped = 0;
};

}
