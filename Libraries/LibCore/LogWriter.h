// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>

namespace Spurtide {

/// Writes lines to a descriptor without ever waiting for its reader. What the reader does not take is kept up to a
/// limit; lines beyond it are dropped and counted. May be used from any thread.
class LogWriter {
public:
    /// Bytes that are kept while the descriptor takes none: as much again as a pipe holds.
    static constexpr std::size_t MAXIMUM_KEPT_BYTES = 65536;

    /// Gives the line that is written, where lines are missing, once the descriptor takes lines again.
    using DropNotice = std::function<std::string(std::uint64_t dropped_lines)>;

    /// The descriptor stays the caller's and has to outlive the writer.
    LogWriter(int descriptor, DropNotice);
    ~LogWriter();
    LogWriter(LogWriter const&) = delete;
    LogWriter& operator=(LogWriter const&) = delete;

    /// Takes one line, without its line break.
    void write(std::string_view line);

    /// Writes what is kept, as far as the descriptor takes it. Makes no system call if nothing is kept.
    void flush();

    /// Lines dropped since the start.
    std::uint64_t dropped_lines() const;

private:
    enum class Mode {
        /// A write to the descriptor returns at once.
        Direct,
        /// A write may wait unless poll(2) reports the descriptor as writable.
        Polled,
    };

    void choose_mode();
    /// Writes what is kept, then the notice if there is one to give.
    void drain();
    void write_kept();
    bool is_writable() const;

    int descriptor;
    /// A non-blocking open file description of our own, or -1.
    int own_descriptor = -1;
    Mode mode = Mode::Polled;
    DropNotice drop_notice;
    mutable std::mutex mutex;
    std::string kept;
    std::uint64_t dropped = 0;
    std::uint64_t unreported = 0;
};

}
